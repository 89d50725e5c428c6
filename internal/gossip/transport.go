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

// transport is memberlist's NetTransport with two changes. First, it connects to peers from the address that it listens
// on, so that a peer or a firewall can recognize the node by its address. Second, at most maxStreams accepted
// connections are open at a time, and further connections wait.
type transport struct {
	*memberlist.NetTransport
	source   netip.Addr      // local address of the connections that this node opens to peers
	accepted <-chan net.Conn // connections that NetTransport has accepted
	streams  chan net.Conn   // accepted connections that are passed to memberlist, of which at most maxStreams are open
	closing  chan struct{}   // closed when Shutdown begins
	closed   chan struct{}   // closed when the sockets are closed
	once     sync.Once       // guards Shutdown
}

// maxStreams is the largest number of accepted connections that are open at a time.
const maxStreams = 16

// MaxDescriptors is the maximum number of file descriptors that gossip uses. It counts two listening
// sockets (UDP and TCP), maxStreams accepted connections that are open, one more that waits for another to close, and
// maxDialed connections that this node opens.
const MaxDescriptors = 2 + maxStreams + 1 + maxDialed

// maxDialed is the largest number of connections that memberlist opens to peers at a time.
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

// Shutdown closes the sockets. Accepted connections that memberlist has not taken by then are closed.
func (t *transport) Shutdown() (err error) {
	t.once.Do(func() {
		close(t.closing)
		err = t.NetTransport.Shutdown()
		close(t.closed)
	})
	return err
}

// StreamCh returns the channel from which memberlist takes accepted connections.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// limitStreams passes accepted connections on while fewer than maxStreams are open. Without the limit, hosts that open
// many connections and send nothing would use up the file descriptors that are needed for clients and discovery.
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

// closeAccepted closes the connections that are still accepted until the listener is closed. If it didn't take them
// from the channel, the listener's goroutine would block, and Shutdown would wait for that goroutine forever.
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

// stream is an accepted connection. It occupies one of maxStreams slots until it is closed.
type stream struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

// Close closes the connection. Only the first call frees the slot.
func (s *stream) Close() error {
	err := s.Conn.Close()
	s.once.Do(func() { <-s.slots })
	return err
}

// DialTimeout opens a connection to the peer at an address.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.source.AsSlice()}}
	return dialer.Dial("tcp", addr)
}

// DialAddressTimeout opens a connection to a peer given by its address and name.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}
