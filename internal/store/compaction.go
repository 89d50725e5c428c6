package store

// Compact copies all live records to the last segment and removes all others, however much of them is live. It calls progress,
// unless nil, before it compacts each segment. It must not be called while anything else uses the store.
func (s *Store) Compact(progress func(done, all int)) error { return s.compact(true, progress) }

// compact repeatedly removes the oldest segment while at most half of it is live, or, if all is set, until only the last
// segment is left.
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

// compactionDue returns the number of the oldest segment, and whether that segment is to be compacted.
func (s *Store) compactionDue(all bool) (oldest uint64, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest = s.firstSegment
	return oldest, oldest < s.lastSegment && (all || s.liveBytes[oldest]*2 <= s.segmentBytes[oldest])
}

// compactSegment copies all records of the jobs that begin in the oldest segment to the last one, and removes the oldest one.
func (s *Store) compactSegment(oldest uint64) error {
	records, moved, err := s.liveRecords(oldest)
	if err != nil {
		return err
	}
	var frame []byte
	if len(records) > 0 {
		frame = encodeFrame(records)
		if err := s.writeAndSync(frame); err != nil {
			return err
		}
	}
	if err := s.disk.Remove(segmentName(oldest)); err != nil {
		return err
	}
	if err := s.disk.SyncDir(); err != nil {
		return err
	}
	s.accountCompaction(oldest, moved, len(frame))
	return nil
}

// liveRecords returns the encoded records of all jobs whose first record is in a segment. moved holds the size of the records
// of each job, in bytes.
func (s *Store) liveRecords(segment uint64) (records []byte, moved map[string]int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	moved = map[string]int{}
	for id, extents := range s.extents {
		if extents[0].segment != segment {
			continue
		}
		before := len(records)
		for _, r := range s.jobs[id].Records() {
			if records, err = appendRecord(records, r); err != nil {
				return nil, nil, err
			}
		}
		moved[id] = len(records) - before
	}
	return records, moved, nil
}

// accountCompaction updates the recorded sizes after the jobs in moved were copied to the last segment, as a frame of
// frameBytes (0 if there were no jobs), and the oldest segment was removed.
func (s *Store) accountCompaction(oldest uint64, moved map[string]int, frameBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, size := range moved {
		s.dropExtents(id)
		s.extents[id] = []extent{{s.lastSegment, size}}
		s.liveBytes[s.lastSegment] += int64(size)
	}
	s.segmentBytes[s.lastSegment] += int64(frameBytes)
	delete(s.segmentBytes, oldest)
	delete(s.liveBytes, oldest)
	s.firstSegment = oldest + 1
}
