package durable_test

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"birchstair/internal/durable"
	"birchstair/internal/emulator"
	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/internal/synctesting"
)

// restartOptions are the manager's options in tests of restarts.
var restartOptions = durable.Options{
	MaxDeadline: time.Hour,
	Leases:      leases.Settings{MaxDispatched: 20, AnswerTTL: time.Hour, QueryInterval: time.Second},
}

// put submits a job with these headers and returns the response.
func (f *fixture) put(target string, header http.Header) *httptest.ResponseRecorder {
	f.t.Helper()
	r := httptest.NewRequest(http.MethodPut, target, strings.NewReader("body"))
	r.Header = header
	answer := httptest.NewRecorder()
	f.durable.ServeHTTP(answer, r)
	return answer
}

// nextRequest returns the request of the next job that the manager submits to the state machine.
func (f *fixture) nextRequest() node.Request {
	f.t.Helper()
	select {
	case event := <-f.events:
		return event.(node.JobArrived).Job.Request
	case <-time.After(time.Minute):
		f.t.Fatal("no job was submitted to the state machine")
		return node.Request{}
	}
}

// TestRestartWithLegalHeaders guards against a node that never starts again: a client submits a durable job with a header that is
// legal in HTTP but not UTF-8, gets 201, and then the node is restarted. The job must be recovered with the bytes that the client
// sent, as an ordinary job would be sent to an executor.
func TestRestartWithLegalHeaders(t *testing.T) {
	const obsText = "Tabelid-J\xf5gi \xff\x80\t\xc3\xb5"
	for _, c := range []struct{ title, name, value string }{
		{"content type in ISO 8859-1", "Content-Type", "text/plain; name=\"Tabelid-J\xf5gi\""},
		{"content type", "Content-Type", obsText},
		{"idempotency key", "Idempotency-Key", obsText},
		{"path", "X-Path", "/caf\xe9?name=J\xf5gi"},
		{"path in UTF-8", "X-Path", "/café"},
	} {
		t.Run(c.title, func(t *testing.T) {
			synctesting.Test(t, func(t *testing.T) {
				disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
				f := newFixture(t, disk, 10<<20, restartOptions)
				f.front.SetReady(true)
				header := http.Header{"X-Call-Class": {"page"}, "X-Budget-Ms": {"60000"}, c.name: {c.value}}
				if answer := f.put("/-/jobs/a", header); answer.Code != http.StatusCreated {
					t.Fatalf("submission: %d %s", answer.Code, answer.Body)
				}
				submitted := f.nextRequest()
				if err := f.durable.Close(); err != nil {
					t.Fatal(err)
				}
				restarted := newFixture(t, disk, 10<<20, restartOptions)
				restarted.front.SetReady(true)
				recovered := restarted.nextRequest()
				if !reflect.DeepEqual(submitted, recovered) {
					t.Errorf("recovered %+v, want %+v", recovered, submitted)
				}
				if sent := recovered.ContentType + recovered.IdempotencyKey + strings.TrimSuffix(recovered.URI, "/"); !strings.Contains(sent, c.value) {
					t.Errorf("%s of the recovered job: %+v, want %q", c.name, recovered, c.value)
				}
				if err := restarted.durable.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
