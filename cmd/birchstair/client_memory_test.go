package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// shortFields returns header lines with different, very short names, of this size in total.
func shortFields(bytes int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < bytes; i++ {
		lines.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return lines.String()
}

// slowWriter sends a request in small pieces.
func slowWriter(c net.Conn, text string, pieceBytes int, pause time.Duration) {
	for len(text) > 0 {
		n := min(len(text), pieceBytes)
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// writeAll sends text at once.
func writeAll(c net.Conn, text string) {
	io.WriteString(c, text) //nolint:errcheck // if the node has closed the connection, the read fails too
}

// hostileClients is a number of clients that each send the same kind of bytes, connect again when the node closes their connections,
// and read nothing but the end of the connection.
type hostileClients struct {
	stop chan struct{}
	wait sync.WaitGroup
}

// startHostileClients starts clients that call write on each of their connections. reads says whether they read answers.
func startHostileClients(addr string, clients int, reads bool, write func(client int, c net.Conn)) *hostileClients {
	h := &hostileClients{stop: make(chan struct{})}
	for i := range clients {
		h.wait.Go(func() {
			for h.connect(addr, reads, func(c net.Conn) { write(i, c) }) {
			}
		})
	}
	return h
}

// connect opens a connection and waits until it ends. It returns false if the clients are to stop.
func (h *hostileClients) connect(addr string, reads bool, write func(net.Conn)) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		write(c)
		if reads {
			io.Copy(io.Discard, c) //nolint:errcheck // the connection ends either way
			return
		}
		<-h.stop
	}()
	select {
	case <-h.stop:
	case <-ended:
	}
	c.Close()
	<-ended
	select {
	case <-h.stop:
		return false
	default:
		return true
	}
}

func (h *hostileClients) end() {
	close(h.stop)
	h.wait.Wait()
}

// politeClient sends jobs one after the other on one connection until end, and checks that each gets an answer in time. When the node
// closes the connection after an answer, it opens another one. As clients fill the node's connections, the node may close an idle or a
// new connection while the next request is on its way; then the client sends the request again. A request that has run must not end so.
func (n *loneNode) politeClient(name string, end time.Time, deadline time.Duration) (answers map[int]int) {
	answers = map[int]int{}
	var c net.Conn
	var in *bufio.Reader
	for i := 0; time.Now().Before(end); {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", n.listen); err != nil {
				n.t.Error(err)
				return answers
			}
			in = bufio.NewReader(c)
		}
		began := time.Now()
		c.SetDeadline(began.Add(deadline))
		writeAll(c, jobText(fmt.Sprint(name, i), "page", "", 100))
		_, err := in.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			if n.runCount(fmt.Sprint(name, i)) > 0 {
				n.t.Errorf("%s%d ran, and its connection is closed with no answer: %v", name, i, err)
			}
			c.Close()
			c = nil
			continue
		}
		a, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
		}
		if err != nil {
			n.t.Errorf("%s%d: no answer after %v: %v", name, i, time.Since(began), err)
			c.Close()
			return answers
		}
		answers[a.StatusCode]++
		i++
		if a.Close {
			c.Close()
			c = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if c != nil {
		c.Close()
	}
	return answers
}

// TestMemoryLimitWithHostileClients has more clients than the node has connections for send large or slow requests, heads of very many
// short fields, or requests far ahead of their answers. The process must stay within its memory limit, and a client that was there
// before must get its answers.
func TestMemoryLimitWithHostileClients(t *testing.T) {
	const (
		clients  = 700
		duration = 3 * time.Second
		deadline = 10 * time.Second
		maxBody  = 64 << 10
		maxHead  = 15 << 10

		maxTrailer = 3 << 10
	)
	fields := shortFields(maxHead)
	longFields := strings.Repeat("X-Field: "+strings.Repeat("f", 180)+"\r\n", maxHead/200)
	cut := func(text string) string { return text[:len(text)-1] }
	for _, c := range []struct {
		name     string
		memoryMB int
		runTime  time.Duration
		reads    bool
		write    func(client int, c net.Conn)
	}{
		{"heads of short fields that do not end", operatorsMemoryMB, time.Millisecond, true, func(_ int, c net.Conn) {
			writeAll(c, "POST /x HTTP/1.1\r\nHost: n\r\n"+fields)
		}},
		{"heads of short fields and bodies that stop", operatorsMemoryMB, time.Millisecond, true, func(i int, c net.Conn) {
			writeAll(c, cut(jobText(fmt.Sprint("page-", i), "page", fields, maxBody)))
		}},
		{"bodies that stop", operatorsMemoryMB, time.Millisecond, true, func(i int, c net.Conn) {
			writeAll(c, cut(jobText(fmt.Sprint("page-", i), "page", "", maxBody)))
		}},
		{"slow writers", operatorsMemoryMB, time.Millisecond, true, func(i int, c net.Conn) {
			slowWriter(c, jobText(fmt.Sprint("page-", i), "page", fields, maxBody), 1<<10, 30*time.Millisecond)
		}},
		{"slow writers of few fields", operatorsMemoryMB, time.Millisecond, true, func(i int, c net.Conn) {
			slowWriter(c, jobText(fmt.Sprint("page-", i), "page", longFields, maxBody), 1<<10, 30*time.Millisecond)
		}},
		{"heads of short fields, sent ahead", operatorsMemoryMB, duration, true, func(i int, c net.Conn) {
			for k := range 5 {
				writeAll(c, jobText(fmt.Sprint("page-", i, "-", k), "page", fields, maxBody))
			}
		}},
		{"heads of long fields, sent ahead", operatorsMemoryMB, duration, true, func(i int, c net.Conn) {
			for k := range 5 {
				writeAll(c, jobText(fmt.Sprint("page-", i, "-", k), "page", longFields, maxBody))
			}
		}},
		{"heads of long fields, sent ahead, in a third of the memory", operatorsMemoryMB / 3, duration, true, func(i int, c net.Conn) {
			for k := range 5 {
				writeAll(c, jobText(fmt.Sprint("page-", i, "-", k), "page", longFields, maxBody))
			}
		}},
		{"chunked bodies with trailers of short fields", operatorsMemoryMB, duration, true, func(i int, c net.Conn) {
			head := strings.Replace(jobText(fmt.Sprint("page-", i), "page", longFields, 0), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
			writeAll(c, fmt.Sprintf("%s%x\r\n%s\r\n0\r\n%s\r\n", head, maxBody, strings.Repeat("b", maxBody), shortFields(maxTrailer)))
		}},
		{"requests sent ahead of answers that are not read", operatorsMemoryMB, duration, false, func(i int, c net.Conn) {
			for k := range 5 {
				writeAll(c, jobText(fmt.Sprint("page-", i, "-", k), "page", "", maxBody))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startLoneNode(t, c.memoryMB, deadline, 2*deadline)
			var polite sync.WaitGroup
			polite.Go(func() {
				answers := n.politeClient("polite-", time.Now().Add(duration), 2*deadline)
				t.Logf("the polite client's answers by status: %v", answers)
			})
			time.Sleep(50 * time.Millisecond)
			n.runTime.Store(int64(c.runTime))
			hostile := startHostileClients(n.listen, clients, c.reads, c.write)
			time.Sleep(duration)
			polite.Wait()
			peak := n.peakMemory()
			t.Logf("peak memory: %d MiB", peak>>20)
			if peak > int64(c.memoryMB)<<20 {
				t.Errorf("the process has used %d MiB, and is limited to %d", peak>>20, c.memoryMB)
			}
			hostile.end()
		})
	}
}
