package upstream

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/node"
)

// TestProbes probes executors that reply in time, late, never, with something invalid or with half a report.
func TestProbes(t *testing.T) {
	var out strings.Builder
	told := map[string]bool{"inflight": true, "x0": true, "latency_ms": true}
	ask := func(name, addr string, limit time.Duration) {
		events := make(chan node.Event, 1)
		pool := New(TCP(limit), false, ProbeConfig{Path: "/load", Timeout: limit, Fields: told}, func(ev node.Event) { events <- ev })
		pool.CheckHealth("e1", addr)
		select {
		case ev := <-events:
			p := ev.(node.HealthCheckEnded)
			fmt.Fprintf(&out, "%s: of %s, answered %t, held %v waiting %v free %v memory %v took %v\n", name, p.Executor, p.Answered,
				p.Load.InFlight, p.Load.Queued, p.Load.FreeSlots, p.Load.FreeMemory, p.Load.RunTime)
		case <-time.After(20 * time.Second):
			t.Fatalf("%s: nothing came of it", name)
		}
	}
	for _, c := range []struct{ name, text string }{
		{"a whole report", emptyResponse("200 OK\r\nX-Load-Report: TEXT inflight=7, x0=2, latency_ms=12.5")},
		{"by the settings' names", emptyResponse("200 OK\r\nX-Load-Report: TEXT active=7, x0=0, avg_ms=3")},
		{"values that the settings don't name", emptyResponse("200 OK\r\nX-Load-Report: TEXT x0=1, queue=4, x1=3, odd=5")},
		{"half a report", emptyResponse("200 OK\r\nX-Load-Report: TEXT x0=1, inflight")},
		{"no report", emptyResponse("200 OK")},
		{"another form", emptyResponse("200 OK\r\nX-Load-Report: JSON {}")},
		{"numbers that make no sense", emptyResponse("200 OK\r\nX-Load-Report: TEXT x0=NaN, inflight=-1, latency_ms=1e300")},
		{"nothing at that path", emptyResponse("404 Not Found\r\nX-Load-Report: TEXT x0=9")},
		{"no room for probes", emptyResponse("503 Service Unavailable")},
		{"no HTTP at all", "SSH-2.0-x\r\n\r\n"},
		{"a head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", maxHeadBytes/8)},
		{"half a head", "HTTP/1.1 200 O"},
		{"closed without a word", ""},
	} {
		addr, got := fakeExecutor(t, c.text)
		ask(c.name, addr, 10*time.Second)
		if c.name == "a whole report" {
			out.WriteString("  came: " + strings.ReplaceAll(strings.Join(*got, " "), addr, "EXECUTOR") + "\n")
		}
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never replies
	if err != nil {
		t.Fatal(err)
	}
	ask("never", silent.Addr().String(), 50*time.Millisecond)
	silent.Close()
	ask("nobody there", silent.Addr().String(), 10*time.Second)
	golden.Compare(t, "probes.txt", out.String())
}
