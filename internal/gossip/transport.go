package gossip

import (
	"io"
	stdlog "log"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's, with two changes. Its connections to peers come from the address that it listens on, so that a peer, or a firewall
// between, can tell who connects. And it holds at most maxStreams accepted connections at a time; further ones wait.
type transport struct {
	*memberlist.NetTransport
	source   netip.Addr
	accepted <-chan net.Conn
	streams  chan net.Conn
	closing  chan struct{}
	closed   chan struct{}
	once     sync.Once
}

// maxStreams is how many connections that peers have opened are held at a time.
const maxStreams = 16

// MaxDescriptors are the descriptors that gossip takes at most: the UDP socket and the listener, the connections that peers have opened,
// one that waits, and those that this node opens.
const MaxDescriptors = 2 + maxStreams + 1 + maxDialed

// maxDialed is how many connections memberlist opens to peers at a time.
const maxDialed = 5

func newTransport(listen netip.AddrPort) (*transport, error) {
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{listen.Addr().String()},
		BindPort:  int(listen.Port()),
		Logger:    stdlog.New(io.Discard, "", 0),
	})
	if err != nil {
		return nil, err
	}
	t := &transport{
		NetTransport: inner,
		source:       listen.Addr(),
		accepted:     inner.StreamCh(),
		streams:      make(chan net.Conn),
		closing:      make(chan struct{}),
		closed:       make(chan struct{}),
	}
	go t.limitStreams()
	return t, nil
}

// Shutdown closes the sockets. It does not wait for accepted connections that nobody has taken.
func (t *transport) Shutdown() (err error) {
	t.once.Do(func() {
		close(t.closing)
		err = t.NetTransport.Shutdown()
		close(t.closed)
	})
	return err
}

// StreamCh gives memberlist the accepted connections.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// limitStreams hands accepted connections on while fewer than maxStreams are open. Hosts that open many and send nothing would otherwise
// exhaust the descriptors of clients and discovery.
func (t *transport) limitStreams() {
	slots := make(chan struct{}, maxStreams)
	for {
		select {
		case slots <- struct{}{}:
		case <-t.closing:
			t.closeAccepted()
			return
		}
		select {
		case c := <-t.accepted:
			select {
			case t.streams <- &stream{Conn: c, slots: slots}:
			case <-t.closing:
				c.Close()
			}
		case <-t.closing:
		}
	}
}

// closeAccepted closes connections that are still accepted, until the listener is closed: its goroutine must not block.
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

// stream is an accepted connection that frees its slot when it is closed.
type stream struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

// Close closes the connection and frees its slot, once.
func (s *stream) Close() error {
	err := s.Conn.Close()
	s.once.Do(func() { <-s.slots })
	return err
}

// DialTimeout opens a connection to a peer.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.source.AsSlice()}}
	return dialer.Dial("tcp", addr)
}

// DialAddressTimeout opens a connection to a peer by its address.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}
