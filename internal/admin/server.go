// Package admin implements the operators' interface to a node. Each connection carries one command, which is a line of text, and
// the reply to that command.
//
// Server (server.go) posts commands as events to the node's state machine, and writes the replies that the state machine returns.
// Call (client.go) is the client side, which the program's ops command uses. All text of the protocol is in codec.go.
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
	readTimeout      = 5 * time.Second       // time limit for the arrival of a complete command
	replyTimeout     = time.Second           // time limit for the state machine's reply
	writeTimeout     = time.Second           // time limit for writing the reply
	acceptRetryDelay = 20 * time.Millisecond // wait after a failed accept
)

// Server serves operators' commands. The number of callers at a time is limited. When another caller connects at the limit, the
// oldest connection without a complete command is evicted, so that callers that send nothing don't keep others out. The methods
// are safe for concurrent use.
type Server struct {
	post       func(node.Event)
	maxCallers int

	mu         sync.Mutex
	changed    *sync.Cond // signaled when callers or closed has changed
	lastID     node.AdminCallID
	callers    map[node.AdminCallID]*caller
	incomplete *list.List // callers (*caller) without a complete command, oldest first
	closed     bool
	listener   net.Listener // nil before Serve
}

// caller is a caller's connection. The goroutine that runs serve owns the connection and closes it.
type caller struct {
	conn    net.Conn
	element *list.Element // the caller's element of Server.incomplete; nil if the caller is not in that list
	reply   chan node.AdminReply
}

// New returns a server for at most maxCallers callers at a time. post must not queue commands behind batch jobs. It can block
// while the queue for commands is full.
func New(maxCallers int, post func(node.Event)) *Server {
	s := &Server{post: post, maxCallers: maxCallers, callers: map[node.AdminCallID]*caller{}, incomplete: list.New()}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Serve accepts callers from l until the server is closed. It blocks. If an accept fails for another reason, Serve tries again
// after acceptRetryDelay, because such errors are temporary: the process has no descriptor left, or the caller has left.
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

// Reply implements node.Admin: it passes a reply to its caller, if the caller still waits for one.
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

// admit waits until the number of callers is below the limit, and then serves the new caller in a new goroutine.
func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.callers) >= s.maxCallers && !s.closed {
		if oldest := s.incomplete.Front(); oldest != nil {
			c := oldest.Value.(*caller)
			c.conn.Close() // the read in the goroutine that serves c then fails, and that goroutine removes c
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

// removeIncomplete removes a caller from Server.incomplete. It is called with the lock held.
func (s *Server) removeIncomplete(c *caller) {
	if c.element != nil {
		s.incomplete.Remove(c.element)
		c.element = nil
	}
}

// serve reads a caller's command, writes the reply and closes the connection.
func (s *Server) serve(id node.AdminCallID, c *caller) {
	defer s.removeCaller(id, c)
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

// removeCaller closes a caller's connection and removes the caller, so that another one can be admitted.
func (s *Server) removeCaller(id node.AdminCallID, c *caller) {
	c.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeIncomplete(c)
	delete(s.callers, id)
	s.changed.Signal()
}

// execute posts a command to the state machine, waits for the reply and returns it encoded.
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
