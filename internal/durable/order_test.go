package durable_test

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/node"
)

// request makes a request without a body and returns the status and the body of the response.
func (f *fixture) request(method, target string) (status int, body string) {
	answer := httptest.NewRecorder()
	f.durable.ServeHTTP(answer, httptest.NewRequest(method, target, nil))
	return answer.Code, answer.Body.String()
}

// awaitDone waits until a job has its final answer.
func (f *fixture) awaitDone(target string, round int) {
	f.t.Helper()
	for until := time.Now().Add(eventLimit); time.Now().Before(until); {
		if _, body := f.request(http.MethodGet, target); strings.Contains(body, `"state":"done"`) {
			return
		}
	}
	f.t.Fatalf("round %d: the job has no final answer", round)
}

// eventLimit is how long a test waits for an event on a real clock.
const eventLimit = 5 * time.Second

// TestSubmitWhileRemoved guards against an acknowledged job that is lost: while the answer of an earlier job is removed, its ID is
// submitted again, and the record of the removal is written after that of the new job. Both requests are made at the same time,
// again and again.
func TestSubmitWhileRemoved(t *testing.T) {
	const rounds, target = 3000, "/-/jobs/a"
	f := newFixture(t, emulator.NewDisk(rand.New(rand.NewPCG(1, 3))), 1<<30, restartOptions)
	f.front.SetReady(true)
	header := http.Header{"X-Call-Class": {"page"}, "X-Budget-Ms": {"600000"}}
	f.put(target, header)
	for round := range rounds {
		select {
		case <-f.events:
		case <-time.After(eventLimit):
			t.Fatalf("round %d: a job was acknowledged, but is not submitted to the state machine", round)
		}
		f.front.Answer(node.Answer{Job: f.durable.StateMachineID("a"), Final: node.Succeeded, Result: []byte("r")})
		f.awaitDone(target, round)
		var clients sync.WaitGroup
		clients.Go(func() { f.request(http.MethodDelete, target) })
		clients.Go(func() {
			until := time.Now().Add(eventLimit)
			for f.put(target, header).Code != http.StatusCreated && time.Now().Before(until) { //nolint:revive // until the earlier job is removed
			}
		})
		clients.Wait()
	}
	if err := f.durable.Close(); err != nil {
		t.Error(err)
	}
}
