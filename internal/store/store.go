package store

import (
	"errors"
	"io"
	"sync"
)

// Options bound a store.
type Options struct {
	SegmentBytes int64 // size of a segment in bytes, about: one that has reached it gets no more frames
	MaxBytes     int64 // size of all segments in bytes, over which no new job is accepted; 0 for no bound
}

// Store is an open store. Its methods are safe for concurrent use, but for Compact.
type Store struct {
	disk    Disk
	options Options
	lock    io.Closer

	// Of the goroutine that commits, and of Compact.
	file File // the last segment

	mu           sync.Mutex
	wakeup       *sync.Cond // signaled when pending grows, or closing is set
	pending      []pendingWrite
	closing      bool
	failed       error // wraps ErrFailed; nil while all is well
	jobs         JobStates
	extents      map[string][]extent // where the live records of each job are, in the order of the segments
	liveBytes    map[uint64]int64    // of records, by segment
	segmentBytes map[uint64]int64    // by segment
	firstSegment uint64
	lastSegment  uint64
	syncs        int

	done chan struct{} // closed when the goroutine that commits has ended
}

// extent is how many bytes of a job's live records are in a segment.
type extent struct {
	segment uint64
	bytes   int
}

// Open opens a store, or creates one in an empty directory. A torn tail is truncated; other damage is an error.
func Open(disk Disk, options Options) (*Store, error) {
	lock, err := disk.Lock()
	if err != nil {
		return nil, err
	}
	s := &Store{
		disk:         disk,
		options:      options,
		lock:         lock,
		jobs:         JobStates{},
		extents:      map[string][]extent{},
		liveBytes:    map[uint64]int64{},
		segmentBytes: map[uint64]int64{},
		done:         make(chan struct{}),
	}
	s.wakeup = sync.NewCond(&s.mu)
	if err := s.recoverSegments(); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	go s.commitLoop()
	return s, nil
}

// Close commits what is pending and gives the directory back.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return ErrClosed
	}
	s.closing = true
	s.wakeup.Signal()
	s.mu.Unlock()
	<-s.done
	return errors.Join(s.file.Close(), s.lock.Close())
}

// Get is the state of a batch job on disk.
func (s *Store) Get(id string) (JobState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if job := s.jobs[id]; job != nil {
		return job.clone(), true
	}
	return JobState{}, false
}

// ForEach calls each with the state of every batch job, in no order.
func (s *Store) ForEach(each func(JobState)) {
	s.mu.Lock()
	var jobs []JobState
	for _, job := range s.jobs {
		jobs = append(jobs, job.clone())
	}
	s.mu.Unlock()
	for _, job := range jobs {
		each(job)
	}
}

// Stats describe a store.
type Stats struct {
	Jobs     int
	Bytes    int64 // of all segments
	Segments int
	Syncs    int   // of frames, since it was opened
	Failed   error // wraps ErrFailed; nil while all is well
}

// Stats returns the store's current statistics.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Jobs:     len(s.jobs),
		Bytes:    s.totalBytes(),
		Segments: len(s.segmentBytes),
		Syncs:    s.syncs,
		Failed:   s.failed,
	}
}

// totalBytes is the size of all segments.
func (s *Store) totalBytes() (total int64) {
	for _, size := range s.segmentBytes {
		total += size
	}
	return total
}

// apply applies a record, and accounts for its bytes.
func (s *Store) apply(segment uint64, r Record, size int) {
	s.jobs.Apply(r)
	if s.jobs[r.ID] == nil {
		s.dropExtents(r.ID)
		return
	}
	extents := s.extents[r.ID]
	if last := len(extents) - 1; last >= 0 && extents[last].segment == segment {
		extents[last].bytes += size
	} else {
		s.extents[r.ID] = append(extents, extent{segment, size})
	}
	s.liveBytes[segment] += int64(size)
}

// dropExtents takes a job's records out of the live ones.
func (s *Store) dropExtents(id string) {
	for _, e := range s.extents[id] {
		s.liveBytes[e.segment] -= int64(e.bytes)
	}
	delete(s.extents, id)
}
