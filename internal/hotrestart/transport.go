package hotrestart

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"birchstair/internal/node"
)

const (
	// maxMessageBytes is the maximum size of a message. It is enough for a state whose endpoint list has tens of
	// thousands of executors.
	maxMessageBytes = 16 << 20
	// readBufferBytes is the initial size of a link's read buffer, which grows to up to maxMessageBytes.
	readBufferBytes = 1 << 10
	// sendQueueLen is the maximum number of messages queued for another process. If more are sent, the link is closed.
	sendQueueLen = 1024
	// maxLinks is the maximum number of links. Further successors are rejected, because file descriptors are scarce.
	maxLinks           = 2
	writeTimeout       = time.Second
	acceptRetryDelay   = 5 * time.Millisecond
	detailLinkClosed   = "link closed"
	firstSuccessorLink = node.Predecessor + 1
)

// Transport holds the links to the other processes of this node. Its methods are safe for concurrent use.
type Transport struct {
	dir    string           // directory of the socket
	notify func(node.Event) // receives the transport's events

	mu       sync.Mutex
	nextLink node.HandoffLink           // the ID that the next successor's link gets
	links    map[node.HandoffLink]*link // links that are up
	listener *net.UnixListener          // nil while no successor can connect
	closed   bool                       // whether Close has been called
}

// link is a connection to another process. When the connection has ended, Transport.read removes the link.
type link struct {
	conn net.Conn
	out  chan node.HandoffMessage // messages queued for writing
}

// New creates a transport whose socket is in dir. It passes its events to notify.
func New(dir string, notify func(node.Event)) *Transport {
	return &Transport{dir: dir, notify: notify, nextLink: firstSuccessorLink, links: map[node.HandoffLink]*link{}}
}

// Start opens the link to the predecessor. If there is no predecessor, the connection is nil and Start does nothing.
func (t *Transport) Start(predecessor net.Conn) {
	if predecessor != nil {
		t.open(node.Predecessor, predecessor)
	}
}

// AcceptConnections makes this process the one that a successor connects to, if accept is true. If accept is false, it
// does nothing, because the successor takes over the name of the socket. If listening fails, the process continues, but
// no successor can connect to it.
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

// accept opens a link for each successor that connects. It returns when the listener is closed.
func (t *Transport) accept(listener *net.UnixListener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the machine is short of something, or the successor has ended
			time.Sleep(acceptRetryDelay)
			continue
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

// open adds a link, and starts one goroutine that reads from its connection and one that writes to it. Both end when
// the connection closes.
func (t *Transport) open(id node.HandoffLink, conn net.Conn) {
	l := &link{conn: conn, out: make(chan node.HandoffMessage, sendQueueLen)}
	t.mu.Lock()
	t.links[id] = l
	t.mu.Unlock()
	// This event must come before all others of the link, because the node ignores events of a link that it doesn't
	// know.
	t.notify(node.HandoffLinkUp{Link: id})
	go t.read(id, l)
	go l.write()
}

// read receives messages until the connection ends. Then it removes the link.
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

// receive passes each message to notify. It returns nil when the other process has closed the connection.
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

// write writes the queued messages. After an error it closes the connection, which causes Transport.read to remove the
// link.
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

// Send queues a message. If the other process doesn't read its messages and the queue is full, the link is closed.
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
