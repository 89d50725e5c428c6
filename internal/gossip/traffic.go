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
	Of func(netip.Addr) bool // which neighbours count

	PacketsIn, PacketsOut, StreamsIn, StreamsOut, BytesIn, BytesOut atomic.Int64
}

// counted is a transport whose traffic is counted.
type counted struct {
	*transport
	t       *Traffic
	packets chan *memberlist.Packet
	streams chan net.Conn
	ended   chan struct{}
	once    sync.Once
}

func count(inner *transport, t *Traffic) *counted {
	c := &counted{transport: inner, t: t, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), ended: make(chan struct{})}
	go c.pass()
	return c
}

func (c *counted) of(addr string) bool {
	a, err := netip.ParseAddrPort(addr)
	return err == nil && c.t.Of(a.Addr().Unmap())
}

// pass hands on what comes, counted.
func (c *counted) pass() {
	for {
		select {
		case <-c.ended:
			return
		case p := <-c.transport.PacketCh():
			if c.of(p.From.String()) {
				c.t.PacketsIn.Add(1)
				c.t.BytesIn.Add(int64(len(p.Buf)))
			}
			select {
			case c.packets <- p:
			case <-c.ended:
			}
		case s := <-c.transport.StreamCh():
			if c.of(s.RemoteAddr().String()) {
				c.t.StreamsIn.Add(1)
				s = countedConn{s, c.t}
			}
			select {
			case c.streams <- s:
			case <-c.ended:
				s.Close()
			}
		}
	}
}

func (c *counted) PacketCh() <-chan *memberlist.Packet { return c.packets }

func (c *counted) StreamCh() <-chan net.Conn { return c.streams }

// Shutdown ends the transport.
func (c *counted) Shutdown() error {
	c.once.Do(func() { close(c.ended) })
	return c.transport.Shutdown()
}

func (c *counted) sent(addr string, b []byte) {
	if c.of(addr) {
		c.t.PacketsOut.Add(1)
		c.t.BytesOut.Add(int64(len(b)))
	}
}

func (c *counted) WriteTo(b []byte, addr string) (time.Time, error) {
	c.sent(addr, b)
	return c.transport.WriteTo(b, addr)
}

func (c *counted) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	c.sent(a.Addr, b)
	return c.transport.WriteToAddress(b, a)
}

func (c *counted) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	conn, err := c.transport.DialTimeout(addr, limit)
	if err == nil && c.of(addr) {
		c.t.StreamsOut.Add(1)
		conn = countedConn{conn, c.t}
	}
	return conn, err
}

func (c *counted) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	return c.DialTimeout(a.Addr, limit)
}

type countedConn struct {
	net.Conn
	t *Traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.BytesIn.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.BytesOut.Add(int64(n))
	return n, err
}
