package store_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/store"
)

// The golden files in testdata pin the format on disk. Each is a hex dump of a store directory at one stage: after writing, with
// a torn tail, after recovery and after compaction. Directories written by earlier versions must be read, recovered and
// compacted to the same bytes.

// everyKind returns records of each kind, with every field set that the kind uses. Only one job is not released, because
// compaction copies several live jobs in random order.
func everyKind() []store.Record {
	accepted := store.Record{Kind: store.Accepted, ID: "job-1", At: day, JobClass: "verify", Deadline: day.Add(time.Hour), Work: 350 * time.Millisecond,
		URI: "/call?x=1", Host: "birch.example", ContentType: "application/json", IdempotencyKey: "key-1", Body: []byte("body")}
	other := accepted
	other.ID, other.IdempotencyKey, other.ContentType, other.Body = "job-2", "", "", nil
	return []store.Record{
		accepted,
		other,
		{Kind: store.AttemptStarted, ID: "job-1", At: day.Add(time.Microsecond), Epoch: 1, Executor: "executor-1"},
		{Kind: store.AttemptEnded, ID: "job-1", At: day.Add(2 * time.Microsecond), Epoch: 1, NeverRan: true},
		{Kind: store.AttemptStarted, ID: "job-1", At: day.Add(1500 * time.Millisecond), Epoch: 2, Executor: "executor-2"},
		{Kind: store.AttemptEnded, ID: "job-1", At: day.Add(1500 * time.Millisecond), Epoch: 2},
		{Kind: store.Final, ID: "job-1", At: day.Add(2 * time.Second), Outcome: 3, Body: []byte("result")},
		{Kind: store.Released, ID: "job-2", At: day.Add(3 * time.Second)},
	}
}

// dump formats the files of a directory as hex dumps.
func dump(t *testing.T, dir string) string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, entry := range entries {
		text, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString("file " + entry.Name() + "\n" + hex.Dump(text))
	}
	return out.String()
}

// undump restores the files of a dump in a new directory.
func undump(t *testing.T, text string) string {
	t.Helper()
	const columns = len("00000000  00 01 02 03 04 05 06 07  08 09 0a 0b 0c 0d 0e 0f ")
	dir, file := t.TempDir(), ""
	files := map[string][]byte{}
	for line := range strings.Lines(text) {
		if name, ok := strings.CutPrefix(line, "file "); ok {
			file = strings.TrimSpace(name)
			files[file] = nil
			continue
		}
		if len(line) < columns {
			continue // a line without bytes, which hex.Dump does not print
		}
		b, err := hex.DecodeString(strings.ReplaceAll(line[8:columns], " ", ""))
		if err != nil {
			t.Fatal(err)
		}
		files[file] = append(files[file], b...)
	}
	for name, b := range files {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// readDump reads a golden file that holds a dump.
func readDump(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func openDirectory(t *testing.T, dir string) *store.Store {
	t.Helper()
	s, err := store.Open(store.Directory(dir), store.Options{SegmentBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func closeStore(t *testing.T, s *store.Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenWrite pins the bytes of a segment with a record of each kind.
func TestGoldenWrite(t *testing.T) {
	dir := t.TempDir()
	s := openDirectory(t, dir)
	for _, r := range everyKind() {
		if err := appendTo(s, r); err != nil {
			t.Fatal(err)
		}
	}
	closeStore(t, s)
	golden.Compare(t, "written.txt", dump(t, dir))
}

// TestGoldenRecover opens a store whose only segment ends within its last frame: recovery truncates the torn tail and starts a
// new segment.
func TestGoldenRecover(t *testing.T) {
	dir := undump(t, readDump(t, "written.txt"))
	segment := filepath.Join(dir, "000000000001.log")
	intact, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(segment, intact[:len(intact)-5], 0o600); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "torn.txt", dump(t, dir))

	dir = undump(t, readDump(t, "torn.txt"))
	closeStore(t, openDirectory(t, dir))
	golden.Compare(t, "recovered.txt", dump(t, dir))
}

// TestGoldenCompact compacts the written directory: the last segment holds the live records, and the first one is removed.
func TestGoldenCompact(t *testing.T) {
	dir := undump(t, readDump(t, "written.txt"))
	s := openDirectory(t, dir)
	if err := s.Compact(nil); err != nil {
		t.Fatal(err)
	}
	closeStore(t, s)
	golden.Compare(t, "compacted.txt", dump(t, dir))
}

// TestGoldenRead pins the records that Scan reads from each golden directory, and checks that those of the written directory are
// the records that were appended.
func TestGoldenRead(t *testing.T) {
	var out strings.Builder
	for _, name := range []string{"written.txt", "torn.txt", "recovered.txt", "compacted.txt"} {
		fmt.Fprintln(&out, "--", name)
		var records []store.Record
		segments, err := store.Scan(store.Directory(undump(t, readDump(t, name))), func(segment uint64, r store.Record, size int) {
			fmt.Fprintf(&out, "segment %d: %d bytes: kind %d (%s) of %s at %s, class %q, limit %s, work %v, %q at %q as %q, key %q, body %q, epoch %d on %q, never ran %v, answer %d\n",
				segment, size, r.Kind, r.Kind, r.ID, stamp(r.At), r.JobClass, stamp(r.Deadline), r.Work, r.URI, r.Host, r.ContentType, r.IdempotencyKey, r.Body,
				r.Epoch, r.Executor, r.NeverRan, r.Outcome)
			records = append(records, r)
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range segments {
			fmt.Fprintf(&out, "%s: number %d, %d records, complete up to %d, torn %v\n", s.Name, s.Number, s.Records, s.CompleteBytes, s.Torn)
		}
		if name == "written.txt" && !slices.EqualFunc(records, everyKind(), equal) {
			t.Errorf("the records read differ from those that were appended: %+v", records)
		}
	}
	golden.Compare(t, "read.txt", out.String())
}

// stamp formats the time of a record.
func stamp(t time.Time) string {
	if t.IsZero() {
		return "none"
	}
	return t.UTC().Format(time.RFC3339Nano)
}

// equal reports whether b is the record a after a round trip to disk, where times are floating-point seconds, rounded to
// microseconds.
func equal(a, b store.Record) bool {
	same := a.At.Round(time.Microsecond).Equal(b.At) && a.Deadline.Equal(b.Deadline) && bytes.Equal(a.Body, b.Body)
	a.At, a.Deadline, a.Body, b.At, b.Deadline, b.Body = time.Time{}, time.Time{}, nil, time.Time{}, time.Time{}, nil
	return same && fmt.Sprint(a) == fmt.Sprint(b)
}
