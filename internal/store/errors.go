package store

import (
	"errors"
	"fmt"
)

// Errors of a store. They may be wrapped.
var (
	// ErrFull is returned for the record of a new job while the segments and the pending records exceed Options.MaxBytes.
	ErrFull = errors.New("the store is full")
	// ErrFailed is returned for all records after a failed write or sync, because it is unknown what has reached the disk.
	ErrFailed = errors.New("the store is broken: a write or a sync has failed")
	// ErrClosed is returned once Close has been called.
	ErrClosed = errors.New("the store is closed")
	// ErrLocked is returned if another process has locked the directory.
	ErrLocked = errors.New("another process uses it")
)

// errTorn is returned for a segment header that is too short, and for bytes that don't begin with a complete, valid frame.
var errTorn = errors.New("incomplete or damaged frame")

// CorruptionError reports damage that can't be a torn tail, so that acknowledged records may be lost.
type CorruptionError struct {
	Segment string // file name of the damaged segment
	Offset  int64  // position of the damage in the segment, in bytes
	Reason  string
}

// Error returns the position of the damage and its reason.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s, at byte %d: %s; what stood there was acknowledged and is lost", e.Segment, e.Offset, e.Reason)
}
