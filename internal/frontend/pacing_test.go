package frontend

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestManyInvalidRequestsArePaced sends many invalid requests at once on one connection. All must be answered, no faster than the
// limit, and jobs on another connection must be answered meanwhile.
func TestManyInvalidRequestsArePaced(t *testing.T) {
	const requests = connAnswersBurst + 100
	c, _ := newHaltableNode(t, 10)
	hostile, polite := c.dial(), c.dial()
	began := time.Now()
	hostile.send(strings.Repeat("GET / HTTP/1.1\r\nHost: n\r\n\r\n", requests))
	readAnswers := func(n int) {
		for i := range n {
			a, err := http.ReadResponse(hostile.in, nil)
			if err != nil {
				t.Fatalf("answer %d: %v", i, err)
			}
			if _, err := hostile.in.Discard(int(a.ContentLength)); err != nil {
				t.Fatal(err)
			}
		}
	}
	readAnswers(connAnswersBurst)
	for range 10 {
		polite.send(jobRequest("handled-1"))
		c.nextJob()
		c.printAnswer(polite)
	}
	readAnswers(requests - connAnswersBurst)
	if took, least := time.Since(began), (requests-connAnswersBurst-1)*time.Second/connAnswersPerSecond; took < least {
		t.Errorf("%d invalid requests take %v, want at least %v", requests, took, least)
	}
}

// TestPauseIsBounded checks that an answer of the server never waits longer than maxPause, however many there were, and that a flood has no
// effect long after its end.
func TestPauseIsBounded(t *testing.T) {
	var conn clientConn
	shared := newSharedPace(maxPause)
	for range 10 * sharedAnswersBurst {
		conn.countCheapAnswer(shared)
	}
	if pause := time.Until(conn.pausedUntil); pause > maxPause || pause < maxPause/2 {
		t.Errorf("the next request waits %v, want %v", pause, maxPause)
	}
	if debt := -shared.limiter.Tokens(); debt > sharedAnswersPerSecond*maxPause.Seconds() {
		t.Errorf("%.0f answers are still to be waited for after the flood", debt)
	}
	conn.awaitPause()
	if !conn.pausedUntil.IsZero() || time.Now().Before(conn.pausedUntil) {
		t.Error("the connection is still paused")
	}
}
