// Package frontend serves clients: it reads batch jobs from their connections, passes them to the reducer, and writes
// the final answers.
//
// Each request is handled in net/http's goroutine of its connection, which waits for the final answer (server.go).
// connTable (conn_table.go) keeps the number of connections within its limits and closes idle ones when the node drains
// or shuts down (shutdown.go). clientConn (client_conn.go) wraps each connection so that it is closed only where that
// loses no request, and so that a client that disconnects is noticed. The protocol's text is in codec.go alone.
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

// Server reads batch jobs from clients and answers them. Its exported methods may be called from any goroutine, unless
// they say otherwise; those of node.Frontend are called by the reducer's loop and do not block.
type Server struct {
	post       func(node.Event)
	jobClasses atomic.Pointer[map[string]jobClass] // by name; replaced as a whole, never changed
	http       http.Server
	conns      *connTable
	ready      atomic.Bool
	stopped    chan struct{} // closed when the reducer has ended: nobody answers any more

	closeTimeout time.Duration // how long Close waits for answers that are being written

	mu             sync.Mutex
	pending        map[policy.JobID]chan node.Answer // batch jobs whose handler waits
	prefixHandlers map[string]http.Handler           // by path prefix; read-only once Serve is called
}

// connContextKey is the key of a request's clientConn in its context.
type connContextKey struct{}

// jobClass is what the server has to know of a job class to read its batch jobs.
type jobClass struct {
	id          policy.JobClassID
	deadline    time.Duration // a longer budget of a client is cut to it
	requiresKey bool          // its batch jobs carry an idempotency key
}

// New returns a server for these job classes that keeps to these limits. It passes what happens to post, which
// may block while the reducer's queue is full, and must not be called by the reducer.
func New(classes []node.NumberedClass, limits ConnLimits, post func(node.Event)) *Server {
	s := &Server{
		post:         post,
		conns:        newConnTable(limits),
		stopped:      make(chan struct{}),
		closeTimeout: defaultCloseTimeout,
		pending:      map[policy.JobID]chan node.Answer{},
	}
	s.UpdateJobClasses(classes)
	s.http = http.Server{
		Handler:                      http.HandlerFunc(s.handle),
		ConnState:                    s.conns.onStateChange,
		DisableGeneralOptionsHandler: true, // OPTIONS * must reach handle, which counts each request
		// Both count from the first byte on, so that a client cannot hold a connection by sending ever more slowly.
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

// HandlePrefix passes requests whose path begins with prefix to another handler. It must be called before Serve. Limits
// on connections, header and time apply to them as to batch jobs.
func (s *Server) HandlePrefix(prefix string, handler http.Handler) {
	if s.prefixHandlers == nil {
		s.prefixHandlers = map[string]http.Handler{}
	}
	s.prefixHandlers[prefix] = handler
}

// UpdateJobClasses replaces the job classes. A batch job that has been read keeps the class that it was read with.
func (s *Server) UpdateJobClasses(classes []node.NumberedClass) {
	byName := map[string]jobClass{}
	for _, c := range classes {
		byName[c.Name] = jobClass{c.ID, c.Deadline, c.Idempotency == policy.IdempotentWithKey}
	}
	s.jobClasses.Store(&byName)
}

// SetReady sets what the readiness endpoint answers, unless clients are being drained: then it is not ready.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// AcceptConnections starts or stops accepting connections. While this process does not, another process of the node
// accepts them from the same socket.
func (s *Server) AcceptConnections(accept bool) { s.conns.setAccepting(accept) }

// HalveLimits switches to the limits for two processes of the node (ConnLimits.MaxShared), or back.
func (s *Server) HalveLimits(half bool) { s.conns.setShared(half) }

// Answer passes a final answer to the handler that waits for it, if one still does.
func (s *Server) Answer(a node.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if handler := s.pending[a.Job]; handler != nil {
		delete(s.pending, a.Job)
		handler <- a
	}
}

// register returns the channel that a batch job's final answer comes on, or nil where one of this id is pending already.
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
	if chunksOnly := conn.nextRequest(); r.ContentLength < 0 {
		if !chunksOnly {
			lengthAndChunks.writeTo(w)
			return
		}
		// The framer does not follow chunks, so nothing may be read behind them.
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == readyPath {
		s.serveReadiness(w, r)
		return
	}
	for prefix, handler := range s.prefixHandlers {
		if strings.HasPrefix(r.URL.Path, prefix) {
			if r.ContentLength < 0 {
				chunksNotAllowed.writeTo(w)
				return
			}
			handler.ServeHTTP(w, r)
			return
		}
	}
	job, invalid := s.decode(w, r)
	if invalid != nil {
		invalid.writeTo(w)
		return
	}
	s.serveJob(w, r, conn, job)
}

// serveJob passes a batch job on and writes its final answer.
func (s *Server) serveJob(w http.ResponseWriter, r *http.Request, conn *clientConn, job node.Job) {
	answer := s.register(job.ID)
	if answer == nil {
		s.post(node.JobDeclined{Class: job.Class})
		duplicateID.writeTo(w)
		return
	}
	job.NearConnectionLimit = s.conns.requestReceived(conn)
	client := conn.beginWait()
	defer conn.endWait()
	job.Client = client
	s.post(node.JobArrived{Job: job})
	final, left := s.awaitAnswer(r.Context(), client, job.ID, answer)
	s.setConnectionClose(w)
	if left {
		w.Header().Set("Connection", "close") // nobody wants an answer to what it has sent beyond this
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	writeAnswer(w, final)
}

// setConnectionClose ends the connection with this answer where the node drains, shuts down or has too many connections.
func (s *Server) setConnectionClose(w http.ResponseWriter) {
	if s.conns.closesAfterAnswer() {
		w.Header().Set("Connection", "close")
	}
}

// awaitAnswer returns the final answer. Where the client leaves first, it is a failure: a client that has only half-closed
// its connection reads that, rather than the empty answer of a handler that writes nothing. Where the reducer has ended,
// it never looked at the batch job, which is rejected. left: the client has left, and whatever else it has sent on the
// connection is dropped.
func (s *Server) awaitAnswer(ctx context.Context, client *waitingClient, id policy.JobID, answer chan node.Answer) (a node.Answer, left bool) {
	defer client.finished.Store(true)
	stopped := false
	select {
	case a := <-answer:
		return a, false
	case <-ctx.Done():
	case <-client.disconnected:
		left = true
	case <-s.stopped:
		stopped = true
	}
	client.finished.Store(true) // before the event is posted: the reducer may be late to read it
	s.unregister(id)
	select {
	case a := <-answer: // it came at the same moment
		return a, left
	default:
	}
	if stopped {
		return node.Answer{Job: id, Final: node.Rejected}, false
	}
	s.post(node.ClientLeft{Job: id, Client: client})
	return node.Answer{Job: id, Final: node.Failed}, left
}
