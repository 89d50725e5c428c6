package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of a connection.
type Conn struct {
	net           *Net
	host          string
	local, remote Addr
	peer          *Conn
	offset        time.Duration

	changed       *sync.Cond // under the network's lock
	received      []byte
	peerEnded     bool  // the other end sends nothing more
	broken        error // it is broken
	closing       bool  // closed here; its reader is told in a moment
	closed        bool
	writeClosed   bool      // this end sends nothing more
	unreadByPeer  int       // bytes sent, and not read by the other end yet
	lastArrival   time.Time // when what was sent last arrives
	dropsOutgoing bool      // what is sent is lost on the way
	nextBreak     Break     // at the next use
	readDeadline  deadline
	writeDeadline deadline
}

// Break says how a connection breaks at its next use.
type Break int

// The ways in which a connection breaks.
const (
	Whole   Break = iota // it does not
	Within               // after half of what is written has left: neither end gets more
	Unheard              // after all of it has left, of which nothing arrives
	Heard                // after all of it has left; it arrives, and then the other end sees the break
)

// deadline is a time after which an end waits no more.
type deadline struct {
	timer   *time.Timer
	expired bool
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

func (c *Conn) fail(op string, err error) error {
	return &net.OpError{Op: op, Net: "memory", Source: c.local, Addr: c.remote, Err: err}
}

// Read waits for something to have arrived.
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
		case c.broken != nil:
			return 0, c.fail("read", c.broken)
		case c.peerEnded:
			return 0, io.EOF
		case len(b) == 0:
			return 0, nil
		}
		c.changed.Wait()
	}
}

// PeerEnded says whether the other end's end of sending, or a break, has arrived, also behind bytes that are unread.
func (c *Conn) PeerEnded() bool {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.peerEnded || c.broken != nil
}

// Write sends; it waits while the other end has too much unread.
func (c *Conn) Write(b []byte) (sent int, err error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	brk := c.nextBreak
	c.nextBreak = Whole
	if brk == Within {
		b = b[:len(b)/2]
	}
	for sent < len(b) || brk == Within {
		switch {
		case c.closing:
			return sent, c.fail("write", net.ErrClosed)
		case c.writeDeadline.expired:
			return sent, c.fail("write", os.ErrDeadlineExceeded)
		case c.broken != nil:
			return sent, c.fail("write", c.broken)
		case c.writeClosed:
			return sent, c.fail("write", syscall.EPIPE)
		case sent == len(b): // it breaks here
			c.abort(false)
			return sent, c.fail("write", syscall.ECONNRESET)
		case c.unreadByPeer < sendWindow:
			n := min(sendWindow-c.unreadByPeer, len(b)-sent)
			c.unreadByPeer += n
			if brk != Unheard {
				c.deliver(append([]byte(nil), b[sent:sent+n]...), nil)
			}
			sent += n
			continue
		}
		c.changed.Wait()
	}
	if brk == Unheard || brk == Heard {
		c.breakAfter(c.offset, brk == Heard)
	}
	return sent, nil
}

// breakAfter breaks both ends, this one first; the other after what is on its way to it, or with that lost.
func (c *Conn) breakAfter(here time.Duration, heard bool) {
	if !heard {
		c.dropsOutgoing = true
	}
	time.AfterFunc(here, func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		c.abort(false)
	})
}

// BreakAtUse makes it break at its next use.
func (c *Conn) BreakAtUse(b Break) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.nextBreak = b
}

// Reset breaks it: this end at once, the other one after what is on its way.
func (c *Conn) Reset() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.abort(false)
}

// Silence makes all that is sent from this end on be lost on the way.
func (c *Conn) Silence() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.dropsOutgoing = true
}

// SilenceBack makes all that is sent from the other end on be lost on the way.
func (c *Conn) SilenceBack() { c.peer.Silence() }

// abort breaks this end; the other one sees a reset in its time, or nothing.
func (c *Conn) abort(silently bool) {
	if c.broken != nil || c.closed {
		return
	}
	c.broken = syscall.ECONNRESET
	c.received = nil
	c.changed.Broadcast()
	if silently {
		c.dropsOutgoing = true
		return
	}
	c.dropsOutgoing = false
	c.deliver(nil, func(to *Conn) {
		if to.broken == nil {
			to.broken = syscall.ECONNRESET
		}
	})
}

// deliver brings something to the other end in its time and in order: bytes, or a change of its state.
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
		case to.closing && c.broken == nil:
			// Nobody reads it any more there: that end's system answers with a reset.
			to.deliver(nil, func(to *Conn) {
				if to.broken == nil {
					to.broken = syscall.ECONNRESET
				}
			})
			return
		case to.broken == nil && !to.closing:
			to.received = append(to.received, b...)
		}
		to.changed.Broadcast()
	})
}

// Close ends it at this end. Its reader learns of it a few nanoseconds later, so that several that are closed at one
// instant are told in an order of their own.
func (c *Conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closing {
		return c.fail("close", net.ErrClosed)
	}
	c.closing = true
	c.readDeadline.stop()
	c.writeDeadline.stop()
	if c.broken == nil && !c.writeClosed {
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

// CloseWrite tells the other end that nothing more comes.
func (c *Conn) CloseWrite() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if !c.writeClosed && !c.closing && c.broken == nil {
		c.writeClosed = true
		c.deliver(nil, func(to *Conn) { to.peerEnded = true })
	}
	return nil
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

func (c *Conn) setDeadline(d *deadline, at time.Time) {
	d.stop()
	d.expired = false
	if at.IsZero() {
		return
	}
	if in := time.Until(at); in > 0 {
		var t *time.Timer
		t = time.AfterFunc(in, func() {
			c.net.mu.Lock()
			defer c.net.mu.Unlock()
			if d.timer == t {
				d.expired = true
				c.changed.Broadcast()
			}
		})
		d.timer = t
		return
	}
	d.expired = true
	c.changed.Broadcast()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error {
	c.SetReadDeadline(at) // fails only where the next one does
	return c.SetWriteDeadline(at)
}

// SetReadDeadline implements net.Conn. It fails where this end is closed.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closing {
		return c.fail("set", net.ErrClosed)
	}
	c.setDeadline(&c.readDeadline, at)
	return nil
}

// SetWriteDeadline implements net.Conn. It fails where this end is closed.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closing {
		return c.fail("set", net.ErrClosed)
	}
	c.setDeadline(&c.writeDeadline, at)
	return nil
}
