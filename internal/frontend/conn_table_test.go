package frontend

import (
	"net"
	"net/http"
	"testing"
)

// TestRequestWhileEvicted has a batch job come on a connection that is just being evicted: another connection is evicted in its
// place, and the batch job is not over the limit.
func TestRequestWhileEvicted(t *testing.T) {
	g := newConnTable(ConnLimits{Max: 8, MaxShared: 4})
	var all []*clientConn
	for range 9 {
		here, there := net.Pipe()
		defer there.Close()
		c := &clientConn{Conn: here}
		all = append(all, c)
		g.onStateChange(c, http.StateNew)
	}
	first := g.entries[all[0]]
	if first.list != g.closingConns {
		t.Fatal("over the budget, the first was not let go")
	}
	if g.jobReceived(all[0]) {
		t.Error("its batch job is pushed back, though others rest")
	}
	if first.list == g.closingConns || g.entries[all[1]].list != g.closingConns {
		t.Error("the next one was not let go in its place")
	}
}
