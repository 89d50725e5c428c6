package durable

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"birchstair/internal/leases"
	"birchstair/internal/store"
)

// jobStatus is the status of a job, as clients receive it.
type jobStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`            // one of the values in stateNames, or removedState
	Final  string `json:"final,omitempty"`  // one of the values in finalNames; empty until the job has a final answer
	Result []byte `json:"result,omitempty"` // body of the job's result
}

// removedState is the state in the response if the job was removed while the request was being handled.
const removedState = "let go"

// stateNames maps the states of jobs to their names on the wire.
var stateNames = map[leases.State]string{
	leases.Storing:      "keeping",
	leases.Waiting:      "waiting",
	leases.Dispatched:   "in hand",
	leases.Querying:     "asking",
	leases.StoringFinal: "closing",
	leases.Done:         "done",
}

// finalNames maps the kinds of final answers to their names on the wire.
var finalNames = map[leases.Outcome]string{
	leases.Succeeded: "handled",
	leases.Rejected:  "pushed back",
	leases.Failed:    "broken off",
}

// statusError is an error that is sent to a client as an HTTP response.
type statusError struct {
	status     int           // HTTP status code
	message    string        // body of the response
	retryAfter time.Duration // value of the Retry-After header; 0 for no header
}

// Error returns the body of the response.
func (e *statusError) Error() string { return e.message }

// badRequest returns the error for an invalid request.
func badRequest(format string, args ...any) error {
	return &statusError{status: http.StatusBadRequest, message: fmt.Sprintf(format, args...)}
}

// retryAfter is the value of Retry-After in responses to rejected submissions that can succeed if they are repeated soon.
const retryAfter = 2 * time.Second

// errorResponses maps errors to their responses. The first entry whose error is wrapped by the given error is used. The order
// matters, because the error of a full store wraps both store.ErrFull and errStore.
//
// Clients receive the messages, so the messages must not change. In them, "pushed back" means rejected, "handed in" means
// submitted, and "let go" means removed. "It is being put on the disk" means that an earlier submission of the job is still being
// written. "Takes nothing" means that a write has failed.
var errorResponses = []struct {
	err      error
	response statusError
}{
	{errNotReady, statusError{http.StatusServiceUnavailable, "pushed back: the node is not ready", retryAfter}},
	{errWriting, statusError{http.StatusServiceUnavailable, "pushed back: it is being put on the disk", retryAfter}},
	{store.ErrFull, statusError{http.StatusServiceUnavailable, "pushed back: the store is full", retryAfter}},
	{errStore, statusError{http.StatusServiceUnavailable, "pushed back: the store takes nothing", 0}},
	{errConflict, statusError{http.StatusConflict, "another batch job was handed in under this id", 0}},
	{errNotFinal, statusError{http.StatusConflict, "it has no final answer yet", 0}},
	{errNotFound, statusError{http.StatusNotFound, "no durable batch job is called so here, or it was let go", 0}},
}

// responseTo returns the response to an error.
func responseTo(err error) statusError {
	var status *statusError
	if errors.As(err, &status) {
		return *status
	}
	for _, known := range errorResponses {
		if errors.Is(err, known.err) {
			return known.response
		}
	}
	return statusError{status: http.StatusInternalServerError, message: err.Error()}
}

func writeError(w http.ResponseWriter, err error) {
	response := responseTo(err)
	if response.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(response.retryAfter.Seconds(), 'f', -1, 64))
	}
	http.Error(w, response.message, response.status)
}

func writeStatus(w http.ResponseWriter, status int, job jobStatus) {
	body, err := json.Marshal(job)
	if err != nil {
		writeError(w, fmt.Errorf("encode the state of job %s: %w", job.ID, err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(body, '\n'))
}
