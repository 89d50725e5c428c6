package store

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// compactionStore is a store with small segments in a directory of its own.
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

// accounts prints what the store believes to be live in each segment, and the size of each.
func (s *compactionStore) accounts() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	for _, segment := range slices.Sorted(maps.Keys(s.segmentBytes)) {
		text += fmt.Sprintf("segment %d: %d of %d bytes live\n", segment, s.liveBytes[segment], s.segmentBytes[segment])
	}
	return text
}

// TestCompactionMovesJobsOfSeveralSegments compacts the segment that holds the first record of a job whose other records are in a later
// one: nothing of the job is lost.
func TestCompactionMovesJobsOfSeveralSegments(t *testing.T) {
	s := openCompactionStore(t, Directory(t.TempDir()))
	s.append(t, Record{Kind: Accepted, ID: "kept"})
	s.append(t, Record{Kind: Accepted, ID: "released", Body: make([]byte, 1000)}) // the first segment is full
	s.append(t, Record{Kind: AttemptStarted, ID: "kept", Epoch: 1, Executor: "executor-1"})
	if s.firstSegment != 1 {
		t.Fatal("the first segment is gone too early")
	}
	s.append(t, Record{Kind: Released, ID: "released"})
	if s.firstSegment != 2 {
		t.Fatalf("the first segment is %d after compaction", s.firstSegment)
	}
	s = s.reopen(t)
	defer s.Close() //nolint:errcheck // nothing was appended since it was opened
	if job, ok := s.Get("kept"); !ok || len(job.Attempts) != 1 || job.Attempts[0].Executor != "executor-1" {
		t.Errorf("recovered %+v, %v", job, ok)
	}
}

// TestCompactionAccounts checks what the store believes to be live against what a reopened store reads.
func TestCompactionAccounts(t *testing.T) {
	s := openCompactionStore(t, Directory(t.TempDir()))
	for i := range 60 {
		s.append(t, Record{Kind: Accepted, ID: fmt.Sprint("job-", i), Body: make([]byte, 100)})
		s.append(t, Record{Kind: AttemptStarted, ID: fmt.Sprint("job-", i), Epoch: 1, Executor: "executor-1"})
		if i >= 5 && i%4 != 0 {
			s.append(t, Record{Kind: Released, ID: fmt.Sprint("job-", i-5)})
		}
	}
	if s.firstSegment == 1 {
		t.Error("nothing was compacted")
	}
	compareAccounts(t, s)
	if err := s.Compact(nil); err != nil {
		t.Fatal(err)
	}
	if s.firstSegment != s.lastSegment {
		t.Errorf("segments %d to %d are left", s.firstSegment, s.lastSegment)
	}
	compareAccounts(t, s)
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// compareAccounts reopens the store, whose accounts must be the same but for the new segment.
func compareAccounts(t *testing.T, s *compactionStore) {
	t.Helper()
	before, last := s.accounts(), s.lastSegment
	*s = *s.reopen(t)
	want := before + fmt.Sprintf("segment %d: 0 of %d bytes live\n", last+1, segmentHeaderBytes)
	if got := s.accounts(); got != want {
		t.Errorf("read again:\n%swant:\n%s", got, want)
	}
}
