package store

import (
	"errors"
	"io"
	"sync"
)

// Options holds the size limits of a store.
type Options struct {
	// SegmentBytes is the approximate size of a segment in bytes. A commit starts a new segment if the last segment has reached
	// this size. Compaction can make the last segment larger.
	SegmentBytes int64
	// MaxBytes limits the total size of segments and pending records in bytes. Above this limit, no new job is accepted.
	// 0 means no limit.
	MaxBytes int64
}

// Store is an open store. All of its methods except Compact are safe for concurrent use.
type Store struct {
	disk          Disk
	options       Options
	lock          io.Closer
	maxFrameBytes int // largest size of a frame's records; maxFrameBytes, unless a test changes it

	file File // file of the last segment; used only by commitLoop, and by Compact while nothing else uses the store

	mu           sync.Mutex
	wakeup       *sync.Cond     // signaled when pending grows or closing is set
	pending      []pendingWrite // records that the next commit will write
	closing      bool           // Close has been called
	failed       error          // the error that made the store fail, wrapping ErrFailed; nil if it has not failed
	jobs         JobStates
	extents      map[string][]extent // extents of each job, by job ID, in ascending order of segments
	results      map[string]location // locations of the Final records, by job ID
	liveBytes    map[uint64]int64    // size of the live records in each segment, by segment number
	segmentBytes map[uint64]int64    // size of each segment, by segment number
	firstSegment uint64              // number of the oldest segment
	lastSegment  uint64              // number of the newest segment, to which records are written
	syncs        int                 // number of frames synced since the store was opened, not counting those of compaction

	done chan struct{} // closed when commitLoop returns
}

// extent is the size of a job's live records in one segment.
type extent struct {
	segment uint64
	bytes   int
}

// Open opens a store, or creates one in an empty directory. A torn tail of the last segment is truncated. Any other damage is
// returned as an error.
func Open(disk Disk, options Options) (*Store, error) {
	lock, err := disk.Lock()
	if err != nil {
		return nil, err
	}
	s := &Store{
		disk:          disk,
		options:       options,
		lock:          lock,
		maxFrameBytes: maxFrameBytes,
		jobs:          JobStates{},
		extents:       map[string][]extent{},
		results:       map[string]location{},
		liveBytes:     map[uint64]int64{},
		segmentBytes:  map[uint64]int64{},
		done:          make(chan struct{}),
	}
	s.wakeup = sync.NewCond(&s.mu)
	if err := s.recoverSegments(); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	go s.commitLoop()
	return s, nil
}

// Close commits the pending records, closes the last segment and unlocks the directory.
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

// Get returns the state of a batch job, as it is on disk, without the result. It returns false if the store has no such job.
func (s *Store) Get(id string) (JobState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if job := s.jobs[id]; job != nil {
		return job.clone(), true
	}
	return JobState{}, false
}

// ForEach calls visit with the state of every batch job, without the result, in no particular order.
func (s *Store) ForEach(visit func(JobState)) {
	s.mu.Lock()
	var jobs []JobState
	for _, job := range s.jobs {
		jobs = append(jobs, job.clone())
	}
	s.mu.Unlock()
	for _, job := range jobs {
		visit(job)
	}
}

// Stats describes the size and the health of a store.
type Stats struct {
	Jobs     int
	Bytes    int64 // total size of all segments
	Segments int
	Syncs    int   // number of frames synced since the store was opened, not counting those of compaction
	Failed   error // the error that made the store fail, wrapping ErrFailed; nil if it has not failed
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

// totalBytes returns the total size of all segments.
func (s *Store) totalBytes() (total int64) {
	for _, size := range s.segmentBytes {
		total += size
	}
	return total
}

// apply applies a record at a location to the state of the record's job, and updates the sizes of live records.
func (s *Store) apply(at location, r Record) {
	s.jobs.Apply(r)
	if s.jobs[r.ID] == nil {
		s.dropExtents(r.ID)
		delete(s.results, r.ID)
		return
	}
	s.extents[r.ID] = addExtent(s.extents[r.ID], at)
	s.liveBytes[at.segment] += int64(at.bytes)
	if r.Kind == Final {
		s.results[r.ID] = at
	}
}

// addExtent adds a record to the extents of its job.
func addExtent(extents []extent, at location) []extent {
	if last := len(extents) - 1; last >= 0 && extents[last].segment == at.segment {
		extents[last].bytes += at.bytes
		return extents
	}
	return append(extents, extent{at.segment, at.bytes})
}

// dropExtents removes a job's extents, so that the job's records no longer count as live.
func (s *Store) dropExtents(id string) {
	for _, e := range s.extents[id] {
		s.liveBytes[e.segment] -= int64(e.bytes)
	}
	delete(s.extents, id)
}
