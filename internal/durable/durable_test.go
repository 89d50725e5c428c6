package durable_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/config"
	"birchstair/internal/durable"
	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/frontend"
	"birchstair/internal/leases"
	"birchstair/internal/memnet"
	"birchstair/internal/node"
	"birchstair/internal/service"
	"birchstair/internal/store"
	"birchstair/internal/synctesting"
	"birchstair/policy"
)

var seeds = flag.Uint64("seeds", 6, "how many worlds of each plan are played")

// plan is what goes wrong, and which defect is planted.
type plan struct {
	leases    bool // executors can be asked
	kills     int  // of the node
	stops     int  // planned ones of the node, after those
	restarts  int  // of executors
	lyingDisk bool
	forgetful bool // executors run an epoch that they have heard of again, and answer "never" to all
	jobs      int
	gap       time.Duration // between batch jobs that are handed in; 0 for 37 ms
	killAt    int           // the node is killed before this sync counts, once; 0 for not
	slow      time.Duration // what a sync takes
	plant     string
}

// world is one node, its disk, some executors and clients that hand in durable batch jobs, on a virtual clock.
type world struct {
	plan
	t    *testing.T
	rand *rand.Rand
	net  *memnet.Net
	disk *emulator.Disk

	mu     sync.Mutex
	runs   map[string]int    // by batch job: effects
	finals map[string]string // as clients were told them
	wrong  []string
	acked  map[string]bool
	life   int
	addr   string
	over   bool
}

var tracks = []policy.JobClass{
	{Idempotency: policy.Idempotent, LatencyObjective: time.Second, Deadline: 5 * time.Second, Value: 1, Kind: policy.AnyKind},
	{Idempotency: policy.AtMostOnce, LatencyObjective: time.Second, Deadline: 5 * time.Second, Value: 1, Kind: policy.AnyKind},
}

var names = []string{"page", "order"}

// number is one under n, drawn from the seed.
func (w *world) number(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

// executor starts an executor, and ends its process now and then.
func (w *world) executor(i int) {
	host, addr := fmt.Sprint("e", i), fmt.Sprintf("127.1.0.%d:9000", i+1)
	x := &platform.Executor{ID: policy.ExecutorID(host), Leases: w.leases, Forgetful: w.forgetful,
		Ran: func(job policy.JobID) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.runs[strings.TrimPrefix(string(job), "durable-")]++
		},
		Takes: func() time.Duration { return time.Duration(w.number(300)) * time.Millisecond }}
	listen := func() {
		l, err := w.net.Listen(host, addr)
		if err != nil {
			panic(err)
		}
		go x.Serve(l)
	}
	listen()
	for range w.restarts {
		at := time.Duration(w.number(6000)) * time.Millisecond
		go func() {
			time.Sleep(at)
			w.mu.Lock()
			over := w.over
			w.mu.Unlock()
			if over {
				return
			}
			w.net.Kill(host, false)
			x.Restart()
			listen()
		}()
	}
}

// discovery names three executors, and never anything new.
func (w *world) discovery() {
	l, err := w.net.Listen("discovery", "127.0.0.1:8500")
	if err != nil {
		panic(err)
	}
	var entries []emulator.Entry
	for i := range 3 {
		entries = append(entries, emulator.Entry{Addr: fmt.Sprintf("127.1.0.%d:9000", i+1),
			Endpoint: policy.Endpoint{Executor: policy.ExecutorID(fmt.Sprint("e", i)), Weight: 1, StartedLongAgo: true}})
	}
	go (&platform.Discovery{Entries: entries, Zones: []string{"z"}}).Serve(l)
}

// node runs one life of the node, until it is killed, or told to stop and killed then.
func (w *world) node() (kill, halt func()) {
	w.mu.Lock()
	w.life++
	host := fmt.Sprint("n#", w.life)
	addr := fmt.Sprintf("127.2.0.1:%d", 8000+w.life)
	w.mu.Unlock()
	s, err := store.Open(w.disk, store.Options{Segment: 20000, Most: 10 << 20})
	if err != nil {
		w.fail("the store does not open: %v", err)
		return func() {}, func() {}
	}
	start := time.Now()
	base := policy.Settings{Seed: uint32(w.life), Nodes: 1, Zone: 0, TotalWeight: 1, MaxAttempts: 6, MayCancel: true, MaxRetryAfter: time.Second,
		Quantum: time.Millisecond, StartNotices: true, SlowStartCapacity: 1, OverloadMultiple: 4, OverloadWindow: time.Second, JobClasses: tracks}
	dial := func(ctx context.Context, id node.ConnID, to string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		c, err := w.net.Dial(ctx, host, fmt.Sprint(id, "-", to), to)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
	asks := node.ConnID(1 << 40)
	var mu sync.Mutex
	next := func() node.ConnID {
		mu.Lock()
		defer mu.Unlock()
		asks++
		return asks
	}
	d := durable.New(durable.Options{MaxDeadline: time.Hour, Leases: leases.Settings{Room: 20, Keep: time.Hour, Leases: w.leases, AskEvery: 300 * time.Millisecond}},
		s, names, tracks, func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, next(), addr) }, zerolog.Nop())
	d.InjectFault(w.plant)
	p := durable.AddClasses(base, time.Hour)
	l, err := w.net.Listen(host, addr)
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	more := make(chan node.Event)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		err := service.Run(ctx, service.Options{Settings: config.Settings{Policy: p, Tracks: names, LoadFields: config.LoadFields{-1, -1, -1, -1, -1}, Zones: []string{"z"}},
			Limits: node.Limits{Quantum: time.Millisecond, MaxIdle: time.Minute, DialTimeout: 100 * time.Millisecond, MaxConns: 100, MaxBodyBytes: 10 << 20,
				MaxWork: time.Hour, RetryAfter: time.Second, LameDuckPeriod: 100 * time.Millisecond, ShutdownTimeout: 200 * time.Millisecond},
			ClientLimits: frontend.ConnLimits{Max: 300}, DiscoveryAddr: "127.0.0.1:8500", StartTime: start, Policy: policy.New(p), Listener: l, DialExecutor: dial,
			DialDiscovery: func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, next(), addr) }, Log: zerolog.Nop(), Durable: d}, more)
		if err != nil {
			w.t.Log("the node ended with an error, as a killed one may: ", err)
		}
	}()
	w.mu.Lock()
	w.addr = addr
	w.mu.Unlock()
	kill = func() {
		w.disk.Crash()
		w.net.Kill(host, false)
		more <- node.FrontendClosed{}
		<-ended
		stop()
		close(more)
	}
	return kill, func() {
		stop()
		<-ended
		close(more)
		w.net.Kill(host, false)
	}
}

// call is one call of a client's.
func (w *world) call(id, method, path string, fields ...string) (int, string, error) {
	w.mu.Lock()
	addr := w.addr
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	dialed, err := w.net.Dial(ctx, "client", id, addr)
	if err != nil {
		return 0, "", err
	}
	var c net.Conn = dialed
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	body := "body of " + strings.SplitN(path, "?", 2)[0]
	if method != http.MethodPut {
		body = ""
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", method, path, strings.Join(fields, ""), len(body), body)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	var text struct{ State, Final string }
	if answer.StatusCode < 300 {
		err = json.NewDecoder(answer.Body).Decode(&text)
	}
	return answer.StatusCode, text.Final, err
}

// client hands a batch job in until it is acknowledged, then waits for its final answer, through whatever happens to the node.
func (w *world) client(i int) {
	id := fmt.Sprint("job", i)
	track := names[i%2]
	for tries := 0; ; tries++ {
		if tries > 200 {
			w.fail("%s is never acknowledged", id)
			return
		}
		status, _, err := w.call(fmt.Sprint(id, "-put", tries), http.MethodPut, durable.Path+id, "X-Call-Class: "+track+"\r\n", "X-Budget-Ms: 60000\r\n")
		if err == nil && (status == http.StatusCreated || status == http.StatusOK) {
			break
		}
		if err == nil && status != http.StatusServiceUnavailable {
			w.fail("%s: status %d", id, status)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.mu.Lock()
	w.acked[id] = true
	w.mu.Unlock()
	for tries := 0; ; tries++ {
		if tries > 400 {
			w.fail("%s has no final answer", id)
			return
		}
		status, final, err := w.call(fmt.Sprint(id, "-get", tries), http.MethodGet, durable.Path+id+"?wait_ms=2000")
		switch {
		case err == nil && status == http.StatusNotFound:
			w.fail("%s was acknowledged and is lost", id)
			return
		case err == nil && final != "":
			w.mu.Lock()
			was := w.finals[id]
			w.finals[id] = final
			w.mu.Unlock()
			if was != "" {
				if was != final {
					w.fail("%s has two final answers, %s and %s", id, was, final)
				}
				return
			}
			time.Sleep(3 * time.Second) // and asks once more, perhaps another life
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// newWorld is a world with its executors and discovery, and no node yet.
func newWorld(t *testing.T, seed uint64, p plan) *world {
	w := &world{plan: p, t: t, rand: rand.New(rand.NewPCG(seed, 2)), runs: map[string]int{}, finals: map[string]string{}, acked: map[string]bool{}}
	w.net = memnet.New(seed, func(_, _ string) memnet.Path { return memnet.Path{Delay: time.Millisecond} })
	w.disk = emulator.NewDisk(rand.New(rand.NewPCG(seed, 3)))
	for i := range 3 {
		w.executor(i)
	}
	w.discovery()
	return w
}

// play plays a world and gives what is wrong with it.
func play(t *testing.T, seed uint64, p plan) (wrong []string, finals map[string]int) {
	finals = map[string]int{}
	synctesting.Test(t, func(t *testing.T) {
		w := newWorld(t, seed, p)
		w.disk.Lies = p.lyingDisk
		w.disk.Slow(p.slow)
		due := make(chan struct{}, 1)
		if p.killAt > 0 {
			fired := false
			w.disk.OnSync = func(n int) {
				if n == p.killAt && !fired {
					fired = true
					w.disk.Crash() // from this moment on nothing of that life stands for good
					due <- struct{}{}
				}
			}
		}
		kill, halt := w.node()
		var wait sync.WaitGroup
		for i := range p.jobs {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * cmp.Or(p.gap, 37*time.Millisecond))
				w.client(i)
			})
		}
		for range p.kills {
			time.Sleep(time.Duration(100+w.number(900)) * time.Millisecond)
			kill()
			time.Sleep(time.Duration(w.number(500)) * time.Millisecond)
			kill, halt = w.node()
		}
		for range p.stops {
			time.Sleep(time.Duration(200+w.number(500)) * time.Millisecond)
			halt()
			kill, halt = w.node()
		}
		if p.killAt > 0 {
			select {
			case <-due:
				kill()
				kill, _ = w.node()
			case <-time.After(30 * time.Second): // it never came so far
			}
		}
		wait.Wait()
		kill()
		w.mu.Lock()
		w.over = true
		w.mu.Unlock()
		w.net.Shut()
		time.Sleep(10 * time.Second)
		for id, final := range w.finals {
			finals[final]++
			n := w.runs[id]
			last := id[len(id)-1]
			once := (last-'0')%2 == 1 // as client picks the track
			switch {
			case once && n > 1:
				w.wrong = append(w.wrong, fmt.Sprintf("%s, once-only, ran %d times", id, n))
			case final == "handled" && n == 0:
				w.wrong = append(w.wrong, fmt.Sprintf("%s was handled and never ran", id))
			case once && final == "pushed back" && n > 0:
				w.wrong = append(w.wrong, fmt.Sprintf("%s was pushed back and ran", id))
			}
		}
		if len(w.finals) != p.jobs {
			w.wrong = append(w.wrong, fmt.Sprintf("%d of %d have a final answer", len(w.finals), p.jobs))
		}
		wrong = w.wrong
	})
	return wrong, finals
}

// Nodes and executors killed at random points: what was acknowledged is never lost, each batch job gets one final answer and keeps it, and no once-only
// one runs twice.
func TestKilled(t *testing.T) {
	for _, p := range []plan{
		{jobs: 30},
		{jobs: 30, kills: 6},
		{jobs: 30, kills: 6, leases: true},
		{jobs: 30, kills: 6, leases: true, restarts: 2},
		{jobs: 30, stops: 5},
		{jobs: 30, kills: 3, stops: 3, leases: true, restarts: 2},
	} {
		all := map[string]int{}
		for seed := range *seeds {
			wrong, finals := play(t, seed, p)
			for _, text := range wrong {
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

// The node is killed at every single sync of a small world: before a batch job is acknowledged, before it goes out, before its answer is kept, and after
// each.
func TestKilledAtEverySync(t *testing.T) {
	for _, leases := range []bool{false, true} {
		points, all := 0, map[string]int{}
		for at := 2; at <= 24; at++ {
			wrong, finals := play(t, uint64(at), plan{jobs: 4, gap: 150 * time.Millisecond, killAt: at, leases: leases, slow: time.Millisecond})
			for _, text := range wrong {
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

// Planted defects are caught.
func TestKilledDefects(t *testing.T) {
	for name, p := range map[string]plan{
		"a disk that lies about its syncs":               {jobs: 30, kills: 8, lyingDisk: true},
		"executors that forget the epochs they heard of": {jobs: 30, kills: 8, leases: true, forgetful: true},
		"acknowledged before it stands on the disk":      {jobs: 30, kills: 8, slow: 30 * time.Millisecond, plant: "acknowledges first"},
		"sent before its record stands on the disk":      {jobs: 30, kills: 8, slow: 30 * time.Millisecond, plant: "sends first"},
		"sent without an epoch":                          {jobs: 30, kills: 8, leases: true, plant: "sends without an epoch"},
		"any end taken for a proof":                      {jobs: 40, stops: 8, plant: "takes any end for a proof"},
	} {
		caught := 0
		for seed := range uint64(6) {
			wrong, _ := play(t, seed, p)
			caught += len(wrong)
		}
		if caught == 0 {
			t.Errorf("%s: not caught", name)
		}
	}
}

// The ordinary front does not wait for the disk: while each sync takes ten seconds ordinary batch jobs are answered as ever, and durable ones are not
// acknowledged.
func TestSlowDisk(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, plan{})
		kill, _ := w.node()
		time.Sleep(time.Second)
		w.disk.Slow(10 * time.Second)
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
		w.disk.Slow(0)
		kill()
		w.net.Shut()
		time.Sleep(30 * time.Second)
	})
}

// A message that is no durable batch job, and an id that is taken.
func TestFront(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, plan{})
		kill, _ := w.node()
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
		kill()
		w.net.Shut()
		time.Sleep(30 * time.Second)
	})
}

// BenchmarkRecover is how long a node takes to find so many batch jobs on its disk again.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{1000, 10000, 50000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := store.Directory(b.TempDir())
			s, err := store.Open(dir, store.Options{Segment: 4 << 20})
			if err != nil {
				b.Fatal(err)
			}
			var wait sync.WaitGroup
			wait.Add(n)
			for i := range n {
				s.Append(store.Record{Kind: store.Accepted, ID: fmt.Sprint("job-", i), At: time.Now(), Limit: time.Now().Add(time.Hour), Track: "order",
					Body: make([]byte, 1024)}, func(error) { wait.Done() })
			}
			wait.Wait()
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				s, err := store.Open(dir, store.Options{Segment: 4 << 20})
				if err != nil {
					b.Fatal(err)
				}
				d := durable.New(durable.Options{MaxDeadline: time.Hour, Leases: leases.Settings{Room: 256, Keep: time.Hour}}, s, names, tracks, nil, zerolog.Nop())
				d.Start(func(node.Event) {}, nil, nil)
				if err := d.Close(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
		})
	}
}
