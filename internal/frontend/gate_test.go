package frontend

import (
	"net"
	"net/http"
	"testing"
)

// A connection is let go in a crowd, and its batch job has come just then: another that is silent goes in its place, and the batch job
// is not pushed back for want of room.
func TestCameAsLetGo(t *testing.T) {
	g := newGate(Budget{Whole: 8, Half: 4})
	var all []*watched
	for range 9 {
		here, there := net.Pipe()
		defer there.Close()
		c := &watched{Conn: here}
		all = append(all, c)
		g.turned(c, http.StateNew)
	}
	first := g.places[all[0]]
	if first.in != g.leaving {
		t.Fatal("over the budget, the first was not let go")
	}
	if g.came(all[0]) {
		t.Error("its batch job is pushed back, though others rest")
	}
	if first.in == g.leaving || g.places[all[1]].in != g.leaving {
		t.Error("the next one was not let go in its place")
	}
}
