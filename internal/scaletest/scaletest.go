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
	Series    string  `json:"Series"` // which slope it belongs to
	X         float64 `json:"X"`
	Round     int     `json:"Round"`
	Seed      uint64  `json:"Seed"`
	Executors int     `json:"Executors"`
	Of        int     `json:"Of"` // nodes that a real one counts itself among: from six on its slice is three in so many
	Real      int     `json:"Real"`
	Hollow    int     `json:"Hollow,omitempty"`
	Talk      bool    `json:"Talk"`
	Rungs     int     `json:"Rungs,omitempty"`
	Rate      float64 `json:"Rate"`              // starts a second, of all real nodes together
	Running   int     `json:"Running,omitempty"` // tasks at a time that the rate is to keep
	Sockets   int     `json:"Sockets"`
	Memory    int     `json:"Memory"` // a real node's limit, in MB
	Tenants   int     `json:"Tenants,omitempty"`
	Module    bool    `json:"Module,omitempty"`  // the module alone
	Held      bool    `json:"Held,omitempty"`    // with more than there are tokens for, so that batch jobs are held
	Against   bool    `json:"Against,omitempty"` // of the other build
}

// long says whether its tasks take long.
func (pt Point) long() bool { return pt.Running > 0 || pt.Held }

// Row is what came of a point.
type Row struct {
	Point
	Figures map[string]float64 `json:"Figures,omitempty"`
	Wrong   []string           `json:"Wrong,omitempty"`
	NotRun  string             `json:"NotRun,omitempty"` // why it could not be run
}

// Nine is the nodes that the size sets aside for control.
const Nine = 9

const (
	readyIn   = 40 * time.Second
	meetIn    = 90 * time.Second
	inForceIn = 20 * time.Second
	perHollow = 1600 // executors in a hollow process
	allPlaces = 7700 // of all executors together
	allOf     = 3200 // where there are so many
	longWork  = 4 * time.Second

	firstQuota = 2.0 // tokens that the module has for each executor at first
	heldLoad   = 1.5 // of what these can do, where batch jobs are to be held

	nodeMemory  = 192 // MB, the configuration's default
	heldSockets = 16384
	heldMemory  = 1024 // a node takes as many clients as half of it holds at 96 KB each
)

var zones = []string{"a", "b", "c", "d"}

// places is how many tasks the i-th executor runs at once: 7,700 over 3,200 executors.
func places(i int) int { return allPlaces*(i+1)/allOf - allPlaces*i/allOf }

func executorID(i int) policy.ExecutorID { return policy.ExecutorID(fmt.Sprintf("e%05d", i)) }

// points are those of a round, in the order in which they are measured.
func (s Sweep) points(round int) (points []Point) {
	base := Point{Round: round, Seed: uint64(round + 1), Executors: s.BaseExecutors, Of: Nine, Real: 1, Rate: float64(s.BaseRate), Sockets: s.Sockets, Memory: nodeMemory}
	add := func(series string, x int, as func(*Point)) {
		pt := base
		pt.Series, pt.X = series, float64(x)
		as(&pt)
		points = append(points, pt)
	}
	for _, n := range s.Executors {
		for _, of := range s.Of {
			add(fmt.Sprintf("executors-of-%d", of), n, func(pt *Point) { pt.Executors, pt.Of = n, of })
			add(fmt.Sprintf("module-executors-of-%d", of), n, func(pt *Point) { pt.Module, pt.Executors, pt.Of = true, n, of })
			add(fmt.Sprintf("module-held-of-%d", of), n, func(pt *Point) { pt.Module, pt.Held, pt.Executors, pt.Of = true, true, n, of })
		}
	}
	for _, n := range s.Nodes {
		add("nodes", n, func(pt *Point) { pt.Of, pt.Talk = n, true; pt.Real = min(n, s.Real); pt.Hollow = n - pt.Real })
	}
	for _, n := range s.Rungs {
		add("rungs", n, func(pt *Point) { pt.Of, pt.Talk, pt.Rungs, pt.Hollow = s.BaseNodes, true, n, s.BaseNodes-1 })
	}
	for _, n := range s.Rates {
		add("rate", n, func(pt *Point) { pt.Rate = float64(n) })
	}
	for _, n := range s.Running {
		add("running", n, func(pt *Point) { pt.Running, pt.Rate, pt.Of = n, float64(n)/longWork.Seconds(), 1 })
	}
	for _, n := range s.Held {
		add("held", n, func(pt *Point) {
			pt.Held, pt.Executors, pt.Sockets, pt.Memory = true, n, max(s.Sockets, heldSockets), heldMemory
			pt.Rate = heldRate(n, Nine)
		})
	}
	for _, n := range s.Tenants {
		add("module-tenants", n, func(pt *Point) { pt.Module, pt.Tenants = true, n })
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
		if pt.Module {
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

// slice is how many executors a node uses among so many nodes where crossing zones costs nothing: from six on three shares of all.
func slice(executors, of int) int {
	if of < 6 {
		return executors
	}
	return min(executors, (3*executors+of-1)/of)
}

// heldRate is a rate of long tasks that a node's first tokens are not enough for, so that batch jobs are held.
func heldRate(executors, of int) float64 {
	return heldLoad * firstQuota * float64(slice(executors, of)) / longWork.Seconds()
}

// Long is about how long all points take.
func (s Sweep) Long() (long time.Duration) {
	for _, pt := range s.points(0) {
		long += 3 * time.Second
		if !pt.Module {
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

// world is a point while it is measured.
type world struct {
	o       Options
	pt      Point
	dir     string
	hollow  []*hollow // with executors
	members *hollow   // with nodes; nil where there are none
	nodes   []*proc
	entries []emulator.Entry
	list    *platform.Discovery
	lists   traffic
	at      string // where discovery answers
	epoch   time.Time
	closers []func()
	row     Row
}

// Measure measures a point. What could not be run is said in the row.
func Measure(pt Point, o Options) Row {
	w := &world{o: o, pt: pt, epoch: time.Now(), row: Row{Point: pt, Figures: map[string]float64{}}}
	var err error
	if pt.Module {
		err = w.module()
	} else {
		err = w.measure()
	}
	for _, c := range slices.Backward(w.closers) {
		c()
	}
	if err != nil {
		w.row.NotRun, w.row.Figures = err.Error(), nil
	}
	return w.row
}

func (w *world) wrong(format string, args ...any) {
	w.row.Wrong = append(w.row.Wrong, fmt.Sprintf(format, args...))
}

func (w *world) measure() error {
	for _, step := range []func() error{w.setUp, w.idle, w.load, w.changes} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// module plays the module alone, in a process of its own.
func (w *world) module() error {
	job := hollowJob{Module: &moduleJob{Executors: w.pt.Executors, Of: w.pt.Of, Tenants: w.pt.Tenants, Rate: w.pt.Rate, Work: w.o.Work, Most: 2 * time.Second, Skip: 1000, Starts: cmp.Or(w.o.Starts, 4000)}}
	if w.pt.Held {
		job.Module.Work, job.Module.Skip = longWork, int(firstQuota)*slice(w.pt.Executors, w.pt.Of)
		job.Module.Rate = heldRate(w.pt.Executors, w.pt.Of)
	}
	var f moduleFigures
	h := &hollow{}
	if err := h.begin(w.o.Hollow, job, &f); err != nil {
		return err
	}
	ended := h.end()
	if f.Wrong != "" {
		return errors.New(f.Wrong)
	}
	if ended != nil {
		return fmt.Errorf("a hollow process: %w", ended)
	}
	w.row.Figures["out"], w.row.Figures["held"] = float64(f.Out), float64(f.Held)
	w.row.Figures["cpu_us_start"], w.row.Figures["heap_kb"], w.row.Figures["starts"] = f.PerUs, float64(f.Heap)/1e3, float64(f.Starts)
	return nil
}

func (w *world) setUp() error {
	w.dir = filepath.Join(w.o.Dir, fmt.Sprintf("%s-%g-%d", w.pt.Series, w.pt.X, w.pt.Round))
	if err := os.MkdirAll(w.dir, 0o700); err != nil {
		return err
	}
	slot, held, err := harness.Claim()
	if err != nil {
		return err
	}
	w.closers = append(w.closers, func() { held.Close() })
	if err := w.startExecutors(slot); err != nil {
		return err
	}
	lists, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.closers = append(w.closers, func() { lists.Close() })
	w.at, w.list = lists.Addr().String(), &platform.Discovery{Entries: w.entries, Zones: zones, Epoch: w.epoch}
	go w.list.Serve(countedListener{lists, &w.lists})
	if err := w.startNodes(slot); err != nil {
		return err
	}
	if w.pt.Talk {
		return w.meet()
	}
	return nil
}

func (w *world) startExecutors(slot byte) error {
	work := w.o.Work
	if w.pt.long() {
		work = longWork
	}
	for first := 0; first < w.pt.Executors; first += perHollow {
		job := hollowJob{Host: fmt.Sprintf("127.%d.3.%d", slot, first/perHollow+1), Work: work}
		for i := first; i < min(first+perHollow, w.pt.Executors); i++ {
			job.Executors = append(job.Executors, hollowExecutor{executorID(i), places(i)})
		}
		h, err := startHollow(w.o.Hollow, job)
		if err != nil {
			return err
		}
		w.hollow = append(w.hollow, h)
		w.closers = append(w.closers, func() {
			if err := h.end(); err != nil {
				w.wrong("a hollow process: %v", err)
			}
		})
		for i, x := range job.Executors {
			w.entries = append(w.entries, emulator.Entry{Addr: h.Addrs[i], Endpoint: policy.Endpoint{Executor: x.ID, Zone: policy.ZoneID((first + i) % len(zones)),
				Cell: policy.CellID((first + i) / 40), State: policy.Available, Weight: float64(x.Places), StartedLongAgo: true}})
		}
	}
	return nil
}

const (
	clientPort = 8081
	doorPort   = 8082
	fleetPort  = 7947

	spareSeeds = 5 // hollow nodes at which the others join, beside real ones
)

// startNodes starts the real nodes, and the hollow ones beside them, and books what a start takes.
func (w *world) startNodes(slot byte) error {
	var hosts, seeds []string
	for i := range w.pt.Real {
		hosts = append(hosts, fmt.Sprintf("127.%d.0.%d", slot, i+1))
	}
	job := hollowJob{Fleet: hollowFleet{Real: hosts, Rungs: w.pt.Rungs}}
	for i := range w.pt.Hollow {
		job.Nodes = append(job.Nodes, hollowNode{fmt.Sprint("h", i), w.pt.Real + i, fmt.Sprintf("127.%d.%d.%d:%d", slot, 10+i/200, 1+i%200, fleetPort)})
	}
	for _, host := range hosts[:min(3, len(hosts))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", host, fleetPort))
	}
	for _, n := range job.Nodes[:min(spareSeeds, len(job.Nodes))] {
		seeds = append(seeds, n.Listen)
	}
	job.Fleet.Seeds = seeds
	began := time.Now()
	for i, host := range hosts {
		p := &proc{name: fmt.Sprint("n", i), number: i, dir: filepath.Join(w.dir, fmt.Sprint("n", i)), listen: fmt.Sprintf("%s:%d", host, clientPort),
			door: fmt.Sprintf("%s:%d", host, doorPort), earns: 2}
		if w.pt.Talk {
			p.fleet = fmt.Sprintf("%s:%d", host, fleetPort)
		}
		if err := os.MkdirAll(p.dir, 0o700); err != nil {
			return err
		}
		if err := errors.Join(p.config(w.pt, w.at), p.site(seeds), p.begin(w.binary())); err != nil {
			return err
		}
		w.nodes = append(w.nodes, p)
		w.closers = append(w.closers, func() {
			if err := p.end(); err != nil {
				w.wrong("node %s: a planned end: %v", p.name, err)
			}
		})
	}
	if len(job.Nodes) > 0 {
		h, err := startHollow(w.o.Hollow, job)
		if err != nil {
			return err
		}
		w.members = h
		w.closers = append(w.closers, func() {
			if err := h.end(); err != nil {
				w.wrong("a hollow process: %v", err)
			}
		})
	}
	for _, p := range w.nodes {
		if err := until(readyIn, func() bool { return p.isReady() && p.shows("executors_known", w.pt.Executors) }); err != nil {
			return fmt.Errorf("node %s is not ready with %d executors: %w", p.name, w.pt.Executors, err)
		}
	}
	w.row.Figures["ready_s"] = time.Since(began).Seconds()
	w.row.Figures["list_whole_kb"] = float64(w.lists.out.Load()) / 1e3 / float64(len(w.nodes))
	total, err := w.cpu()
	w.row.Figures["ready_cpu_ms"] = total.Seconds() * 1e3 / float64(len(w.nodes))
	return err
}

// binary is the build that the point is of.
func (w *world) binary() string {
	if w.pt.Against {
		return w.o.Against
	}
	return w.o.Binary
}

// meet waits until all nodes know each other.
func (w *world) meet() error {
	all, fewest := w.pt.Real+w.pt.Hollow, 0
	began := time.Now()
	err := until(meetIn, func() bool {
		for _, p := range w.nodes {
			if !p.knowsAll(all) {
				return false
			}
		}
		if w.members == nil {
			return true
		}
		c, err := w.members.counts("")
		fewest = c.Fleet.Fewest
		return err == nil && fewest == all
	})
	if err != nil {
		return fmt.Errorf("%d nodes do not know each other, one hollow one knows %d: %w", all, fewest, err)
	}
	w.row.Figures["meet_s"] = time.Since(began).Seconds()
	return nil
}

// until waits until something holds.
func until(limit time.Duration, holds func() bool) error {
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
