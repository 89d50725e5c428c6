package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// Request is a request: an attempt or a lease query of a node, or a batch job that a client submits.
type Request struct {
	Job            policy.JobID
	Class          string        // job class; from a client only
	IdempotencyKey string        // idempotency key; empty for none
	Budget         time.Duration // time left until the deadline
	StatedCost     time.Duration // stated cost; 0 for none; from a client only
	Body           []byte
	Epoch          uint32 // lease epoch of a durable batch job; 0 for others
	LeaseQuery     bool   // a lease query: the state of the epoch is asked, and nothing runs
}

// Append appends the request of a client to b.
func (m Request) Append(b []byte) []byte {
	b = fmt.Appendf(b, "POST /api/%s HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n",
		m.Job, m.Job, m.Class, m.Budget.Milliseconds())
	if m.IdempotencyKey != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", m.IdempotencyKey)
	}
	if m.StatedCost > 0 {
		b = fmt.Appendf(b, "X-Call-Cost: %d\r\n", m.StatedCost.Microseconds())
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(m.Body))
	return append(b, m.Body...)
}

// ReadAttempt reads a complete request of a node to an executor. At the end of the connection it returns io.EOF.
func ReadAttempt(r *bufio.Reader) (m Request, err error) {
	in, err := http.ReadRequest(r)
	if err != nil {
		return m, err
	}
	if job, ok := strings.CutPrefix(in.URL.Path, leasePath); ok {
		epoch, err := strconv.ParseUint(in.URL.Query().Get("epoch"), 10, 32)
		return Request{Job: policy.JobID(job), Epoch: uint32(epoch), LeaseQuery: true}, err
	}
	if text := in.Header.Get("X-Lease-Epoch"); text != "" {
		epoch, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return m, err
		}
		m.Epoch = uint32(epoch)
	}
	m.Job, m.IdempotencyKey = policy.JobID(in.Header.Get("X-Call-Id")), in.Header.Get("Idempotency-Key")
	left, err := strconv.ParseInt(in.Header.Get("X-Budget-Ms"), 10, 64)
	if err != nil || m.Job == "" {
		return m, errNoIDOrBudget
	}
	m.Budget = time.Duration(left) * time.Millisecond
	m.Body, err = io.ReadAll(in.Body)
	return m, err
}

var errNoIDOrBudget = errors.New("an allocation without its id or budget")

// leasePath leads the path of a lease query: what became of an attempt that the node sent before it restarted.
const leasePath = "/-/leases/"

// AppendLeaseAnswer appends the answer to a lease query to b.
func AppendLeaseAnswer(b []byte, state emulator.LeaseState, result []byte) []byte {
	text, err := json.Marshal(struct {
		State  emulator.LeaseState `json:"state"`
		Result []byte              `json:"result,omitempty"`
	}{state, result})
	if err != nil {
		panic(err) // strings and bytes always have a JSON form
	}
	b = fmt.Appendf(b, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", len(text))
	return append(b, text...)
}

// Answer writes the messages of an executor about an attempt as one chunked response. The zero value is ready for use.
type Answer struct{ begun bool }

var messageStates = map[emulator.MessageKind]string{emulator.AttemptStarted: "started", emulator.AttemptProgress: "running", emulator.AttemptDone: "done", emulator.AttemptFailed: "failed"}

// Append appends the next message to b, and reports whether it ends the response. The result counts for the last message of a finished attempt alone.
func (a *Answer) Append(b []byte, say emulator.Message, from policy.ExecutorID, result string) (_ []byte, ended bool) {
	if say.Kind == emulator.AttemptRejected && !a.begun {
		b = append(b, "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\n"...)
		if say.Load.Known {
			b = fmt.Appendf(b, "X-Load-Report: TEXT inflight=%g, queue=%g, x0=%g\r\n", say.Load.InFlight, say.Load.Queued, say.Load.FreeSlots)
		}
		return append(b, "Content-Length: 0\r\n\r\n"...), true
	}
	if !a.begun {
		a.begun = true
		b = append(b, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"...)
	}
	line := struct {
		ID     policy.JobID       `json:"id"`
		From   policy.ExecutorID  `json:"from"`
		State  string             `json:"state"`
		Share  float64            `json:"share,omitempty"`
		Result string             `json:"result,omitempty"`
		Load   map[string]float64 `json:"load,omitempty"`
	}{ID: say.Job, From: from, State: messageStates[say.Kind]}
	switch say.Kind {
	case emulator.AttemptProgress:
		line.Share = say.Progress
	case emulator.AttemptDone:
		line.Result = result
	case emulator.AttemptRejected:
		line.State = "returned"
	}
	ended = say.Kind != emulator.AttemptStarted && say.Kind != emulator.AttemptProgress
	if ended && say.Load.Known {
		line.Load = map[string]float64{"inflight": say.Load.InFlight, "queue": say.Load.Queued, "x0": say.Load.FreeSlots}
	}
	text, err := json.Marshal(line)
	if err != nil {
		panic(err) // strings and finite numbers always have a JSON form
	}
	b = fmt.Appendf(b, "%x\r\n%s\n\r\n", len(text)+1, text)
	if ended {
		a.begun = false
		b = append(b, "0\r\n\r\n"...)
	}
	return b, ended
}

// Final is a node's final answer as a client reads it.
type Final struct {
	End        emulator.End
	Result     []byte
	RetryAfter time.Duration // Retry-After; 0 for none
	Status     int           // HTTP status
	Closes     bool          // the node closes the connection after this answer
}

// ReadFinal reads a complete answer of a node.
func ReadFinal(r *bufio.Reader) (f Final, err error) {
	in, err := http.ReadResponse(r, nil)
	if err != nil {
		return f, err
	}
	f.Status, f.Closes = in.StatusCode, in.Close
	switch in.StatusCode {
	case http.StatusOK:
		f.End = emulator.EndSucceeded
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		f.End = emulator.EndRejected
		if s, err := strconv.ParseFloat(in.Header.Get("Retry-After"), 64); err == nil {
			f.RetryAfter = time.Duration(s * float64(time.Second))
		}
	default:
		f.End = emulator.EndFailed
	}
	f.Result, err = io.ReadAll(in.Body)
	return f, err
}

// Watch is a node's request to discovery: for the complete list, or for the changes after a version.
type Watch struct {
	Complete bool
	From     int           // the version
	Hold     time.Duration // how long discovery may wait for a change
}

// ReadWatch reads a node's request to discovery.
func ReadWatch(r *bufio.Reader) (w Watch, err error) {
	in, err := http.ReadRequest(r)
	if err != nil {
		return w, err
	}
	if in.Method != http.MethodGet || in.URL.Path != "/api/targets" {
		return w, fmt.Errorf("discovery was asked for %s %s", in.Method, in.URL.Path)
	}
	q := in.URL.Query()
	if w.Complete = !q.Has("from"); w.Complete {
		return w, nil
	}
	hold, err := strconv.Atoi(q.Get("hold_ms"))
	if err != nil {
		return w, err
	}
	w.Hold = time.Duration(hold) * time.Millisecond
	w.From, err = strconv.Atoi(q.Get("from"))
	return w, err
}

var healthNames = map[policy.EndpointState]string{policy.Available: "ready", policy.Draining: "draining", policy.Removed: "gone"}

// AppendList appends discovery's answer to b. The starts of executors count from epoch.
func AppendList(b []byte, version int, complete bool, entries []emulator.Entry, zones []string, epoch time.Time) []byte {
	type host struct {
		Host   policy.ExecutorID `json:"host"`
		Dial   string            `json:"dial"`
		Site   string            `json:"site"`
		Class  string            `json:"class"`
		Block  policy.CellID     `json:"block"`
		Health string            `json:"health"`
		Share  float64           `json:"share"`
		Born   int64             `json:"born_ms"`
	}
	answer := struct {
		Seq   int    `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []host `json:"hosts"`
	}{version, complete, []host{}}
	for _, e := range entries {
		h := host{e.Executor, e.Addr, zones[e.Zone], "plain", e.Cell, healthNames[e.State], e.Weight, 0}
		if !e.StartedLongAgo {
			h.Born = epoch.Add(e.StartedAt).UnixMilli()
		}
		answer.Hosts = append(answer.Hosts, h)
	}
	text, err := json.Marshal(answer)
	if err != nil {
		panic(err) // strings and finite numbers always have a JSON form
	}
	b = fmt.Appendf(b, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(text))
	return append(b, text...)
}

// IsSuccess reports whether an answer is a success with the result that executors return for the work.
func IsSuccess(f Final, work string) bool {
	return f.End == emulator.EndSucceeded && bytes.Equal(f.Result, []byte(Result(work)))
}

// Result returns the result that an executor returns for a work.
func Result(work string) string { return "done " + strings.TrimSpace(work) }
