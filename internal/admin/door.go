// Package admin is the door for the staff that runs a node: one line to a connection, one answer, closed. Calls go
// to the reducer as events, answers come back as effects. door.go holds the callers, codec.go the words.
package admin

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"birchstair/internal/node"
)

const (
	lineSpell  = 5 * time.Second // a call that is not whole by then does not come
	writeSpell = time.Second     // an answer that has not gone out by then does not
	againSpell = 20 * time.Millisecond
)

// Door takes operators' calls. Over its most the one goes that came first and has not finished its call: guards against
// callers that connect and say nothing, which must not keep others out.
type Door struct {
	tell func(node.Event)
	most int

	mu      sync.Mutex
	last    node.AdminCallID
	callers map[node.AdminCallID]*caller
	silent  *list.List // of *caller: those whose call is not whole yet, the first at the front
	room    *sync.Cond
	ended   bool
	on      net.Listener
}

// caller is one connection. Its goroutine owns it and closes it.
type caller struct {
	conn   net.Conn
	at     *list.Element // in silent, or nil
	answer chan node.AdminReply
}

// New makes a door for so many callers at a time; tell must not wait behind batch jobs.
func New(most int, tell func(node.Event)) *Door {
	d := &Door{tell: tell, most: most, callers: map[node.AdminCallID]*caller{}, silent: list.New()}
	d.room = sync.NewCond(&d.mu)
	return d
}

// Serve takes calls until the door is closed.
func (d *Door) Serve(on net.Listener) {
	d.mu.Lock()
	d.on = on
	if d.ended {
		on.Close()
	}
	d.mu.Unlock()
	for {
		conn, err := on.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // no descriptor is left, or the caller has gone: the next may come through
			time.Sleep(againSpell)
			continue
		}
		d.enter(conn)
	}
}

// Close ends the door; callers in hand go with it.
func (d *Door) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	if d.on != nil {
		d.on.Close()
	}
	for _, c := range d.callers {
		c.conn.Close()
	}
	d.room.Broadcast()
}

// enter makes a place for a caller, and room for it first.
func (d *Door) enter(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.callers) >= d.most && !d.ended {
		if first := d.silent.Front(); first != nil {
			first.Value.(*caller).conn.Close() // its owner gives its place back
			d.heard(first.Value.(*caller))
		}
		d.room.Wait()
	}
	if d.ended {
		conn.Close()
		return
	}
	d.last++
	c := &caller{conn: conn, answer: make(chan node.AdminReply, 1)}
	c.at = d.silent.PushBack(c)
	d.callers[d.last] = c
	go d.serve(d.last, c)
}

// heard takes a caller out of those whose call is not whole.
func (d *Door) heard(c *caller) {
	if c.at != nil {
		d.silent.Remove(c.at)
		c.at = nil
	}
}

func (d *Door) serve(id node.AdminCallID, c *caller) {
	defer func() {
		c.conn.Close()
		d.mu.Lock()
		d.heard(c)
		delete(d.callers, id)
		d.room.Signal()
		d.mu.Unlock()
	}()
	c.conn.SetReadDeadline(time.Now().Add(lineSpell))
	line, err := bufio.NewReader(io.LimitReader(c.conn, longestLine)).ReadString('\n')
	d.mu.Lock()
	d.heard(c)
	d.mu.Unlock()
	var answer []byte
	switch {
	case err != nil && len(line) < longestLine:
		answer = no("a call is a line, and this one has no end")
	case err != nil:
		answer = no("the line is too long")
	default:
		answer = d.ask(id, c, line)
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeSpell))
	c.conn.Write(answer) //nolint:errcheck // a caller that has left needs no answer
}

// ask hands a call to the reducer and waits for what it says.
func (d *Door) ask(id node.AdminCallID, c *caller, line string) []byte {
	order, executor, err := decode(line)
	if err != nil {
		return no(err.Error())
	}
	d.tell(node.AdminCalled{Caller: id, Command: order, Executor: executor})
	select {
	case r := <-c.answer:
		return encode(r)
	case <-time.After(writeSpell):
		return no("the node is ending")
	}
}

// Reply gives a caller its answer.
func (d *Door) Reply(r node.AdminReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.callers[r.Caller]; c != nil {
		select {
		case c.answer <- r:
		default:
		}
	}
}
