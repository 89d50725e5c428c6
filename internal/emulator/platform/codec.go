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

// Request is a batch job that a client submits to a node, or an attempt or a lease query that a node sends to an
// executor.
type Request struct {
	Job            policy.JobID
	Class          string        // job class; only clients send it
	IdempotencyKey string        // empty for none
	Budget         time.Duration // time until the deadline
	StatedCost     time.Duration // cost that the client states; 0 for none; only clients send it
	Body           []byte
	Epoch          uint32 // lease epoch of a durable batch job; 0 for other jobs
	LeaseQuery     bool   // the request is a lease query, which asks for the state of the epoch and runs nothing
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

// ReadAttempt reads a request that a node sends to an executor: an attempt or a lease query. At the end of the
// connection it returns io.EOF.
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

var errNoIDOrBudget = errors.New("attempt without an id or a valid budget")

// leasePath is the prefix of the path of a lease query. With such a query, a node that has restarted asks what became
// of an attempt that it sent before the restart.
const leasePath = "/-/leases/"

// AppendLeaseAnswer appends the answer to a lease query to b.
func AppendLeaseAnswer(b []byte, state emulator.LeaseState, result []byte) []byte {
	text, err := json.Marshal(struct {
		State  emulator.LeaseState `json:"state"`
		Result []byte              `json:"result,omitempty"`
	}{state, result})
	if err != nil {
		panic(err) // cannot happen: strings and bytes can always be encoded
	}
	b = fmt.Appendf(b, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", len(text))
	return append(b, text...)
}

// Answer encodes the messages of an executor about an attempt as one chunked response. The zero value is ready for use.
type Answer struct{ begun bool }

// messageStates are the names of the kinds of messages on the wire.
var messageStates = map[emulator.MessageKind]string{emulator.AttemptStarted: "started", emulator.AttemptProgress: "running", emulator.AttemptDone: "done", emulator.AttemptFailed: "failed"}

// Append appends the next message to b, and reports whether it ends the response. result is used only for a message of
// the kind AttemptDone.
func (a *Answer) Append(b []byte, message emulator.Message, from policy.ExecutorID, result string) (_ []byte, ended bool) {
	if message.Kind == emulator.AttemptRejected && !a.begun {
		b = append(b, "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\n"...)
		if message.Load.Known {
			b = fmt.Appendf(b, "X-Load-Report: TEXT inflight=%g, queue=%g, x0=%g\r\n", message.Load.InFlight, message.Load.Queued, message.Load.FreeSlots)
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
	}{ID: message.Job, From: from, State: messageStates[message.Kind]}
	switch message.Kind {
	case emulator.AttemptProgress:
		line.Share = message.Progress
	case emulator.AttemptDone:
		line.Result = result
	case emulator.AttemptRejected:
		line.State = "returned"
	}
	ended = message.Kind != emulator.AttemptStarted && message.Kind != emulator.AttemptProgress
	if ended && message.Load.Known {
		line.Load = map[string]float64{"inflight": message.Load.InFlight, "queue": message.Load.Queued, "x0": message.Load.FreeSlots}
	}
	text, err := json.Marshal(line)
	if err != nil {
		panic(err) // cannot happen: strings and finite numbers can always be encoded
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
	RetryAfter time.Duration // 0 if there is no Retry-After
	Status     int           // HTTP status code
	Closes     bool          // the node closes the connection after the answer
}

// ReadFinal reads the final answer of a node.
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
	From     int           // version after which changes are wanted
	Hold     time.Duration // how long discovery may wait for a change before it answers
}

// ReadWatch reads a node's request to discovery.
func ReadWatch(r *bufio.Reader) (w Watch, err error) {
	in, err := http.ReadRequest(r)
	if err != nil {
		return w, err
	}
	if in.Method != http.MethodGet || in.URL.Path != "/api/targets" {
		return w, fmt.Errorf("unknown request to discovery: %s %s", in.Method, in.URL.Path)
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

// AppendList appends an answer of discovery to b. The entries' start times are relative to epoch.
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
		panic(err) // cannot happen: strings and finite numbers can always be encoded
	}
	b = fmt.Appendf(b, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(text))
	return append(b, text...)
}

// IsSuccess reports whether an answer is a success with the result that executors return for a work.
func IsSuccess(f Final, work string) bool {
	return f.End == emulator.EndSucceeded && bytes.Equal(f.Result, []byte(Result(work)))
}

// Result returns the result that an executor returns for a work.
func Result(work string) string { return "done " + strings.TrimSpace(work) }
