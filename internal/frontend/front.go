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

// Front takes batch jobs in.
type Front struct {
	tell   func(node.Event)
	tracks atomic.Pointer[map[string]track] // by name; never changed, only replaced
	server http.Server
	gate   *gate
	ready  atomic.Bool
	over   chan struct{} // closed when nobody takes batch jobs any more

	closeIn time.Duration // answers on their way out have so long: closeSpell

	mu      sync.Mutex
	waiting map[policy.JobID]chan node.Answer
	aside   map[string]http.Handler // by the path that they begin with
}

// connKey is where a message's context has its connection.
type connKey struct{}

// track is what a batch job's track asks of it.
type track struct {
	id     policy.JobClassID
	limit  time.Duration // its outer limit
	tagged bool          // it comes with a tag
}

// New makes a front for tracks, with a budget of connections.
func New(tracks []node.NumberedClass, conns Budget, tell func(node.Event)) *Front {
	f := &Front{tell: tell, gate: newGate(conns), over: make(chan struct{}), closeIn: closeSpell,
		waiting: map[policy.JobID]chan node.Answer{}}
	f.UpdateJobClasses(tracks)
	f.server = http.Server{Handler: http.HandlerFunc(f.handle), ConnState: f.gate.turned,
		DisableGeneralOptionsHandler: true, // so that the handler sees every message
		// Together from the first moment on, so that nobody holds a place by sending ever less.
		ReadHeaderTimeout: headSpell, ReadTimeout: wholeSpell, IdleTimeout: idleSpell, MaxHeaderBytes: longestHead,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	return f
}

// Aside hands all messages whose path begins so to another handler; it is called before Serve. Their connections and bodies keep the front's bounds.
func (f *Front) Aside(path string, to http.Handler) {
	if f.aside == nil {
		f.aside = map[string]http.Handler{}
	}
	f.aside[path] = to
}

// UpdateJobClasses says which tracks there are from now on. What has been read under those before goes on under them.
func (f *Front) UpdateJobClasses(tracks []node.NumberedClass) {
	all := map[string]track{}
	for _, t := range tracks {
		all[t.Name] = track{t.ID, t.Deadline, t.Idempotency == policy.IdempotentWithKey}
	}
	f.tracks.Store(&all)
}

// SetReady says whether the node is to be given batch jobs.
func (f *Front) SetReady(yes bool) { f.ready.Store(yes) }

// Answer gives a batch job's final answer to the handler that waits for it.
func (f *Front) Answer(a node.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if to := f.waiting[a.Job]; to != nil {
		delete(f.waiting, a.Job)
		to <- a
	}
}

// await makes a place for a batch job's answer; there is none for one that is in hand already.
func (f *Front) await(id policy.JobID) chan node.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting[id] != nil {
		return nil
	}
	to := make(chan node.Answer, 1)
	f.waiting[id] = to
	return to
}

func (f *Front) forget(id policy.JobID) {
	f.mu.Lock()
	delete(f.waiting, id)
	f.mu.Unlock()
}

func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	f.sendElsewhere(w)
	conn := r.Context().Value(connKey{}).(*watched)
	if onlyChunks := conn.next(); r.ContentLength < 0 {
		if !onlyChunks {
			bothWays.write(w)
			return
		}
		// Nothing is read behind chunks: what is followed of a connection ends with them.
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == readyPath {
		f.isReady(w, r)
		return
	}
	for path, to := range f.aside {
		if strings.HasPrefix(r.URL.Path, path) {
			if r.ContentLength < 0 {
				lengthDue.write(w)
				return
			}
			to.ServeHTTP(w, r)
			return
		}
	}
	job, wrong := f.decode(w, r)
	if wrong != nil {
		wrong.write(w)
		return
	}
	to := f.await(job.ID)
	if to == nil {
		f.tell(node.JobDeclined{Class: job.Class})
		inHand.write(w)
		return
	}
	job.NearConnectionLimit = f.gate.came(conn)
	client := conn.awaits()
	defer conn.replied()
	job.Client = client
	f.tell(node.JobArrived{Job: job})
	a, left := f.wait(r.Context(), client, job.ID, to)
	f.sendElsewhere(w)
	if left {
		w.Header().Set("Connection", "close") // what it has sent beyond this is wanted by nobody
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeSpell))
	write(w, a)
}

// sendElsewhere lets the client's connection end with this answer, where the node ends or is crowded.
func (f *Front) sendElsewhere(w http.ResponseWriter) {
	if f.gate.elsewhere() {
		w.Header().Set("Connection", "close")
	}
}

// wait gives the final answer, or, once the client has left, that it is broken off: one that has only ended its
// sending reads that, and not the empty answer of a handler that writes nothing. Where nobody takes batch jobs any more,
// this one was never looked at: it is pushed back. Left: nobody wants what else has come on the connection.
func (f *Front) wait(ctx context.Context, client *caller, id policy.JobID, to chan node.Answer) (a node.Answer, left bool) {
	defer client.over.Store(true)
	over := false
	select {
	case a := <-to:
		return a, false
	case <-ctx.Done():
	case <-client.left:
		left = true
	case <-f.over:
		over = true
	}
	client.over.Store(true) // before the reducer is told: it may be late
	f.forget(id)
	select {
	case a := <-to: // it came at the same moment
		return a, left
	default:
	}
	if over {
		return node.Answer{Job: id, Final: node.Rejected}, false
	}
	f.tell(node.ClientLeft{Job: id, Client: client})
	return node.Answer{Job: id, Final: node.Failed}, left
}
