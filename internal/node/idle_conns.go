package node

import (
	"container/list"
	"slices"
)

// idleConns is the list of all idle connections, the longest idle first. With this list, the oldest idle connection is
// found without a pass over all executors. idleConns also maintains each executor's own list, executor.idle, in the
// same order.
type idleConns struct{ byAge list.List }

// add appends a connection that has just become idle.
func (l *idleConns) add(c *conn) {
	c.executor.idle = append(c.executor.idle, c)
	c.idleElement = l.byAge.PushBack(c)
}

// take removes and returns the i-th idle connection of an executor.
func (l *idleConns) take(e *executor, i int) *conn {
	c := e.idle[i]
	e.idle = slices.Delete(e.idle, i, i+1)
	l.byAge.Remove(c.idleElement)
	c.idleElement = nil
	return c
}

// oldest returns the connection that has been idle for longest, or nil if none is idle. Of several that became idle at
// the same time, it considers only the first one in each executor's list. Among these it returns the one that was
// dialed first.
func (l *idleConns) oldest() (oldest *conn) {
	for element := l.byAge.Front(); element != nil; element = element.Next() {
		c := element.Value.(*conn)
		if oldest != nil && c.idleSince != oldest.idleSince {
			break
		}
		if c.executor.idle[0] == c && (oldest == nil || c.id < oldest.id) {
			oldest = c
		}
	}
	return oldest
}
