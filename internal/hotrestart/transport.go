package hotrestart

import (
	"bufio"
	"net"
	"sync"
	"time"

	"birchstair/internal/node"
)

const (
	maxMessageBytes    = 16 << 20 // a list of tens of thousands of executors
	readBufferBytes    = 1 << 10  // at first; it grows up to maxMessageBytes
	sendQueueLen       = 64       // messages to a process that does not read
	maxLinks           = 2        // at which no further successor is taken: descriptors are few
	writeTimeout       = time.Second
	detailLinkClosed   = "link closed"
	firstSuccessorLink = node.Predecessor + 1
)

// Transport holds the links to the other processes of this node. Its methods are safe for concurrent use.
type Transport struct {
	dir    string
	notify func(node.Event)

	mu       sync.Mutex
	nextLink node.HandoffLink
	links    map[node.HandoffLink]*link
	listener *net.UnixListener // nil while no successor can join
	closed   bool
}

// link is one connection. Its reader owns it, and removes it when the connection has ended.
type link struct {
	conn net.Conn
	out  chan node.HandoffMessage
}

// New makes a transport that uses a directory, and sends its events to notify.
func New(dir string, notify func(node.Event)) *Transport {
	return &Transport{dir: dir, notify: notify, nextLink: firstSuccessorLink, links: map[node.HandoffLink]*link{}}
}

// Start opens the link to the predecessor; there is none if the connection is nil.
func (t *Transport) Start(predecessor net.Conn) {
	if predecessor != nil {
		t.open(node.Predecessor, predecessor)
	}
}

// AcceptConnections makes this process the one that a successor joins; false does nothing, since the successor takes the
// socket's name over. If the socket can't be had, none can join, and the process goes
// on without.
func (t *Transport) AcceptConnections(accept bool) {
	if !accept {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	if t.listener != nil {
		t.listener.Close()
	}
	listener, err := listen(t.dir)
	if err != nil {
		return
	}
	t.listener = listener
	go t.accept(listener)
}

// accept opens a link for each successor that joins. It ends with the listener.
func (t *Transport) accept(listener *net.UnixListener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		full := len(t.links) >= maxLinks
		id := t.nextLink
		t.nextLink++
		t.mu.Unlock()
		if full {
			conn.Close()
			continue
		}
		t.open(id, conn)
	}
}

// open adds a link and starts its reader and its writer, which end with the connection.
func (t *Transport) open(id node.HandoffLink, conn net.Conn) {
	l := &link{conn: conn, out: make(chan node.HandoffMessage, sendQueueLen)}
	t.mu.Lock()
	t.links[id] = l
	t.mu.Unlock()
	t.notify(node.HandoffLinkUp{Link: id}) // before any other event, so that the reducer answers nothing without knowing of the link
	go t.read(id, l)
	go l.write()
}

// read receives messages until the link ends, and removes it then.
func (t *Transport) read(id node.HandoffLink, l *link) {
	detail := detailLinkClosed
	if err := t.receive(id, l.conn); err != nil {
		detail = err.Error()
	}
	l.conn.Close()
	t.mu.Lock()
	delete(t.links, id)
	close(l.out)
	t.mu.Unlock()
	t.notify(node.HandoffLinkDown{Link: id, Detail: detail})
}

// receive notifies the node of each message. It returns nil if the other process closed the link.
func (t *Transport) receive(id node.HandoffLink, conn net.Conn) error {
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 0, readBufferBytes), maxMessageBytes)
	for lines.Scan() {
		message, err := decode(lines.Bytes())
		if err != nil {
			return err
		}
		t.notify(node.HandoffReceived{Link: id, Message: message})
	}
	return lines.Err()
}

// write sends the queued messages. After an error it closes the connection, whose reader then removes the link.
func (l *link) write() {
	for message := range l.out {
		line, err := encode(message)
		if err == nil {
			l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err = l.conn.Write(line)
		}
		if err != nil {
			l.conn.Close()
		}
	}
}

// Send queues a message. The link to a process that reads nothing is closed.
func (t *Transport) Send(to node.HandoffLink, message node.HandoffMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[to]
	if l == nil {
		return
	}
	select {
	case l.out <- message:
	default:
		l.conn.Close()
	}
}

// CloseLink closes a link.
func (t *Transport) CloseLink(id node.HandoffLink) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[id]; l != nil {
		l.conn.Close()
	}
}

// Close closes all links and the socket.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.listener != nil {
		t.listener.Close()
	}
	for _, l := range t.links {
		l.conn.Close()
	}
}
