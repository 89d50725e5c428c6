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
	salt          time.Duration

	changed *sync.Cond // under the network's lock
	in      []byte
	ended   bool  // the other end sends nothing more
	err     error // it is broken
	closing bool  // closed here; its reader is told in a moment
	closed  bool
	half    bool      // this end sends nothing more
	unread  int       // bytes sent, and not read by the other end yet
	last    time.Time // when what was sent last arrives
	silent  bool      // what is sent is lost on the way
	breaks  Break     // at the next use
	read    deadline
	write   deadline
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
	timer *time.Timer
	over  bool
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
		case c.read.over:
			return 0, c.fail("read", os.ErrDeadlineExceeded)
		case len(c.in) > 0:
			n := copy(b, c.in)
			if c.in = c.in[n:]; len(c.in) == 0 {
				c.in = nil
			}
			c.peer.unread -= n
			c.peer.changed.Broadcast()
			return n, nil
		case c.err != nil:
			return 0, c.fail("read", c.err)
		case c.ended:
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
	return c.ended || c.err != nil
}

// Write sends; it waits while the other end has too much unread.
func (c *Conn) Write(b []byte) (sent int, err error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	brk := c.breaks
	c.breaks = Whole
	if brk == Within {
		b = b[:len(b)/2]
	}
	for sent < len(b) || brk == Within {
		switch {
		case c.closing:
			return sent, c.fail("write", net.ErrClosed)
		case c.write.over:
			return sent, c.fail("write", os.ErrDeadlineExceeded)
		case c.err != nil:
			return sent, c.fail("write", c.err)
		case c.half:
			return sent, c.fail("write", syscall.EPIPE)
		case sent == len(b): // it breaks here
			c.abandon(false)
			return sent, c.fail("write", syscall.ECONNRESET)
		case c.unread < window:
			n := min(window-c.unread, len(b)-sent)
			c.unread += n
			if brk != Unheard {
				c.arrives(append([]byte(nil), b[sent:sent+n]...), nil)
			}
			sent += n
			continue
		}
		c.changed.Wait()
	}
	if brk == Unheard || brk == Heard {
		c.breakIn(c.salt, brk == Heard)
	}
	return sent, nil
}

// breakIn breaks both ends, this one first; the other after what is on its way to it, or with that lost.
func (c *Conn) breakIn(here time.Duration, heard bool) {
	if !heard {
		c.silent = true
	}
	time.AfterFunc(here, func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		c.abandon(false)
	})
}

// BreakAtUse makes it break at its next use.
func (c *Conn) BreakAtUse(b Break) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.breaks = b
}

// Reset breaks it: this end at once, the other one after what is on its way.
func (c *Conn) Reset() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.abandon(false)
}

// Silence makes all that is sent from this end on be lost on the way.
func (c *Conn) Silence() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.silent = true
}

// SilenceBack makes all that is sent from the other end on be lost on the way.
func (c *Conn) SilenceBack() { c.peer.Silence() }

// abandon breaks this end; the other one sees a reset in its time, or nothing.
func (c *Conn) abandon(silently bool) {
	if c.err != nil || c.closed {
		return
	}
	c.err = syscall.ECONNRESET
	c.in = nil
	c.changed.Broadcast()
	if silently {
		c.silent = true
		return
	}
	c.silent = false
	c.arrives(nil, func(to *Conn) {
		if to.err == nil {
			to.err = syscall.ECONNRESET
		}
	})
}

// arrives brings something to the other end in its time and in order: bytes, or a change of its state.
func (c *Conn) arrives(b []byte, change func(to *Conn)) {
	p := c.net.path(c.host, c.peer.host)
	if p.Lost || c.silent {
		return
	}
	now := time.Now()
	at := now.Add(p.Hold + p.Delay + time.Duration(len(b))*p.PerByte + c.salt)
	if !at.After(c.last) {
		at = c.last.Add(1)
	}
	c.last = at
	time.AfterFunc(at.Sub(now), func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		to := c.peer
		switch {
		case change != nil:
			change(to)
		case to.closing && c.err == nil:
			// Nobody reads it any more there: that end's system answers with a reset.
			to.arrives(nil, func(to *Conn) {
				if to.err == nil {
					to.err = syscall.ECONNRESET
				}
			})
			return
		case to.err == nil && !to.closing:
			to.in = append(to.in, b...)
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
	c.read.stop()
	c.write.stop()
	if c.err == nil && !c.half {
		c.arrives(nil, func(to *Conn) { to.ended = true })
	}
	time.AfterFunc(c.salt, func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		c.closed, c.in = true, nil
		c.changed.Broadcast()
		c.net.sweep()
	})
	return nil
}

// CloseWrite tells the other end that nothing more comes.
func (c *Conn) CloseWrite() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if !c.half && !c.closing && c.err == nil {
		c.half = true
		c.arrives(nil, func(to *Conn) { to.ended = true })
	}
	return nil
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

func (c *Conn) set(d *deadline, at time.Time) {
	d.stop()
	d.over = false
	if at.IsZero() {
		return
	}
	if in := time.Until(at); in > 0 {
		var t *time.Timer
		t = time.AfterFunc(in, func() {
			c.net.mu.Lock()
			defer c.net.mu.Unlock()
			if d.timer == t {
				d.over = true
				c.changed.Broadcast()
			}
		})
		d.timer = t
		return
	}
	d.over = true
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
	c.set(&c.read, at)
	return nil
}

// SetWriteDeadline implements net.Conn. It fails where this end is closed.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closing {
		return c.fail("set", net.ErrClosed)
	}
	c.set(&c.write, at)
	return nil
}
