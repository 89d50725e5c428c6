package frontend

import (
	"errors"
	"net"
	"os"
	"runtime"
	"time"
)

// pastDeadline is a deadline in the past. Setting it makes a blocked read or accept return at once.
var pastDeadline = time.Unix(1, 0)

// acceptRetryDelay is the pause after a failed accept. Each error but that of a closed listener is about the connection that was to
// be accepted, or about a resource that the machine is short of.
const acceptRetryDelay = 5 * time.Millisecond

// deadliner is implemented by listeners whose Accept can be interrupted, such as net.TCPListener.
type deadliner interface{ SetDeadline(time.Time) error }

// wrapListener returns a listener that accepts connections from l within the table's limits. If accepting is paused already, it
// stays paused.
func (t *connTable) wrapListener(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Listener = l
	t.updateAcceptDeadline()
	return t
}

// Accept implements net.Listener. It waits while acceptLimit connections are open, or while accepting is paused. It returns an error
// only if the listener is closed.
func (t *connTable) Accept() (net.Conn, error) {
	for {
		t.mu.Lock()
		for (t.open >= t.acceptLimit || t.acceptPaused) && !t.closed {
			t.changed.Wait()
		}
		t.mu.Unlock()
		runtime.Gosched() // under overload, goroutines of connections that were accepted before go first
		c, err := t.Listener.Accept()
		switch {
		case err == nil:
			return &clientConn{Conn: c, readAheadBudget: &t.readAhead}, nil
		case errors.Is(err, os.ErrDeadlineExceeded): // updateAcceptDeadline has interrupted Accept
		case errors.Is(err, net.ErrClosed):
			return nil, err
		default:
			t.reporter.AcceptFailed(err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// Close implements net.Listener.
func (t *connTable) Close() error {
	t.mu.Lock()
	t.closed = true
	t.changed.Broadcast()
	t.mu.Unlock()
	return t.Listener.Close()
}

// isClosed reports whether Close has been called.
func (t *connTable) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// setAccepting starts or stops accepting connections. After a stop, connections in the socket's backlog are left to the other
// process that listens on the same socket.
func (t *connTable) setAccepting(accept bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptPaused = !accept
	t.updateAcceptDeadline()
	t.changed.Broadcast()
}

// isAcceptPaused reports whether accepting is paused because another process of the node accepts connections.
func (t *connTable) isAcceptPaused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acceptPaused
}

// updateAcceptDeadline interrupts a blocked Accept if accepting is paused, and otherwise lets Accept block again. It is called
// with the lock held.
func (t *connTable) updateAcceptDeadline() {
	l, ok := t.Listener.(deadliner)
	if !ok {
		return
	}
	deadline := time.Time{}
	if t.acceptPaused {
		deadline = pastDeadline
	}
	l.SetDeadline(deadline)
}
