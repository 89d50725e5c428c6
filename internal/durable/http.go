package durable

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"birchstair/internal/leases"
	"birchstair/internal/oneline"
	"birchstair/internal/store"
)

// Path is the prefix of the paths that the HTTP handler serves:
//
//	PUT    /-/jobs/ID           Submits a job. The status is 201 once the job is synced to disk, or 200 if it was submitted before.
//	                            The headers X-Call-Class, X-Budget-Ms, Idempotency-Key, X-Call-Cost and Content-Type mean the
//	                            same as for ordinary jobs. X-Path is the path of the request to the executor.
//	GET    /-/jobs/ID?wait_ms=N Waits up to N milliseconds for the final answer, then returns the job's state.
//	DELETE /-/jobs/ID           Removes a job that has its final answer.
const Path = "/-/jobs/"

const (
	maxIDBytes   = 100             // longest ID of a job, in bytes
	maxKeyBytes  = 100             // longest idempotency key, in bytes
	maxBodyBytes = 64 << 10        // longest body of a submission, in bytes
	maxWait      = 5 * time.Minute // longest time that a GET request waits for a final answer
	writeTimeout = 5 * time.Second // time limit for writing a response
	maxCost      = 1e12            // upper bound for the expected work of a job, in microseconds
)

// ServeHTTP implements http.Handler for requests under Path.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, Path)
	if id == "" || len(id) > maxIDBytes || strings.ContainsAny(id, "/ \t") {
		writeError(w, badRequest("the id: missing, over %d bytes, or with a slash or a space in it", maxIDBytes))
		return
	}
	status, err := m.handle(w, r, id)
	if err != nil {
		writeError(w, err)
		return
	}
	setWriteDeadline(w, time.Now().Add(writeTimeout))
	if status == http.StatusNoContent {
		w.WriteHeader(status)
		return
	}
	current, err := m.status(leases.ID(id))
	if err != nil {
		m.log.Error().Err(err).Str("batch_job", id).Msg("a result could not be read")
		writeError(w, errResult)
		return
	}
	writeStatus(w, status, current)
}

// handle carries out a request and returns the HTTP status of its response.
func (m *Manager) handle(w http.ResponseWriter, r *http.Request, id string) (status int, err error) {
	switch r.Method {
	case http.MethodPut:
		return m.handlePut(w, r, id)
	case http.MethodGet:
		timeout, err := waitTimeout(r)
		if err != nil {
			return 0, err
		}
		return http.StatusOK, m.wait(r.Context(), leases.ID(id), timeout)
	case http.MethodDelete:
		return http.StatusNoContent, m.remove(leases.ID(id))
	}
	// Clients receive the message, so it must not change. It means that PUT submits a job, GET queries a job and DELETE removes a
	// job.
	return 0, &statusError{
		status:  http.StatusMethodNotAllowed,
		message: "durable batch jobs come by PUT, are asked for by GET and let go by DELETE",
	}
}

func (m *Manager) handlePut(w http.ResponseWriter, r *http.Request, id string) (status int, err error) {
	job, err := m.readSubmission(r, id)
	if err != nil {
		return 0, err
	}
	// The request has been read completely, and syncing the record can take longer than the read timeout.
	setReadDeadline(w, time.Time{})
	created, err := m.submit(r.Context(), job)
	if created {
		return http.StatusCreated, err
	}
	return http.StatusOK, err
}

// readSubmission parses and validates the ID and the headers of a submission, and then reads the body. Of the values that an
// executor receives, net/http has checked those of headers, but not the ID, which was decoded from the path.
func (m *Manager) readSubmission(r *http.Request, id string) (job submission, err error) {
	if !oneline.Valid(id) { // executors receive the ID in a header and return it in JSON
		return job, badRequest("the id: %.40q is not UTF-8, or has a control character in it", id)
	}
	header := r.Header
	job.record = store.Record{
		Kind:           store.Accepted,
		ID:             id,
		JobClass:       header.Get("X-Call-Class"),
		IdempotencyKey: header.Get("Idempotency-Key"),
		Host:           r.Host,
		ContentType:    header.Get("Content-Type"),
		URI:            header.Get("X-Path"),
	}
	if job.record.URI == "" {
		job.record.URI = "/"
	}
	if uri := job.record.URI; !validTarget(uri) {
		return job, badRequest("X-Path: %.40q is no path", uri)
	}
	m.mu.Lock()
	class, ok := m.classes[job.record.JobClass]
	m.mu.Unlock()
	if !ok || class.removed {
		return job, badRequest("X-Call-Class: no track is called %.40q", job.record.JobClass)
	}
	if key := job.record.IdempotencyKey; len(key) > maxKeyBytes || class.keyRequired && key == "" {
		return job, badRequest("Idempotency-Key: missing, or over %d bytes", maxKeyBytes)
	}
	if job.budget, err = m.readBudget(header.Get("X-Budget-Ms")); err != nil {
		return job, err
	}
	if job.record.Work, err = readCost(header.Get("X-Call-Cost")); err != nil {
		return job, err
	}
	job.record.Body, err = readBody(r)
	return job, err
}

// validTarget reports whether a request to an executor can have this target. It is as strict as net/http is with the targets of
// ordinary jobs.
func validTarget(target string) bool {
	_, err := url.ParseRequestURI(target)
	return err == nil && strings.HasPrefix(target, "/") && !strings.Contains(target, " ")
}

// readBudget parses the X-Budget-Ms header, which holds the time until the job's deadline in milliseconds.
func (m *Manager) readBudget(text string) (time.Duration, error) {
	maxBudget := m.options.MaxDeadline.Milliseconds()
	budget, err := strconv.ParseInt(text, 10, 64)
	if err != nil || budget <= 0 || budget > maxBudget {
		return 0, badRequest("X-Budget-Ms: %.40q is not a whole number from 1 to %d", text, maxBudget)
	}
	return time.Duration(budget) * time.Millisecond, nil
}

// readCost parses the X-Call-Cost header, which holds the job's expected work in microseconds. It returns 0 if the header is
// missing.
func readCost(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	cost, err := strconv.ParseFloat(text, 64)
	if err != nil || !(cost >= 0 && cost < maxCost) { // the negated condition also rejects NaN
		return 0, badRequest("X-Call-Cost: %.40q is not a number of microseconds", text)
	}
	return time.Duration(cost * float64(time.Microsecond)), nil
}

func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, &statusError{status: http.StatusRequestEntityTooLarge, message: "the body is over 64 KiB"}
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, badRequest("the body did not come whole")
	}
	return body, nil
}

// waitTimeout parses the wait_ms parameter, which says how many milliseconds to wait for a final answer. The result is at most
// maxWait.
func waitTimeout(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait_ms")
	if text == "" {
		return 0, nil
	}
	wait, err := strconv.ParseInt(text, 10, 32)
	if err != nil || wait < 0 {
		return 0, badRequest("wait_ms: %.40q is not a whole number", text)
	}
	return min(time.Duration(wait)*time.Millisecond, maxWait), nil
}

func setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	http.NewResponseController(w).SetReadDeadline(deadline) //nolint:errcheck // fails only if the connection is closed, which the next read reports
}

func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	http.NewResponseController(w).SetWriteDeadline(deadline) //nolint:errcheck // fails only if the connection is closed, which the next write reports
}
