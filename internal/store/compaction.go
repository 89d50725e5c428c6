package store

import (
	"errors"
	"slices"
)

// Compact copies all live records to the last segment and removes all other segments, even those that are mostly live. It calls
// progress before it compacts each segment, unless progress is nil. It must not be called while anything else uses the store.
func (s *Store) Compact(progress func(done, all int)) error { return s.compact(true, progress) }

// compact compacts the oldest segment repeatedly, as long as at most half of that segment is live. If all is set, it continues
// until only the last segment is left.
func (s *Store) compact(all bool, progress func(done, all int)) error {
	first, last := s.firstSegment, s.lastSegment
	for {
		oldest, due := s.compactionDue(all)
		if !due {
			return nil
		}
		if progress != nil {
			progress(int(oldest-first)+1, int(last-first))
		}
		if err := s.compactSegment(oldest); err != nil {
			return err
		}
	}
}

// compactionDue returns the number of the oldest segment, and whether that segment must be compacted now.
func (s *Store) compactionDue(all bool) (oldest uint64, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest = s.firstSegment
	return oldest, oldest < s.lastSegment && (all || s.liveBytes[oldest]*2 <= s.segmentBytes[oldest])
}

// compactSegment compacts the oldest segment. It copies all records of the jobs whose first record is in that segment to the last
// segment, and then removes the oldest segment. The copies are written as frames of at most maxFrameBytes, so that the memory
// needed does not depend on the segment. If the process crashes between two frames, recovery finds some records twice, and ignores
// the copies.
func (s *Store) compactSegment(oldest uint64) error {
	frame := frameBuilder{maxBytes: s.maxFrameBytes}
	moved := map[string]int{}
	for _, id := range s.jobsStartingIn(oldest) {
		size, err := s.copyJob(id, &frame)
		if err != nil {
			return err
		}
		moved[id] = size
	}
	if err := s.writeCopies(&frame); err != nil {
		return err
	}
	if err := s.disk.Remove(segmentName(oldest)); err != nil {
		return err
	}
	if err := s.disk.SyncDir(); err != nil {
		return err
	}
	s.accountCompaction(oldest, moved)
	return nil
}

// jobsStartingIn returns the IDs of all jobs whose first record is in a segment, in ascending order.
func (s *Store) jobsStartingIn(segment uint64) (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, extents := range s.extents {
		if extents[0].segment == segment {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// copyJob adds all records of a job to a frame, and writes the frame whenever it is full. It returns the encoded size of the records
// in bytes.
func (s *Store) copyJob(id string, frame *frameBuilder) (total int, err error) {
	job, _ := s.Get(id)
	for _, r := range job.Records() {
		size, err := frame.add(r)
		if errors.Is(err, errFrameFull) {
			if err := s.writeCopies(frame); err != nil {
				return total, err
			}
			size, err = frame.add(r)
		}
		if err != nil {
			return total, err
		}
		total += size
	}
	return total, nil
}

// writeCopies writes and syncs a frame of copied records, if there are any.
func (s *Store) writeCopies(frame *frameBuilder) error {
	encoded := frame.take()
	if len(encoded) == 0 {
		return nil
	}
	if err := s.writeAndSync(encoded); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segmentBytes[s.lastSegment] += int64(len(encoded))
	return nil
}

// accountCompaction updates the sizes of segments and live records after a compaction, which has copied the jobs in moved to the
// last segment and removed the oldest one. moved maps each job's ID to the size of its records in bytes.
func (s *Store) accountCompaction(oldest uint64, moved map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, size := range moved {
		s.dropExtents(id)
		s.extents[id] = []extent{{s.lastSegment, size}}
		s.liveBytes[s.lastSegment] += int64(size)
	}
	delete(s.segmentBytes, oldest)
	delete(s.liveBytes, oldest)
	s.firstSegment = oldest + 1
}
