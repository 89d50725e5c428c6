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

// jobStatus is a job as it is sent to clients.
type jobStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Final  string `json:"final,omitempty"`
	Result []byte `json:"result,omitempty"`
}

// removedState is the state of a job that was removed while its response was made.
const removedState = "let go"

// stateNames are the states' names on the wire.
var stateNames = map[leases.State]string{
	leases.Storing:      "keeping",
	leases.Waiting:      "waiting",
	leases.Dispatched:   "in hand",
	leases.Querying:     "asking",
	leases.StoringFinal: "closing",
	leases.Done:         "done",
}

// finalNames are the final answers' names on the wire.
var finalNames = map[leases.Outcome]string{
	leases.Succeeded: "handled",
	leases.Rejected:  "pushed back",
	leases.Failed:    "broken off",
}

// statusError is an error that a client is answered with.
type statusError struct {
	status     int           // of HTTP
	message    string        // the body
	retryAfter time.Duration // 0: no advice
}

// Error gives the message.
func (e *statusError) Error() string { return e.message }

// badRequest is an error in what a client has sent.
func badRequest(format string, args ...any) error {
	return &statusError{status: http.StatusBadRequest, message: fmt.Sprintf(format, args...)}
}

// retryAfter is the advice to clients whose submission may succeed soon.
const retryAfter = 2 * time.Second

// errorResponses are the responses to errors of the manager, the first that fits.
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

// responseTo finds the response to an error.
func responseTo(err error) statusError {
	var bad *statusError
	if errors.As(err, &bad) {
		return *bad
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
