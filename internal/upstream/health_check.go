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

// unknownLoad stands for a load value that the executor has not reported.
const unknownLoad = -1

// HealthCheckConfig configures health checks, which find out whether an executor responds and what its load is. A health check is
// a GET request to Path. The executor answers with status 200 and a load report in a header. Health checks are off if Path is
// empty.
type HealthCheckConfig struct {
	Path    string
	Timeout time.Duration   // time limit for dial, request and response together
	Fields  map[string]bool // the values of load reports that are used, by their names in the settings
}

// CheckHealth sends a health check to an executor in the background, on a separate connection, and then posts
// node.HealthCheckEnded.
func (p *Pool) CheckHealth(id policy.ExecutorID, addr string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.healthCheck.Timeout)
		defer cancel()
		load, answered := p.requestLoad(ctx, addr)
		p.post(node.HealthCheckEnded{Executor: id, Answered: answered, Load: load})
	}()
}

// requestLoad sends a health check and waits for the response. answered is true after a response of any status, so that a wrong
// path in the configuration doesn't make all executors appear unresponsive. A value that the response does not report is
// unknownLoad.
func (p *Pool) requestLoad(ctx context.Context, addr string) (load policy.Load, answered bool) {
	load = policy.Load{InFlight: unknownLoad, Queued: unknownLoad, FreeSlots: unknownLoad, FreeMemory: unknownLoad, RunTime: unknownLoad}
	request, err := encodeHealthCheck(p.healthCheck.Path, addr)
	if err != nil {
		return load, false
	}
	conn, err := p.dial(ctx, 0, addr)
	if err != nil {
		return load, false
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	if _, err := conn.Write(request); err != nil {
		return load, false
	}
	head := &headReader{from: io.LimitReader(conn, maxHeaderBytes)}
	head.begin()
	response, err := http.ReadResponse(bufio.NewReader(head), nil)
	if err != nil {
		return load, false
	}
	var values map[string]float64
	if response.StatusCode == http.StatusOK {
		values = parseLoadReport(response.Header.Get(loadReportHeader))
	}
	load.InFlight = p.healthCheck.reportedValue(loadInFlight, values)
	load.Queued = p.healthCheck.reportedValue(loadQueued, values)
	load.FreeSlots = p.healthCheck.reportedValue(loadFreeSlots, values)
	load.FreeMemory = p.healthCheck.reportedValue(loadFreeMemory, values)
	if ms := p.healthCheck.reportedValue(loadRunTime, values); ms != unknownLoad {
		load.RunTime = time.Duration(ms * float64(time.Millisecond))
	}
	return load, true
}

// reportedValue returns the value of a field of a load report. It returns unknownLoad if the value is missing or out of bounds,
// or if the configuration does not use the field.
func (c *HealthCheckConfig) reportedValue(field loadField, values map[string]float64) float64 {
	value, ok := field.value(values)
	if !ok || !c.Fields[field.setting] {
		return unknownLoad
	}
	return value
}
