package store_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"birchstair/internal/emulator"
	"birchstair/internal/store"
)

// TestInvalidRecordFailsAlone guards against one job that stops all others: a record that could not be encoded made the store
// fail, so that until a restart no record of any job was written. The order of events: records of other jobs are pending before and
// after the invalid one, and are committed together with it.
func TestInvalidRecordFailsAlone(t *testing.T) {
	for title, invalid := range map[string]store.Record{
		"too long":        accepted("long", 2<<20),
		"without an id":   accepted("", 10),
		"an unknown kind": {Kind: store.Released + 1, ID: "kind", At: day},
	} {
		t.Run(title, func(t *testing.T) {
			disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 1)))
			s, err := store.Open(disk, store.Options{SegmentBytes: 1 << 20})
			if err != nil {
				t.Fatal(err)
			}
			results := make(chan struct{}, 3)
			for _, r := range []store.Record{accepted("before", 10), invalid, accepted("after", 10)} {
				s.Append(r, func(err error) {
					if (r.ID == invalid.ID) != errors.Is(err, store.ErrInvalidRecord) {
						t.Errorf("append of job %q: error %v", r.ID, err)
					}
					results <- struct{}{}
				})
			}
			for range cap(results) {
				<-results
			}
			if err := appendTo(s, accepted("later", 10)); err != nil {
				t.Errorf("append after the invalid record: %v", err)
			}
			closeStore(t, s)
			if s, err = store.Open(disk, store.Options{SegmentBytes: 1 << 20}); err != nil {
				t.Fatal(err)
			}
			for _, id := range []string{"before", "after", "later"} {
				if _, ok := s.Get(id); !ok {
					t.Errorf("job %s was not recovered", id)
				}
			}
			closeStore(t, s)
		})
	}
}

// states returns a description of each job in a store, by job ID.
func states(s *store.Store) map[string]string {
	all := map[string]string{}
	s.ForEach(func(state store.JobState) { all[state.Accepted.ID] = describeState(state) })
	return all
}

// compactionCrashStore returns a store in which the jobs of the first segment need several frames at a compaction.
func compactionCrashStore(t *testing.T, disk *emulator.Disk) *store.Store {
	t.Helper()
	s, err := store.Open(disk, store.Options{SegmentBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		id := fmt.Sprint("j", i)
		records := []store.Record{
			accepted(id, 100),
			{Kind: store.AttemptStarted, ID: id, At: day, Epoch: 1, Executor: "e"},
			{Kind: store.AttemptEnded, ID: id, At: day, Epoch: 1, NeverRan: true},
			{Kind: store.Final, ID: id, At: day, Body: make([]byte, 50)},
			{Kind: store.Released, ID: id, At: day},
		}
		for _, r := range records[:1+i%len(records)] {
			if err := appendTo(s, r); err != nil {
				t.Fatal(err)
			}
		}
	}
	closeStore(t, s)
	if s, err = store.Open(disk, store.Options{SegmentBytes: 1 << 20}); err != nil {
		t.Fatal(err)
	}
	s.SetMaxFrameBytes(600)
	return s
}

// TestCompactionCrashes guards against jobs that are lost or doubled by a crash between two frames of one compaction. The process
// crashes before each sync in turn, on disks that keep different parts of what was not synced.
func TestCompactionCrashes(t *testing.T) {
	const seeds = 20
	crashes := 0
	for seed := range uint64(seeds) {
		for crashAt := 1; ; crashAt++ {
			disk := emulator.NewDisk(rand.New(rand.NewPCG(seed, 1)))
			s := compactionCrashStore(t, disk)
			want, crashed, first := states(s), false, disk.Syncs
			disk.OnSync = func(n int) {
				if n == first+crashAt && !crashed {
					crashed = true
					disk.Crash()
				}
			}
			err := s.Compact(nil)
			if crashed == (err == nil) {
				t.Fatalf("seed %d, crash at sync %d: compaction returned %v", seed, crashAt, err)
			}
			if !crashed {
				break
			}
			crashes++
			s.Close() //nolint:errcheck // after the crash the disk returns errors; this only ends the store's goroutine
			checkAfterCrash(t, disk, want, fmt.Sprintf("seed %d, crash at sync %d", seed, crashAt))
		}
	}
	if crashes < 3*seeds {
		t.Errorf("%d crashes in %d compactions: the compactions wrote too few frames", crashes, seeds)
	}
}

// checkAfterCrash checks that a store recovers the wanted jobs, and still has them after another compaction and start.
func checkAfterCrash(t *testing.T, disk *emulator.Disk, want map[string]string, title string) {
	t.Helper()
	for _, step := range []string{"recovered", "compacted", "recovered again"} {
		s, err := store.Open(disk, store.Options{SegmentBytes: 1 << 20})
		if err != nil {
			t.Fatalf("%s: %s: %v", title, step, err)
		}
		if got := states(s); !maps.Equal(got, want) {
			t.Errorf("%s: %s %v, want %v", title, step, got, want)
		}
		if err := s.Compact(nil); err != nil {
			t.Fatalf("%s: %s: compaction: %v", title, step, err)
		}
		closeStore(t, s)
	}
}
