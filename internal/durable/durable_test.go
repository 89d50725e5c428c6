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

var seeds = flag.Uint64("seeds", 6, "number of simulations to run of each scenario")

// runScenario runs a simulation of a scenario. It returns the violated guarantees, and the number of jobs by final answer.
func runScenario(t *testing.T, seed uint64, s scenario) (violations []string, finals map[string]int) {
	finals = map[string]int{}
	synctesting.Test(t, func(t *testing.T) {
		sim := newSimulation(t, seed, s)
		sim.disk.IgnoresSyncs = s.lyingDisk
		sim.disk.SetSyncDelay(s.syncTime)
		crashed := sim.scheduleCrash()
		process := sim.startNode()
		var clients sync.WaitGroup
		for i := range s.jobs {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * cmp.Or(s.interval, 37*time.Millisecond))
				sim.runClient(i)
			})
		}
		process = sim.interruptNode(process, crashed)
		clients.Wait()
		sim.end(process.kill)
		sim.check()
		for _, final := range sim.finals {
			finals[final]++
		}
		violations = sim.violations
	})
	return violations, finals
}

// scheduleCrash makes the disk crash once, just before the sync that the scenario sets. From then on the disk keeps nothing that
// this incarnation of the node writes. The channel receives a value when the disk has crashed and the node is to be killed.
func (sim *simulation) scheduleCrash() <-chan struct{} {
	crashed := make(chan struct{}, 1)
	if sim.crashAtSync == 0 {
		return crashed
	}
	fired := false
	sim.disk.OnSync = func(n int) {
		if n == sim.crashAtSync && !fired {
			fired = true
			sim.disk.Crash()
			crashed <- struct{}{}
		}
	}
	return crashed
}

// interruptNode kills, shuts down and restarts the node as the scenario says. It returns the process that is running at the end.
func (sim *simulation) interruptNode(process *nodeProcess, crashed <-chan struct{}) *nodeProcess {
	for range sim.nodeKills {
		time.Sleep(time.Duration(100+sim.random(900)) * time.Millisecond)
		process.kill()
		time.Sleep(time.Duration(sim.random(500)) * time.Millisecond)
		process = sim.startNode()
	}
	for range sim.nodeShutdowns {
		time.Sleep(time.Duration(200+sim.random(500)) * time.Millisecond)
		process.shutDown()
		process = sim.startNode()
	}
	if sim.crashAtSync > 0 {
		select {
		case <-crashed:
			process.kill()
			process = sim.startNode()
		case <-time.After(30 * time.Second): // the simulation had fewer syncs than crashAtSync
		}
	}
	return process
}

// check compares the final answers with how often the jobs ran.
func (sim *simulation) check() {
	for id, final := range sim.finals {
		effects := sim.effects[id]
		last := id[len(id)-1]
		atMostOnce := (last-'0')%2 == 1 // runClient chooses the class by the job's number
		switch {
		case atMostOnce && effects > 1:
			sim.violation("%s of an at-most-once class ran %d times", id, effects)
		case final == "handled" && effects == 0:
			sim.violation("%s was answered as succeeded (%q), but never ran", id, final)
		case atMostOnce && final == "pushed back" && effects > 0:
			sim.violation("%s was answered as rejected (%q), but ran", id, final)
		}
	}
	if len(sim.finals) != sim.jobs {
		sim.violation("%d of %d jobs have a final answer", len(sim.finals), sim.jobs)
	}
}

// TestCrashes kills nodes and restarts executors at random times. No acknowledged job may be lost, each job must have exactly one
// final answer, and no job of an at-most-once class may run twice.
func TestCrashes(t *testing.T) {
	for _, p := range []scenario{
		{jobs: 30},
		{jobs: 30, nodeKills: 6},
		{jobs: 30, nodeKills: 6, leases: true},
		{jobs: 30, nodeKills: 6, leases: true, executorRestarts: 2},
		{jobs: 30, nodeShutdowns: 5},
		{jobs: 30, nodeKills: 3, nodeShutdowns: 3, leases: true, executorRestarts: 2},
	} {
		all := map[string]int{}
		for seed := range *seeds {
			violations, finals := runScenario(t, seed, p)
			for _, text := range violations {
				t.Errorf("%+v, seed %d: %s", p, seed, text)
			}
			for f, n := range finals {
				all[f] += n
			}
		}
		t.Logf("%+v: %v", p, all)
		if all["handled"] == 0 {
			t.Errorf("%+v: no job succeeded", p)
		}
	}
}

// TestCrashAtEachSync runs a small simulation again and again and kills the node at another sync each time, so that the crash
// comes before and after each step: the acknowledgement of a job, the sending of an attempt, the writing of the final answer.
func TestCrashAtEachSync(t *testing.T) {
	for _, leases := range []bool{false, true} {
		points, all := 0, map[string]int{}
		for at := 2; at <= 24; at++ {
			s := scenario{jobs: 4, interval: 150 * time.Millisecond, crashAtSync: at, leases: leases, syncTime: time.Millisecond}
			violations, finals := runScenario(t, uint64(at), s)
			for _, text := range violations {
				t.Errorf("leases %v, crash at sync %d: %s", leases, at, text)
			}
			points++
			for f, n := range finals {
				all[f] += n
			}
		}
		t.Logf("leases %v, %d points: %v", leases, points, all)
	}
}

// TestInjectedFaults checks the simulation itself: it must report violations if the disk, the executors or the node are faulty.
func TestInjectedFaults(t *testing.T) {
	for name, p := range map[string]scenario{
		"a disk whose syncs do nothing":               {jobs: 30, nodeKills: 8, lyingDisk: true},
		"executors that run refused epochs":           {jobs: 30, nodeKills: 8, leases: true, forgetLeases: true},
		"acknowledgement before the record is synced": {jobs: 30, nodeKills: 8, syncTime: 30 * time.Millisecond, fault: durable.AckBeforeWrite},
		"attempt sent before its record is synced":    {jobs: 30, nodeKills: 8, syncTime: 30 * time.Millisecond, fault: durable.SendBeforeWrite},
		"attempt sent without an epoch":               {jobs: 30, nodeKills: 8, leases: true, fault: durable.OmitEpoch},
		"every ended attempt treated as never run":    {jobs: 40, nodeShutdowns: 8, fault: durable.AllEndsAsNeverRan},
	} {
		detected := 0
		for seed := range uint64(6) {
			violations, _ := runScenario(t, seed, p)
			detected += len(violations)
		}
		if detected == 0 {
			t.Errorf("%s: no violation was reported", name)
		}
	}
}

// TestSlowDisk checks that ordinary batch jobs don't wait for the disk. While each sync takes ten seconds, they are answered at
// their usual speed, and a durable job is not acknowledged until its record is synced.
func TestSlowDisk(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, scenario{})
		process := sim.startNode()
		time.Sleep(time.Second)
		sim.disk.SetSyncDelay(10 * time.Second)
		start := time.Now()
		acknowledged := make(chan time.Duration, 1)
		go func() {
			status, _, err := sim.call("slow", http.MethodPut, durable.Path+"slow", "X-Call-Class: order\r\n", "X-Budget-Ms: 60000\r\n")
			if err != nil || status != http.StatusCreated {
				t.Errorf("submission of the durable job: status %d, error %v, want status %d", status, err, http.StatusCreated)
			}
			acknowledged <- time.Since(start)
		}()
		slowest := time.Duration(0)
		for i := range 20 {
			began := time.Now()
			status, _, err := sim.call(fmt.Sprint("o", i), http.MethodPost, "/x",
				fmt.Sprintf("X-Call-Id: o%d\r\n", i), "X-Call-Class: page\r\n", "X-Budget-Ms: 4000\r\n")
			if status != http.StatusOK {
				t.Errorf("ordinary job %d: status %d, error %v, want status %d", i, status, err, http.StatusOK)
			}
			slowest = max(slowest, time.Since(began))
		}
		if slowest > time.Second {
			t.Errorf("the slowest ordinary job took %v, want at most a second", slowest)
		}
		if took := <-acknowledged; took < 10*time.Second {
			t.Errorf("the durable job was acknowledged after %v, before its record was synced", took)
		}
		sim.disk.SetSyncDelay(0)
		process.kill()
		sim.net.Shutdown()
		time.Sleep(30 * time.Second)
	})
}

// TestHTTPHandler checks the status of responses to invalid submissions, to submissions under an ID in use, to requests for a
// job's state and to removals.
func TestHTTPHandler(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, scenario{})
		process := sim.startNode()
		time.Sleep(time.Second)
		class, budget := "X-Call-Class: order\r\n", "X-Budget-Ms: 5000\r\n"
		for i, c := range []struct {
			name, method, path string
			headers            []string
			want               int
		}{
			{"new job", http.MethodPut, "a", []string{class, budget}, 201},
			{"repeated submission", http.MethodPut, "a", []string{class, budget}, 200},
			{"other class, ID in use", http.MethodPut, "a", []string{"X-Call-Class: page\r\n", budget}, 409},
			{"other path, ID in use", http.MethodPut, "a", []string{class, budget, "X-Path: /other\r\n"}, 409},
			{"no class", http.MethodPut, "b", []string{budget}, 400},
			{"no budget", http.MethodPut, "b", []string{class}, 400},
			{"budget over the maximum", http.MethodPut, "b", []string{class, "X-Budget-Ms: 99999999\r\n"}, 400},
			{"invalid path", http.MethodPut, "b", []string{class, budget, "X-Path: x y\r\n"}, 400},
			{"no ID", http.MethodPut, "", []string{class, budget}, 400},
			{"ID with a slash", http.MethodPut, "a/b", []string{class, budget}, 400},
			{"unsupported method", http.MethodPatch, "a", nil, 405},
			{"state of an unknown ID", http.MethodGet, "zzz", nil, 404},
			{"invalid wait", http.MethodGet, "a?wait_ms=long", nil, 400},
			{"wait for the final answer", http.MethodGet, "a?wait_ms=5000", nil, 200},
			{"removal", http.MethodDelete, "a", nil, 204},
			{"second removal", http.MethodDelete, "a", nil, 404},
			{"state after removal", http.MethodGet, "a", nil, 404},
		} {
			status, _, err := sim.call(fmt.Sprint("front", i), c.method, durable.Path+c.path, c.headers...)
			if status != c.want {
				t.Errorf("%s: status %d (error %v), want %d", c.name, status, err, c.want)
			}
		}
		process.kill()
		sim.net.Shutdown()
		time.Sleep(30 * time.Second)
	})
}

// BenchmarkRecover measures how fast a starting node recovers jobs from its store.
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
				s.Append(store.Record{
					Kind:     store.Accepted,
					ID:       fmt.Sprint("job-", i),
					At:       time.Now(),
					Deadline: time.Now().Add(time.Hour),
					JobClass: "order",
					Body:     make([]byte, 1024),
				}, func(error) { wait.Done() })
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
				options := durable.Options{MaxDeadline: time.Hour, Leases: leases.Settings{MaxDispatched: 256, AnswerTTL: time.Hour}}
				manager := durable.New(options, s, classNames, classes, nil, zerolog.Nop())
				manager.Start(func(node.Event) {}, nil, nil)
				if err := manager.Close(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
		})
	}
}
