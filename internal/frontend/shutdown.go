package frontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"birchstair/internal/node"
)

const (
	// defaultCloseTimeout bounds how long Close waits for answers that are being written, and Stop for late requests.
	defaultCloseTimeout = 300 * time.Millisecond
	// closeIdleInterval is how often connections that have become idle are looked for while the node drains or ends.
	closeIdleInterval = 20 * time.Millisecond
	// handoffGrace is how long idle connections stay open after another process has taken over.
	handoffGrace = 400 * time.Millisecond
	// drainGrace is how long idle connections stay open after clients are drained. Load balancers stop opening
	// connections within 0.3 s, clients close theirs with their next request, and after 4 s no connection may be idle
	// or carry a batch job of the last 2 s.
	drainGrace = 1600 * time.Millisecond
	// newConnGrace is how long a connection that is opened during a drain may go without a request.
	newConnGrace = 200 * time.Millisecond
)

// Serve accepts connections from l until the server is closed. It blocks.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(s.conns.wrapListener(l)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// BeginLameDuck announces the shutdown: from now on each answer closes its connection, and idle connections are closed,
// after a grace period where another process has taken over. Requests that still come are served.
func (s *Server) BeginLameDuck() {
	handedOver := s.conns.isAcceptPaused()
	if !handedOver && s.conns.enterLameDuck() == 0 {
		return
	}
	go func() {
		if handedOver {
			time.Sleep(handoffGrace)
		}
		for s.conns.enterLameDuck() > 0 { // a connection that has just become idle may have been missed
			time.Sleep(closeIdleInterval)
		}
	}()
}

// DrainClients starts or ends a drain of clients. During it the server is not ready, each answer closes its connection,
// and idle connections are closed after drainGrace, which leaves clients the time to send elsewhere: a request that is
// just being sent must not meet a close.
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

// Close ends the server in the background and posts node.FrontendClosed when all answers are written, or after a
// timeout. Idle connections are closed by connTable first: http.Server.Shutdown closes them outright, also those on which
// a request has arrived that is not read yet.
func (s *Server) Close() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), s.closeTimeout)
		defer cancel()
		s.conns.closeIdleAndWait(s.closeTimeout)
		s.http.Shutdown(ctx) //nolint:errcheck // Stop closes what is left by the deadline
		s.post(node.FrontendClosed{})
	}()
}

// Stop is called once the reducer has ended. What still comes, such as the first request of a new connection, is rejected,
// which is safe as none of it was sent to an executor. It blocks until all connections are closed, or for a timeout.
func (s *Server) Stop() {
	s.conns.enterLameDuck() // first: each answer from here on closes its connection
	close(s.stopped)
	s.conns.closeNewAndWait(defaultCloseTimeout)
	s.http.Close()
}
