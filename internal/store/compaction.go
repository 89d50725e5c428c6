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
		if err := s.compactSegment(oldest, !all); err != nil {
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
// segment, and then removes the oldest segment. If split is set, it starts a new segment whenever the last one is full. The copies
// are written as frames of at most maxFrameBytes, so that the memory needed does not depend on the segment. If the process crashes
// between two frames, recovery finds some records twice, and ignores the copies.
func (s *Store) compactSegment(oldest uint64, split bool) error {
	c := compaction{store: s, split: split, frame: frameBuilder{maxBytes: s.maxFrameBytes}, moved: map[string]*movedJob{}}
	for _, id := range s.jobsStartingIn(oldest) {
		if err := c.copyJob(id); err != nil {
			return err
		}
	}
	if err := c.writeFrame(); err != nil {
		return err
	}
	s.relocate(c.moved) // before the segment is removed, because Result reads from where a result is
	if err := s.disk.Remove(segmentName(oldest)); err != nil {
		return err
	}
	if err := s.disk.SyncDir(); err != nil {
		return err
	}
	s.forgetSegment(oldest)
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

// compaction is the state of the compaction of one segment.
type compaction struct {
	store  *Store
	split  bool
	frame  frameBuilder
	copies []recordKey // records in the frame
	moved  map[string]*movedJob
}

// recordKey names a record that is copied.
type recordKey struct {
	id   string
	kind Kind
}

// movedJob is where the copies of a job's records are.
type movedJob struct {
	extents []extent
	result  location // location of the Final record, if the job has one
}

// copyJob adds all records of a job to the frame, and writes the frame whenever it is full.
func (c *compaction) copyJob(id string) error {
	job, _ := c.store.Get(id)
	for _, r := range job.Records() {
		if r.Kind == Final {
			result, err := c.store.Result(id)
			if err != nil {
				return err
			}
			r.Body = result
		}
		if err := c.copyRecord(r); err != nil {
			return err
		}
	}
	return nil
}

func (c *compaction) copyRecord(r Record) error {
	err := c.frame.add(r)
	if errors.Is(err, errFrameFull) {
		if err := c.writeFrame(); err != nil {
			return err
		}
		err = c.frame.add(r)
	}
	if err != nil {
		return err
	}
	c.copies = append(c.copies, recordKey{r.ID, r.Kind})
	return nil
}

// writeFrame writes and syncs the frame, if it has any records, and notes where they are.
func (c *compaction) writeFrame() error {
	if len(c.copies) == 0 {
		return nil
	}
	locations, err := c.store.writeFrame(&c.frame)
	if err != nil {
		return err
	}
	for i, key := range c.copies {
		c.place(key, locations[i])
	}
	c.copies = c.copies[:0]
	if !c.split {
		return nil
	}
	return c.store.startSegmentIfFull()
}

// place notes where the copy of a record is.
func (c *compaction) place(key recordKey, at location) {
	job := c.moved[key.id]
	if job == nil {
		job = &movedJob{}
		c.moved[key.id] = job
	}
	job.extents = addExtent(job.extents, at)
	if key.kind == Final {
		job.result = at
	}
}

// relocate updates the locations of the records of jobs that were copied.
func (s *Store) relocate(moved map[string]*movedJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, job := range moved {
		s.dropExtents(id)
		s.extents[id] = job.extents
		for _, e := range job.extents {
			s.liveBytes[e.segment] += int64(e.bytes)
		}
		if _, ok := s.results[id]; ok {
			s.results[id] = job.result
		}
	}
}

// forgetSegment removes a segment that is no longer on disk, the oldest one, from the counts of bytes.
func (s *Store) forgetSegment(oldest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.segmentBytes, oldest)
	delete(s.liveBytes, oldest)
	s.firstSegment = oldest + 1
}
