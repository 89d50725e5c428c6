package frontend

import (
	"errors"
	"net"
	"net/http"
	"time"

	"birchstair/internal/node"
)

const (
	// defaultCloseTimeout bounds how long Close waits until answers are written, and how long Stop waits until late requests are
	// answered.
	defaultCloseTimeout = 300 * time.Millisecond
	// closeIdleInterval is the pause between two passes over the connections. During a client drain, each pass closes the
	// connections that have become idle. In a shutdown, BeginLameDuck repeats its pass until no connection is being closed any
	// more.
	closeIdleInterval = 20 * time.Millisecond
	// handoffGrace is how long idle connections stay open after a successor process has taken over.
	handoffGrace = 400 * time.Millisecond
	// drainGrace is how long idle connections stay open after a client drain begins. Load balancers stop opening connections
	// within 0.3 s. The connection of an active client is closed after the answer to its next request. The drain must meet this
	// limit: 4 s after it begins, no connection is idle or carries a batch job that was sent within the last 2 s.
	drainGrace = 1600 * time.Millisecond
	// newConnGrace is how long a connection without a request stays open during a client drain.
	newConnGrace = 200 * time.Millisecond
)

// Serve accepts connections from l until the server is closed. It blocks.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(s.conns.wrapListener(l))
	if errors.Is(err, http.ErrServerClosed) || s.conns.isClosed() {
		return nil
	}
	return err
}

// BeginLameDuck starts the first phase of a shutdown. In this phase requests are still served, each connection is closed after
// its next answer, and idle connections are closed. If a successor process has taken over, idle connections stay open for
// handoffGrace first.
func (s *Server) BeginLameDuck() {
	handedOver := s.conns.isAcceptPaused()
	if !handedOver && s.conns.enterLameDuck() == 0 {
		return
	}
	go func() {
		if handedOver {
			time.Sleep(handoffGrace)
		}
		// The first call of enterLameDuck closes the idle connections. connTable.onStateChange closes the connections that become
		// idle later, so later calls only count the connections that are not closed yet.
		for s.conns.enterLameDuck() > 0 {
			time.Sleep(closeIdleInterval)
		}
	}()
}

// DrainClients starts or ends a client drain. During a drain the server is not ready, and each connection is closed after its
// next answer. Idle connections are closed after drainGrace. Until then clients have time to go to another node, so that no
// request is sent on a connection that is just being closed.
func (s *Server) DrainClients(drain bool) {
	if !s.conns.setDraining(drain) {
		return
	}
	go func() {
		time.Sleep(drainGrace)
		for s.conns.closeDrained() {
			time.Sleep(closeIdleInterval)
		}
	}()
}

// Close shuts the server down in the background and posts node.FrontendClosed when all answers are written, or after a
// timeout. It does not use http.Server.Shutdown, which closes connections on which a request has arrived or has just been read.
func (s *Server) Close() {
	go func() {
		deadline := time.Now().Add(s.closeTimeout)
		s.conns.closeIdleAndWait(s.closeTimeout)
		s.conns.Close() //nolint:errcheck // the listener is given up either way
		s.conns.waitUntilAnswered(time.Until(deadline))
		s.post(node.FrontendClosed{})
	}()
}

// Stop is called after the event loop has ended. It rejects requests that still arrive, such as the first request on a new
// connection. Rejecting these requests is safe, because none of them was sent to an executor. Stop blocks until all connections
// are closed, or until a timeout.
func (s *Server) Stop() {
	s.conns.enterLameDuck() // called before nodeStopped is closed, so that each rejection also closes its connection
	close(s.nodeStopped)
	s.conns.closeNewAndWait(defaultCloseTimeout)
	s.http.Close()
}
