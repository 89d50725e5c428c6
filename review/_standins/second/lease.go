package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// leaseExecutor is an executor that supports leases, as docs/design/durable.md asks. It remembers leases in the project's own table.
type leaseExecutor struct {
	id      string
	env     *env
	runTime time.Duration

	mu     sync.Mutex
	leases *emulator.LeaseTable
	hung   chan struct{}    // closed when the executor no longer hangs; nil if it does not hang
	runs   map[string]int   // how often each body has run
	taken  map[string][]int // epochs that were taken, by job
}

// startLeaseExecutor starts an executor and returns its entry in the list.
func startLeaseExecutor(e *env, id string, runTime time.Duration) (*leaseExecutor, host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, host{}, err
	}
	x := &leaseExecutor{id: id, env: e, runTime: runTime, leases: emulator.NewLeaseTable(), runs: map[string]int{}, taken: map[string][]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c)
		}
	}()
	return x, host{Host: id, Dial: l.Addr().String(), Site: "east", Class: "large", Health: "ready", Share: 1}, nil
}

// hang makes the executor hang: it goes on accepting connections, and handles nothing that arrives, until resume is called.
func (x *leaseExecutor) hang() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.env.record.line("%s hangs", x.id)
	x.hung = make(chan struct{})
}

// resume lets the executor go on.
func (x *leaseExecutor) resume() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.env.record.line("%s goes on", x.id)
	close(x.hung)
	x.hung = nil
}

// awaitResume waits while the executor hangs.
func (x *leaseExecutor) awaitResume() {
	x.mu.Lock()
	hung := x.hung
	x.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

// ran returns how often a body has run.
func (x *leaseExecutor) ran(body string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runs[body]
}

// serve serves one connection.
func (x *leaseExecutor) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		x.awaitResume()
		if job, ok := strings.CutPrefix(request.URL.Path, "/-/leases/"); ok {
			x.answerQuery(c, job, request.URL.Query().Get("epoch"))
			return
		}
		if !x.run(c, request, string(body)) {
			return
		}
	}
}

// answerQuery answers a query about a lease.
func (x *leaseExecutor) answerQuery(c net.Conn, job, epochText string) {
	epoch, err := strconv.ParseUint(epochText, 10, 32)
	if err != nil {
		return
	}
	x.mu.Lock()
	state, result := x.leases.Query(policy.JobID(job), uint32(epoch))
	x.mu.Unlock()
	x.env.record.line("%s is asked about %s, epoch %d: %s %q", x.id, job, epoch, state, result)
	text, _ := json.Marshal(map[string]any{"state": state, "result": result})
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
}

// run handles an attempt, and reports whether the connection can carry another one. An attempt that was taken runs to its end.
func (x *leaseExecutor) run(c net.Conn, request *http.Request, body string) bool {
	job := request.Header.Get("X-Call-Id")
	epoch, _ := strconv.ParseUint(request.Header.Get("X-Lease-Epoch"), 10, 32)
	x.mu.Lock()
	taken := x.leases.Accept(policy.JobID(job), uint32(epoch))
	if taken {
		x.runs[body]++
		x.taken[job] = append(x.taken[job], int(epoch))
	}
	x.mu.Unlock()
	x.env.record.line("%s gets %s, epoch %d, body %q: taken: %t", x.id, job, epoch, body, taken)
	if !taken {
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	_, began := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`, job, x.id)))
	time.Sleep(x.runTime)
	result := resultOf(body)
	x.mu.Lock()
	x.leases.Finish(policy.JobID(job), uint32(epoch), []byte(result))
	x.mu.Unlock()
	x.env.record.line("%s has run %s, epoch %d, body %q", x.id, job, epoch, body)
	_, ended := io.WriteString(c, chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":%q}`, job, x.id, result))+"0\r\n\r\n")
	return began == nil && ended == nil
}

// resultOf returns the result of a job with this body.
func resultOf(body string) string { return "result of " + body }

// durableStatus is a node's answer about a durable job.
type durableStatus struct {
	State  string `json:"state"`
	Final  string `json:"final"`
	Result []byte `json:"result"`
}

// durableClient hands in durable jobs.
type durableClient struct {
	env  *env
	http *http.Client
	addr string
}

// put hands in a job and returns the status of the answer.
func (c *durableClient) put(id, class, body string, budget time.Duration) (int, error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+c.addr+"/-/jobs/"+url.PathEscape(id), bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Call-Class", class)
	request.Header.Set("X-Budget-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	request.Header.Set("X-Path", "/api/"+url.PathEscape(id))
	r := do(c.http, request)
	c.env.record.line("client: PUT %s, body %q: %d %v", id, body, r.status, r.err)
	return r.status, r.err
}

// get waits for the final answer of a job.
func (c *durableClient) get(id string, wait time.Duration) (durableStatus, error) {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/-/jobs/%s?wait_ms=%d", c.addr, url.PathEscape(id), wait.Milliseconds()), nil)
	if err != nil {
		return durableStatus{}, err
	}
	r := do(c.http, request)
	if r.err != nil {
		return durableStatus{}, r.err
	}
	var status durableStatus
	if r.status != http.StatusOK {
		return status, fmt.Errorf("GET %s: status %d: %s", id, r.status, r.body)
	}
	err = json.Unmarshal(r.body, &status)
	c.env.record.line("client: GET %s: %s %s %q", id, status.State, status.Final, status.Result)
	return status, err
}

// remove lets a job go.
func (c *durableClient) remove(id string) error {
	request, err := http.NewRequest(http.MethodDelete, "http://"+c.addr+"/-/jobs/"+url.PathEscape(id), nil)
	if err != nil {
		return err
	}
	r := do(c.http, request)
	c.env.record.line("client: DELETE %s: %d %v", id, r.status, r.err)
	if r.err == nil && r.status != http.StatusNoContent {
		return fmt.Errorf("DELETE %s: status %d", id, r.status)
	}
	return r.err
}
