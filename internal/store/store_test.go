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

var day = time.UnixMilli(1_700_000_000_000).UTC()

// appendTo appends a record and waits until it is on disk.
func appendTo(s *store.Store, r store.Record) error {
	done := make(chan error, 1)
	s.Append(r, func(err error) { done <- err })
	return <-done
}

func accepted(id string, body int) store.Record {
	return store.Record{Kind: store.Accepted, ID: id, At: day, JobClass: "verify", Deadline: day.Add(time.Hour), Body: make([]byte, body)}
}

// describeState prints the state of a batch job.
func describeState(st store.JobState) string {
	s := fmt.Sprintf("%s %d bytes", st.Accepted.ID, len(st.Accepted.Body))
	for _, a := range st.Attempts {
		s += fmt.Sprintf(" sent %d", a.Epoch)
		if a.Ended {
			s += fmt.Sprintf(" over %v", a.NeverRan)
		}
	}
	if st.Final != nil {
		s += fmt.Sprintf(" final %d", st.Final.Outcome)
	}
	return s
}

// acknowledged is what was acknowledged of a job.
type acknowledged struct{ accepted, sent, over, final, gone bool }

// crashTest appends to a store on a disk that loses and tears, through crashes, and checks what it recovers.
type crashTest struct {
	rand *rand.Rand
	disk *emulator.Disk
	jobs int // appended so far

	mu    sync.Mutex
	acked map[string]*acknowledged
	tried map[string]bool // IDs of jobs that were appended, and "gone ID" where that was
	wait  sync.WaitGroup  // appends that wait for their result
}

// playCrashes appends, crashes and reopens several times. It fails if an acknowledged record is missing, or one is there that was never
// appended.
func playCrashes(seed uint64, lies bool) error {
	r := rand.New(rand.NewPCG(seed, 1))
	c := &crashTest{rand: r, disk: emulator.NewDisk(r), acked: map[string]*acknowledged{}, tried: map[string]bool{}}
	c.disk.IgnoresSyncs = lies
	for range 6 {
		if err := c.playLife(); err != nil {
			return err
		}
	}
	return nil
}

// playLife opens the store, checks it, appends records of new jobs, and closes it or crashes.
func (c *crashTest) playLife() error {
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
	if c.rand.IntN(4) == 0 { // a planned end
		if err := s.Close(); err != nil {
			return err
		}
		c.disk.Crash()
		return nil
	}
	c.disk.Crash() // with some of it on its way
	c.wait.Wait()
	s.Close() //nolint:errcheck // the process that has it open has crashed, and may not close anything
	return nil
}

// check compares what was recovered with what was acknowledged and appended.
func (c *crashTest) check(s *store.Store) error {
	for id, a := range c.acked {
		st, ok := s.Get(id)
		switch {
		case a.gone && !ok:
		case a.gone:
			return fmt.Errorf("%s was let go and is back", id)
		case !ok && c.tried["gone "+id]:
		case !ok:
			return fmt.Errorf("%s was acknowledged and is lost", id)
		case a.sent && len(st.Attempts) == 0 || a.over && !st.Attempts[0].Ended || a.final && st.Final == nil:
			return fmt.Errorf("%s came back as %q, without what was acknowledged: %+v", id, describeState(st), *a)
		}
	}
	var wrong error
	s.ForEach(func(st store.JobState) {
		if !c.tried[st.Accepted.ID] {
			wrong = fmt.Errorf("%s was never written", describeState(st))
		}
	})
	return wrong
}

// appendJob appends some records of a new job.
func (c *crashTest) appendJob(s *store.Store) {
	c.jobs++
	id := fmt.Sprint("j", c.jobs)
	a := &acknowledged{}
	c.tried[id] = true
	c.append(s, accepted(id, c.rand.IntN(200)), func() { a.accepted = true; c.acked[id] = a })
	if c.rand.IntN(2) == 0 {
		c.append(s, store.Record{Kind: store.AttemptStarted, ID: id, At: day, Epoch: 1, Executor: "e"}, func() { a.sent = true })
		if c.rand.IntN(2) == 0 {
			c.append(s, store.Record{Kind: store.AttemptEnded, ID: id, At: day, Epoch: 1, NeverRan: true}, func() { a.over = true })
		}
	}
	if c.rand.IntN(3) == 0 {
		c.append(s, store.Record{Kind: store.Final, ID: id, At: day, Body: []byte("r")}, func() { a.final = true })
		if c.rand.IntN(2) == 0 {
			c.mu.Lock()
			c.tried["gone "+id] = true
			c.mu.Unlock()
			c.append(s, store.Record{Kind: store.Released, ID: id, At: day}, func() { a.gone = true })
		}
	}
}

// append appends a record, and calls note once it is acknowledged.
func (c *crashTest) append(s *store.Store, r store.Record, note func()) {
	c.wait.Add(1)
	s.Append(r, func(err error) {
		defer c.wait.Done()
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			note()
		}
	})
}

// TestCrashes checks that nothing acknowledged is ever lost, and nothing is recovered that was never written, on a disk that loses and
// tears what was not synced, through crashes, compactions and recoveries. A disk that lies about its syncs is caught, so the test can fail.
func TestCrashes(t *testing.T) {
	for seed := range uint64(400) {
		if err := playCrashes(seed, false); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	caught := 0
	for seed := range uint64(20) {
		if playCrashes(seed, true) != nil {
			caught++
		}
	}
	if caught == 0 {
		t.Error("a disk that lies is not caught")
	}
}

// TestFailedSync checks that a failed sync is final: nothing is acknowledged after it, and all before it is recovered.
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
			t.Errorf("%s after a failed sync: %v", id, err)
		}
	}
	if !errors.Is(s.Stats().Failed, store.ErrFailed) {
		t.Error("the figures don't tell")
	}
	disk.Crash()
	if s, err = store.Open(disk, store.Options{SegmentBytes: 1 << 20}); err != nil {
		t.Fatal(err)
	}
	if _, ok := s.Get("a"); !ok {
		t.Error("a is lost")
	}
	if _, ok := s.Get("c"); ok {
		t.Error("c was written to a broken store")
	}
}

// TestRoom checks a full disk: what does not fit is not acknowledged, and all before it is recovered. A store that has reached its bound
// rejects new jobs, and still accepts records of those that it has.
func TestRoom(t *testing.T) {
	disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 1)))
	s, _ := store.Open(disk, store.Options{SegmentBytes: 1 << 20, MaxBytes: 2000})
	var err error
	count := 0
	for ; err == nil && count < 100; count++ {
		err = appendTo(s, accepted(fmt.Sprint("j", count), 200))
	}
	if !errors.Is(err, store.ErrFull) || count < 5 {
		t.Fatalf("after %d: %v", count, err)
	}
	if err := appendTo(s, store.Record{Kind: store.Final, ID: "j0", At: day, Body: []byte("r")}); err != nil {
		t.Errorf("the answer of what it has: %v", err)
	}
	disk.FreeBytes = 50
	if err := appendTo(s, store.Record{Kind: store.Final, ID: "j1", At: day, Body: make([]byte, 100)}); !errors.Is(err, store.ErrFailed) {
		t.Errorf("a full disk: %v", err)
	}
	disk.Crash()
	if _, err = store.Open(disk, store.Options{SegmentBytes: 1 << 20}); err == nil {
		t.Error("a disk without room lets a store open")
	}
	disk.Crash()
	disk.FreeBytes = -1
	if s, err = store.Open(disk, store.Options{SegmentBytes: 1 << 20}); err != nil {
		t.Fatal(err)
	}
	if st, ok := s.Get("j0"); !ok || st.Final == nil {
		t.Error("j0's answer is lost")
	}
}

// TestDamage checks that damage other than a torn tail is reported with its place, and that the store is not opened.
func TestDamage(t *testing.T) {
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
		t.Errorf("opened twice: %v", err)
	}
	closeStore(t, s)
	first := filepath.Join(dir, "000000000001.log")
	whole, err := os.ReadFile(first)
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func() error{
		"a flipped bit": func() error {
			b := append([]byte(nil), whole...)
			b[60] ^= 1
			return os.WriteFile(first, b, 0o600)
		},
		"a torn end that is not the last": func() error { return os.WriteFile(first, whole[:len(whole)-5], 0o600) },
		"another version": func() error {
			b := append([]byte(nil), whole...)
			b[4] = 9
			return os.WriteFile(first, b, 0o600)
		},
		"a segment missing": func() error { return os.Remove(filepath.Join(dir, "000000000002.log")) },
	} {
		if err := change(); err != nil {
			t.Fatal(err)
		}
		if err := open(); err == nil {
			t.Errorf("%s is not noticed", name)
		} else if !strings.Contains(err.Error(), "00000000000") {
			t.Errorf("%s: no place in %q", name, err)
		}
		if err := os.WriteFile(first, whole, 0o600); err != nil {
			t.Fatal(err)
		}
		if name == "a segment missing" {
			return // nothing can be made of it any more
		}
	}
}

// FuzzSegment checks that no bytes make the scan panic, and none bring back a record that was never written.
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
	whole, err := disk.Read("000000000001.log")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole, 0, byte(0))
	f.Add(whole, 20, byte(4))
	f.Add(whole[:len(whole)-3], 40, byte(255))
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
				t.Errorf("a record of nothing: %+v", r)
			}
			if strings.HasPrefix(string(b), string(whole[:16])) && r.ID != "a" && r.ID != "b" && len(b) <= len(whole) {
				t.Errorf("%q was never written", r.ID)
			}
		})
		if err != nil {
			t.Log(err) // as for most of them
		}
	})
}

// BenchmarkAppend compares this store with an embedded database, by the jobs that many clients append at once, each acknowledged once it
// is on disk.
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
