// Package hotrestart speaks between the processes of one node while one takes over from the other: a Unix socket in a
// directory that both have. The end of a link tells that the other process has ended, however it did. succession.go
// holds the socket and the links, codec.go the words.
package hotrestart

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"birchstair/internal/node"
)

const (
	name        = "birchstair.sock"
	longestPath = 100      // bytes: the system takes few more
	longestWord = 16 << 20 // bytes: a list of tens of thousands
	waiting     = 64       // words to a process that does not read
	most        = 2        // links to younger processes: descriptors are few
	writeSpell  = time.Second
)

// Line holds the links to other processes of this node.
type Line struct {
	dir  string
	tell func(node.Event)

	mu     sync.Mutex
	last   node.HandoffLink
	links  map[node.HandoffLink]*link
	socket *net.UnixListener
	ended  bool
}

// link is one connection; its reader owns it and gives it back.
type link struct {
	conn net.Conn
	out  chan node.HandoffMessage
}

// New makes a line that uses a directory.
func New(dir string, tell func(node.Event)) *Line {
	return &Line{dir: dir, tell: tell, links: map[node.HandoffLink]*link{}}
}

// reach gives a path to a file of the directory that is short enough for a socket, and what to call when it is done with.
func reach(dir, file string) (string, func(), error) {
	path := filepath.Join(dir, file)
	if len(path) <= longestPath {
		return path, func() {}, nil
	}
	d, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), file), func() { d.Close() }, nil
}

// Join connects to the process that runs already. There is none where the socket is missing, or left by a dead one.
func Join(dir string) (net.Conn, error) {
	path, done, err := reach(dir, name)
	if err != nil {
		return nil, err
	}
	defer done()
	return net.DialTimeout("unix", path, writeSpell)
}

// Start begins with the link to the older process, or nil.
func (s *Line) Start(elder net.Conn) {
	if elder != nil {
		s.begin(node.Predecessor, elder)
	}
}

// AcceptConnections makes this process the one that a new one joins.
func (s *Line) AcceptConnections(yes bool) {
	if !yes {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	if s.socket != nil {
		s.socket.Close()
	}
	own := fmt.Sprintf("%s.%d", name, os.Getpid())
	path, done, err := reach(s.dir, own)
	if err != nil {
		return
	}
	defer done()
	os.Remove(path) // of a dead process that had this number
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return
	}
	socket.SetUnlinkOnClose(false) // its name is another's by then
	if err := os.Rename(filepath.Join(s.dir, own), filepath.Join(s.dir, name)); err != nil {
		socket.Close()
		os.Remove(filepath.Join(s.dir, own))
		return
	}
	s.socket = socket
	go s.accept(socket)
}

func (s *Line) accept(socket *net.UnixListener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := len(s.links) >= most
		s.last++
		id := s.last
		s.mu.Unlock()
		if full {
			conn.Close()
			continue
		}
		s.begin(id, conn)
	}
}

func (s *Line) begin(id node.HandoffLink, conn net.Conn) {
	l := &link{conn: conn, out: make(chan node.HandoffMessage, waiting)}
	s.mu.Lock()
	s.links[id] = l
	s.mu.Unlock()
	s.tell(node.HandoffLinkUp{Link: id}) // before anything else is told: the reducer must not say its yes without knowing
	go s.read(id, l)
	go l.write()
}

// read takes in words until the link ends. It is the one that gives it back.
func (s *Line) read(id node.HandoffLink, l *link) {
	in := bufio.NewScanner(l.conn)
	in.Buffer(make([]byte, 0, 1<<10), longestWord)
	detail := "its link has ended"
	for in.Scan() {
		w, err := decode(in.Bytes())
		if err != nil {
			detail = err.Error()
			break
		}
		s.tell(node.HandoffReceived{Link: id, Message: w})
	}
	if err := in.Err(); err != nil && err != io.EOF {
		detail = err.Error()
	}
	l.conn.Close()
	s.mu.Lock()
	delete(s.links, id)
	close(l.out)
	s.mu.Unlock()
	s.tell(node.HandoffLinkDown{Link: id, Detail: detail})
}

func (l *link) write() {
	for w := range l.out {
		b, err := encode(w)
		if err == nil {
			l.conn.SetWriteDeadline(time.Now().Add(writeSpell))
			_, err = l.conn.Write(b)
		}
		if err != nil {
			l.conn.Close() // its reader gives it back
		}
	}
}

// Send says a word. A process that reads nothing is given up.
func (s *Line) Send(to node.HandoffLink, w node.HandoffMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.links[to]; l != nil {
		select {
		case l.out <- w:
		default:
			l.conn.Close()
		}
	}
}

// CloseLink ends a link.
func (s *Line) CloseLink(id node.HandoffLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.links[id]; l != nil {
		l.conn.Close()
	}
}

// Close ends all links and the socket.
func (s *Line) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.socket != nil {
		s.socket.Close()
	}
	for _, l := range s.links {
		l.conn.Close()
	}
}
