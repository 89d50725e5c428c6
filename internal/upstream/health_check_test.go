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

// TestHealthChecks sends health checks to executors that reply with a complete, partial, missing or invalid report, or not at all.
func TestHealthChecks(t *testing.T) {
	var out strings.Builder
	fields := map[string]bool{"inflight": true, "x0": true, "latency_ms": true}
	check := func(name, addr string, timeout time.Duration) {
		events := make(chan node.Event, 1)
		pool := New(TCP(timeout), false, HealthCheckConfig{Path: "/load", Timeout: timeout, Fields: fields}, func(ev node.Event) { events <- ev })
		pool.CheckHealth("e1", addr)
		select {
		case ev := <-events:
			p := ev.(node.HealthCheckEnded)
			fmt.Fprintf(&out, "%s: executor %s, answered %t, in flight %v, queued %v, free slots %v, free memory %v, run time %v\n", name, p.Executor, p.Answered,
				p.Load.InFlight, p.Load.Queued, p.Load.FreeSlots, p.Load.FreeMemory, p.Load.RunTime)
		case <-time.After(20 * time.Second):
			t.Fatalf("%s: the health check does not end", name)
		}
	}
	for _, c := range []struct{ name, text string }{
		{"a complete report", emptyResponse("200 OK\r\nX-Load-Report: TEXT inflight=7, x0=2, latency_ms=12.5")},
		{"a complete report with the protocol's names", emptyResponse("200 OK\r\nX-Load-Report: TEXT active=7, x0=0, avg_ms=3")},
		{"values that are not configured", emptyResponse("200 OK\r\nX-Load-Report: TEXT x0=1, queue=4, x1=3, odd=5")},
		{"an incomplete report", emptyResponse("200 OK\r\nX-Load-Report: TEXT x0=1, inflight")},
		{"no report", emptyResponse("200 OK")},
		{"another format", emptyResponse("200 OK\r\nX-Load-Report: JSON {}")},
		{"invalid numbers", emptyResponse("200 OK\r\nX-Load-Report: TEXT x0=NaN, inflight=-1, latency_ms=1e300")},
		{"a wrong path", emptyResponse("404 Not Found\r\nX-Load-Report: TEXT x0=9")},
		{"an overloaded executor", emptyResponse("503 Service Unavailable")},
		{"not HTTP", "SSH-2.0-x\r\n\r\n"},
		{"a header over the limit", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", maxHeaderBytes/8)},
		{"an incomplete header", "HTTP/1.1 200 O"},
		{"closed without a response", ""},
	} {
		addr, got := fakeExecutor(t, c.text)
		check(c.name, addr, 10*time.Second)
		if c.name == "a complete report" {
			out.WriteString("  request: " + strings.ReplaceAll(strings.Join(*got, " "), addr, "EXECUTOR") + "\n")
		}
	}
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // completes connections and never replies
	if err != nil {
		t.Fatal(err)
	}
	check("no reply", unresponsive.Addr().String(), 50*time.Millisecond)
	unresponsive.Close()
	check("connection refused", unresponsive.Addr().String(), 10*time.Second)
	golden.Compare(t, "health-checks.txt", out.String())
}
