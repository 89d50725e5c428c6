package frontend

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// The protocol's words; none of them goes beyond this file.

const (
	readyPath   = "/-/ready"
	longestHead = 16 << 10
	longestBody = 64 << 10
	longestID   = 128
	headSpell   = 2500 * time.Millisecond // a message's head that has not come by then does not come
	wholeSpell  = 2700 * time.Millisecond // nor does its body
	writeSpell  = 5 * time.Second         // an answer that has not gone out by then does not
	idleSpell   = 5 * time.Minute         // a connection that rests so long is let go
)

// onceEach are the words that may stand in a head once only: a second one could mean something else to an executor.
var onceEach = [...]string{"X-Call-Id", "X-Call-Class", "X-Budget-Ms", "X-Call-Cost", "X-Again", "Idempotency-Key"}

// wrong is why a message is no batch job.
type wrong struct {
	status int
	reason string
	last   bool // what stands behind its head may be a body or the next message: nothing of it is read as either
}

func (w *wrong) write(to http.ResponseWriter) {
	if w.last {
		to.Header().Set("Connection", "close")
	}
	http.Error(to, w.reason, w.status)
}

func bad(format string, args ...any) *wrong {
	return &wrong{status: http.StatusBadRequest, reason: fmt.Sprintf(format, args...)}
}

var (
	tooLong = &wrong{http.StatusRequestEntityTooLarge, "the body is over 64 KiB", false}
	inHand  = &wrong{http.StatusConflict, "X-Call-Id: a batch job of this id is in hand", false}

	bothWays  = &wrong{http.StatusLengthRequired, "a body comes with Content-Length or in chunks, not with both", true}
	lengthDue = &wrong{http.StatusLengthRequired, "a body here comes with Content-Length, not in chunks", true}
	oldHTTP   = &wrong{http.StatusHTTPVersionNotSupported, "batch jobs come by HTTP/1.1", true}
)

func (f *Front) isReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		http.Error(w, "readiness is asked for by GET", http.StatusMethodNotAllowed)
	case !f.ready.Load() || f.gate.sentAway():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// decode reads a batch job.
func (f *Front) decode(w http.ResponseWriter, r *http.Request) (job node.Job, no *wrong) {
	if r.Method != http.MethodPost {
		return job, &wrong{http.StatusMethodNotAllowed, "batch jobs come by POST", false}
	}
	if !r.ProtoAtLeast(1, 1) { // net/http drops its chunks and keeps to the Content-Length
		return job, oldHTTP
	}
	h := r.Header
	for _, name := range onceEach {
		if len(h[name]) > 1 {
			return job, bad("%s: there more than once", name)
		}
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return job, bad("the path is missing")
	}
	job.Request = node.Request{ID: policy.JobID(h.Get("X-Call-Id")), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		ContentType: h.Get("Content-Type"), IdempotencyKey: h.Get("Idempotency-Key")}
	if job.ID == "" || len(job.ID) > longestID {
		return job, bad("X-Call-Id: missing, or over %d bytes", longestID)
	}
	track, ok := (*f.tracks.Load())[h.Get("X-Call-Class")]
	if !ok {
		return job, bad("X-Call-Class: no track is called %.40q", h.Get("X-Call-Class"))
	}
	if job.Class = track.id; len(job.IdempotencyKey) > longestID || track.tagged && job.IdempotencyKey == "" {
		return job, bad("Idempotency-Key: missing, or over %d bytes", longestID)
	}
	text := h.Get("X-Budget-Ms")
	budget, err := strconv.ParseInt(text, 10, 32)
	if err != nil || budget <= 0 {
		return job, bad("X-Budget-Ms: %.40q is not a whole number over 0", text)
	}
	// A client that waits longer than the outer limit gets its answer by then all the same.
	job.Budget = min(time.Duration(budget)*time.Millisecond, track.limit)
	if text = h.Get("X-Call-Cost"); text != "" {
		cost, err := strconv.ParseFloat(text, 64)
		if err != nil || !(cost >= 0 && cost < 1e12) {
			return job, bad("X-Call-Cost: %.40q is not a number of microseconds", text)
		}
		job.Work = time.Duration(cost * float64(time.Microsecond))
	}
	job.ClientRetry = h.Get("X-Again") == "1"
	job.Body, no = readBody(w, r)
	return job, no
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *wrong) {
	if r.ContentLength > longestBody {
		return nil, tooLong
	}
	body := make([]byte, max(0, r.ContentLength))
	_, err := io.ReadFull(r.Body, body)
	if r.ContentLength < 0 { // in chunks
		body, err = io.ReadAll(io.LimitReader(r.Body, longestBody+1))
	}
	switch {
	case err != nil:
		return nil, bad("the body did not come whole")
	case len(body) > longestBody:
		return nil, tooLong
	}
	// From here on reading tells of nothing but the client's leaving.
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// write gives the final answer.
func write(w http.ResponseWriter, a node.Answer) {
	h := w.Header()
	switch a.Final {
	case node.Succeeded:
		h.Set("Content-Type", "application/octet-stream")
		h.Set("Content-Length", strconv.Itoa(len(a.Result)))
		w.Write(a.Result)
	case node.Rejected:
		if a.RetryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
		}
		http.Error(w, "pushed back", http.StatusServiceUnavailable)
	case node.Failed:
		http.Error(w, "broken off", http.StatusBadGateway)
	}
}
