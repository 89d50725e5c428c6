package durable_test

import (
	"cmp"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/durable"
	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/internal/store"
	"birchstair/internal/synctesting"
)

var seeds = flag.Uint64("seeds", 6, "how many worlds of each scenario are played")

// play plays a scenario and gives its violations, and how many jobs had each final answer.
func play(t *testing.T, seed uint64, s scenario) (violations []string, finals map[string]int) {
	finals = map[string]int{}
	synctesting.Test(t, func(t *testing.T) {
		w := newWorld(t, seed, s)
		w.disk.IgnoresSyncs = s.lyingDisk
		w.disk.SetSyncDelay(s.syncTime)
		crashed := w.crashAtSync()
		process := w.startNode()
		var clients sync.WaitGroup
		for i := range s.jobs {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * cmp.Or(s.interval, 37*time.Millisecond))
				w.runClient(i)
			})
		}
		process = w.disturb(process, crashed)
		clients.Wait()
		process.kill()
		w.mu.Lock()
		w.over = true
		w.mu.Unlock()
		w.net.Shutdown()
		time.Sleep(10 * time.Second)
		w.check()
		for _, final := range w.finals {
			finals[final]++
		}
		violations = w.violations
	})
	return violations, finals
}

// crashAtSync makes the disk crash at the scenario's sync, once. From that moment on nothing that the incarnation writes is kept; the channel then says that it
// is to be killed.
func (w *world) crashAtSync() <-chan struct{} {
	crashed := make(chan struct{}, 1)
	if w.killAtSync == 0 {
		return crashed
	}
	fired := false
	w.disk.OnSync = func(n int) {
		if n == w.killAtSync && !fired {
			fired = true
			w.disk.Crash()
			crashed <- struct{}{}
		}
	}
	return crashed
}

// disturb kills and stops the node as the scenario says, and gives the process that runs then.
func (w *world) disturb(process *nodeProcess, crashed <-chan struct{}) *nodeProcess {
	for range w.kills {
		time.Sleep(time.Duration(100+w.random(900)) * time.Millisecond)
		process.kill()
		time.Sleep(time.Duration(w.random(500)) * time.Millisecond)
		process = w.startNode()
	}
	for range w.stops {
		time.Sleep(time.Duration(200+w.random(500)) * time.Millisecond)
		process.shutDown()
		process = w.startNode()
	}
	if w.killAtSync > 0 {
		select {
		case <-crashed:
			process.kill()
			process = w.startNode()
		case <-time.After(30 * time.Second): // there were not so many syncs
		}
	}
	return process
}

// check compares the final answers with what the jobs have done.
func (w *world) check() {
	for id, final := range w.finals {
		effects := w.effects[id]
		last := id[len(id)-1]
		atMostOnce := (last-'0')%2 == 1 // as runClient picks the class
		switch {
		case atMostOnce && effects > 1:
			w.violation("%s, once-only, ran %d times", id, effects)
		case final == "handled" && effects == 0:
			w.violation("%s was handled and never ran", id)
		case atMostOnce && final == "pushed back" && effects > 0:
			w.violation("%s was pushed back and ran", id)
		}
	}
	if len(w.finals) != w.jobs {
		w.violation("%d of %d have a final answer", len(w.finals), w.jobs)
	}
}

// Nodes and executors are killed at random points: what was acknowledged is never lost, each batch job gets one final answer and keeps it, and none of an
// at-most-once class runs twice.
func TestKilled(t *testing.T) {
	for _, p := range []scenario{
		{jobs: 30},
		{jobs: 30, kills: 6},
		{jobs: 30, kills: 6, leases: true},
		{jobs: 30, kills: 6, leases: true, restarts: 2},
		{jobs: 30, stops: 5},
		{jobs: 30, kills: 3, stops: 3, leases: true, restarts: 2},
	} {
		all := map[string]int{}
		for seed := range *seeds {
			violations, finals := play(t, seed, p)
			for _, text := range violations {
				t.Errorf("%+v, seed %d: %s", p, seed, text)
			}
			for f, n := range finals {
				all[f] += n
			}
		}
		t.Logf("%+v: %v", p, all)
		if all["handled"] == 0 {
			t.Errorf("%+v: nothing was handled", p)
		}
	}
}

// The node is killed at every single sync of a small world: before a batch job is acknowledged, before an attempt is sent, before the final answer is
// written, and after each.
func TestKilledAtEverySync(t *testing.T) {
	for _, leases := range []bool{false, true} {
		points, all := 0, map[string]int{}
		for at := 2; at <= 24; at++ {
			violations, finals := play(t, uint64(at), scenario{jobs: 4, interval: 150 * time.Millisecond, killAtSync: at, leases: leases, syncTime: time.Millisecond})
			for _, text := range violations {
				t.Errorf("leases %v, killed at sync %d: %s", leases, at, text)
			}
			points++
			for f, n := range finals {
				all[f] += n
			}
		}
		t.Logf("leases %v, %d points: %v", leases, points, all)
	}
}

// Injected faults are found.
func TestKilledFaults(t *testing.T) {
	for name, p := range map[string]scenario{
		"a disk that lies about its syncs":               {jobs: 30, kills: 8, lyingDisk: true},
		"executors that forget the epochs they heard of": {jobs: 30, kills: 8, leases: true, forgetful: true},
		"acknowledged before it stands on the disk":      {jobs: 30, kills: 8, syncTime: 30 * time.Millisecond, fault: durable.AckBeforeWrite},
		"sent before its record stands on the disk":      {jobs: 30, kills: 8, syncTime: 30 * time.Millisecond, fault: durable.SendBeforeWrite},
		"sent without an epoch":                          {jobs: 30, kills: 8, leases: true, fault: durable.OmitEpoch},
		"any end taken for a proof":                      {jobs: 40, stops: 8, fault: durable.AllEndsAsNeverRan},
	} {
		caught := 0
		for seed := range uint64(6) {
			violations, _ := play(t, seed, p)
			caught += len(violations)
		}
		if caught == 0 {
			t.Errorf("%s: not caught", name)
		}
	}
}

// Ordinary batch jobs do not wait for the disk: while each sync takes ten seconds they are answered as ever, and durable ones are not acknowledged.
func TestSlowDisk(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, scenario{})
		process := w.startNode()
		time.Sleep(time.Second)
		w.disk.SetSyncDelay(10 * time.Second)
		start := time.Now()
		acknowledged := make(chan time.Duration, 1)
		go func() {
			status, _, err := w.call("slow", http.MethodPut, durable.Path+"slow", "X-Call-Class: order\r\n", "X-Budget-Ms: 60000\r\n")
			if err != nil || status != http.StatusCreated {
				t.Errorf("the durable one: %d, %v", status, err)
			}
			acknowledged <- time.Since(start)
		}()
		slowest := time.Duration(0)
		for i := range 20 {
			began := time.Now()
			status, _, err := w.call(fmt.Sprint("o", i), http.MethodPost, "/x", fmt.Sprintf("X-Call-Id: o%d\r\n", i), "X-Call-Class: page\r\n", "X-Budget-Ms: 4000\r\n")
			if status != http.StatusOK {
				t.Errorf("an ordinary one: %d, %v", status, err)
			}
			slowest = max(slowest, time.Since(began))
		}
		if slowest > time.Second {
			t.Errorf("an ordinary one waited for %v", slowest)
		}
		if took := <-acknowledged; took < 10*time.Second {
			t.Errorf("the durable one was acknowledged after %v, before the disk had it", took)
		}
		w.disk.SetSyncDelay(0)
		process.kill()
		w.net.Shutdown()
		time.Sleep(30 * time.Second)
	})
}

// Requests that are no durable batch job, ids in use, and removal.
func TestFront(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, scenario{})
		process := w.startNode()
		time.Sleep(time.Second)
		track, budget := "X-Call-Class: order\r\n", "X-Budget-Ms: 5000\r\n"
		for i, c := range []struct {
			name, method, path string
			fields             []string
			want               int
		}{
			{"handed in", http.MethodPut, "a", []string{track, budget}, 201},
			{"the same again", http.MethodPut, "a", []string{track, budget}, 200},
			{"another track under its id", http.MethodPut, "a", []string{"X-Call-Class: page\r\n", budget}, 409},
			{"another path under its id", http.MethodPut, "a", []string{track, budget, "X-Path: /other\r\n"}, 409},
			{"no track", http.MethodPut, "b", []string{budget}, 400},
			{"no budget", http.MethodPut, "b", []string{track}, 400},
			{"over the outer limit", http.MethodPut, "b", []string{track, "X-Budget-Ms: 99999999\r\n"}, 400},
			{"a path that is none", http.MethodPut, "b", []string{track, budget, "X-Path: x y\r\n"}, 400},
			{"no id", http.MethodPut, "", []string{track, budget}, 400},
			{"an id with a slash", http.MethodPut, "a/b", []string{track, budget}, 400},
			{"a method that is none", http.MethodPatch, "a", nil, 405},
			{"asked for by nobody's id", http.MethodGet, "zzz", nil, 404},
			{"a wait that is no number", http.MethodGet, "a?wait_ms=long", nil, 400},
			{"waited for", http.MethodGet, "a?wait_ms=5000", nil, 200},
			{"let go", http.MethodDelete, "a", nil, 204},
			{"let go twice", http.MethodDelete, "a", nil, 404},
			{"asked for after that", http.MethodGet, "a", nil, 404},
		} {
			status, _, err := w.call(fmt.Sprint("front", i), c.method, durable.Path+c.path, c.fields...)
			if status != c.want {
				t.Errorf("%s: %d (%v), not %d", c.name, status, err, c.want)
			}
		}
		process.kill()
		w.net.Shutdown()
		time.Sleep(30 * time.Second)
	})
}

// BenchmarkRecover is how long a node takes to find so many batch jobs on its disk again.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{1000, 10000, 50000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := store.Directory(b.TempDir())
			s, err := store.Open(dir, store.Options{SegmentBytes: 4 << 20})
			if err != nil {
				b.Fatal(err)
			}
			var wait sync.WaitGroup
			wait.Add(n)
			for i := range n {
				s.Append(store.Record{Kind: store.Accepted, ID: fmt.Sprint("job-", i), At: time.Now(), Deadline: time.Now().Add(time.Hour), JobClass: "order",
					Body: make([]byte, 1024)}, func(error) { wait.Done() })
			}
			wait.Wait()
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				s, err := store.Open(dir, store.Options{SegmentBytes: 4 << 20})
				if err != nil {
					b.Fatal(err)
				}
				d := durable.New(durable.Options{MaxDeadline: time.Hour, Leases: leases.Settings{MaxDispatched: 256, AnswerTTL: time.Hour}}, s, classNames, classes, nil, zerolog.Nop())
				d.Start(func(node.Event) {}, nil, nil)
				if err := d.Close(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
		})
	}
}
