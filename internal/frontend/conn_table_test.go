package frontend

import (
	"net"
	"net/http"
	"testing"
)

// TestRequestWhileEvicted receives a batch job on a connection that is being evicted. Another connection must be evicted in its
// place, and the batch job must not count as over the limit.
func TestRequestWhileEvicted(t *testing.T) {
	table := newConnTable(ConnLimits{Max: 8, MaxShared: 4})
	var conns []*clientConn
	for range 9 {
		server, peer := net.Pipe()
		defer peer.Close()
		c := &clientConn{Conn: server}
		conns = append(conns, c)
		table.onStateChange(c, http.StateNew)
	}
	first := table.entries[conns[0]]
	if first.list != table.closingConns {
		t.Fatal("over the limit, the first connection is not being closed")
	}
	if table.jobReceived(conns[0]) {
		t.Error("its batch job is over the limit, although other connections can be evicted")
	}
	if first.list == table.closingConns || table.entries[conns[1]].list != table.closingConns {
		t.Error("the next connection is not evicted in its place")
	}
}
