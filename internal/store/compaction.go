package store

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
// segment, and then removes the oldest segment.
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

// liveRecords returns the encoded records of all jobs whose first record is in a segment, including the records of these jobs in
// later segments. moved maps each job's ID to the size of the job's records in bytes.
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

// accountCompaction updates the sizes of segments and live records after a compaction. The compaction has removed the oldest
// segment, and has copied the records of the jobs in moved to the last segment. frameBytes is the size of the frame with the
// copied records. It is 0 if no job was moved.
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
