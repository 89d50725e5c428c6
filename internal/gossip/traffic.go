package gossip

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Traffic counts the traffic with selected peers, for measurements. Bytes are counted without the headers of IP, UDP
// and TCP.
type Traffic struct {
	Counts func(netip.Addr) bool // reports whether the traffic with the peer at an address is counted

	PacketsIn, PacketsOut atomic.Int64 // UDP datagrams
	StreamsIn, StreamsOut atomic.Int64 // TCP connections
	BytesIn, BytesOut     atomic.Int64 // bytes over UDP and TCP together
}

// countingTransport is a transport that counts its traffic.
type countingTransport struct {
	*transport
	traffic *Traffic
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newCountingTransport(inner *transport, traffic *Traffic) *countingTransport {
	c := &countingTransport{
		transport: inner,
		traffic:   traffic,
		packets:   make(chan *memberlist.Packet),
		streams:   make(chan net.Conn),
		closed:    make(chan struct{}),
	}
	go c.forward()
	return c
}

func (c *countingTransport) counts(addr string) bool {
	peer, err := netip.ParseAddrPort(addr)
	return err == nil && c.traffic.Counts(peer.Addr().Unmap())
}

// forward counts received packets and accepted connections, and passes them on to memberlist, until Shutdown is called.
func (c *countingTransport) forward() {
	for {
		select {
		case <-c.closed:
			return
		case packet := <-c.transport.PacketCh():
			if c.counts(packet.From.String()) {
				c.traffic.PacketsIn.Add(1)
				c.traffic.BytesIn.Add(int64(len(packet.Buf)))
			}
			select {
			case c.packets <- packet:
			case <-c.closed:
			}
		case conn := <-c.transport.StreamCh():
			if c.counts(conn.RemoteAddr().String()) {
				c.traffic.StreamsIn.Add(1)
				conn = countingConn{conn, c.traffic}
			}
			select {
			case c.streams <- conn:
			case <-c.closed:
				conn.Close()
			}
		}
	}
}

// PacketCh returns the channel from which memberlist takes received packets.
func (c *countingTransport) PacketCh() <-chan *memberlist.Packet { return c.packets }

// StreamCh returns the channel from which memberlist takes accepted connections.
func (c *countingTransport) StreamCh() <-chan net.Conn { return c.streams }

// Shutdown stops forwarding and closes the sockets.
func (c *countingTransport) Shutdown() error {
	c.once.Do(func() { close(c.closed) })
	return c.transport.Shutdown()
}

func (c *countingTransport) countSent(addr string, b []byte) {
	if c.counts(addr) {
		c.traffic.PacketsOut.Add(1)
		c.traffic.BytesOut.Add(int64(len(b)))
	}
}

// WriteTo sends a packet to the peer at an address.
func (c *countingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	c.countSent(addr, b)
	return c.transport.WriteTo(b, addr)
}

// WriteToAddress sends a packet to a peer given by its address and name.
func (c *countingTransport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	c.countSent(to.Addr, b)
	return c.transport.WriteToAddress(b, to)
}

// DialTimeout opens a connection to the peer at an address.
func (c *countingTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := c.transport.DialTimeout(addr, timeout)
	if err == nil && c.counts(addr) {
		c.traffic.StreamsOut.Add(1)
		conn = countingConn{conn, c.traffic}
	}
	return conn, err
}

// DialAddressTimeout opens a connection to a peer given by its address and name.
func (c *countingTransport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return c.DialTimeout(to.Addr, timeout)
}

// countingConn is a connection whose bytes are counted.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.BytesIn.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.BytesOut.Add(int64(n))
	return n, err
}
