package store

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// compactionStore is a store with small segments, and its directory.
type compactionStore struct {
	*Store
	dir Directory
}

func openCompactionStore(t *testing.T, dir Directory) *compactionStore {
	t.Helper()
	s, err := Open(dir, Options{SegmentBytes: 1000})
	if err != nil {
		t.Fatal(err)
	}
	return &compactionStore{s, dir}
}

// reopen closes the store and opens it again.
func (s *compactionStore) reopen(t *testing.T) *compactionStore {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return openCompactionStore(t, s.dir)
}

func (s *compactionStore) append(t *testing.T, r Record) {
	t.Helper()
	r.At = time.UnixMilli(1_700_000_000_000)
	done := make(chan error, 1)
	s.Append(r, func(err error) { done <- err })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// liveSizes formats the size of each segment and the store's count of the live bytes in it.
func (s *compactionStore) liveSizes() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	for _, segment := range slices.Sorted(maps.Keys(s.segmentBytes)) {
		text += fmt.Sprintf("segment %d: %d of %d bytes live\n", segment, s.liveBytes[segment], s.segmentBytes[segment])
	}
	return text
}

// TestCompactionMovesJobsOfSeveralSegments checks that compaction loses no record of a job whose first record is in the
// compacted segment and whose other records are in a later one.
func TestCompactionMovesJobsOfSeveralSegments(t *testing.T) {
	s := openCompactionStore(t, Directory(t.TempDir()))
	s.append(t, Record{Kind: Accepted, ID: "kept"})
	s.append(t, Record{Kind: Accepted, ID: "released", Body: make([]byte, 1000)}) // the first segment is full
	s.append(t, Record{Kind: AttemptStarted, ID: "kept", Epoch: 1, Executor: "executor-1"})
	if s.firstSegment != 1 {
		t.Fatal("the first segment was removed while more than half of it was live")
	}
	s.append(t, Record{Kind: Released, ID: "released"})
	if s.firstSegment != 2 {
		t.Fatalf("the first segment after compaction is %d, want 2", s.firstSegment)
	}
	s = s.reopen(t)
	defer s.Close() //nolint:errcheck // no record was appended since the store was reopened
	if job, ok := s.Get("kept"); !ok || len(job.Attempts) != 1 || job.Attempts[0].Executor != "executor-1" {
		t.Errorf("recovered %+v, %v, want one attempt on executor-1", job, ok)
	}
}

// TestCompactionLiveSizes checks that the counts of live bytes, which a running store updates with each record, equal those that
// a reopened store counts from its segments.
func TestCompactionLiveSizes(t *testing.T) {
	s := openCompactionStore(t, Directory(t.TempDir()))
	for i := range 60 {
		s.append(t, Record{Kind: Accepted, ID: fmt.Sprint("job-", i), Body: make([]byte, 100)})
		s.append(t, Record{Kind: AttemptStarted, ID: fmt.Sprint("job-", i), Epoch: 1, Executor: "executor-1"})
		if i >= 5 && i%4 != 0 {
			s.append(t, Record{Kind: Released, ID: fmt.Sprint("job-", i-5)})
		}
	}
	if s.firstSegment == 1 {
		t.Error("no segment was compacted")
	}
	compareLiveSizes(t, s)
	if err := s.Compact(nil); err != nil {
		t.Fatal(err)
	}
	if s.firstSegment != s.lastSegment {
		t.Errorf("segments %d to %d are left, want only one", s.firstSegment, s.lastSegment)
	}
	compareLiveSizes(t, s)
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// compareLiveSizes reopens the store, and checks that only the new segment is added to its live sizes.
func compareLiveSizes(t *testing.T, s *compactionStore) {
	t.Helper()
	before, last := s.liveSizes(), s.lastSegment
	*s = *s.reopen(t)
	want := before + fmt.Sprintf("segment %d: 0 of %d bytes live\n", last+1, segmentHeaderBytes)
	if got := s.liveSizes(); got != want {
		t.Errorf("live sizes after reopening:\n%swant:\n%s", got, want)
	}
}
