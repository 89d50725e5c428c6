package node

import (
	"container/list"
	"slices"
)

// idleConns are all connections that rest, the longest first, so that making room takes no look at every executor.
type idleConns struct{ byAge list.List }

// add puts a connection to those that rest, at its executor as well.
func (r *idleConns) add(c *conn) {
	c.executor.idle = append(c.executor.idle, c)
	c.idleElement = r.byAge.PushBack(c)
}

// take takes one out of them: the i-th of its executor.
func (r *idleConns) take(e *executor, i int) *conn {
	c := e.idle[i]
	e.idle = slices.Delete(e.idle, i, i+1)
	r.byAge.Remove(c.idleElement)
	c.idleElement = nil
	return c
}

// oldest is the one that has rested longest: of those since one moment that are the first of their executor, the one
// that was dialled first. Nil where none rests.
func (r *idleConns) oldest() (c *conn) {
	for at := r.byAge.Front(); at != nil; at = at.Next() {
		o := at.Value.(*conn)
		if c != nil && o.idleSince != c.idleSince {
			break
		}
		if o.executor.idle[0] == o && (c == nil || o.id < c.id) {
			c = o
		}
	}
	return c
}
