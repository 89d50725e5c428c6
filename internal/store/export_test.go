package store

// MaxFrameBytes is the largest size of the records of a frame that is written.
const MaxFrameBytes = maxFrameBytes

// SetMaxFrameBytes changes the largest size of a frame's records, so that a test needs fewer records for several frames. It must be
// called before the store is used.
func (s *Store) SetMaxFrameBytes(n int) { s.maxFrameBytes = n }
