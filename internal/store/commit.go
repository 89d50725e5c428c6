package store

import "fmt"

// pendingRecordBytes is the estimated size of a pending record without the record's body, in bytes. Pending records count towards
// Options.MaxBytes.
const pendingRecordBytes = 256

// pendingWrite is a record that waits to be committed.
type pendingWrite struct {
	record Record
	done   func(error) // called once, with the result of the commit
}

// Append queues a record. It does not wait for the disk. done is called once the record is on disk or can't be written, and must
// not wait for the disk either. The error passed to done is nil, or wraps ErrFull, ErrFailed or ErrClosed. Only Accepted records
// can fail with ErrFull.
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

// commitLoop commits pending records until Close has been called and no record is pending. All records that are pending at the
// same time share one sync.
func (s *Store) commitLoop() {
	defer close(s.done)
	for {
		batch, failed := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		if failed == nil {
			failed = s.commitOrFail(batch)
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

// commitOrFail commits a batch. After any error the store stays failed until it is opened again.
func (s *Store) commitOrFail(batch []pendingWrite) error {
	err := s.commit(batch)
	if err == nil {
		return nil
	}
	err = fmt.Errorf("%w: %w", ErrFailed, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = err
	return err
}

// commit writes a batch as one frame, syncs the frame and applies its records. Then, if necessary, it starts a new segment and
// compacts the oldest segments.
func (s *Store) commit(batch []pendingWrite) error {
	frame, sizes, err := encodeBatch(batch)
	if err != nil {
		return err
	}
	if err := s.writeAndSync(frame); err != nil {
		return err
	}
	if err := s.applyBatch(batch, sizes, len(frame)); err != nil {
		return err
	}
	return s.compact(false, nil)
}

// encodeBatch encodes a batch as a frame. sizes holds the encoded size of each record in bytes.
func encodeBatch(batch []pendingWrite) (frame []byte, sizes []int, err error) {
	var records []byte
	for _, w := range batch {
		before := len(records)
		if records, err = appendRecord(records, w.record); err != nil {
			return nil, nil, err
		}
		sizes = append(sizes, len(records)-before)
	}
	return encodeFrame(records), sizes, nil
}

// applyBatch applies the records of a synced frame. If the last segment has reached Options.SegmentBytes, applyBatch starts a new
// segment.
func (s *Store) applyBatch(batch []pendingWrite, sizes []int, frameBytes int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range batch {
		s.apply(s.lastSegment, w.record, sizes[i])
	}
	s.segmentBytes[s.lastSegment] += int64(frameBytes)
	s.syncs++
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
