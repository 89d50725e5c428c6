package frontend

import "sync/atomic"

// byteBudget bounds the memory that all connections together use for one purpose. Its methods are safe for concurrent use.
type byteBudget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// setLimit changes the limit. What is reserved already stays reserved, even if it is more than the new limit.
func (b *byteBudget) setLimit(bytes int64) { b.limit.Store(bytes) }

// reserve takes bytes from the budget. It returns false, and takes nothing, if too few are left.
func (b *byteBudget) reserve(bytes int64) bool {
	if b.used.Add(bytes) > b.limit.Load() {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// release returns reserved bytes to the budget.
func (b *byteBudget) release(bytes int64) { b.used.Add(-bytes) }
