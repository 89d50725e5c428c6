package durable

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"birchstair/internal/leases"
)

const pollTimeout = 2 * time.Second // of one request to an executor

// DialFunc opens a connection to an executor's address.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// newPollClient makes a client that opens a connection for each request.
func newPollClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dial(ctx, addr)
		},
	}}
}

// pollLease asks an executor what became of an attempt of an earlier incarnation, and hands the answer to the book.
func (m *Manager) pollLease(effect leases.QueryAttempt) {
	m.mu.Lock()
	addr := m.addrByExecutor[effect.Executor]
	m.mu.Unlock()
	found, result := leases.QueryUnanswered, []byte(nil)
	if addr != "" {
		found, result = m.requestLease(addr, jobIDPrefix+string(effect.ID), effect.Epoch)
	}
	if m.ctx.Err() != nil {
		return
	}
	m.step(func(now time.Duration) []leases.Effect {
		return m.book.AttemptQueried(now, effect.ID, effect.Epoch, found, result)
	})
}

// requestLease makes the request. An executor that can't be reached or answers in no known form has said nothing; one that has no such
// path doesn't support leases.
func (m *Manager) requestLease(addr, job string, epoch leases.Epoch) (leases.QueryResult, []byte) {
	ctx, cancel := context.WithTimeout(m.ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, leaseURL(addr, job, epoch), nil)
	if err != nil {
		return leases.QueryUnanswered, nil
	}
	response, err := m.pollClient.Do(request)
	if err != nil {
		return leases.QueryUnanswered, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxLeaseBytes))
	if err != nil {
		return leases.QueryUnanswered, nil
	}
	switch response.StatusCode {
	case http.StatusOK:
		return decodeLease(body)
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return leases.QueryUnsupported, nil
	}
	return leases.QueryUnanswered, nil
}

// leasePath is the path at which executors that support leases are polled: GET /-/leases/JOB?epoch=N. An executor that is asked
// about an epoch that it has not begun must refuse it from then on.
const leasePath = "/-/leases/"

// maxLeaseBytes is the longest response: a result in base64, and what stands round it.
const maxLeaseBytes = 2 * maxBodyBytes

func leaseURL(addr, job string, epoch leases.Epoch) string {
	return fmt.Sprintf("http://%s%s%s?epoch=%d", addr, leasePath, job, epoch)
}

// leaseResponse is an executor's response.
type leaseResponse struct {
	State  string `json:"state"`
	Result []byte `json:"result"`
}

// leaseStates are the states by their names on the wire; one that is not known counts as none.
var leaseStates = map[string]leases.QueryResult{
	"never":    leases.QueryNeverRan,
	"running":  leases.QueryRunning,
	"finished": leases.QueryFinished,
	"lost":     leases.QueryLost,
}

func decodeLease(body []byte) (leases.QueryResult, []byte) {
	var response leaseResponse
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&response); err != nil {
		return leases.QueryUnanswered, nil
	}
	return leaseStates[response.State], response.Result
}
