// Package frontend serves clients: it reads batch jobs from their connections, posts them as events to the node's state
// machine, and writes the final answers.
//
// Server (server.go) handles each request in the goroutine that net/http runs for the connection. That goroutine blocks until
// the final answer. connTable (conn_table.go) keeps the number of connections within its limits (conn_limits.go). It also closes idle
// connections when the node drains its clients or shuts down (shutdown.go). clientConn (client_conn.go) wraps each connection,
// so that a close loses no request, and so that the server notices a client that disconnects while its job is pending. What is
// stored for clients takes its memory from budgets (byte_budget.go), and a connection whose requests need no attempt is paced
// (pacing.go). All headers and texts of the protocol are in codec.go.
package frontend

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// Server reads batch jobs from clients and answers them. Its exported methods are safe for concurrent use, unless their comments
// say otherwise. The event loop calls the methods of node.Frontend, which do not block.
type Server struct {
	post        func(node.Event)
	jobClasses  atomic.Pointer[map[string]jobClass] // job classes by name; an update replaces the whole map
	http        http.Server
	conns       *connTable
	ready       atomic.Bool
	nodeStopped chan struct{} // closed when the event loop has ended, so that no more answers come

	closeTimeout time.Duration // how long Close waits until answers are written
	reporter     Reporter
	ownAnswers   sharedPace // answers of the server itself
	rejections   sharedPace // jobs that the state machine rejects or fails

	mu             sync.Mutex
	pending        map[policy.JobID]chan node.Answer // channels on which handlers wait for final answers, by job ID
	prefixHandlers map[string]http.Handler           // handlers by path prefix; not changed after Serve is called
}

// connContextKey is the key under which a request's context holds its clientConn.
type connContextKey struct{}

// jobClass holds the properties of a job class that the server needs to decode and validate batch jobs.
type jobClass struct {
	id          policy.JobClassID
	deadline    time.Duration // longest budget that a client can request
	requiresKey bool          // a batch job without an idempotency key is invalid
}

// New returns a server for these job classes with these limits. The server reports events by calling post, which can block while
// the event queue is full. Methods that the event loop calls therefore never call post in the event loop's goroutine.
func New(classes []node.NumberedClass, limits ConnLimits, post func(node.Event)) *Server {
	s := &Server{
		post:         post,
		conns:        newConnTable(limits),
		nodeStopped:  make(chan struct{}),
		closeTimeout: defaultCloseTimeout,
		reporter:     noReporter{},
		ownAnswers:   newSharedPace(maxPause),
		rejections:   newSharedPace(maxJobPause),
		pending:      map[policy.JobID]chan node.Answer{},
	}
	s.UpdateJobClasses(classes)
	s.http = http.Server{
		Handler:                      http.HandlerFunc(s.handle),
		ConnState:                    s.conns.onStateChange,
		DisableGeneralOptionsHandler: true, // "OPTIONS *" must reach handle, which counts every request
		// Both timeouts start at the latest with a request's first bytes, so a client that sends slowly can't hold a connection
		// for long.
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	return s
}

// SetReporter sets the reporter. It must be called before Serve.
func (s *Server) SetReporter(r Reporter) { s.reporter, s.conns.reporter = r, r }

// HandlePrefix registers a handler for requests whose path begins with prefix. It must be called before Serve. The server's
// limits on connections, header size and time apply to these requests too.
func (s *Server) HandlePrefix(prefix string, handler http.Handler) {
	if s.prefixHandlers == nil {
		s.prefixHandlers = map[string]http.Handler{}
	}
	s.prefixHandlers[prefix] = handler
}

// UpdateJobClasses replaces the job classes. It does not affect batch jobs that have been decoded already.
func (s *Server) UpdateJobClasses(classes []node.NumberedClass) {
	byName := map[string]jobClass{}
	for _, c := range classes {
		byName[c.Name] = jobClass{c.ID, c.Deadline, c.Idempotency == policy.IdempotentWithKey}
	}
	s.jobClasses.Store(&byName)
}

// SetReady sets whether the readiness endpoint reports that the node is ready. During a client drain the endpoint always answers
// "not ready".
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// AcceptConnections starts or stops accepting connections. While this process does not accept, another process of the
// node accepts from the same socket.
func (s *Server) AcceptConnections(accept bool) { s.conns.setAccepting(accept) }

// HalveLimits switches to ConnLimits.MaxShared, the limit while two processes of the node run, or back to ConnLimits.Max.
func (s *Server) HalveLimits(half bool) { s.conns.setShared(half) }

// Answer passes a final answer to the handler that waits for it. It does nothing if no handler waits any longer.
func (s *Server) Answer(a node.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if handler := s.pending[a.Job]; handler != nil {
		delete(s.pending, a.Job)
		handler <- a
	}
}

// register returns the channel on which a batch job's final answer will arrive. It returns nil if a job with the same ID is
// already pending.
func (s *Server) register(id policy.JobID) chan node.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[id] != nil {
		return nil
	}
	answer := make(chan node.Answer, 1)
	s.pending[id] = answer
	return answer
}

func (s *Server) unregister(id policy.JobID) {
	s.mu.Lock()
	delete(s.pending, id)
	s.mu.Unlock()
}

// handle serves one request, in the goroutine of its connection.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.setConnectionClose(w)
	conn := r.Context().Value(connContextKey{}).(*clientConn)
	conn.awaitPause()
	framing := conn.countRequest()
	if framing.tooManyFields {
		s.refuse(w, conn, "", tooManyFields)
		return
	}
	if r.ContentLength < 0 {
		if !framing.chunksOnly {
			s.refuse(w, conn, "", lengthAndChunks)
			return
		}
		// requestFramer does not parse chunks and can't tell where this request ends. So no request may follow on this connection.
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == readyPath {
		s.serveReadiness(w, r)
		conn.countCheapAnswer(s.ownAnswers)
		return
	}
	for prefix, handler := range s.prefixHandlers {
		if strings.HasPrefix(r.URL.Path, prefix) {
			if r.ContentLength < 0 {
				s.refuse(w, conn, "", chunksNotAllowed)
				return
			}
			handler.ServeHTTP(w, r)
			return
		}
	}
	job, invalid := s.decode(r)
	body := requestBody{budget: &s.conns.bodies}
	defer body.release()
	if invalid == nil {
		invalid = decodeBody(w, r, &job, &body)
	}
	if invalid != nil {
		s.refuse(w, conn, "", invalid)
		return
	}
	s.serveJob(w, r, conn, job)
}

// refuse answers a request that is not posted to the state machine. id is the job's ID, or empty if the request is not a valid job.
func (s *Server) refuse(w http.ResponseWriter, conn *clientConn, id policy.JobID, reason *requestError) {
	s.reporter.RequestRefused(id, conn.RemoteAddr().String(), reason.reason)
	reason.writeTo(w)
	conn.countCheapAnswer(s.ownAnswers)
}

// serveJob posts a batch job to the state machine, waits for its final answer and writes it.
func (s *Server) serveJob(w http.ResponseWriter, r *http.Request, conn *clientConn, job node.Job) {
	answer := s.register(job.ID)
	if answer == nil {
		s.post(node.JobDeclined{Class: job.Class})
		s.refuse(w, conn, job.ID, duplicateID)
		return
	}
	job.NearConnectionLimit = s.conns.jobReceived(conn)
	job.Waited = conn.waited()
	client := conn.beginWait()
	defer conn.endWait()
	job.Client = client
	s.post(node.JobArrived{Job: job})
	final, left := s.awaitAnswer(r.Context(), client, job.ID, answer)
	s.setConnectionClose(w)
	if left {
		w.Header().Set("Connection", "close") // further requests that the client sent before it left are dropped
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	writeAnswer(w, final)
	if final.Final != node.Succeeded {
		conn.countCheapAnswer(s.rejections)
	}
}

// setConnectionClose makes this answer the last one on its connection if the node drains its clients, shuts down or has
// too many connections.
func (s *Server) setConnectionClose(w http.ResponseWriter) {
	if s.conns.mustCloseAfterAnswer() {
		w.Header().Set("Connection", "close")
	}
}

// awaitAnswer waits for the final answer and returns it. If the client leaves first, awaitAnswer returns a failure. A client that
// has only half-closed its connection still reads the answer, and would get an empty 200 if the handler wrote nothing. If the
// event loop has ended, awaitAnswer returns a rejection, because the event loop never processed the batch job.
//
// left reports that the client has left. The caller then drops whatever else the client has sent on the connection.
func (s *Server) awaitAnswer(ctx context.Context, client *waitingClient, id policy.JobID, answer chan node.Answer) (a node.Answer, left bool) {
	defer client.finished.Store(true)
	stopped := false
	select {
	case a := <-answer:
		return a, false
	case <-ctx.Done():
	case <-client.disconnected:
		left = true
	case <-s.nodeStopped:
		stopped = true
	}
	client.finished.Store(true) // set before ClientLeft is posted, because the event loop can process that event late
	s.unregister(id)
	select {
	case a := <-answer: // the answer arrived before unregister was called
		return a, left
	default:
	}
	if stopped {
		return node.Answer{Job: id, Final: node.Rejected}, false
	}
	s.post(node.ClientLeft{Job: id, Client: client})
	return node.Answer{Job: id, Final: node.Failed}, left
}
