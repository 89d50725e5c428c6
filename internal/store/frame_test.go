package store

import (
	"encoding/binary"
	"fmt"
	"os"
	"testing"
)

// checkFrames checks that no frame of a segment is over the limit, and that its frames together have at least minTotal bytes.
func checkFrames(t *testing.T, dir, segment string, minTotal int) {
	t.Helper()
	const limit = 4 << 20
	b, err := os.ReadFile(dir + "/" + segment)
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for at := segmentHeaderBytes; at < len(b); {
		length := int(binary.LittleEndian.Uint32(b[at+4:]))
		if length > limit {
			t.Errorf("%s: a frame of %d bytes, over the limit of %d", segment, length, limit)
		}
		total += length
		at += frameHeaderBytes + length
	}
	if total < minTotal {
		t.Errorf("%s: %d bytes in frames, want at least %d", segment, total, minTotal)
	}
}

// openAt opens a store whose segments hold everything that a test writes.
func openAt(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(Directory(dir), Options{SegmentBytes: 1 << 30})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// checkJobs checks that a store has this number of jobs, each with a final answer of this size.
func checkJobs(t *testing.T, s *Store, jobs, resultBytes int) {
	t.Helper()
	for i := range jobs {
		if result, err := s.Result(fmt.Sprint("job-", i)); err != nil || len(result) != resultBytes {
			t.Fatalf("job %d of %d has a result of %d bytes, error %v, want %d bytes", i, jobs, len(result), err, resultBytes)
		}
	}
}

func closeChecked(t *testing.T, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestFramesAreBounded guards against a frame that no start reads: compaction put the records of all jobs of a segment into one
// frame, whatever its size, and a commit did the same with all pending records. Frames are limited to 4 MiB, and so is the memory
// that they need.
func TestFramesAreBounded(t *testing.T) {
	const jobs, resultBytes = 100, 100 << 10
	dir, result := t.TempDir(), make([]byte, resultBytes)
	s := openAt(t, dir)
	results := make(chan error, 2*jobs)
	for i := range jobs { // without waiting, so that many records are pending at a time
		for _, kind := range []Kind{Accepted, Final} {
			s.Append(Record{Kind: kind, ID: fmt.Sprint("job-", i), At: recordTime, Body: result}, func(err error) { results <- err })
		}
	}
	for range cap(results) {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	closeChecked(t, s)
	checkFrames(t, dir, segmentName(1), 2*jobs*resultBytes)
	s = openAt(t, dir)
	if err := s.Compact(nil); err != nil {
		t.Fatal(err)
	}
	closeChecked(t, s)
	checkFrames(t, dir, segmentName(2), 2*jobs*resultBytes)
	s = openAt(t, dir)
	checkJobs(t, s, jobs, resultBytes)
	closeChecked(t, s)
}

// TestLargeFrameOfEarlierVersion guards against jobs that are lost at an upgrade: an earlier version could write a frame of over
// 256 MiB, and the decoder took it for a torn tail. Its jobs must be there, also after the next compaction and start.
func TestLargeFrameOfEarlierVersion(t *testing.T) {
	const jobs, resultBytes = 280, 1_000_000
	dir, result := t.TempDir(), make([]byte, resultBytes)
	var records []byte
	for i := range jobs {
		for _, r := range []Record{
			{Kind: Accepted, ID: fmt.Sprint("job-", i), At: recordTime},
			{Kind: Final, ID: fmt.Sprint("job-", i), At: recordTime, Body: result},
		} {
			records = append(records, encodeEarlier(t, r)...)
		}
	}
	if len(records) <= 256<<20 {
		t.Fatalf("the frame has only %d bytes", len(records))
	}
	segment := append(encodeSegmentHeader(1), encodeFrame(records)...)
	if err := os.WriteFile(dir+"/"+segmentName(1), segment, fileMode); err != nil {
		t.Fatal(err)
	}
	segments, err := Scan(Directory(dir), func(uint64, Record, int) {})
	if err != nil || len(segments) != 1 || segments[0].EarlierFrames != 1 || segments[0].EarlierText != 0 {
		t.Errorf("scanned %+v, error %v, want one earlier frame", segments, err)
	}
	s := openAt(t, dir)
	checkJobs(t, s, jobs, resultBytes)
	if err := s.Compact(nil); err != nil {
		t.Fatal(err)
	}
	closeChecked(t, s)
	s = openAt(t, dir)
	checkJobs(t, s, jobs, resultBytes)
	closeChecked(t, s)
}
