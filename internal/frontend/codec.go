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
	readyPath         = "/-/ready"
	maxHeaderBytes    = 16 << 10
	maxBodyBytes      = 64 << 10
	maxIDBytes        = 128
	readHeaderTimeout = 2500 * time.Millisecond // a message's head that has not come by then does not come
	readTimeout       = 2700 * time.Millisecond // nor does its body
	writeTimeout      = 5 * time.Second         // an answer that has not gone out by then does not
	idleTimeout       = 5 * time.Minute         // a connection that rests so long is let go
)

// singleHeaders are the words that may stand in a head once only: a second one could mean something else to an executor.
var singleHeaders = [...]string{"X-Call-Id", "X-Call-Class", "X-Budget-Ms", "X-Call-Cost", "X-Again", "Idempotency-Key"}

// requestError is why a message is no batch job.
type requestError struct {
	status    int
	reason    string
	closeConn bool // what stands behind its head may be a body or the next message: nothing of it is read as either
}

func (w *requestError) writeTo(to http.ResponseWriter) {
	if w.closeConn {
		to.Header().Set("Connection", "close")
	}
	http.Error(to, w.reason, w.status)
}

func badRequest(format string, args ...any) *requestError {
	return &requestError{status: http.StatusBadRequest, reason: fmt.Sprintf(format, args...)}
}

var (
	bodyTooLarge = &requestError{http.StatusRequestEntityTooLarge, "the body is over 64 KiB", false}
	duplicateID  = &requestError{http.StatusConflict, "X-Call-Id: a batch job of this id is in hand", false}

	lengthAndChunks    = &requestError{http.StatusLengthRequired, "a body comes with Content-Length or in chunks, not with both", true}
	chunksNotAllowed   = &requestError{http.StatusLengthRequired, "a body here comes with Content-Length, not in chunks", true}
	unsupportedVersion = &requestError{http.StatusHTTPVersionNotSupported, "batch jobs come by HTTP/1.1", true}
)

func (f *Server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		http.Error(w, "readiness is asked for by GET", http.StatusMethodNotAllowed)
	case !f.ready.Load() || f.conns.isDraining():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// decode reads a batch job.
func (f *Server) decode(w http.ResponseWriter, r *http.Request) (job node.Job, no *requestError) {
	if r.Method != http.MethodPost {
		return job, &requestError{http.StatusMethodNotAllowed, "batch jobs come by POST", false}
	}
	if !r.ProtoAtLeast(1, 1) { // net/http drops its chunks and keeps to the Content-Length
		return job, unsupportedVersion
	}
	h := r.Header
	for _, name := range singleHeaders {
		if len(h[name]) > 1 {
			return job, badRequest("%s: there more than once", name)
		}
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return job, badRequest("the path is missing")
	}
	job.Request = node.Request{ID: policy.JobID(h.Get("X-Call-Id")), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		ContentType: h.Get("Content-Type"), IdempotencyKey: h.Get("Idempotency-Key")}
	if job.ID == "" || len(job.ID) > maxIDBytes {
		return job, badRequest("X-Call-Id: missing, or over %d bytes", maxIDBytes)
	}
	track, ok := (*f.jobClasses.Load())[h.Get("X-Call-Class")]
	if !ok {
		return job, badRequest("X-Call-Class: no track is called %.40q", h.Get("X-Call-Class"))
	}
	if job.Class = track.id; len(job.IdempotencyKey) > maxIDBytes || track.requiresKey && job.IdempotencyKey == "" {
		return job, badRequest("Idempotency-Key: missing, or over %d bytes", maxIDBytes)
	}
	text := h.Get("X-Budget-Ms")
	budget, err := strconv.ParseInt(text, 10, 32)
	if err != nil || budget <= 0 {
		return job, badRequest("X-Budget-Ms: %.40q is not a whole number over 0", text)
	}
	// A client that waits longer than the outer limit gets its answer by then all the same.
	job.Budget = min(time.Duration(budget)*time.Millisecond, track.deadline)
	if text = h.Get("X-Call-Cost"); text != "" {
		cost, err := strconv.ParseFloat(text, 64)
		if err != nil || !(cost >= 0 && cost < 1e12) {
			return job, badRequest("X-Call-Cost: %.40q is not a number of microseconds", text)
		}
		job.Work = time.Duration(cost * float64(time.Microsecond))
	}
	job.ClientRetry = h.Get("X-Again") == "1"
	job.Body, no = readBody(w, r)
	return job, no
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *requestError) {
	if r.ContentLength > maxBodyBytes {
		return nil, bodyTooLarge
	}
	body := make([]byte, max(0, r.ContentLength))
	_, err := io.ReadFull(r.Body, body)
	if r.ContentLength < 0 { // in chunks
		body, err = io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	}
	switch {
	case err != nil:
		return nil, badRequest("the body did not come whole")
	case len(body) > maxBodyBytes:
		return nil, bodyTooLarge
	}
	// From here on reading tells of nothing but the client's leaving.
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// writeAnswer gives the final answer.
func writeAnswer(w http.ResponseWriter, a node.Answer) {
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
