// Package scaletest measures what a node costs as its surroundings grow: real nodes of the program on loopback, among hollow executors (listeners with the
// platform's protocol whose work is a timer) and hollow nodes (members of the fleet that speak the real words and have no batch jobs). Points of several
// dimensions are measured in turn, round after round, so that a machine that is noisy for a while shows as spread and not as slope; each slope is fitted by
// least squares. CPU is the process's own time, never the clock on the wall.
//
// scale.go holds points and how they are set up, figures.go what is measured of them, bounds.go what is refused, proc.go the real nodes, hollow.go and members.go
// the hollow ones, module.go the module alone, load.go the clients, fit.go the slopes.
package scaletest

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/harness"
	"birchstair/policy"
)

// HollowEnv is set in the environment of hollow processes.
const HollowEnv = "BIRCHLAB_HOLLOW"

// Options are the same for all points.
type Options struct {
	Binary  string   // birchstair
	Against string   // another build of it, for the points that say so
	Hollow  []string // what starts a hollow process
	Dir     string   // of its own: logs and configurations go there
	Span    time.Duration
	Settle  time.Duration // before each stretch that counts
	Work    time.Duration // that a task takes where none is said
	Burst   time.Duration // in which fifty changes come; 1 s where it is left out
	Starts  int           // that are counted with the module alone; 4,000 where it is left out
}

// Point is what is measured once.
type Point struct {
	Series         string  `json:"Series"` // which slope it belongs to
	X              float64 `json:"X"`
	Round          int     `json:"Round"`
	Seed           uint64  `json:"Seed"`
	Executors      int     `json:"Executors"`
	FleetSize      int     `json:"Of"` // nodes that a real one counts itself among: from six on its slice is three in so many
	RealNodes      int     `json:"Real"`
	HollowNodes    int     `json:"Hollow,omitempty"`
	Gossip         bool    `json:"Talk"`
	PriorityLevels int     `json:"Rungs,omitempty"`
	Rate           float64 `json:"Rate"`              // starts a second, of all real nodes together
	Concurrency    int     `json:"Running,omitempty"` // tasks at a time that the rate is to keep
	Sockets        int     `json:"Sockets"`
	MemoryMB       int     `json:"Memory"` // a real node's limit, in MB
	Tenants        int     `json:"Tenants,omitempty"`
	ModuleOnly     bool    `json:"Module,omitempty"`  // the module alone
	Queueing       bool    `json:"Held,omitempty"`    // with more than there are tokens for, so that batch jobs are held
	Against        bool    `json:"Against,omitempty"` // of the other build
}

// long says whether its tasks take long.
func (pt Point) long() bool { return pt.Concurrency > 0 || pt.Queueing }

// Row is what came of a point.
type Row struct {
	Point
	Figures map[string]float64 `json:"Figures,omitempty"`
	Wrong   []string           `json:"Wrong,omitempty"`
	NotRun  string             `json:"NotRun,omitempty"` // why it could not be run
}

// ControlNodes is the nodes that the size sets aside for control.
const ControlNodes = 9

const (
	readyTimeout        = 40 * time.Second
	membershipTimeout   = 90 * time.Second
	changeTimeout       = 20 * time.Second
	executorsPerProcess = 1600 // executors in a hollow process
	referenceSlots      = 7700 // of all executors together
	referenceExecutors  = 3200 // where there are so many
	longWork            = 4 * time.Second

	firstQuota   = 2.0 // tokens that the module has for each executor at first
	queueingLoad = 1.5 // of what these can do, where batch jobs are to be held

	nodeMemory      = 192 // MB, the configuration's default
	queueingSockets = 16384
	queueingMemory  = 1024 // a node takes as many clients as half of it holds at 96 KB each
)

var zones = []string{"a", "b", "c", "d"}

// slots is how many tasks the i-th executor runs at once: 7,700 over 3,200 executors.
func slots(i int) int {
	return referenceSlots*(i+1)/referenceExecutors - referenceSlots*i/referenceExecutors
}

func executorID(i int) policy.ExecutorID { return policy.ExecutorID(fmt.Sprintf("e%05d", i)) }

// points are those of a round, in the order in which they are measured.
func (s Sweep) points(round int) (points []Point) {
	base := Point{Round: round, Seed: uint64(round + 1), Executors: s.BaseExecutors, FleetSize: ControlNodes, RealNodes: 1, Rate: float64(s.BaseRate), Sockets: s.Sockets, MemoryMB: nodeMemory}
	add := func(series string, x int, as func(*Point)) {
		pt := base
		pt.Series, pt.X = series, float64(x)
		as(&pt)
		points = append(points, pt)
	}
	for _, n := range s.Executors {
		for _, of := range s.Of {
			add(fmt.Sprintf("executors-of-%d", of), n, func(pt *Point) { pt.Executors, pt.FleetSize = n, of })
			add(fmt.Sprintf("module-executors-of-%d", of), n, func(pt *Point) { pt.ModuleOnly, pt.Executors, pt.FleetSize = true, n, of })
			add(fmt.Sprintf("module-held-of-%d", of), n, func(pt *Point) { pt.ModuleOnly, pt.Queueing, pt.Executors, pt.FleetSize = true, true, n, of })
		}
	}
	for _, n := range s.Nodes {
		add("nodes", n, func(pt *Point) {
			pt.FleetSize, pt.Gossip = n, true
			pt.RealNodes = min(n, s.Real)
			pt.HollowNodes = n - pt.RealNodes
		})
	}
	for _, n := range s.Rungs {
		add("rungs", n, func(pt *Point) {
			pt.FleetSize, pt.Gossip, pt.PriorityLevels, pt.HollowNodes = s.BaseNodes, true, n, s.BaseNodes-1
		})
	}
	for _, n := range s.Rates {
		add("rate", n, func(pt *Point) { pt.Rate = float64(n) })
	}
	for _, n := range s.Running {
		add("running", n, func(pt *Point) { pt.Concurrency, pt.Rate, pt.FleetSize = n, float64(n)/longWork.Seconds(), 1 })
	}
	for _, n := range s.Held {
		add("held", n, func(pt *Point) {
			pt.Queueing, pt.Executors, pt.Sockets, pt.MemoryMB = true, n, max(s.Sockets, queueingSockets), queueingMemory
			pt.Rate = queueingRate(n, ControlNodes)
		})
	}
	for _, n := range s.Tenants {
		add("module-tenants", n, func(pt *Point) { pt.ModuleOnly, pt.Tenants = true, n })
	}
	if s.Against {
		points = paired(points, round)
	}
	return points
}

// paired has each point of processes once more right beside it, of the other build: what slows the machine for a while slows both. Which of
// them is first alternates. The module alone is of the lab's own build and stays as it is.
func paired(points []Point, round int) (pairs []Point) {
	for _, pt := range points {
		if pt.ModuleOnly {
			pairs = append(pairs, pt)
			continue
		}
		other := pt
		other.Series, other.Against = pt.Series+"-against", true
		if round%2 == 0 {
			pairs = append(pairs, pt, other)
		} else {
			pairs = append(pairs, other, pt)
		}
	}
	return pairs
}

// subsetSize is how many executors a node uses among so many nodes where crossing zones costs nothing: from six on three shares of all.
func subsetSize(executors, of int) int {
	if of < 6 {
		return executors
	}
	return min(executors, (3*executors+of-1)/of)
}

// queueingRate is a rate of long tasks that a node's first tokens are not enough for, so that batch jobs are held.
func queueingRate(executors, of int) float64 {
	return queueingLoad * firstQuota * float64(subsetSize(executors, of)) / longWork.Seconds()
}

// Long is about how long all points take.
func (s Sweep) Long() (long time.Duration) {
	for _, pt := range s.points(0) {
		long += 3 * time.Second
		if !pt.ModuleOnly {
			long += 2*s.Span + 8*time.Second
			if pt.long() {
				long += 20 * time.Second
			}
		}
	}
	return time.Duration(s.Rounds) * long
}

// Run measures all points, round after round, and hands each row on as it comes.
func (s Sweep) Run(o Options, each func(Row)) error {
	if err := s.Check(); err != nil {
		return err
	}
	o.Span, o.Work = s.Span, s.Work
	for round := range s.Rounds {
		for _, pt := range s.points(round) {
			each(Measure(pt, o))
		}
	}
	return nil
}

// measurement is a point while it is measured.
type measurement struct {
	options           Options
	point             Point
	dir               string
	executorProcesses []*hollowProcess // with executors
	memberProcess     *hollowProcess   // with nodes; nil where there are none
	nodes             []*realNode
	entries           []emulator.Entry
	discovery         *platform.Discovery
	discoveryTraffic  traffic
	discoveryAddress  string // where discovery answers
	epoch             time.Time
	cleanups          []func()
	row               Row
}

// Measure measures a point. What could not be run is said in the row.
func Measure(pt Point, o Options) Row {
	w := &measurement{options: o, point: pt, epoch: time.Now(), row: Row{Point: pt, Figures: map[string]float64{}}}
	var err error
	if pt.ModuleOnly {
		err = w.measureModule()
	} else {
		err = w.runSteps()
	}
	for _, c := range slices.Backward(w.cleanups) {
		c()
	}
	if err != nil {
		w.row.NotRun, w.row.Figures = err.Error(), nil
	}
	return w.row
}

func (w *measurement) fail(format string, args ...any) {
	w.row.Wrong = append(w.row.Wrong, fmt.Sprintf(format, args...))
}

func (w *measurement) runSteps() error {
	for _, step := range []func() error{w.setUp, w.measureIdle, w.measureLoad, w.measureChanges} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// measureModule plays the module alone, in a process of its own.
func (w *measurement) measureModule() error {
	job := hollowJob{Module: &moduleJob{Executors: w.point.Executors, FleetSize: w.point.FleetSize, Tenants: w.point.Tenants, Rate: w.point.Rate, Work: w.options.Work, MaxCPU: 2 * time.Second, Skip: 1000, Starts: cmp.Or(w.options.Starts, 4000)}}
	if w.point.Queueing {
		job.Module.Work, job.Module.Skip = longWork, int(firstQuota)*subsetSize(w.point.Executors, w.point.FleetSize)
		job.Module.Rate = queueingRate(w.point.Executors, w.point.FleetSize)
	}
	var f moduleFigures
	h := &hollowProcess{}
	if err := h.start(w.options.Hollow, job, &f); err != nil {
		return err
	}
	ended := h.stop()
	if f.Error != "" {
		return errors.New(f.Error)
	}
	if ended != nil {
		return fmt.Errorf("a hollow process: %w", ended)
	}
	w.row.Figures["out"], w.row.Figures["held"] = float64(f.InFlight), float64(f.Queued)
	w.row.Figures["cpu_us_start"], w.row.Figures["heap_kb"], w.row.Figures["starts"] = f.MicrosPerStart, float64(f.Heap)/1e3, float64(f.Starts)
	return nil
}

func (w *measurement) setUp() error {
	w.dir = filepath.Join(w.options.Dir, fmt.Sprintf("%s-%g-%d", w.point.Series, w.point.X, w.point.Round))
	if err := os.MkdirAll(w.dir, 0o700); err != nil {
		return err
	}
	slot, held, err := harness.Claim()
	if err != nil {
		return err
	}
	w.cleanups = append(w.cleanups, func() { held.Close() })
	if err := w.startExecutors(slot); err != nil {
		return err
	}
	lists, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.cleanups = append(w.cleanups, func() { lists.Close() })
	w.discoveryAddress, w.discovery = lists.Addr().String(), &platform.Discovery{Entries: w.entries, Zones: zones, Epoch: w.epoch}
	go w.discovery.Serve(countedListener{lists, &w.discoveryTraffic})
	if err := w.startNodes(slot); err != nil {
		return err
	}
	if w.point.Gossip {
		return w.awaitMembership()
	}
	return nil
}

func (w *measurement) startExecutors(slot byte) error {
	work := w.options.Work
	if w.point.long() {
		work = longWork
	}
	for first := 0; first < w.point.Executors; first += executorsPerProcess {
		job := hollowJob{Host: fmt.Sprintf("127.%d.3.%d", slot, first/executorsPerProcess+1), Work: work}
		for i := first; i < min(first+executorsPerProcess, w.point.Executors); i++ {
			job.Executors = append(job.Executors, hollowExecutor{executorID(i), slots(i)})
		}
		h, err := startHollow(w.options.Hollow, job)
		if err != nil {
			return err
		}
		w.executorProcesses = append(w.executorProcesses, h)
		w.cleanups = append(w.cleanups, func() {
			if err := h.stop(); err != nil {
				w.fail("a hollow process: %v", err)
			}
		})
		for i, x := range job.Executors {
			w.entries = append(w.entries, emulator.Entry{Addr: h.Addrs[i], Endpoint: policy.Endpoint{Executor: x.ID, Zone: policy.ZoneID((first + i) % len(zones)),
				Cell: policy.CellID((first + i) / 40), State: policy.Available, Weight: float64(x.Slots), StartedLongAgo: true}})
		}
	}
	return nil
}

const (
	clientPort = 8081
	adminPort  = 8082
	gossipPort = 7947

	hollowSeeds = 5 // hollow nodes at which the others join, beside real ones
)

// startNodes starts the real nodes, and the hollow ones beside them, and books what a start takes.
func (w *measurement) startNodes(slot byte) error {
	var hosts, seeds []string
	for i := range w.point.RealNodes {
		hosts = append(hosts, fmt.Sprintf("127.%d.0.%d", slot, i+1))
	}
	job := hollowJob{Fleet: hollowFleet{Real: hosts, PriorityLevels: w.point.PriorityLevels}}
	for i := range w.point.HollowNodes {
		job.Nodes = append(job.Nodes, hollowNode{fmt.Sprint("h", i), w.point.RealNodes + i, fmt.Sprintf("127.%d.%d.%d:%d", slot, 10+i/200, 1+i%200, gossipPort)})
	}
	for _, host := range hosts[:min(3, len(hosts))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", host, gossipPort))
	}
	for _, n := range job.Nodes[:min(hollowSeeds, len(job.Nodes))] {
		seeds = append(seeds, n.Listen)
	}
	job.Fleet.Seeds = seeds
	began := time.Now()
	for i, host := range hosts {
		p := &realNode{name: fmt.Sprint("n", i), number: i, dir: filepath.Join(w.dir, fmt.Sprint("n", i)), clientAddress: fmt.Sprintf("%s:%d", host, clientPort),
			adminAddress: fmt.Sprintf("%s:%d", host, adminPort), valueScale: 2}
		if w.point.Gossip {
			p.gossipAddress = fmt.Sprintf("%s:%d", host, gossipPort)
		}
		if err := os.MkdirAll(p.dir, 0o700); err != nil {
			return err
		}
		if err := errors.Join(p.writeConfig(w.point, w.discoveryAddress), p.writeSite(seeds), p.start(w.binary())); err != nil {
			return err
		}
		w.nodes = append(w.nodes, p)
		w.cleanups = append(w.cleanups, func() {
			if err := p.shutDown(); err != nil {
				w.fail("node %s: a planned end: %v", p.name, err)
			}
		})
	}
	if len(job.Nodes) > 0 {
		h, err := startHollow(w.options.Hollow, job)
		if err != nil {
			return err
		}
		w.memberProcess = h
		w.cleanups = append(w.cleanups, func() {
			if err := h.stop(); err != nil {
				w.fail("a hollow process: %v", err)
			}
		})
	}
	for _, p := range w.nodes {
		if err := waitFor(readyTimeout, func() bool { return p.isReady() && p.hasMetric("executors_known", w.point.Executors) }); err != nil {
			return fmt.Errorf("node %s is not ready with %d executors: %w", p.name, w.point.Executors, err)
		}
	}
	w.row.Figures["ready_s"] = time.Since(began).Seconds()
	w.row.Figures["list_whole_kb"] = float64(w.discoveryTraffic.out.Load()) / 1e3 / float64(len(w.nodes))
	total, err := w.cpu()
	w.row.Figures["ready_cpu_ms"] = total.Seconds() * 1e3 / float64(len(w.nodes))
	return err
}

// binary is the build that the point is of.
func (w *measurement) binary() string {
	if w.point.Against {
		return w.options.Against
	}
	return w.options.Binary
}

// awaitMembership waits until all nodes know each other.
func (w *measurement) awaitMembership() error {
	all, fewest := w.point.RealNodes+w.point.HollowNodes, 0
	began := time.Now()
	err := waitFor(membershipTimeout, func() bool {
		for _, p := range w.nodes {
			if !p.knowsAll(all) {
				return false
			}
		}
		if w.memberProcess == nil {
			return true
		}
		c, err := w.memberProcess.counts("")
		fewest = c.Fleet.LeastAlive
		return err == nil && fewest == all
	})
	if err != nil {
		return fmt.Errorf("%d nodes do not know each other, one hollow one knows %d: %w", all, fewest, err)
	}
	w.row.Figures["meet_s"] = time.Since(began).Seconds()
	return nil
}

// waitFor waits until something holds.
func waitFor(limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v", limit)
		}
	}
	return nil
}

// String is the row in one line.
func (r Row) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %g, round %d:", r.Series, r.X, r.Round+1)
	if r.NotRun != "" {
		fmt.Fprintf(&b, " NOT RUN: %s", r.NotRun)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Fprintf(&b, " %s=%.4g", name, r.Figures[name])
	}
	for _, text := range r.Wrong {
		fmt.Fprintf(&b, "\n  WRONG: %s", text)
	}
	return b.String()
}
