// Package admin is the operators' interface to a node: a connection carries one command, a line of text, and its reply.
//
// Server (server.go) passes commands to the reducer as events and writes the replies that come back as effects. Call
// (client.go) is the other side, which the program's ops command uses. The protocol's text is in codec.go alone.
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
	readTimeout      = 5 * time.Second       // for a command to come whole
	replyTimeout     = time.Second           // for the reducer's reply
	writeTimeout     = time.Second           // for the reply to be written
	acceptRetryDelay = 20 * time.Millisecond // after an accept that failed
)

// Server serves operators' commands. It has room for a number of callers; beyond that, the one goes whose connection is
// the oldest among those without a complete command, so that callers that connect and send nothing keep no one out.
// Its methods may be called from any goroutine.
type Server struct {
	post       func(node.Event)
	maxCallers int

	mu         sync.Mutex
	changed    *sync.Cond // callers or closed has changed
	lastID     node.AdminCallID
	callers    map[node.AdminCallID]*caller
	incomplete *list.List // of *caller: those without a complete command, the oldest first
	closed     bool
	listener   net.Listener // nil before Serve
}

// caller is a connection. The goroutine of serve owns it and closes it.
type caller struct {
	conn    net.Conn
	element *list.Element // in incomplete, or nil
	reply   chan node.AdminReply
}

// New returns a server for this many callers at a time. post must not queue behind batch jobs; it may block
// while its own queue is full.
func New(maxCallers int, post func(node.Event)) *Server {
	s := &Server{post: post, maxCallers: maxCallers, callers: map[node.AdminCallID]*caller{}, incomplete: list.New()}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Serve accepts callers from l until the server is closed. It blocks. Errors of accept other than the listener's close
// are passed over after a moment: no descriptor may be left, or the caller has gone.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	if s.closed {
		l.Close()
	}
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
		default:
			s.admit(conn)
		}
	}
}

// Close closes the listener and all callers' connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	for _, c := range s.callers {
		c.conn.Close()
	}
	s.changed.Broadcast()
}

// Reply implements node.Admin: it passes a reply to its caller, if that still waits.
func (s *Server) Reply(r node.AdminReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.callers[r.Caller]; c != nil {
		select {
		case c.reply <- r:
		default:
		}
	}
}

// admit waits until there is room for a caller and serves it in a goroutine of its own.
func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.callers) >= s.maxCallers && !s.closed {
		if oldest := s.incomplete.Front(); oldest != nil {
			c := oldest.Value.(*caller)
			c.conn.Close() // its goroutine ends by that and makes room
			s.removeIncomplete(c)
		}
		s.changed.Wait()
	}
	if s.closed {
		conn.Close()
		return
	}
	s.lastID++
	c := &caller{conn: conn, reply: make(chan node.AdminReply, 1)}
	c.element = s.incomplete.PushBack(c)
	s.callers[s.lastID] = c
	go s.serve(s.lastID, c)
}

// removeIncomplete takes a caller off the list of those without a complete command. It is called with the lock held.
func (s *Server) removeIncomplete(c *caller) {
	if c.element != nil {
		s.incomplete.Remove(c.element)
		c.element = nil
	}
}

// serve reads a caller's command, writes the reply and closes the connection.
func (s *Server) serve(id node.AdminCallID, c *caller) {
	defer s.release(id, c)
	c.conn.SetReadDeadline(time.Now().Add(readTimeout))
	line, err := bufio.NewReader(io.LimitReader(c.conn, maxLineBytes)).ReadString('\n')
	s.mu.Lock()
	s.removeIncomplete(c)
	s.mu.Unlock()
	var reply []byte
	switch {
	case err != nil && len(line) < maxLineBytes:
		reply = encodeFailure("a call is a line, and this one has no end")
	case err != nil:
		reply = encodeFailure("the line is too long")
	default:
		reply = s.execute(id, c, line)
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.conn.Write(reply) //nolint:errcheck // a caller that has left needs no reply
}

// release closes a caller's connection and makes room for another.
func (s *Server) release(id node.AdminCallID, c *caller) {
	c.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeIncomplete(c)
	delete(s.callers, id)
	s.changed.Signal()
}

// execute passes a command to the reducer and returns its reply.
func (s *Server) execute(id node.AdminCallID, c *caller, line string) []byte {
	command, executor, err := decode(line)
	if err != nil {
		return encodeFailure(err.Error())
	}
	s.post(node.AdminCalled{Caller: id, Command: command, Executor: executor})
	select {
	case r := <-c.reply:
		return encode(r)
	case <-time.After(replyTimeout):
		return encodeFailure("the node is ending")
	}
}
