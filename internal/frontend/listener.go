package frontend

import (
	"errors"
	"net"
	"os"
	"time"
)

// pastDeadline makes a call that waits return at once.
var pastDeadline = time.Unix(1, 0)

// deadliner is a listener whose Accept can be interrupted, such as net.TCPListener.
type deadliner interface{ SetDeadline(time.Time) error }

// wrapListener returns l under the table's limits. Accepting may be paused already.
func (t *connTable) wrapListener(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Listener = l
	t.updateAcceptDeadline()
	return t
}

// Accept implements net.Listener. It waits until there is room and this process is the one that accepts.
func (t *connTable) Accept() (net.Conn, error) {
	for {
		t.mu.Lock()
		for (t.open >= t.acceptLimit || t.acceptPaused) && !t.closed {
			t.changed.Wait()
		}
		t.mu.Unlock()
		c, err := t.Listener.Accept()
		if err == nil {
			return &clientConn{Conn: c, sharedReadAhead: &t.sharedReadAhead}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) { // interrupted: the state may have changed
			return nil, err
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

// setAccepting starts or stops accepting connections. Those that wait on a socket that two processes listen on are left
// for the other.
func (t *connTable) setAccepting(accept bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptPaused = !accept
	t.updateAcceptDeadline()
	t.changed.Broadcast()
}

// isAcceptPaused returns whether another process of the node accepts connections.
func (t *connTable) isAcceptPaused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acceptPaused
}

// updateAcceptDeadline interrupts an Accept that waits where accepting is paused. It is called with the lock held.
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
