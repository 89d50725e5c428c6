package gossip

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Traffic counts what members send to some addresses and get from them, for those who measure. Bytes are those of the messages, without heads of IP.
type Traffic struct {
	Counts func(netip.Addr) bool // which neighbours count

	PacketsIn, PacketsOut, StreamsIn, StreamsOut, BytesIn, BytesOut atomic.Int64
}

// countingTransport is a transport whose traffic is counted.
type countingTransport struct {
	*transport
	traffic *Traffic
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newCountingTransport(inner *transport, t *Traffic) *countingTransport {
	c := &countingTransport{transport: inner, traffic: t, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), closed: make(chan struct{})}
	go c.forward()
	return c
}

func (c *countingTransport) counts(addr string) bool {
	a, err := netip.ParseAddrPort(addr)
	return err == nil && c.traffic.Counts(a.Addr().Unmap())
}

// forward hands on what comes, counted.
func (c *countingTransport) forward() {
	for {
		select {
		case <-c.closed:
			return
		case p := <-c.transport.PacketCh():
			if c.counts(p.From.String()) {
				c.traffic.PacketsIn.Add(1)
				c.traffic.BytesIn.Add(int64(len(p.Buf)))
			}
			select {
			case c.packets <- p:
			case <-c.closed:
			}
		case s := <-c.transport.StreamCh():
			if c.counts(s.RemoteAddr().String()) {
				c.traffic.StreamsIn.Add(1)
				s = countingConn{s, c.traffic}
			}
			select {
			case c.streams <- s:
			case <-c.closed:
				s.Close()
			}
		}
	}
}

func (c *countingTransport) PacketCh() <-chan *memberlist.Packet { return c.packets }

func (c *countingTransport) StreamCh() <-chan net.Conn { return c.streams }

// Shutdown ends the transport.
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

func (c *countingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	c.countSent(addr, b)
	return c.transport.WriteTo(b, addr)
}

func (c *countingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	c.countSent(a.Addr, b)
	return c.transport.WriteToAddress(b, a)
}

func (c *countingTransport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	conn, err := c.transport.DialTimeout(addr, limit)
	if err == nil && c.counts(addr) {
		c.traffic.StreamsOut.Add(1)
		conn = countingConn{conn, c.traffic}
	}
	return conn, err
}

func (c *countingTransport) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	return c.DialTimeout(a.Addr, limit)
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.BytesIn.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.BytesOut.Add(int64(n))
	return n, err
}
