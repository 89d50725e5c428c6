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
	from    netip.Addr
	come    <-chan net.Conn
	streams chan net.Conn
	ending  chan struct{}
	ended   chan struct{}
	once    sync.Once
}

// Descriptors are those that neighbours take at most: the two sockets that they are heard by, connections that they open, one
// that waits to be taken, and those that this node opens.
const Descriptors = 2 + mostStreams + 1 + 5

const mostStreams = 16

func newTransport(listen netip.AddrPort) (*transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{listen.Addr().String()}, BindPort: int(listen.Port()),
		Logger: stdlog.New(io.Discard, "", 0)})
	if err != nil {
		return nil, err
	}
	to := &transport{NetTransport: t, from: listen.Addr(), come: t.StreamCh(), streams: make(chan net.Conn), ending: make(chan struct{}), ended: make(chan struct{})}
	go to.take()
	return to, nil
}

// Shutdown ends it; a connection that waits to be taken doesn't hold that up.
func (t *transport) Shutdown() (err error) {
	t.once.Do(func() {
		close(t.ending)
		err = t.NetTransport.Shutdown()
		close(t.ended)
	})
	return err
}

// StreamCh gives the connections that are taken.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// take hands connections on as long as there is room. Guards against callers that open many and say nothing: they would take the
// descriptors of clients and discovery.
func (t *transport) take() {
	room := make(chan struct{}, mostStreams)
	for {
		select {
		case room <- struct{}{}:
		case <-t.ending:
			t.drop()
			return
		}
		select {
		case c := <-t.come:
			select {
			case t.streams <- &stream{Conn: c, room: room}:
			case <-t.ending:
				c.Close()
			}
		case <-t.ending:
		}
	}
}

// drop closes what still comes, until the listener is closed.
func (t *transport) drop() {
	for {
		select {
		case c := <-t.come:
			c.Close()
		case <-t.ended:
			return
		}
	}
}

// stream gives its place back when it is closed.
type stream struct {
	net.Conn
	once sync.Once
	room chan struct{}
}

func (s *stream) Close() error {
	err := s.Conn.Close()
	s.once.Do(func() { <-s.room })
	return err
}

// DialTimeout opens a connection to a neighbour.
func (t *transport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: t.from.AsSlice()}}
	return d.Dial("tcp", addr)
}

// DialAddressTimeout opens a connection to a neighbour, named as memberlist names it.
func (t *transport) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, limit)
}

// logger hands memberlist's warnings to the node's log.
func (t *transport) logger(log zerolog.Logger) *stdlog.Logger {
	return stdlog.New(lines{log}, "", 0)
}

type lines struct{ log zerolog.Logger }

func (l lines) Write(b []byte) (int, error) {
	if text := strings.TrimSpace(string(b)); worthALine(text) {
		l.log.Warn().Msg(text)
	}
	return len(b), nil
}
