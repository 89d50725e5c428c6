package scaletest

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"birchstair/internal/admin"
	"birchstair/internal/emulator"
	"birchstair/internal/golden"
	"birchstair/internal/node"
	"birchstair/policy"
)

var binary string

func TestMain(m *testing.M) {
	if os.Getenv(StubEnv) != "" {
		if err := RunStub(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	golden.Main(m, &binary)
}

func smallestSweep() Sweep {
	return Sweep{Executors: []int{16}, ClusterSizes: []int{9}, Nodes: []int{4}, Tenants: []int{3}, MaxRealNodes: 2, Rounds: 1, BaseExecutors: 16, BaseNodes: 4, BaseRate: 60,
		TaskDuration: 5 * time.Millisecond, Window: 400 * time.Millisecond, Sockets: 512}
}

func testOptions(t *testing.T) Options {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Binary: binary, StubCommand: []string{self}, Dir: t.TempDir(), Settle: 200 * time.Millisecond, MaxPolicyStarts: 200, BurstDuration: 100 * time.Millisecond}
}

// TestSmallestSweep runs the smallest sweep and expects no violations: each batch job is answered once and counted once
// at both ends, all executors are known, and each change takes effect at all nodes. The rows must have the expected
// figures.
func TestSmallestSweep(t *testing.T) {
	rows := map[string]Row{}
	if err := smallestSweep().Run(testOptions(t), func(r Row) {
		t.Log(r)
		rows[r.Series] = r
		if r.NotRun != "" || len(r.Violations) > 0 {
			t.Errorf("not run: %q; wrong: %q", r.NotRun, r.Violations)
		}
	}); err != nil {
		t.Fatal(err)
	}
	want := map[string][]string{
		"executors-of-9":        {"list_s", "settings_s", "drain_s", "burst_s", "zone_gone_s", "zone_back_s", "idle_core_pct", "cpu_us_start", "files_load", "peak_mb"},
		"module-executors-of-9": {"cpu_us_start", "heap_kb"},
		"module-tenants":        {"cpu_us_start", "heap_kb"},
		"nodes":                 {"list_s", "drain_s", "nodes_in_pps_idle", "nodes_out_pps_idle"},
	}
	for series, figures := range want {
		for _, f := range figures {
			if _, ok := rows[series].Figures[f]; !ok {
				t.Errorf("%s has no %s", series, f)
			}
		}
	}
	if f := rows["nodes"].Figures; f["nodes_in_bps_load"] <= 0 || f["nodes_out_bps_load"] <= 0 {
		t.Errorf("no gossip traffic was counted between real nodes and stub nodes: %v", f)
	}
	if f := rows["executors-of-9"].Figures; f["starts_ps"] <= 0 || f["handled_part"] <= 0 || f["list_whole_kb"] <= 0 {
		t.Errorf("no task was started, or no endpoint list was sent: %v", f)
	}
}

// TestPointNotRun checks that the row of a point that cannot be run has the reason, and that the other points are run.
func TestPointNotRun(t *testing.T) {
	o := testOptions(t)
	o.Binary = filepath.Join(o.Dir, "nothing")
	s := smallestSweep()
	s.Nodes = nil
	rows := map[string]Row{}
	if err := s.Run(o, func(r Row) { rows[r.Series] = r }); err != nil {
		t.Fatal(err)
	}
	if r := rows["executors-of-9"]; !strings.Contains(r.NotRun, "nothing") || r.Figures != nil {
		t.Errorf("%+v", r)
	}
	if r := rows["module-tenants"]; r.NotRun != "" || r.Figures["cpu_us_start"] <= 0 {
		t.Errorf("%+v", r)
	}
}

// TestBaseline checks that a sweep with Baseline measures each point with both builds, except for points with
// PolicyOnly. The two builds must follow each other in an order that alternates by round, and each row must come from
// the build that it names.
func TestBaseline(t *testing.T) {
	s := smallestSweep()
	s.Baseline = true
	for round, want := range [][]string{{"executors-of-9", "executors-of-9-against"}, {"executors-of-9-against", "executors-of-9"}} {
		var got []string
		for _, pt := range s.points(round) {
			if strings.HasPrefix(pt.Series, "executors") {
				got = append(got, pt.Series)
			}
			if pt.Baseline != strings.HasSuffix(pt.Series, "-against") || pt.PolicyOnly && pt.Baseline {
				t.Errorf("%+v", pt)
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	o := testOptions(t)
	o.BaselineBinary = filepath.Join(o.Dir, "nothing")
	s.Nodes, s.Tenants = nil, nil
	rows := map[string]Row{}
	if err := s.Run(o, func(r Row) { rows[r.Series] = r }); err != nil {
		t.Fatal(err)
	}
	if r := rows["executors-of-9"]; r.NotRun != "" || r.Figures["starts_ps"] <= 0 {
		t.Errorf("%+v", r)
	}
	if r := rows["executors-of-9-against"]; !strings.Contains(r.NotRun, "nothing") {
		t.Errorf("%+v", r)
	}
}

// TestBounds checks that a sweep that exceeds a bound is refused with an error that names the bound.
func TestBounds(t *testing.T) {
	const files = 20000
	if err := smallestSweep().check(files); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Sweep){
		"--executors: 100000":           func(s *Sweep) { s.Executors = []int{12, 100000} },
		"--executors: 0":                func(s *Sweep) { s.BaseExecutors = 0 },
		"--nodes: 301":                  func(s *Sweep) { s.Nodes = []int{301} },
		"--nodes: -3":                   func(s *Sweep) { s.Nodes = []int{-3} },
		"--real: 13":                    func(s *Sweep) { s.MaxRealNodes = 13 },
		"--tenants: 100000":             func(s *Sweep) { s.Tenants = []int{100000} },
		"--rungs: 65":                   func(s *Sweep) { s.PriorityLevels = []int{65} },
		"--rates, starts a second: 0":   func(s *Sweep) { s.Rates = []int{0} },
		"--rounds: 0":                   func(s *Sweep) { s.Rounds = 0 },
		"--rounds: all points would":    func(s *Sweep) { s.Rounds, s.Window = 100, time.Minute },
		"--span":                        func(s *Sweep) { s.Window = 0 },
		"--work":                        func(s *Sweep) { s.TaskDuration = 0 },
		"--sockets: 30000":              func(s *Sweep) { s.Sockets = 30000 },
		"places: 100 tasks":             func(s *Sweep) { s.Concurrency = []int{100} },
		"descriptors: a process":        func(s *Sweep) { s.Nodes, s.MaxRealNodes, s.Sockets = []int{12}, 12, 19000 },
		"descriptors: the process with": func(s *Sweep) { s.BaseExecutors, s.Rates = 3200, []int{5000} },
	} {
		s := smallestSweep()
		change(&s)
		if err := s.check(files); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	s := smallestSweep()
	s.Executors = []int{3200}
	if err := s.check(1900); err == nil || !strings.Contains(err.Error(), "RLIMIT_NOFILE is 1900") {
		t.Error(err)
	}
	s.Queueing = []int{6400}
	if err := s.check(files); err == nil || !strings.Contains(err.Error(), "descriptors: ") {
		t.Error(err)
	}
	pt := Point{Executors: 6400, StubNodes: 300, RealNodes: 12, MemoryMB: 192, Rate: 80000}
	if err := s.checkMachine(pt, 1<<20); err == nil || !strings.Contains(err.Error(), "memory: ") {
		t.Error(err)
	}
	pt = Point{Executors: 16, RealNodes: 299, MemoryMB: 1, Rate: 1}
	if err := s.checkMachine(pt, 1<<20); err == nil || !strings.Contains(err.Error(), "processes: 301") {
		t.Error(err)
	}
	if n := totalSlots(3200); n != referenceSlots {
		t.Errorf("total slots = %d, want %d", n, referenceSlots)
	}
}

// setUpMeasurement sets up a point for the duration of the test. The test fails if there is a violation.
func setUpMeasurement(t *testing.T, pt Point) *measurement {
	t.Helper()
	m := &measurement{options: testOptions(t), point: pt, epoch: time.Now(), row: Row{Figures: map[string]float64{}}}
	t.Cleanup(func() {
		for _, c := range slices.Backward(m.cleanups) {
			c()
		}
		if len(m.row.Violations) > 0 {
			t.Error(m.row.Violations)
		}
	})
	if err := m.setUp(); err != nil {
		t.Fatal(err)
	}
	return m
}

// TestFarAbovePlannedSize checks that a node neither crashes nor hangs far above the planned size: 100,000 tenants must
// be served, and an endpoint list of 100,000 entries must be used or refused.
func TestFarAbovePlannedSize(t *testing.T) {
	if f := (&policyJob{Executors: 16, ClusterSize: 9, Tenants: 100000, Rate: 100, Work: time.Millisecond, MaxCPU: 10 * time.Second, Starts: 200}).play(); f.Error != "" || f.Starts == 0 {
		t.Errorf("100,000 tenants: %+v", f)
	}
	m := setUpMeasurement(t, Point{Series: "far-above-planned-size", Executors: 4, ClusterSize: 9, RealNodes: 1, Sockets: 512, MemoryMB: 192})
	p := m.nodes[0]
	var all []emulator.Entry
	for i := range 100000 {
		all = append(all, emulator.Entry{Addr: "127.0.0.1:1", Endpoint: policy.Endpoint{Executor: executorID(i), Zone: policy.ZoneID(i % len(zones)), Weight: 1, StartedLongAgo: true}})
	}
	m.discovery.Change(all...)
	if err := waitFor(readyTimeout, func() bool {
		log, err := os.ReadFile(filepath.Join(p.dir, "log"))
		return p.hasMetric("executors_known", len(all)) || err == nil && strings.Contains(string(log), "endpoint list unavailable")
	}); err != nil {
		t.Errorf("an endpoint list of %d entries is neither used nor refused: %v", len(all), err)
	}
	if vars, err := p.metrics(); err != nil {
		t.Error(err)
	} else {
		t.Logf("of %d executors, the node knows %d", len(all), vars["executors_known"])
	}
}

// TestDrainWithExcludedExecutor checks that an executor that an operator has excluded does not disturb the measurement
// of a drain.
func TestDrainWithExcludedExecutor(t *testing.T) {
	m := setUpMeasurement(t, Point{Series: "drain", Executors: 4, ClusterSize: 9, RealNodes: 1, StubNodes: 2, Gossip: true, Sockets: 512, MemoryMB: 192})
	if _, err := admin.Call(m.nodes[0].adminAddress, node.ExcludeExecutor, executorID(0), 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if err := m.measureDrain(5); err != nil {
		t.Fatal(err)
	}
	if _, ok := m.row.Figures["drain_s"]; !ok {
		t.Error("no figure for the time until the drain took effect")
	}
	if vars, err := m.nodes[0].metrics(); err != nil || vars["executors_excluded"] != 2 {
		t.Errorf("%d executors excluded, want the draining one and the one excluded by the operator; error %v", vars["executors_excluded"], err)
	}
}

// TestFits checks that the fitted line has the expected slope and intercept, and that a figure without a slope is
// reported as flat with a standard error.
func TestFits(t *testing.T) {
	var rows []Row
	for i, noise := range []float64{0.5, -0.5, 0.5, -0.5, 0.5, -0.5} {
		x := float64(i / 2)
		rows = append(rows, Row{Point: Point{Series: "s", X: x}, Figures: map[string]float64{"grows": 3 + 2*x, "noisy": 7 + noise, "once": 1}})
	}
	rows = append(rows, Row{Point: Point{Series: "t", X: 1}, Figures: map[string]float64{"grows": 3}}, Row{Point: Point{Series: "s", X: 5}, NotRun: "because"})
	got := map[string]Fit{}
	for _, f := range Fits(rows) {
		got[f.Series+"/"+f.Figure] = f
	}
	if len(got) != 3 {
		t.Fatalf("%v", got)
	}
	want := Fit{Series: "s", Figure: "grows", Intercept: 3, Slope: 2, To: 2, Count: 6}
	if diff := cmp.Diff(want, got["s/grows"], cmpopts.EquateApprox(0, 1e-9)); diff != "" {
		t.Error(diff)
	}
	if f := got["s/noisy"]; !f.Flat || f.SlopeError < 0.1 || f.Residual < 0.4 {
		t.Errorf("%+v", f)
	}
}
