package durable_test

import (
	"net/http"
	"net/url"
	"testing"
	"time"

	"birchstair/internal/durable"
	"birchstair/internal/synctesting"
)

// TestIDWithLineBreak guards against a second run of another client's job: an escaped line break in a job's ID ended the header
// X-Call-Id of the request to the executor, so that the executor saw the ID of the other job. The order of events: the other job,
// of an at-most-once class, has run; then the ID with the line break is submitted.
func TestIDWithLineBreak(t *testing.T) {
	for _, suffix := range []string{"\r\nX-A:1", "\nX-A:1", "\r\nContent-Length:0\r\n\r\nGET", "\x00", "\x7f", "\u0085"} {
		synctesting.Test(t, func(t *testing.T) {
			sim := newSimulation(t, 1, scenario{})
			process := sim.startNode()
			time.Sleep(time.Second)
			if !sim.submit("victim", "order") {
				t.Fatal(sim.violations)
			}
			sim.awaitFinal("victim")
			status, _, err := sim.call("attack", http.MethodPut, durable.Path+url.PathEscape("victim"+suffix),
				"X-Call-Class: order\r\n", "X-Budget-Ms: 60000\r\n")
			if err != nil || status != http.StatusBadRequest {
				t.Errorf("submission of an ID that ends in %q: status %d, error %v, want 400", suffix, status, err)
			}
			time.Sleep(5 * time.Second)
			sim.mu.Lock()
			if ran := sim.effects["victim"]; ran != 1 {
				t.Errorf("with an ID that ends in %q the other job ran %d times, want 1", suffix, ran)
			}
			sim.finished = true
			sim.mu.Unlock()
			process.shutDown()
			sim.net.Shutdown()
			time.Sleep(10 * time.Second)
		})
	}
}
