package gossip

import (
	"io"
	stdlog "log"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"
)

// transport is memberlist's own, but for the address that its connections come from: that of its listener, so that a neighbour, and what stands between, can
// tell who calls.
//
// It takes so many connections at a time as are set aside for them; the others wait.
type transport struct {
	*memberlist.NetTransport
	source   netip.Addr
	accepted <-chan net.Conn
	streams  chan net.Conn
	closing  chan struct{}
	closed   chan struct{}
	once     sync.Once
}

// MaxDescriptors are those that neighbours take at most: the two sockets that they are heard by, connections that they open, one
// that waits to be taken, and those that this node opens.
const MaxDescriptors = 2 + maxStreams + 1 + 5

const maxStreams = 16

func newTransport(listen netip.AddrPort) (*transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{listen.Addr().String()}, BindPort: int(listen.Port()),
		Logger: stdlog.New(io.Discard, "", 0)})
	if err != nil {
		return nil, err
	}
	to := &transport{NetTransport: t, source: listen.Addr(), accepted: t.StreamCh(), streams: make(chan net.Conn), closing: make(chan struct{}), closed: make(chan struct{})}
	go to.limitStreams()
	return to, nil
}

// Shutdown ends it; a connection that waits to be taken doesn't hold that up.
func (t *transport) Shutdown() (err error) {
	t.once.Do(func() {
		close(t.closing)
		err = t.NetTransport.Shutdown()
		close(t.closed)
	})
	return err
}

// StreamCh gives the connections that are taken.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// limitStreams hands connections on as long as there is room. Guards against callers that open many and say nothing: they would take the
// descriptors of clients and discovery.
func (t *transport) limitStreams() {
	room := make(chan struct{}, maxStreams)
	for {
		select {
		case room <- struct{}{}:
		case <-t.closing:
			t.closeAccepted()
			return
		}
		select {
		case c := <-t.accepted:
			select {
			case t.streams <- &stream{Conn: c, slots: room}:
			case <-t.closing:
				c.Close()
			}
		case <-t.closing:
		}
	}
}

// closeAccepted closes what still comes, until the listener is closed.
func (t *transport) closeAccepted() {
	for {
		select {
		case c := <-t.accepted:
			c.Close()
		case <-t.closed:
			return
		}
	}
}

// stream gives its place back when it is closed.
type stream struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

func (s *stream) Close() error {
	err := s.Conn.Close()
	s.once.Do(func() { <-s.slots })
	return err
}

// DialTimeout opens a connection to a neighbour.
func (t *transport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: t.source.AsSlice()}}
	return d.Dial("tcp", addr)
}

// DialAddressTimeout opens a connection to a neighbour, named as memberlist names it.
func (t *transport) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, limit)
}

// logger hands memberlist's warnings to the node's log.
func (t *transport) logger(log zerolog.Logger) *stdlog.Logger {
	return stdlog.New(logWriter{log}, "", 0)
}

type logWriter struct{ log zerolog.Logger }

func (l logWriter) Write(b []byte) (int, error) {
	if text := strings.TrimSpace(string(b)); relevantToOperators(text) {
		l.log.Warn().Msg(text)
	}
	return len(b), nil
}
