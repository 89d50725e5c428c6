package store

import "errors"

// recoverSegments reads all segments and starts a new segment. Records are appended only to the new segment, because a crash may
// have left the others incomplete.
func (s *Store) recoverSegments() error {
	segments, err := scan(s.disk, s.apply)
	if err != nil {
		return err
	}
	for _, segment := range segments {
		if err := s.recoverSegment(segment); err != nil {
			return err
		}
	}
	if s.firstSegment == 0 {
		s.firstSegment = s.lastSegment + 1
	}
	return s.startSegment()
}

// recoverSegment adds a segment that Scan has found to the store, and truncates the segment's torn tail, if there is one. A segment
// without a complete header is removed instead. Such a segment holds no records, because the crash came while the segment was
// being created.
func (s *Store) recoverSegment(segment Segment) error {
	if segment.Torn && segment.CompleteBytes == 0 {
		s.lastSegment = segment.Number - 1
		return errors.Join(s.disk.Remove(segment.Name), s.disk.SyncDir())
	}
	if segment.Torn {
		if err := s.disk.Truncate(segment.Name, segment.CompleteBytes); err != nil {
			return err
		}
	}
	s.segmentBytes[segment.Number] = segment.CompleteBytes
	if s.firstSegment == 0 {
		s.firstSegment = segment.Number
	}
	s.lastSegment = segment.Number
	return nil
}

// startSegment creates the next segment. The segment's header and file name are synced before any record is written to it.
func (s *Store) startSegment() error {
	number := s.lastSegment + 1
	file, err := s.disk.Create(segmentName(number))
	if err != nil {
		return err
	}
	if err := s.writeHeader(file, number); err != nil {
		return errors.Join(err, file.Close())
	}
	if s.file != nil {
		s.file.Close() //nolint:errcheck // all of the file has been synced, so an error loses no data
	}
	s.file = file
	s.lastSegment = number
	s.segmentBytes[number] = segmentHeaderBytes
	return nil
}

func (s *Store) writeHeader(file File, number uint64) error {
	if _, err := file.Write(encodeSegmentHeader(number)); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return s.disk.SyncDir()
}
