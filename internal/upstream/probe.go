package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// ProbeConfig is how executors are asked for their load: by GET on a path of theirs, answered 200 with the load report in a
// head. The operators' protocol has no such call: off where no path is set.
type ProbeConfig struct {
	Path    string
	Timeout time.Duration   // for connection, call and answer together
	Fields  map[string]bool // the values that the settings say a report has, by the protocol's names
}

// Probe asks an executor for its load, in the background and on a connection of its own.
func (p *Pool) Probe(id policy.ExecutorID, addr string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.probe.Timeout)
		defer cancel()
		load, answered := p.probeLoad(ctx, addr)
		p.post(node.ProbeEnded{Executor: id, Answered: answered, Load: load})
	}()
}

// probeLoad makes one probe. Any answer shows that the executor is there, or a wrong path would shut all of them out; one without a
// report, or with values that make no sense, shows no more.
func (p *Pool) probeLoad(ctx context.Context, addr string) (load policy.Load, answered bool) {
	load = policy.Load{InFlight: -1, Queued: -1, FreeSlots: -1, FreeMemory: -1, RunTime: -1}
	conn, err := p.dial(ctx, 0, addr)
	if err != nil {
		return load, false
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", p.probe.Path, addr); err != nil {
		return load, false
	}
	answer, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxHeadBytes)), nil)
	if err != nil {
		return load, false
	}
	var values map[string]float64
	if answer.StatusCode == http.StatusOK {
		values = parseLoadReport(answer.Header.Get("X-Load-Report"))
	}
	tell := func(name, other string) float64 {
		x, ok := values[name]
		if !ok {
			x, ok = values[other]
		}
		if !ok || !p.probe.Fields[name] || !(x >= 0 && x <= maxLoadValue) {
			return -1
		}
		return x
	}
	load.InFlight, load.Queued = tell("inflight", "active"), tell("queue", "waiting")
	load.FreeSlots, load.FreeMemory = tell("x0", "x0"), tell("x1", "x1")
	if took := tell("latency_ms", "avg_ms"); took >= 0 {
		load.RunTime = time.Duration(took * float64(time.Millisecond))
	}
	return load, true
}
