package scaletest

import (
	"net"
	"sync/atomic"
)

// traffic counts the connections that listeners have accepted, and the bytes read from and written to them.
type traffic struct{ connsAccepted, bytesRead, bytesWritten atomic.Int64 }

// countedListener counts the traffic of its connections.
type countedListener struct {
	net.Listener
	t *traffic
}

// countedConn counts the traffic of a connection.
type countedConn struct {
	net.Conn
	t *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.t.connsAccepted.Add(1)
	return countedConn{c, l.t}, nil
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.bytesRead.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.bytesWritten.Add(int64(n))
	return n, err
}
