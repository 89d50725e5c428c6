package store

import (
	"errors"
	"fmt"
)

// Errors of a store. The store can return them wrapped in other errors.
var (
	// ErrFull is returned for the record of a new job while segments and pending records together exceed Options.MaxBytes.
	ErrFull = errors.New("the store is full")
	// ErrInvalidRecord is returned for a record that can't be encoded. It concerns that record alone.
	ErrInvalidRecord = errors.New("the record can't be stored")
	// ErrFailed is returned for all records after a failed write or sync, because it is unknown which data has reached the disk.
	ErrFailed = errors.New("the store is broken: a write or a sync has failed")
	// ErrClosed is returned by Append and Close after Close has been called.
	ErrClosed = errors.New("the store is closed")
	// ErrLocked is returned if another process has locked the directory.
	ErrLocked = errors.New("another process uses it")
)

// errTorn means that a segment's header is too short, or that bytes don't begin with a complete frame with a correct checksum.
var errTorn = errors.New("incomplete or damaged frame")

// errFrameFull means that a record does not fit into a frame together with the records that the frame already holds.
var errFrameFull = errors.New("the frame is full")

// CorruptionError reports damage that can't be a torn tail. Acknowledged records can be lost.
type CorruptionError struct {
	Segment string // file name of the damaged segment
	Offset  int64  // position of the damage in the segment, in bytes
	Reason  string // what is damaged or missing
}

// Error returns the position and the reason of the damage.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s, at byte %d: %s; what stood there was acknowledged and is lost", e.Segment, e.Offset, e.Reason)
}
