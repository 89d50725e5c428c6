package node

import (
	"container/list"
	"slices"
)

// restings are all connections that rest, the longest first, so that making room takes no look at every executor.
type restings struct{ byAge list.List }

// rests puts a connection to those that rest, at its executor as well.
func (r *restings) rests(c *conn) {
	c.to.rest = append(c.to.rest, c)
	c.place = r.byAge.PushBack(c)
}

// risen takes one out of them: the i-th of its executor.
func (r *restings) risen(e *executor, i int) *conn {
	c := e.rest[i]
	e.rest = slices.Delete(e.rest, i, i+1)
	r.byAge.Remove(c.place)
	c.place = nil
	return c
}

// oldest is the one that has rested longest: of those since one moment that are the first of their executor, the one
// that was dialled first. Nil where none rests.
func (r *restings) oldest() (c *conn) {
	for at := r.byAge.Front(); at != nil; at = at.Next() {
		o := at.Value.(*conn)
		if c != nil && o.restsAt != c.restsAt {
			break
		}
		if o.to.rest[0] == o && (c == nil || o.id < c.id) {
			c = o
		}
	}
	return c
}
