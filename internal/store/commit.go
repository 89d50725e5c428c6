package store

import (
	"errors"
	"fmt"
)

// pendingRecordBytes is the estimated size of a pending record without the record's body, in bytes. Pending records count towards
// Options.MaxBytes.
const pendingRecordBytes = 256

// pendingWrite is a record that waits to be committed.
type pendingWrite struct {
	record Record
	done   func(error) // called once, with the result of the commit
}

// Append queues a record. It does not wait for the disk. done is called once the record is on disk or can't be written, and must
// not wait for the disk either. The error passed to done is nil, or wraps ErrFull, ErrInvalidRecord, ErrFailed or ErrClosed. Only
// Accepted records can fail with ErrFull.
func (s *Store) Append(r Record, done func(error)) {
	if err := s.enqueue(pendingWrite{r, done}); err != nil {
		done(err)
	}
}

func (s *Store) enqueue(w pendingWrite) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.failed != nil:
		return s.failed
	case s.closing:
		return ErrClosed
	case w.record.Kind == Accepted && s.options.MaxBytes > 0 && s.totalBytes()+s.pendingBytes() > s.options.MaxBytes:
		return ErrFull
	}
	s.pending = append(s.pending, w)
	s.wakeup.Signal()
	return nil
}

// pendingBytes estimates the size of the pending records.
func (s *Store) pendingBytes() (total int64) {
	for _, w := range s.pending {
		total += int64(len(w.record.Body)) + pendingRecordBytes
	}
	return total
}

// commitLoop commits pending records until Close has been called and no record is pending. The records that are pending at the
// same time share as few syncs as frames can hold them.
func (s *Store) commitLoop() {
	defer close(s.done)
	for {
		batch, failed := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		for failed == nil && len(batch) > 0 {
			batch, failed = s.commitNext(batch)
		}
		for _, w := range batch {
			w.done(failed)
		}
	}
}

// nextBatch waits for pending records and takes all of them. The batch is empty if Close has been called and no record is pending.
// failed is the error that made the store fail; it is nil if the store has not failed.
func (s *Store) nextBatch() (batch []pendingWrite, failed error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) == 0 && !s.closing {
		s.wakeup.Wait()
	}
	batch, s.pending = s.pending, nil
	return batch, s.failed
}

// commitNext commits the records at the start of a batch that fit into one frame, and calls their callbacks. A record that can't
// be encoded fails alone. rest holds the records whose callbacks were not called. After any other error the store stays failed
// until it is opened again, and failed is that error.
func (s *Store) commitNext(batch []pendingWrite) (rest []pendingWrite, failed error) {
	frame, rest := s.encodeNext(batch)
	if len(frame.writes) == 0 {
		return rest, nil
	}
	if err := s.commit(frame); err != nil {
		return append(frame.writes, rest...), s.fail(err)
	}
	for _, w := range frame.writes {
		w.done(nil)
	}
	return rest, nil
}

// fail makes the store fail. It returns the error that all later appends get.
func (s *Store) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	return s.failed
}

// commitFrame is the content of one frame.
type commitFrame struct {
	builder frameBuilder
	writes  []pendingWrite
}

// encodeNext encodes the records at the start of a batch that fit into one frame. It calls the callback of each record that
// can't be encoded. rest holds the records that need a further frame.
func (s *Store) encodeNext(batch []pendingWrite) (frame commitFrame, rest []pendingWrite) {
	frame.builder.maxBytes = s.maxFrameBytes
	for i, w := range batch {
		err := frame.builder.add(w.record)
		if errors.Is(err, errFrameFull) {
			return frame, batch[i:]
		}
		if err != nil {
			w.done(err)
			continue
		}
		frame.writes = append(frame.writes, w)
	}
	return frame, nil
}

// commit writes and syncs a frame and applies its records. Then, if necessary, it starts a new segment and compacts the oldest
// segments.
func (s *Store) commit(frame commitFrame) error {
	locations, err := s.writeFrame(&frame.builder)
	if err != nil {
		return err
	}
	s.mu.Lock()
	for i, w := range frame.writes {
		s.apply(locations[i], w.record)
	}
	s.syncs++
	s.mu.Unlock()
	if err := s.startSegmentIfFull(); err != nil {
		return err
	}
	return s.compact(false, nil)
}

// writeFrame writes and syncs a frame to the last segment, and empties the builder. It returns the locations of the records.
func (s *Store) writeFrame(builder *frameBuilder) ([]location, error) {
	frame, locations := builder.take()
	if err := s.writeAndSync(frame); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range locations {
		locations[i].segment = s.lastSegment
		locations[i].offset += s.segmentBytes[s.lastSegment]
	}
	s.segmentBytes[s.lastSegment] += int64(len(frame))
	return locations, nil
}

// startSegmentIfFull starts a new segment if the last one has reached Options.SegmentBytes.
func (s *Store) startSegmentIfFull() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.segmentBytes[s.lastSegment] < s.options.SegmentBytes {
		return nil
	}
	return s.startSegment()
}

func (s *Store) writeAndSync(frame []byte) error {
	if _, err := s.file.Write(frame); err != nil {
		return err
	}
	return s.file.Sync()
}
