package memnet

import (
	"net"
	"time"
)

// deadline is a read or write deadline.
type deadline struct {
	timer   *time.Timer // nil if no deadline is set, or if it was in the past
	expired bool
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

// setDeadline sets a deadline. It is called with the network's lock held.
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
	c.SetReadDeadline(at) // if it fails, the next call fails with the same error
	return c.SetWriteDeadline(at)
}

// SetReadDeadline implements net.Conn. It fails if this end is closed.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closing {
		return c.fail("set", net.ErrClosed)
	}
	c.setDeadline(&c.readDeadline, at)
	return nil
}

// SetWriteDeadline implements net.Conn. It fails if this end is closed.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closing {
		return c.fail("set", net.ErrClosed)
	}
	c.setDeadline(&c.writeDeadline, at)
	return nil
}
