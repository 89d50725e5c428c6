package frontend

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// TestWaitedBehindEarlierRequest sends two jobs at once, and answers the first one late. The second one must state how long it waited,
// and one that is sent later must not.
func TestWaitedBehindEarlierRequest(t *testing.T) {
	const wait = 300 * time.Millisecond
	c, _ := newHaltableNode(t, 10)
	from := c.dial()
	from.send(jobRequest("wait-1", "Content-Length: 4") + "body" + jobRequest("wait-2", "Content-Length: 6000") + strings.Repeat("b", 6000))
	if waited := c.nextJob().Waited; waited > wait/2 {
		t.Errorf("the first job has waited %v", waited)
	}
	time.Sleep(wait)
	from.send("GET / HTTP/1.1\r\nHost: n\r\n\r\n" + jobRequest("wait-3"))
	c.server.Answer(answerTo("wait-1"))
	c.printAnswer(from)
	if waited := c.nextJob().Waited; waited < wait-arrivalResolution {
		t.Errorf("the second job has waited %v, want at least %v", waited, wait)
	}
	c.server.Answer(answerTo("wait-2"))
	c.printAnswer(from)
	c.printAnswer(from)
	if waited := c.nextJob().Waited; waited > wait/2 {
		t.Errorf("the third job has waited %v", waited)
	}
	c.server.Answer(answerTo("wait-3"))
	c.printAnswer(from)
}

// TestArrivalsAreDropped sends many requests that are no jobs, and one job. The connection must not keep their arrivals.
func TestArrivalsAreDropped(t *testing.T) {
	c, _ := newHaltableNode(t, 10)
	from := c.dial()
	const requests = connAnswersBurst / 2
	for range requests {
		from.send("GET / HTTP/1.1\r\nHost: n\r\n\r\n")
		c.printAnswer(from)
	}
	kept := 0
	c.eachConn(func(conn *clientConn) { kept = cap(conn.arrivals) })
	if kept > requests/2 {
		t.Errorf("%d arrivals are kept after %d requests", kept, requests)
	}
}

// TestChunkBuffer writes and reads random amounts, and checks the bytes, their times and the memory.
func TestChunkBuffer(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var b chunkBuffer
	var unread []byte
	start := time.Now()
	times := map[byte]time.Time{} // by the value of the bytes that arrived then
	for step := range 2000 {
		now := start.Add(time.Duration(step) * arrivalResolution)
		if rng.IntN(2) == 0 {
			space := b.space()
			n := rng.IntN(len(space) + 1)
			for i := range n {
				space[i] = byte(step % 251)
			}
			unread = append(unread, space[:n]...)
			times[byte(step%251)] = now
			b.commit(n, now)
		}
		p := make([]byte, rng.IntN(5000))
		n, at := b.read(p)
		if !bytes.Equal(p[:n], unread[:n]) {
			t.Fatalf("step %d: %d other bytes are read than were written", step, n)
		}
		for _, value := range p[:n] {
			if times[value] != at {
				t.Fatalf("step %d: a byte of %v is read as one of %v", step, times[value].Sub(start), at.Sub(start))
			}
		}
		unread = unread[n:]
		if b.empty() != (len(unread) == 0) || b.memory() > len(unread)+2*chunkBytes {
			t.Fatalf("step %d: %d bytes of memory for %d unread bytes", step, b.memory(), len(unread))
		}
	}
}
