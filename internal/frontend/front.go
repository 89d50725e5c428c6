// Package frontend is the side that batch jobs come in from: net/http's server, a handler for each batch job that
// waits for its final answer. front.go holds those that wait, server.go the connections, codec.go the protocol.
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

// Server takes batch jobs in.
type Server struct {
	post       func(node.Event)
	jobClasses atomic.Pointer[map[string]jobClass] // by name; never changed, only replaced
	http       http.Server
	conns      *connTable
	ready      atomic.Bool
	stopped    chan struct{} // closed when nobody takes batch jobs any more

	closeTimeout time.Duration // answers on their way out have so long: closeSpell

	mu             sync.Mutex
	pending        map[policy.JobID]chan node.Answer
	prefixHandlers map[string]http.Handler // by the path that they begin with
}

// connContextKey is where a message's context has its connection.
type connContextKey struct{}

// jobClass is what a batch job's track asks of it.
type jobClass struct {
	id          policy.JobClassID
	deadline    time.Duration // its outer limit
	requiresKey bool          // it comes with a tag
}

// New makes a front for tracks, with a budget of connections.
func New(tracks []node.NumberedClass, conns ConnLimits, tell func(node.Event)) *Server {
	f := &Server{post: tell, conns: newConnTable(conns), stopped: make(chan struct{}), closeTimeout: defaultCloseTimeout,
		pending: map[policy.JobID]chan node.Answer{}}
	f.UpdateJobClasses(tracks)
	f.http = http.Server{Handler: http.HandlerFunc(f.handle), ConnState: f.conns.onStateChange,
		DisableGeneralOptionsHandler: true, // so that the handler sees every message
		// Together from the first moment on, so that nobody holds a place by sending ever less.
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}}
	return f
}

// HandlePrefix hands all messages whose path begins so to another handler; it is called before Serve. Their connections and bodies keep the front's bounds.
func (f *Server) HandlePrefix(path string, to http.Handler) {
	if f.prefixHandlers == nil {
		f.prefixHandlers = map[string]http.Handler{}
	}
	f.prefixHandlers[path] = to
}

// UpdateJobClasses says which tracks there are from now on. What has been read under those before goes on under them.
func (f *Server) UpdateJobClasses(tracks []node.NumberedClass) {
	all := map[string]jobClass{}
	for _, t := range tracks {
		all[t.Name] = jobClass{t.ID, t.Deadline, t.Idempotency == policy.IdempotentWithKey}
	}
	f.jobClasses.Store(&all)
}

// SetReady says whether the node is to be given batch jobs.
func (f *Server) SetReady(yes bool) { f.ready.Store(yes) }

// Answer gives a batch job's final answer to the handler that waits for it.
func (f *Server) Answer(a node.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if to := f.pending[a.Job]; to != nil {
		delete(f.pending, a.Job)
		to <- a
	}
}

// register makes a place for a batch job's answer; there is none for one that is in hand already.
func (f *Server) register(id policy.JobID) chan node.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending[id] != nil {
		return nil
	}
	to := make(chan node.Answer, 1)
	f.pending[id] = to
	return to
}

func (f *Server) unregister(id policy.JobID) {
	f.mu.Lock()
	delete(f.pending, id)
	f.mu.Unlock()
}

func (f *Server) handle(w http.ResponseWriter, r *http.Request) {
	f.setConnectionClose(w)
	conn := r.Context().Value(connContextKey{}).(*clientConn)
	if onlyChunks := conn.nextRequest(); r.ContentLength < 0 {
		if !onlyChunks {
			lengthAndChunks.writeTo(w)
			return
		}
		// Nothing is read behind chunks: what is followed of a connection ends with them.
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == readyPath {
		f.serveReadiness(w, r)
		return
	}
	for path, to := range f.prefixHandlers {
		if strings.HasPrefix(r.URL.Path, path) {
			if r.ContentLength < 0 {
				chunksNotAllowed.writeTo(w)
				return
			}
			to.ServeHTTP(w, r)
			return
		}
	}
	job, wrong := f.decode(w, r)
	if wrong != nil {
		wrong.writeTo(w)
		return
	}
	to := f.register(job.ID)
	if to == nil {
		f.post(node.JobDeclined{Class: job.Class})
		duplicateID.writeTo(w)
		return
	}
	job.NearConnectionLimit = f.conns.requestReceived(conn)
	client := conn.beginWait()
	defer conn.endWait()
	job.Client = client
	f.post(node.JobArrived{Job: job})
	a, left := f.awaitAnswer(r.Context(), client, job.ID, to)
	f.setConnectionClose(w)
	if left {
		w.Header().Set("Connection", "close") // what it has sent beyond this is wanted by nobody
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	writeAnswer(w, a)
}

// setConnectionClose lets the client's connection end with this answer, where the node ends or is crowded.
func (f *Server) setConnectionClose(w http.ResponseWriter) {
	if f.conns.closesAfterAnswer() {
		w.Header().Set("Connection", "close")
	}
}

// awaitAnswer gives the final answer, or, once the client has left, that it is broken off: one that has only ended its
// sending reads that, and not the empty answer of a handler that writes nothing. Where nobody takes batch jobs any more,
// this one was never looked at: it is pushed back. Left: nobody wants what else has come on the connection.
func (f *Server) awaitAnswer(ctx context.Context, client *waitingClient, id policy.JobID, to chan node.Answer) (a node.Answer, left bool) {
	defer client.finished.Store(true)
	over := false
	select {
	case a := <-to:
		return a, false
	case <-ctx.Done():
	case <-client.disconnected:
		left = true
	case <-f.stopped:
		over = true
	}
	client.finished.Store(true) // before the reducer is told: it may be late
	f.unregister(id)
	select {
	case a := <-to: // it came at the same moment
		return a, left
	default:
	}
	if over {
		return node.Answer{Job: id, Final: node.Rejected}, false
	}
	f.post(node.ClientLeft{Job: id, Client: client})
	return node.Answer{Job: id, Final: node.Failed}, left
}
