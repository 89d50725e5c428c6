package frontend

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"birchstair/internal/node"
	"birchstair/policy"
)

// This file has all headers and texts of the protocol between clients and the node.

const (
	readyPath = "/-/ready"

	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 64 << 10
	maxIDBytes     = 128

	// readHeaderTimeout and readTimeout count from a request's first bytes. For the first request on a connection they count
	// from the opening of the connection.
	readHeaderTimeout = 2500 * time.Millisecond // time limit for the arrival of a request's header
	readTimeout       = 2700 * time.Millisecond // time limit for the arrival of the whole request

	writeTimeout = 5 * time.Second // time limit for writing an answer
	idleTimeout  = 5 * time.Minute // longest time that a connection can be idle between requests
)

// singleHeaders are the headers that must not occur more than once in a request. If a header occurred twice, the node and the
// executor could use different values.
var singleHeaders = [...]string{"X-Call-Id", "X-Call-Class", "X-Budget-Ms", "X-Call-Cost", "X-Again", "Idempotency-Key"}

// requestError is the answer to a request that is not a valid batch job.
type requestError struct {
	status    int
	reason    string
	closeConn bool // closes the connection after the answer, because the end of the request can't be found
}

func (e *requestError) writeTo(w http.ResponseWriter) {
	if e.closeConn {
		w.Header().Set("Connection", "close")
	}
	http.Error(w, e.reason, e.status)
}

func badRequest(format string, args ...any) *requestError {
	return &requestError{status: http.StatusBadRequest, reason: fmt.Sprintf(format, args...)}
}

// Clients receive these texts and those of the badRequest calls, so none of them must change. "in hand" means in flight. "here"
// means at the paths of Server.prefixHandlers, whose handlers accept no chunked bodies.
var (
	bodyTooLarge = &requestError{http.StatusRequestEntityTooLarge, "the body is over 64 KiB", false}
	duplicateID  = &requestError{http.StatusConflict, "X-Call-Id: a batch job of this id is in hand", false}

	lengthAndChunks    = &requestError{http.StatusLengthRequired, "a body comes with Content-Length or in chunks, not with both", true}
	chunksNotAllowed   = &requestError{http.StatusLengthRequired, "a body here comes with Content-Length, not in chunks", true}
	tooManyFields      = &requestError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the header has over %d fields", maxHeaderFields), true}
	unsupportedVersion = &requestError{http.StatusHTTPVersionNotSupported, "batch jobs come by HTTP/1.1", true}
)

// serveReadiness answers the readiness requests of load balancers.
func (s *Server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		http.Error(w, "readiness is asked for by GET", http.StatusMethodNotAllowed)
	case !s.ready.Load() || s.conns.isDraining():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// decode decodes and validates a batch job without its body.
func (s *Server) decode(r *http.Request) (job node.Job, invalid *requestError) {
	if r.Method != http.MethodPost {
		return job, &requestError{http.StatusMethodNotAllowed, "batch jobs come by POST", false}
	}
	if !r.ProtoAtLeast(1, 1) { // for HTTP/1.0, net/http ignores Transfer-Encoding and uses Content-Length
		return job, unsupportedVersion
	}
	for _, name := range singleHeaders {
		if len(r.Header[name]) > 1 {
			return job, badRequest("%s: there more than once", name)
		}
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return job, badRequest("the path is missing")
	}
	return s.decodeHeader(r)
}

// decodeHeader decodes the header of a batch job.
func (s *Server) decodeHeader(r *http.Request) (job node.Job, invalid *requestError) {
	h := r.Header
	job.Request = node.Request{
		ID:             policy.JobID(h.Get("X-Call-Id")),
		Method:         r.Method,
		URI:            r.RequestURI,
		Host:           r.Host,
		ContentType:    h.Get("Content-Type"),
		IdempotencyKey: h.Get("Idempotency-Key"),
	}
	if job.ID == "" || len(job.ID) > maxIDBytes {
		return job, badRequest("X-Call-Id: missing, or over %d bytes", maxIDBytes)
	}
	if !utf8.ValidString(string(job.ID)) { // an executor names the job in JSON, which could not return this ID
		return job, badRequest("X-Call-Id: %.40q is not UTF-8", job.ID)
	}
	class, ok := (*s.jobClasses.Load())[h.Get("X-Call-Class")]
	if !ok {
		return job, badRequest("X-Call-Class: no track is called %.40q", h.Get("X-Call-Class"))
	}
	job.Class = class.id
	if len(job.IdempotencyKey) > maxIDBytes || class.requiresKey && job.IdempotencyKey == "" {
		return job, badRequest("Idempotency-Key: missing, or over %d bytes", maxIDBytes)
	}
	if job.Budget, invalid = decodeBudget(h.Get("X-Budget-Ms"), class.deadline); invalid != nil {
		return job, invalid
	}
	if job.Work, invalid = decodeCost(h.Get("X-Call-Cost")); invalid != nil {
		return job, invalid
	}
	job.ClientRetry = h.Get("X-Again") == "1"
	return job, nil
}

// decodeBudget decodes how long a client waits for its answer, in milliseconds. The result is at most the job class's deadline.
func decodeBudget(text string, deadline time.Duration) (time.Duration, *requestError) {
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, badRequest("X-Budget-Ms: %.40q is not a whole number over 0", text)
	}
	return min(time.Duration(ms)*time.Millisecond, deadline), nil
}

// decodeCost decodes the client's estimate of the job's work, in microseconds. It returns 0 if the client gave none.
func decodeCost(text string) (time.Duration, *requestError) {
	if text == "" {
		return 0, nil
	}
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us >= 0 && us < 1e12) { // the negated condition also rejects NaN
		return 0, badRequest("X-Call-Cost: %.40q is not a number of microseconds", text)
	}
	return time.Duration(us * float64(time.Microsecond)), nil
}

// decodeBody reads a batch job's body into the given memory. If all bodies together would take too much memory, the job is marked, so
// that the state machine rejects it, and the rest of its body is not stored.
func decodeBody(w http.ResponseWriter, r *http.Request, job *node.Job, body *requestBody) *requestError {
	switch err := body.read(r.Body, r.ContentLength); {
	case errors.Is(err, errBodyMemory):
		body.release()
		job.NearMemoryLimit = true
		return nil
	case errors.Is(err, errBodyTooLarge):
		return bodyTooLarge
	case err != nil:
		return badRequest("the body did not come whole")
	}
	job.Body = body.data
	// Clear the read deadline that ReadTimeout has set. A read while the answer is pending waits for the client's close or next
	// request, which can come much later.
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return nil
}

// writeAnswer writes a final answer.
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
