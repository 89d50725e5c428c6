package store

import (
	"errors"
	"fmt"
)

// Errors of a store. They may be wrapped.
var (
	// ErrFull is returned for a new job once the store has reached its bound.
	ErrFull = errors.New("the store is full")
	// ErrFailed is returned for all records after a failed write or sync: nobody knows what it has left on the disk.
	ErrFailed = errors.New("the store is broken: a write or a sync has failed")
	// ErrClosed is returned once the store is closed.
	ErrClosed = errors.New("the store is closed")
	// ErrLocked is returned if another process has the directory.
	ErrLocked = errors.New("another process uses it")
)

// errTorn says that there is no complete frame or segment header at a place.
var errTorn = errors.New("no whole frame")

// CorruptionError is damage that can't be a torn tail: acknowledged records may be lost.
type CorruptionError struct {
	Segment string // its file name
	Offset  int64  // in bytes
	Reason  string
}

// Error says where the damage is.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s, at byte %d: %s; what stood there was acknowledged and is lost", e.Segment, e.Offset, e.Reason)
}
