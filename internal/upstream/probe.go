package upstream

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// unknownLoad stands for a value of a load that the executor did not tell.
const unknownLoad = -1

// ProbeConfig is how executors are probed for their load: by GET on a path of theirs, which they answer by 200 with a load
// report in a header. Probes are off where there is no path.
type ProbeConfig struct {
	Path    string
	Timeout time.Duration   // for dial, request and response together
	Fields  map[string]bool // the values that reports have, by the settings' names; others are ignored
}

// CheckHealth probes an executor in the background, on a connection of its own, and posts node.HealthCheckEnded.
func (p *Pool) CheckHealth(id policy.ExecutorID, addr string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.probe.Timeout)
		defer cancel()
		load, answered := p.probeLoad(ctx, addr)
		p.post(node.HealthCheckEnded{Executor: id, Answered: answered, Load: load})
	}()
}

// probeLoad makes one probe. Any response shows that the executor is there, whatever its status: a wrong path in the
// configuration must not make all executors appear dead. Without a valid report the load is unknown.
func (p *Pool) probeLoad(ctx context.Context, addr string) (load policy.Load, answered bool) {
	load = policy.Load{InFlight: unknownLoad, Queued: unknownLoad, FreeSlots: unknownLoad, FreeMemory: unknownLoad, RunTime: unknownLoad}
	conn, err := p.dial(ctx, 0, addr)
	if err != nil {
		return load, false
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	if _, err := conn.Write(encodeProbe(p.probe.Path, addr)); err != nil {
		return load, false
	}
	response, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxHeadBytes)), nil)
	if err != nil {
		return load, false
	}
	var values map[string]float64
	if response.StatusCode == http.StatusOK {
		values = parseLoadReport(response.Header.Get(loadReportHeader))
	}
	load.InFlight = p.probe.value(loadInFlight, values)
	load.Queued = p.probe.value(loadQueued, values)
	load.FreeSlots = p.probe.value(loadFreeSlots, values)
	load.FreeMemory = p.probe.value(loadFreeMemory, values)
	if ms := p.probe.value(loadRunTime, values); ms != unknownLoad {
		load.RunTime = time.Duration(ms * float64(time.Millisecond))
	}
	return load, true
}

// value returns a value of a report, or unknownLoad.
func (c *ProbeConfig) value(field loadField, values map[string]float64) float64 {
	value, ok := field.value(values)
	if !ok || !c.Fields[field.setting] {
		return unknownLoad
	}
	return value
}
