package store_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"birchstair/internal/emulator"
	"birchstair/internal/store"
)

// day is the time of the first record of the tests.
var day = time.UnixMilli(1_700_000_000_000).UTC()

// appendTo appends a record and waits until it is on disk or can't be written.
func appendTo(s *store.Store, r store.Record) error {
	done := make(chan error, 1)
	s.Append(r, func(err error) { done <- err })
	return <-done
}

// accepted returns the record of a new job whose body has that many bytes.
func accepted(id string, bodyBytes int) store.Record {
	return store.Record{
		Kind:     store.Accepted,
		ID:       id,
		At:       day,
		JobClass: "verify",
		Deadline: day.Add(time.Hour),
		Body:     make([]byte, bodyBytes),
	}
}

// describeState formats the state of a batch job.
func describeState(st store.JobState) string {
	s := fmt.Sprintf("%s %d bytes", st.Accepted.ID, len(st.Accepted.Body))
	for _, a := range st.Attempts {
		s += fmt.Sprintf(", attempt %d started", a.Epoch)
		if a.Ended {
			s += fmt.Sprintf(" and ended (never ran: %v)", a.NeverRan)
		}
	}
	if st.Final != nil {
		s += fmt.Sprintf(", final answer %d", st.Final.Outcome)
	}
	return s
}

// acknowledged holds which kinds of records of a job were acknowledged.
type acknowledged struct{ accepted, started, ended, final, released bool }

// crashTest runs a store on a disk that loses and tears unsynced data, crashes it repeatedly, and checks what is recovered.
type crashTest struct {
	rand *rand.Rand
	disk *emulator.Disk
	jobs int // number of jobs appended so far

	mu       sync.Mutex
	acked    map[string]*acknowledged // by job ID
	appended map[string]bool          // IDs of jobs that were appended, and "released ID" of those whose release was appended
	wait     sync.WaitGroup           // appends that have no result yet
}

// runCrashes appends, crashes and reopens several times. It returns an error if an acknowledged record is missing after a crash,
// or if a record is found that was never appended. On a lying disk, syncs do nothing.
func runCrashes(seed uint64, lyingDisk bool) error {
	r := rand.New(rand.NewPCG(seed, 1))
	c := &crashTest{rand: r, disk: emulator.NewDisk(r), acked: map[string]*acknowledged{}, appended: map[string]bool{}}
	c.disk.IgnoresSyncs = lyingDisk
	for range 6 {
		if err := c.runProcess(); err != nil {
			return err
		}
	}
	return nil
}

// runProcess opens the store, checks what it recovered, appends records of new jobs, and closes the store or crashes.
func (c *crashTest) runProcess() error {
	s, err := store.Open(c.disk, store.Options{SegmentBytes: 1500, MaxBytes: 1 << 20})
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	if err := c.check(s); err != nil {
		return err
	}
	for range 5 + c.rand.IntN(30) {
		c.appendJob(s)
		if c.rand.IntN(4) == 0 {
			c.wait.Wait()
		}
	}
	if c.rand.IntN(4) == 0 { // a regular shutdown
		if err := s.Close(); err != nil {
			return err
		}
		c.disk.Crash()
		return nil
	}
	c.disk.Crash() // with some records still pending
	c.wait.Wait()
	s.Close() //nolint:errcheck // after the crash the disk returns errors; this only ends the store's goroutine
	return nil
}

// check compares what was recovered with what was acknowledged and appended.
func (c *crashTest) check(s *store.Store) error {
	for id, a := range c.acked {
		st, ok := s.Get(id)
		switch {
		case a.released && !ok:
		case a.released:
			return fmt.Errorf("%s was released, but was recovered", id)
		case !ok && c.appended["released "+id]:
		case !ok:
			return fmt.Errorf("%s was acknowledged, but was not recovered", id)
		case a.started && len(st.Attempts) == 0 || a.ended && !st.Attempts[0].Ended || a.final && st.Final == nil:
			return fmt.Errorf("%s was recovered as %q, which lacks acknowledged records: %+v", id, describeState(st), *a)
		}
	}
	var unexpected error
	s.ForEach(func(st store.JobState) {
		if !c.appended[st.Accepted.ID] {
			unexpected = fmt.Errorf("%s was recovered, but was never appended", describeState(st))
		}
	})
	return unexpected
}

// appendJob appends a random selection of the records of a new job.
func (c *crashTest) appendJob(s *store.Store) {
	c.jobs++
	id := fmt.Sprint("j", c.jobs)
	a := &acknowledged{}
	c.appended[id] = true
	c.append(s, accepted(id, c.rand.IntN(200)), func() { a.accepted = true; c.acked[id] = a })
	if c.rand.IntN(2) == 0 {
		c.append(s, store.Record{Kind: store.AttemptStarted, ID: id, At: day, Epoch: 1, Executor: "e"}, func() { a.started = true })
		if c.rand.IntN(2) == 0 {
			c.append(s, store.Record{Kind: store.AttemptEnded, ID: id, At: day, Epoch: 1, NeverRan: true}, func() { a.ended = true })
		}
	}
	if c.rand.IntN(3) == 0 {
		c.append(s, store.Record{Kind: store.Final, ID: id, At: day, Body: []byte("r")}, func() { a.final = true })
		if c.rand.IntN(2) == 0 {
			c.mu.Lock()
			c.appended["released "+id] = true
			c.mu.Unlock()
			c.append(s, store.Record{Kind: store.Released, ID: id, At: day}, func() { a.released = true })
		}
	}
}

// append appends a record, and calls onAcknowledged with c.mu held once the record is acknowledged.
func (c *crashTest) append(s *store.Store, r store.Record, onAcknowledged func()) {
	c.wait.Add(1)
	s.Append(r, func(err error) {
		defer c.wait.Done()
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			onAcknowledged()
		}
	})
}

// TestCrashes checks that no acknowledged record is ever lost, and that no record is recovered that was never appended, through
// crashes, compactions and recoveries on a disk that loses and tears unsynced data. As a check of the test itself, it must find
// lost records on a disk whose syncs do nothing.
func TestCrashes(t *testing.T) {
	for seed := range uint64(400) {
		if err := runCrashes(seed, false); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	detected := 0
	for seed := range uint64(20) {
		if runCrashes(seed, true) != nil {
			detected++
		}
	}
	if detected == 0 {
		t.Error("no run on a disk whose syncs do nothing has failed")
	}
}

// TestFailedSync checks that a failed sync is final: no record is acknowledged after it, and all earlier ones are recovered.
func TestFailedSync(t *testing.T) {
	disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 1)))
	s, err := store.Open(disk, store.Options{SegmentBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	if err := appendTo(s, accepted("a", 10)); err != nil {
		t.Fatal(err)
	}
	disk.FailSync = 1
	for _, id := range []string{"b", "c"} {
		if err := appendTo(s, accepted(id, 10)); !errors.Is(err, store.ErrFailed) {
			t.Errorf("append of %s at or after a failed sync: error %v, want ErrFailed", id, err)
		}
	}
	if err := s.Stats().Failed; !errors.Is(err, store.ErrFailed) {
		t.Errorf("Stats().Failed after a failed sync: %v, want ErrFailed", err)
	}
	disk.Crash()
	if s, err = store.Open(disk, store.Options{SegmentBytes: 1 << 20}); err != nil {
		t.Fatal(err)
	}
	if _, ok := s.Get("a"); !ok {
		t.Error("a was acknowledged, but was not recovered")
	}
	if _, ok := s.Get("c"); ok {
		t.Error("c was written after the store had failed")
	}
}

// TestFull checks the limits of a store's size. A store above Options.MaxBytes rejects new jobs, but accepts records of the jobs
// that it has. On a full disk, a record that doesn't fit is not acknowledged, and all earlier ones are recovered.
func TestFull(t *testing.T) {
	disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 1)))
	s, _ := store.Open(disk, store.Options{SegmentBytes: 1 << 20, MaxBytes: 2000})
	var err error
	count := 0
	for ; err == nil && count < 100; count++ {
		err = appendTo(s, accepted(fmt.Sprint("j", count), 200))
	}
	if !errors.Is(err, store.ErrFull) || count < 5 {
		t.Fatalf("error after %d jobs: %v, want ErrFull after at least 5", count, err)
	}
	if err := appendTo(s, store.Record{Kind: store.Final, ID: "j0", At: day, Body: []byte("r")}); err != nil {
		t.Errorf("append of a known job's final answer to a full store: %v", err)
	}
	disk.FreeBytes = 50
	if err := appendTo(s, store.Record{Kind: store.Final, ID: "j1", At: day, Body: make([]byte, 100)}); !errors.Is(err, store.ErrFailed) {
		t.Errorf("append on a full disk: error %v, want ErrFailed", err)
	}
	disk.Crash()
	if _, err = store.Open(disk, store.Options{SegmentBytes: 1 << 20}); err == nil {
		t.Error("the store was opened on a full disk")
	}
	disk.Crash()
	disk.FreeBytes = -1
	if s, err = store.Open(disk, store.Options{SegmentBytes: 1 << 20}); err != nil {
		t.Fatal(err)
	}
	if st, ok := s.Get("j0"); !ok || st.Final == nil {
		t.Error("the final answer of j0 was acknowledged, but was not recovered")
	}
}

// TestCorruption checks that a store with damage other than a torn tail is not opened, and that the error names the segment.
func TestCorruption(t *testing.T) {
	dir := t.TempDir()
	fill := func(segments int) {
		for i := range segments {
			s, err := store.Open(store.Directory(dir), store.Options{SegmentBytes: 1 << 20})
			if err != nil {
				t.Fatal(err)
			}
			for j := range 3 {
				if err := appendTo(s, accepted(fmt.Sprint("j", i, "-", j), 100)); err != nil {
					t.Fatal(err)
				}
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
	open := func() error {
		s, err := store.Open(store.Directory(dir), store.Options{SegmentBytes: 1 << 20})
		if err != nil {
			return err
		}
		return s.Close()
	}
	fill(3)
	s, err := store.Open(store.Directory(dir), store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := open(); !errors.Is(err, store.ErrLocked) || !strings.Contains(err.Error(), "another process uses it") {
		t.Errorf("the store was opened twice at a time: error %v, want ErrLocked", err)
	}
	closeStore(t, s)
	first := filepath.Join(dir, "000000000001.log")
	intact, err := os.ReadFile(first)
	if err != nil {
		t.Fatal(err)
	}
	for name, damage := range map[string]func() error{
		"a flipped bit": func() error {
			b := append([]byte(nil), intact...)
			b[60] ^= 1
			return os.WriteFile(first, b, 0o600)
		},
		"a torn tail of the first segment": func() error { return os.WriteFile(first, intact[:len(intact)-5], 0o600) },
		"an unknown format version": func() error {
			b := append([]byte(nil), intact...)
			b[4] = 9
			return os.WriteFile(first, b, 0o600)
		},
		"a missing segment": func() error { return os.Remove(filepath.Join(dir, "000000000002.log")) },
	} {
		if err := damage(); err != nil {
			t.Fatal(err)
		}
		if err := open(); err == nil {
			t.Errorf("%s was not detected", name)
		} else if !strings.Contains(err.Error(), "00000000000") {
			t.Errorf("%s: error %q does not name the segment", name, err)
		}
		if err := os.WriteFile(first, intact, 0o600); err != nil {
			t.Fatal(err)
		}
		if name == "a missing segment" {
			return // the removed segment is not restored, so the store can't be opened any more
		}
	}
}

// FuzzSegment checks that Scan doesn't panic, whatever a segment contains, and never returns a record that was not written.
func FuzzSegment(f *testing.F) {
	disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 1)))
	s, err := store.Open(disk, store.Options{SegmentBytes: 1 << 20})
	if err != nil {
		f.Fatal(err)
	}
	for _, id := range []string{"a", "b"} {
		if err := appendTo(s, accepted(id, 20)); err != nil {
			f.Fatal(err)
		}
	}
	if err := appendTo(s, store.Record{Kind: store.AttemptStarted, ID: "a", At: day, Epoch: 1, Executor: "e"}); err != nil {
		f.Fatal(err)
	}
	if err := s.Close(); err != nil {
		f.Fatal(err)
	}
	intact, err := disk.Read("000000000001.log")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(intact, 0, byte(0))
	f.Add(intact, 20, byte(4))
	f.Add(intact[:len(intact)-3], 40, byte(255))
	f.Add([]byte("brst"), 1, byte(1))
	f.Fuzz(func(t *testing.T, b []byte, at int, flip byte) {
		if len(b) > 0 {
			b[((at%len(b))+len(b))%len(b)] ^= flip
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "000000000001.log"), b, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := store.Scan(store.Directory(dir), func(_ uint64, r store.Record, size int) {
			if r.ID == "" || size <= 0 {
				t.Errorf("invalid record of %d bytes: %+v", size, r)
			}
			if strings.HasPrefix(string(b), string(intact[:16])) && r.ID != "a" && r.ID != "b" && len(b) <= len(intact) {
				t.Errorf("a record of job %q was read, but was never written", r.ID)
			}
		})
		if err != nil {
			t.Log(err) // expected for most inputs
		}
	})
}

// BenchmarkAppend compares this store with an embedded database. Many clients append jobs at once, and each waits until its job
// is on disk before it appends the next.
func BenchmarkAppend(b *testing.B) {
	for _, clients := range []int{1, 64, 512} {
		each := func(b *testing.B, put func(id string) error) {
			b.SetParallelism(clients)
			var count sync.Mutex
			next := 0
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					count.Lock()
					next++
					id := fmt.Sprint("job-", next)
					count.Unlock()
					if err := put(id); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		b.Run(fmt.Sprintf("log/clients=%d", clients), func(b *testing.B) {
			s, err := store.Open(store.Directory(b.TempDir()), store.Options{SegmentBytes: 64 << 20, MaxBytes: 4 << 30})
			if err != nil {
				b.Fatal(err)
			}
			each(b, func(id string) error { return appendTo(s, accepted(id, 1024)) })
			b.ReportMetric(float64(s.Stats().Syncs)/float64(b.N), "syncs/job")
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
		})
		b.Run(fmt.Sprintf("bbolt/clients=%d", clients), func(b *testing.B) {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
			if err != nil {
				b.Fatal(err)
			}
			err = db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket([]byte("jobs")); return err })
			if err != nil {
				b.Fatal(err)
			}
			body := make([]byte, 1024)
			each(b, func(id string) error {
				return db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket([]byte("jobs")).Put([]byte(id), body) })
			})
			stats := db.Stats()
			b.ReportMetric(float64(stats.TxStats.GetWrite())/float64(b.N), "writes/job")
			if err := db.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}
