package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of a connection. It implements net.Conn, and its methods are safe for concurrent use.
type Conn struct {
	net           *Net
	host          string
	local, remote Addr
	peer          *Conn
	offset        time.Duration // delay that is added to each packet, different from those of other connections

	changed       *sync.Cond // signals a change of the fields below, which the network's lock guards
	received      []byte     // bytes that have arrived and are unread
	peerEnded     bool       // the end of the peer's stream has arrived
	connErr       error      // error of a broken connection
	closing       bool       // Close was called; a pending Read returns after the offset
	closed        bool       // Close was called, and the offset has passed
	writeClosed   bool       // CloseWrite was called
	unreadByPeer  int        // number of bytes sent that the peer has not read
	lastArrival   time.Time  // when the last packet sent so far arrives
	dropsOutgoing bool       // packets that this end sends are lost
	nextBreak     Break      // break at the next Write
	readDeadline  deadline
	writeDeadline deadline
}

// Break is the way in which a connection breaks at its next Write.
type Break int

// The ways in which a connection breaks.
const (
	NoBreak        Break = iota // the connection does not break
	BreakPartial                // half of the bytes arrive before the reset, the Write fails, and neither end gets more
	BreakLost                   // the Write succeeds, but none of its bytes arrives before the reset
	BreakDelivered              // the Write succeeds, and all of its bytes arrive before the reset
)

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// fail returns the error of an operation as package net reports it.
func (c *Conn) fail(op string, err error) error {
	return &net.OpError{Op: op, Net: "memory", Source: c.local, Addr: c.remote, Err: err}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.fail("read", net.ErrClosed)
		case c.closing:
		case c.readDeadline.expired:
			return 0, c.fail("read", os.ErrDeadlineExceeded)
		case len(c.received) > 0:
			n := copy(b, c.received)
			if c.received = c.received[n:]; len(c.received) == 0 {
				c.received = nil
			}
			c.peer.unreadByPeer -= n
			c.peer.changed.Broadcast()
			return n, nil
		case c.connErr != nil:
			return 0, c.fail("read", c.connErr)
		case c.peerEnded:
			return 0, io.EOF
		case len(b) == 0:
			return 0, nil
		}
		c.changed.Wait()
	}
}

// PeerEnded reports whether the end of the stream or a reset has arrived, even if bytes before it are unread.
func (c *Conn) PeerEnded() bool {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.peerEnded || c.connErr != nil
}

// Write implements net.Conn. It blocks while the send window is full.
func (c *Conn) Write(b []byte) (sent int, err error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	breakMode := c.nextBreak
	c.nextBreak = NoBreak
	if breakMode == BreakPartial {
		b = b[:len(b)/2]
	}
	for sent < len(b) || breakMode == BreakPartial {
		switch {
		case c.closing:
			return sent, c.fail("write", net.ErrClosed)
		case c.writeDeadline.expired:
			return sent, c.fail("write", os.ErrDeadlineExceeded)
		case c.connErr != nil:
			return sent, c.fail("write", c.connErr)
		case c.writeClosed:
			return sent, c.fail("write", syscall.EPIPE)
		case sent == len(b): // half of the bytes are sent
			c.abort(false)
			return sent, c.fail("write", syscall.ECONNRESET)
		case c.unreadByPeer < sendWindow:
			n := min(sendWindow-c.unreadByPeer, len(b)-sent)
			c.unreadByPeer += n
			if breakMode != BreakLost {
				c.deliver(append([]byte(nil), b[sent:sent+n]...), nil)
			}
			sent += n
			continue
		}
		c.changed.Wait()
	}
	if breakMode == BreakLost || breakMode == BreakDelivered {
		c.breakAfter(c.offset, breakMode == BreakDelivered)
	}
	return sent, nil
}

// breakAfter breaks the connection after a delay. The other end sees the reset after the bytes in flight. If delivered
// is false, further packets from this end are lost until then.
func (c *Conn) breakAfter(delay time.Duration, delivered bool) {
	if !delivered {
		c.dropsOutgoing = true
	}
	time.AfterFunc(delay, func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		c.abort(false)
	})
}

// BreakAtWrite makes the connection break at the next Write of this end, in the given way.
func (c *Conn) BreakAtWrite(b Break) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.nextBreak = b
}

// Reset breaks this end of the connection at once, and the other end after the bytes in flight.
func (c *Conn) Reset() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.abort(false)
}

// DropOutgoing drops everything that this end sends from now on.
func (c *Conn) DropOutgoing() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.dropsOutgoing = true
}

// DropIncoming drops everything that the other end sends from now on.
func (c *Conn) DropIncoming() { c.peer.DropOutgoing() }

// abort breaks this end. The other end sees a reset after the bytes in flight, or nothing if silently is set.
func (c *Conn) abort(silently bool) {
	if c.connErr != nil || c.closed {
		return
	}
	c.connErr = syscall.ECONNRESET
	c.received = nil
	c.changed.Broadcast()
	if silently {
		c.dropsOutgoing = true
		return
	}
	c.dropsOutgoing = false
	c.deliver(nil, func(to *Conn) {
		if to.connErr == nil {
			to.connErr = syscall.ECONNRESET
		}
	})
}

// deliver schedules the arrival of bytes at the other end, or of a change of its state if change is not nil. Arrivals
// keep the order in which they were sent.
func (c *Conn) deliver(b []byte, change func(to *Conn)) {
	p := c.net.path(c.host, c.peer.host)
	if p.Lost || c.dropsOutgoing {
		return
	}
	now := time.Now()
	at := now.Add(p.Hold + p.Delay + time.Duration(len(b))*p.PerByte + c.offset)
	if !at.After(c.lastArrival) {
		at = c.lastArrival.Add(1)
	}
	c.lastArrival = at
	time.AfterFunc(at.Sub(now), func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		to := c.peer
		switch {
		case change != nil:
			change(to)
		case to.closing && c.connErr == nil:
			// Bytes for a closed connection are answered with a reset.
			to.deliver(nil, func(to *Conn) {
				if to.connErr == nil {
					to.connErr = syscall.ECONNRESET
				}
			})
			return
		case to.connErr == nil && !to.closing:
			to.received = append(to.received, b...)
		}
		to.changed.Broadcast()
	})
}

// Close implements net.Conn. A pending Read returns only after the offset of the connection, so that connections that
// are closed at the same instant end in a fixed order.
func (c *Conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closing {
		return c.fail("close", net.ErrClosed)
	}
	c.closing = true
	c.readDeadline.stop()
	c.writeDeadline.stop()
	if c.connErr == nil && !c.writeClosed {
		c.deliver(nil, func(to *Conn) { to.peerEnded = true })
	}
	time.AfterFunc(c.offset, func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		c.closed, c.received = true, nil
		c.changed.Broadcast()
		c.net.removeClosed()
	})
	return nil
}

// CloseWrite ends the stream that this end sends. It can still read.
func (c *Conn) CloseWrite() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if !c.writeClosed && !c.closing && c.connErr == nil {
		c.writeClosed = true
		c.deliver(nil, func(to *Conn) { to.peerEnded = true })
	}
	return nil
}
