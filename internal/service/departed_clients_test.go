package service_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"birchstair/policy"
)

// requestText returns a request of the class "page" with a body of this size.
func requestText(id string, bodyBytes int) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: n\r\nX-Call-Id: %s\r\nX-Call-Class: page\r\nX-Budget-Ms: 40000\r\nContent-Length: %d\r\n\r\n%s",
		id, bodyBytes, strings.Repeat("b", bodyBytes))
}

// acceptDials lets all dials to the executor proceed.
func (w *testNode) acceptDials() {
	go func() {
		for proceed := range w.pendingDials {
			close(proceed)
		}
	}()
}

// TestClientsLeaveBehindUnreadBytes has a hundred clients send far more requests than the node reads ahead, and leave while no
// executor is available. The node can't read up to their closes, and must send none of their requests.
func TestClientsLeaveBehindUnreadBytes(t *testing.T) {
	const (
		clients      = 100
		goneAfter    = 100 * time.Millisecond // from then on no attempt for a client that has left may begin
		requests     = 12
		requestBytes = 30 << 10
	)
	for _, leave := range []struct {
		name string
		end  func(*net.TCPConn)
	}{
		{"close", func(c *net.TCPConn) { c.Close() }},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
	} {
		t.Run(leave.name, func(t *testing.T) {
			w := startNode(t, policy.Draining, "repeatable")
			var leaving []net.Conn
			for i := range clients {
				c := w.submit(fmt.Sprint("leaves-", i))
				for k := range requests {
					if _, err := io.WriteString(c, requestText(fmt.Sprintf("never-%d-%d", i, k), requestBytes)); err != nil {
						t.Fatal(err)
					}
				}
				leaving = append(leaving, c)
			}
			time.Sleep(goneAfter) // the node reads ahead as far as it does
			for _, c := range leaving {
				leave.end(c.(*net.TCPConn))
			}
			time.Sleep(goneAfter)
			w.endpointState <- policy.Available
			w.acceptDials()
			w.awaitResult(w.submit("stays"))
			time.Sleep(3 * goneAfter) // requests behind the first ones are read now
			w.awaitResult(w.submit("stays-too"))
			w.mu.Lock()
			delete(w.runs, "stays-too")
			w.mu.Unlock()
			w.checkRanOnly("stays")
		})
	}
}

// TestMoreRequestsThanReadAhead has a client send far more requests than the node reads ahead, and stay. Each must get one final
// answer, in order: a result or a rejection.
func TestMoreRequestsThanReadAhead(t *testing.T) {
	w := startNode(t, policy.Available, "repeatable")
	w.acceptDials()
	c := w.submit("page-0")
	const requests = 300
	go func() {
		for i := range requests {
			if _, err := io.WriteString(c, requestText(fmt.Sprint("page-", i+1), 30<<10)); err != nil {
				t.Error(err)
				return
			}
		}
	}()
	in := bufio.NewReader(c)
	statuses := map[int]int{}
	for i := range requests + 1 {
		a, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			t.Fatal(err)
		}
		statuses[a.StatusCode]++
		if a.StatusCode != http.StatusOK && a.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("answer %d has status %d", i, a.StatusCode)
		}
	}
	t.Logf("answers by status: %v", statuses)
}

// TestIDComesAgainAfterClientLeft has a client leave while its at-most-once job runs, and submit the same ID again after the job's
// attempt has ended. The job must not run again.
func TestIDComesAgainAfterClientLeft(t *testing.T) {
	w := startNode(t, policy.Available, "once")
	w.acceptDials()
	w.runTime.Store(int64(200 * time.Millisecond))
	leaves := w.submit("job")
	w.waitUntil("the job runs", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.runs["job"] == 1
	})
	leaves.Close()
	w.awaitClientsLeft(1)
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); {
		again := w.submit("job")
		a, err := http.ReadResponse(bufio.NewReader(again), nil)
		if err != nil {
			t.Fatal(err)
		}
		if a.StatusCode == http.StatusOK || a.StatusCode == http.StatusServiceUnavailable {
			t.Fatalf("the job that may have run is answered with status %d", a.StatusCode)
		}
		again.Close()
	}
	w.checkRanOnly("job")
}

// TestPipelinedJobsAreAnsweredInTime has a client send jobs at once on one connection, of which the executor has time for some. Each must be
// answered by its deadline, which counts from its arrival and not from the answer to the one before.
func TestPipelinedJobsAreAnsweredInTime(t *testing.T) {
	const (
		jobs   = 6
		budget = time.Second
		slack  = 500 * time.Millisecond
	)
	w := startNode(t, policy.Available, "repeatable")
	w.acceptDials()
	w.runTime.Store(int64(400 * time.Millisecond))
	c := w.submit("warm-up")
	in := bufio.NewReader(c)
	readAnswer := func(id string) int {
		a, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v", id, err)
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			t.Fatal(err)
		}
		return a.StatusCode
	}
	readAnswer("warm-up")
	var text strings.Builder
	for i := range jobs {
		text.WriteString(strings.Replace(requestText(fmt.Sprint("job-", i), 10), "40000", fmt.Sprint(budget.Milliseconds()), 1))
	}
	sent := time.Now()
	if _, err := io.WriteString(c, text.String()); err != nil {
		t.Fatal(err)
	}
	for i := range jobs {
		status := readAnswer(fmt.Sprint("job-", i))
		if took := time.Since(sent); took > budget+slack {
			t.Errorf("job-%d is answered with status %d after %v", i, status, took)
		}
	}
}
