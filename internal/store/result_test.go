package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"

	"birchstair/internal/emulator"
	"birchstair/internal/store"
)

// appendFinal appends the records of a job with this result.
func appendFinal(s *store.Store, id string, result []byte) error {
	if err := appendTo(s, accepted(id, 1)); err != nil {
		return err
	}
	return appendTo(s, store.Record{Kind: store.Final, ID: id, At: day, Body: result})
}

// resultOf returns the result of a job in the tests below.
func resultOf(i int) []byte { return bytes.Repeat([]byte{byte(i)}, 1+i%300) }

// TestResults checks that results are read as they were written: from the segment of their record, while other goroutines append
// and compaction moves them, after a start, and no longer after their job is released.
func TestResults(t *testing.T) {
	disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 1)))
	options := store.Options{SegmentBytes: 2000}
	s, err := store.Open(disk, options)
	if err != nil {
		t.Fatal(err)
	}
	const jobs = 200
	check := func(title string, from int) {
		for i := from; i < jobs; i++ {
			if result, err := s.Result(fmt.Sprint("j", i)); err != nil || !bytes.Equal(result, resultOf(i)) {
				t.Errorf("%s: job %d: result of %d bytes, error %v, want %d bytes", title, i, len(result), err, 1+i%300)
			}
		}
	}
	for i := range jobs {
		if err := appendFinal(s, fmt.Sprint("j", i), resultOf(i)); err != nil {
			t.Fatal(err)
		}
	}
	check("written", 0)
	var readers sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					check("while segments are compacted", jobs/2)
				}
			}
		})
	}
	before := s.Stats().Segments
	for i := range jobs / 2 {
		if err := appendTo(s, store.Record{Kind: store.Released, ID: fmt.Sprint("j", i), At: day}); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	readers.Wait()
	if after := s.Stats().Segments; after >= before {
		t.Errorf("%d segments after the releases, %d before: nothing was compacted", after, before)
	}
	if result, err := s.Result("j0"); !errors.Is(err, store.ErrNoResult) {
		t.Errorf("result of a released job: %q, error %v, want ErrNoResult", result, err)
	}
	closeStore(t, s)
	if s, err = store.Open(disk, options); err != nil {
		t.Fatal(err)
	}
	check("after a start", jobs/2)
	if err := s.Compact(nil); err != nil {
		t.Fatal(err)
	}
	check("after a complete compaction", jobs/2)
	closeStore(t, s)
}

// TestDamagedResult guards against a result that is not the one that was written: the disk changes a byte of it while the store is
// open. The error names the segment and the job, and other results can be read.
func TestDamagedResult(t *testing.T) {
	disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 1)))
	s, err := store.Open(disk, store.Options{SegmentBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b"} {
		if err := appendFinal(s, id, []byte("result of "+id)); err != nil {
			t.Fatal(err)
		}
	}
	const segment = "000000000001.log"
	content, err := disk.Read(segment)
	if err != nil {
		t.Fatal(err)
	}
	disk.Flip(segment, bytes.Index(content, []byte("result of a")))
	var corruption *store.CorruptionError
	if result, err := s.Result("a"); !errors.As(err, &corruption) || corruption.Segment != segment {
		t.Errorf("damaged result: %q, error %v, want a CorruptionError", result, err)
	}
	if result, err := s.Result("b"); err != nil || string(result) != "result of b" {
		t.Errorf("another result: %q, error %v", result, err)
	}
	closeStore(t, s)
}

// resultBytes is the size of the results of the tests of memory.
const resultBytes = 60 << 10

// heapMiB returns the size of the live heap.
func heapMiB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

// fillResults opens a store in a new directory with this number of jobs that have a result, releases the oldest tenth, so that segments
// are compacted, and opens the store again. It returns the largest growth of the live heap.
func fillResults(tb testing.TB, jobs int) (heap float64) {
	tb.Helper()
	dir, options := store.Directory(tb.TempDir()), store.Options{SegmentBytes: 1 << 20}
	before := heapMiB()
	s, err := store.Open(dir, options)
	if err != nil {
		tb.Fatal(err)
	}
	result := make([]byte, resultBytes)
	var pending sync.WaitGroup
	failed := func(err error) {
		if err != nil {
			tb.Error(err)
		}
		pending.Done()
	}
	for _, kind := range []store.Kind{store.Accepted, store.Final} { // all jobs are accepted before the first has a result
		for i := range jobs {
			r := accepted(fmt.Sprint("j", i), 1)
			if kind == store.Final {
				r = store.Record{Kind: store.Final, ID: r.ID, At: day, Body: append([]byte(nil), result...)}
			}
			pending.Add(1)
			s.Append(r, failed)
			if i%64 == 0 {
				pending.Wait()
			}
		}
		pending.Wait()
	}
	for i := range jobs / 10 {
		pending.Add(1)
		s.Append(store.Record{Kind: store.Released, ID: fmt.Sprint("j", i), At: day}, failed)
	}
	pending.Wait()
	heap = heapMiB() - before
	if err := s.Close(); err != nil {
		tb.Fatal(err)
	}
	if s, err = store.Open(dir, options); err != nil {
		tb.Fatal(err)
	}
	heap = max(heap, heapMiB()-before)
	if read, err := s.Result(fmt.Sprint("j", jobs-1)); err != nil || len(read) != resultBytes {
		tb.Errorf("result of the last job: %d bytes, error %v", len(read), err)
	}
	if err := s.Close(); err != nil {
		tb.Fatal(err)
	}
	return heap
}

// TestResultsAreNotInMemory guards against a node that its platform kills for its memory at each start: results of accepted jobs were
// kept in memory without a bound.
func TestResultsAreNotInMemory(t *testing.T) {
	const jobs, maxMiB = 1000, 8 // the results have 59 MiB
	if heap := fillResults(t, jobs); heap > maxMiB {
		t.Errorf("%d jobs with results of 60 KiB take %.1f MiB of memory, want at most %d", jobs, heap, maxMiB)
	}
}

// BenchmarkResultMemory reports the memory of a store with many results.
func BenchmarkResultMemory(b *testing.B) {
	for _, jobs := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprint("results=", jobs), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(fillResults(b, jobs), "MiB")
			}
		})
	}
}
