// Package platform speaks the platform's protocol for the stand-ins: as executors, as discovery, and as clients. It holds
// all its words; what stands behind them is the model in package standin.
package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// Message is an allocation, or a batch job that a client hands in, as it goes over the wire.
type Message struct {
	Job    policy.JobID
	Track  string // to a node only
	Tag    string
	Budget time.Duration
	Work   time.Duration // a guess; 0 for none; to a node only
	Body   []byte
	Epoch  uint32 // of a durable batch job's allocation; 0 for others
	Ask    bool   // what became of that epoch is asked, and nothing is to run
}

// Append writes a message as a client hands it in.
func (m Message) Append(b []byte) []byte {
	b = fmt.Appendf(b, "POST /api/%s HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n",
		m.Job, m.Job, m.Track, m.Budget.Milliseconds())
	if m.Tag != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", m.Tag)
	}
	if m.Work > 0 {
		b = fmt.Appendf(b, "X-Call-Cost: %d\r\n", m.Work.Microseconds())
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(m.Body))
	return append(b, m.Body...)
}

// ReadAllocation reads what a node sends to an executor, whole. At a connection's end it gives io.EOF.
func ReadAllocation(r *bufio.Reader) (m Message, err error) {
	in, err := http.ReadRequest(r)
	if err != nil {
		return m, err
	}
	if job, ok := strings.CutPrefix(in.URL.Path, leasePath); ok {
		epoch, err := strconv.ParseUint(in.URL.Query().Get("epoch"), 10, 32)
		return Message{Job: policy.JobID(job), Epoch: uint32(epoch), Ask: true}, err
	}
	if text := in.Header.Get("X-Lease-Epoch"); text != "" {
		epoch, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return m, err
		}
		m.Epoch = uint32(epoch)
	}
	m.Job, m.Tag = policy.JobID(in.Header.Get("X-Call-Id")), in.Header.Get("Idempotency-Key")
	left, err := strconv.ParseInt(in.Header.Get("X-Budget-Ms"), 10, 64)
	if err != nil || m.Job == "" {
		return m, fmt.Errorf("an allocation without its id or budget")
	}
	m.Budget = time.Duration(left) * time.Millisecond
	m.Body, err = io.ReadAll(in.Body)
	return m, err
}

// leasePath is where a node asks what became of an allocation of an earlier life.
const leasePath = "/-/leases/"

// AppendFound writes what an executor knows of an epoch.
func AppendFound(b []byte, state string, result []byte) []byte {
	text, err := json.Marshal(struct {
		State  string `json:"state"`
		Result []byte `json:"result,omitempty"`
	}{state, result})
	if err != nil {
		panic(err) // of strings: it can't be
	}
	b = fmt.Appendf(b, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", len(text))
	return append(b, text...)
}

// Answer writes an executor's words as one answer in chunks. The zero value has not begun.
type Answer struct{ begun bool }

var messageStates = map[emulator.Word]string{emulator.Began: "started", emulator.Progress: "running", emulator.Done: "done", emulator.Errored: "failed"}

// Append writes the next word, and says whether it ends the answer.
func (a *Answer) Append(b []byte, say emulator.Say, from policy.ExecutorID, result string) (_ []byte, ended bool) {
	if say.Word == emulator.NoRoom && !a.begun {
		b = append(b, "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\n"...)
		if say.Load.Known {
			b = fmt.Appendf(b, "X-Load-Report: TEXT inflight=%g, queue=%g, x0=%g\r\n", say.Load.Held, say.Load.Waiting, say.Load.Free)
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
	}{ID: say.Job, From: from, State: messageStates[say.Word]}
	switch say.Word {
	case emulator.Progress:
		line.Share = say.Share
	case emulator.Done:
		line.Result = result
	case emulator.NoRoom:
		line.State = "returned"
	}
	ended = say.Word != emulator.Began && say.Word != emulator.Progress
	if ended && say.Load.Known {
		line.Load = map[string]float64{"inflight": say.Load.Held, "queue": say.Load.Waiting, "x0": say.Load.Free}
	}
	text, err := json.Marshal(line)
	if err != nil {
		panic(err) // of strings and finite numbers: it can't be
	}
	b = fmt.Appendf(b, "%x\r\n%s\n\r\n", len(text)+1, text)
	if ended {
		a.begun = false
		b = append(b, "0\r\n\r\n"...)
	}
	return b, ended
}

// Final is a node's answer as a client reads it.
type Final struct {
	How      emulator.End
	Result   []byte
	ComeBack time.Duration
	Status   int
	Last     bool // the node closes the connection after it
}

// ReadFinal reads a node's answer, whole.
func ReadFinal(r *bufio.Reader) (f Final, err error) {
	in, err := http.ReadResponse(r, nil)
	if err != nil {
		return f, err
	}
	f.Status, f.Last = in.StatusCode, in.Close
	switch in.StatusCode {
	case http.StatusOK:
		f.How = emulator.EndHandled
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		f.How = emulator.EndPushedBack
		if s, err := strconv.ParseFloat(in.Header.Get("Retry-After"), 64); err == nil {
			f.ComeBack = time.Duration(s * 1e9)
		}
	default:
		f.How = emulator.EndBrokenOff
	}
	f.Result, err = io.ReadAll(in.Body)
	return f, err
}

// Watch is what a node asks discovery: the whole list, or what is newer than a version.
type Watch struct {
	Whole bool
	From  int
	Hold  time.Duration
}

// ReadWatch reads a node's call.
func ReadWatch(r *bufio.Reader) (w Watch, err error) {
	in, err := http.ReadRequest(r)
	if err != nil {
		return w, err
	}
	if in.Method != http.MethodGet || in.URL.Path != "/api/targets" {
		return w, fmt.Errorf("discovery was asked for %s %s", in.Method, in.URL.Path)
	}
	q := in.URL.Query()
	if w.Whole = !q.Has("from"); w.Whole {
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

// AppendList writes discovery's answer. Times of day count from epoch.
func AppendList(b []byte, version int, whole bool, entries []emulator.Entry, zones []string, epoch time.Time) []byte {
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
	list := struct {
		Seq   int    `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []host `json:"hosts"`
	}{version, whole, []host{}}
	for _, e := range entries {
		h := host{e.Executor, e.Addr, zones[e.Zone], "plain", e.Cell, healthNames[e.State], e.Weight, 0}
		if !e.StartedLongAgo {
			h.Born = epoch.Add(e.StartedAt).UnixMilli()
		}
		list.Hosts = append(list.Hosts, h)
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // of strings and finite numbers: it can't be
	}
	b = fmt.Appendf(b, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(text))
	return append(b, text...)
}

// IsHandled says whether a body is the result of that work: what no executor made is no result.
func IsHandled(f Final, work string) bool {
	return f.How == emulator.EndHandled && bytes.Equal(f.Result, []byte(Result(work)))
}

// Result is what an executor makes of a work.
func Result(work string) string { return "done " + strings.TrimSpace(work) }
