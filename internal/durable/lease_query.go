package durable

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"birchstair/internal/leases"
)

const queryTimeout = 2 * time.Second // time limit of one request to an executor

// DialFunc opens a connection to an executor's address.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// newQueryClient returns a client that opens a new connection for each request.
func newQueryClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dial(ctx, addr)
		},
	}}
}

// queryLease queries an executor about an attempt that was sent before a restart of the node, and passes the result to the job
// table.
func (m *Manager) queryLease(effect leases.QueryAttempt) {
	m.mu.Lock()
	addr := m.addrByExecutor[effect.Executor]
	m.mu.Unlock()
	found, result := leases.QueryUnanswered, []byte(nil)
	if addr != "" {
		found, result = m.requestLease(addr, effect.Lease, effect.Epoch)
	}
	if m.ctx.Err() != nil {
		return
	}
	m.step(func(now time.Duration) []leases.Effect {
		return m.jobTable.AttemptQueried(now, effect.ID, effect.Epoch, found, result)
	})
}

// requestLease sends a lease query and returns its result. The result is QueryUnanswered if the executor can't be reached or sends
// an unknown response. It is QueryUnsupported if the executor doesn't serve leasePath.
func (m *Manager) requestLease(addr string, lease leases.LeaseID, epoch leases.Epoch) (leases.QueryResult, []byte) {
	ctx, cancel := context.WithTimeout(m.ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, leaseURL(addr, string(callID(lease)), epoch), nil)
	if err != nil {
		return leases.QueryUnanswered, nil
	}
	response, err := m.queryClient.Do(request)
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

// leasePath is the prefix of the paths at which executors that support leases are queried: GET /-/leases/JOB?epoch=N. If the
// executor has started no attempt of that epoch when the query arrives, it must refuse attempts of that epoch from then on.
const leasePath = "/-/leases/"

// maxLeaseBytes is the limit for the length of a response. A response is JSON and holds the result in base64, which takes 4/3 of
// the result's size.
const maxLeaseBytes = 2 * maxBodyBytes

// leaseURL returns the URL of a lease query. The job's ID is one segment of the path, whatever characters it has. The address can
// have an IPv6 zone.
func leaseURL(addr, job string, epoch leases.Epoch) string {
	server := url.URL{Scheme: "http", Host: addr}
	return fmt.Sprintf("%s%s%s?epoch=%d", &server, leasePath, url.PathEscape(job), epoch)
}

// leaseResponse is an executor's response to a lease query.
type leaseResponse struct {
	State  string `json:"state"`  // a key of leaseStates
	Result []byte `json:"result"` // the attempt's result; empty unless the attempt has finished
}

// leaseStates maps the states on the wire to query results. An unknown state is mapped to QueryUnanswered, which is the zero
// value.
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
