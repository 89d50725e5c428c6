// Package store keeps the records of durable batch jobs on a disk: a log in segments, with checksums, one sync for all that waits for
// one, and cleaning that copies what still counts out of the oldest segment while it serves. It assumes that the disk lies: what was not
// synced may be lost or torn, and a sync that failed is final.
//
// What a batch job's records mean is not decided here but in package leases.
package store

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options bound a store.
type Options struct {
	Segment int64 // bytes of a segment, about
	Most    int64 // bytes of all segments; over them nothing new is accepted
}

// Errors of Append. After ErrFailed nothing is ever written again: what a failed sync has left on the disk nobody knows.
var (
	ErrFull   = errors.New("the store is full")
	ErrFailed = errors.New("the store is broken: a write or a sync has failed")
	errClosed = errors.New("the store is closed")
)

// State is what the records of a batch job come to.
type State struct {
	Accepted *Record // never changed
	Sends    []Attempt
	Final    *Record
}

// Attempt is an allocation that was recorded before it went out.
type Attempt struct {
	Epoch    uint32
	Executor string
	At       time.Time
	Over     bool
	NeverRan bool
}

// Store is an open store.
type Store struct {
	disk    Disk
	options Options
	lock    io.Closer

	mu           sync.Mutex
	wakeup       *sync.Cond
	pending      []pendingWrite
	closing      bool
	failed       error
	jobs         JobStates
	extents      map[string][]extent // live bytes by batch job and segment
	liveBytes    map[uint64]int64    // live bytes by segment
	segmentBytes map[uint64]int64
	firstSegment uint64
	lastSegment  uint64
	file         File
	syncs        int
	done         chan struct{}
}

// extent is how many bytes of a batch job count in a segment.
type extent struct {
	segment uint64
	size    int
}

// pendingWrite is a record that waits to stand on the disk.
type pendingWrite struct {
	r    Record
	done func(error)
}

func segmentName(number uint64) string { return fmt.Sprintf("%012d.log", number) }

func segmentNumber(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, ".log")
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, ok && err == nil && len(digits) == 12
}

// CorruptionError is damage that can't be a torn end: what was acknowledged may be lost.
type CorruptionError struct {
	Segment string
	Offset  int64
	Reason  string
}

func (c *CorruptionError) Error() string {
	return fmt.Sprintf("%s, at byte %d: %s; what stood there was acknowledged and is lost", c.Segment, c.Offset, c.Reason)
}

// Open opens a store, or begins one in a directory that is empty. A torn end is cut off; other damage is an error.
func Open(disk Disk, o Options) (*Store, error) {
	lock, err := disk.Lock()
	if err != nil {
		return nil, err
	}
	s := &Store{disk: disk, options: o, lock: lock, jobs: JobStates{}, extents: map[string][]extent{},
		liveBytes: map[uint64]int64{}, segmentBytes: map[uint64]int64{}, done: make(chan struct{})}
	s.wakeup = sync.NewCond(&s.mu)
	if err := s.recover(); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	go s.run()
	return s, nil
}

// recover reads all segments and begins a new one: nothing is ever written behind what a crash has left.
func (s *Store) recover() error {
	segments, err := Scan(s.disk, func(segment uint64, r Record, size int) { s.apply(segment, r, size) })
	if err != nil {
		return err
	}
	for i, seg := range segments {
		if seg.Torn && seg.CompleteBytes == 0 { // it had only just been begun
			if err := errors.Join(s.disk.Remove(seg.Name), s.disk.SyncDir()); err != nil {
				return err
			}
			s.lastSegment = seg.Number - 1
			continue
		}
		if seg.Torn {
			if err := s.disk.Truncate(seg.Name, seg.CompleteBytes); err != nil {
				return err
			}
		}
		s.segmentBytes[seg.Number] = seg.CompleteBytes
		if i == 0 {
			s.firstSegment = seg.Number
		}
		s.lastSegment = seg.Number
	}
	if s.firstSegment == 0 {
		s.firstSegment = s.lastSegment + 1
	}
	return s.startSegment()
}

// startSegment begins the next segment.
func (s *Store) startSegment() error {
	f, err := s.disk.Create(segmentName(s.lastSegment + 1))
	if err != nil {
		return err
	}
	if _, err = f.Write(appendSegmentHeader(nil, s.lastSegment+1)); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.disk.SyncDir()
	}
	if err != nil {
		return errors.Join(err, f.Close())
	}
	if s.file != nil {
		s.file.Close()
	}
	s.lastSegment++
	s.file, s.segmentBytes[s.lastSegment] = f, segmentHeaderBytes
	return nil
}

// JobStates are what the records of all batch jobs come to, by their ids.
type JobStates map[string]*State

// Apply takes a record in, in the order in which they stand. One about a batch job that is not there (any more) counts for nothing.
func (s JobStates) Apply(r Record) {
	st := s[r.ID]
	switch {
	case r.Kind == Accepted && st == nil:
		s[r.ID] = &State{Accepted: &r}
	case st == nil:
	case r.Kind == Sent:
		if i := st.attempt(r.Epoch); i < 0 {
			st.Sends = append(st.Sends, Attempt{Epoch: r.Epoch, Executor: r.Executor, At: r.At})
		}
	case r.Kind == Over:
		if i := st.attempt(r.Epoch); i >= 0 {
			st.Sends[i].Over, st.Sends[i].NeverRan = true, r.NeverRan
		}
	case r.Kind == Final && st.Final == nil:
		st.Final = &r
	case r.Kind == LetGo:
		delete(s, r.ID)
	}
}

// apply takes a record into the states, and books its bytes where they count.
func (s *Store) apply(segment uint64, r Record, size int) {
	s.jobs.Apply(r)
	if s.jobs[r.ID] == nil {
		for _, at := range s.extents[r.ID] {
			s.liveBytes[at.segment] -= int64(at.size)
		}
		delete(s.extents, r.ID)
		return
	}
	at := s.extents[r.ID]
	if n := len(at); n > 0 && at[n-1].segment == segment {
		at[n-1].size += size
	} else {
		s.extents[r.ID] = append(at, extent{segment, size})
	}
	s.liveBytes[segment] += int64(size)
}

func (st *State) attempt(epoch uint32) int {
	for i := range st.Sends {
		if st.Sends[i].Epoch == epoch {
			return i
		}
	}
	return -1
}

// Append writes a record and calls done once it stands on the disk, or can't. It never waits for the disk, and done must not either.
func (s *Store) Append(r Record, done func(error)) {
	s.mu.Lock()
	err := s.failed
	switch {
	case err != nil:
	case s.closing:
		err = errClosed
	case r.Kind == Accepted && s.options.Most > 0 && s.totalBytes()+s.pendingBytes() > s.options.Most:
		err = ErrFull
	}
	if err == nil {
		s.pending = append(s.pending, pendingWrite{r, done})
		s.wakeup.Signal()
	}
	s.mu.Unlock()
	if err != nil {
		done(err)
	}
}

func (s *Store) totalBytes() (n int64) {
	for _, size := range s.segmentBytes {
		n += size
	}
	return n
}

func (s *Store) pendingBytes() (n int64) {
	for _, w := range s.pending {
		n += int64(len(w.r.Body)) + 256
	}
	return n
}

// run writes what waits, all of it with one sync.
func (s *Store) run() {
	defer close(s.done)
	for {
		s.mu.Lock()
		for len(s.pending) == 0 && !s.closing {
			s.wakeup.Wait()
		}
		batch := s.pending
		s.pending = nil
		broken, closing := s.failed, s.closing
		s.mu.Unlock()
		if len(batch) == 0 && closing {
			return
		}
		if broken == nil {
			if broken = s.commit(batch); broken != nil {
				broken = fmt.Errorf("%w: %v", ErrFailed, broken)
				s.mu.Lock()
				s.failed = broken
				s.mu.Unlock()
			}
		}
		for _, w := range batch {
			w.done(broken)
		}
	}
}

// commit writes records, syncs, and takes them into the states; then it cleans where that is due.
func (s *Store) commit(batch []pendingWrite) (err error) {
	var b []byte
	sizes := make([]int, len(batch))
	for i, w := range batch {
		before := len(b)
		if b, err = appendRecord(b, w.r); err != nil {
			return err
		}
		sizes[i] = len(b) - before
	}
	b = encodeFrame(b)
	if err := s.writeAndSync(b); err != nil {
		return err
	}
	s.mu.Lock()
	for i, w := range batch {
		s.apply(s.lastSegment, w.r, sizes[i])
	}
	s.segmentBytes[s.lastSegment] += int64(len(b))
	s.syncs++
	full := s.segmentBytes[s.lastSegment] >= s.options.Segment
	s.mu.Unlock()
	if full {
		s.mu.Lock()
		err = s.startSegment()
		s.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return s.compact(false, nil)
}

func (s *Store) writeAndSync(b []byte) error {
	if _, err := s.file.Write(b); err != nil {
		return err
	}
	return s.file.Sync()
}

// Compact writes all that counts into the last segment and drops the others, whatever part of them counts. It is called while nothing else is.
func (s *Store) Compact(tell func(done, all int)) error { return s.compact(true, tell) }

// compact drops the oldest segment if no more than half of it still counts, or all is to go: what does is written anew first.
func (s *Store) compact(all bool, tell func(done, all int)) error {
	from, to := s.firstSegment, s.lastSegment
	for {
		s.mu.Lock()
		oldest, last := s.firstSegment, s.lastSegment
		due := oldest < last && (all || s.liveBytes[oldest]*2 <= s.segmentBytes[oldest])
		if due && tell != nil {
			tell(int(oldest-from)+1, int(to-from))
		}
		var b []byte
		var err error
		moved := map[string]int{}
		if due {
			for id, at := range s.extents {
				if at[0].segment != oldest { // its first record stands in the first of its segments
					continue
				}
				before := len(b)
				for _, r := range s.jobs[id].Records() {
					if b, err = appendRecord(b, r); err != nil {
						break
					}
				}
				moved[id] = len(b) - before
			}
		}
		s.mu.Unlock()
		if !due || err != nil {
			return err
		}
		if len(b) > 0 {
			b = encodeFrame(b)
			if err := s.writeAndSync(b); err != nil {
				return err
			}
		}
		if err := s.disk.Remove(segmentName(oldest)); err != nil {
			return err
		}
		if err := s.disk.SyncDir(); err != nil {
			return err
		}
		s.mu.Lock()
		for id, size := range moved {
			for _, was := range s.extents[id] {
				s.liveBytes[was.segment] -= int64(was.size)
			}
			s.extents[id] = []extent{{last, size}}
			s.liveBytes[last] += int64(size)
		}
		s.segmentBytes[last] += int64(len(b))
		delete(s.segmentBytes, oldest)
		delete(s.liveBytes, oldest)
		s.firstSegment = oldest + 1
		s.mu.Unlock()
	}
}

// Records are the records that a state stems from, in their order.
func (st *State) Records() []Record {
	all := []Record{*st.Accepted}
	for _, a := range st.Sends {
		r := Record{Kind: Sent, ID: st.Accepted.ID, At: a.At, Epoch: a.Epoch, Executor: a.Executor}
		all = append(all, r)
		if a.Over {
			r.Kind, r.NeverRan = Over, a.NeverRan
			all = append(all, r)
		}
	}
	if st.Final != nil {
		all = append(all, *st.Final)
	}
	return all
}

// Get is the state of a batch job as it stands on the disk.
func (s *Store) Get(id string) (State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.jobs[id]; st != nil {
		return st.copy(), true
	}
	return State{}, false
}

func (st *State) copy() State {
	c := *st
	c.Sends = append([]Attempt(nil), st.Sends...)
	return c
}

// All hands each batch job's state on.
func (s *Store) All(each func(State)) {
	s.mu.Lock()
	var all []State
	for _, st := range s.jobs {
		all = append(all, st.copy())
	}
	s.mu.Unlock()
	for _, st := range all {
		each(st)
	}
}

// Stats are what a store has to tell of itself.
type Stats struct {
	Jobs     int
	Bytes    int64
	Segments int
	Syncs    int
	Failed   error
}

// Figures gives them.
func (s *Store) Figures() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{len(s.jobs), s.totalBytes(), len(s.segmentBytes), s.syncs, s.failed}
}

// Close writes what waits and gives the directory back.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return errClosed
	}
	s.closing = true
	s.wakeup.Signal()
	s.mu.Unlock()
	<-s.done
	return errors.Join(s.file.Close(), s.lock.Close())
}
