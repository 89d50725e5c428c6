// Package scale measures what a node costs as its surroundings grow: real nodes of the program on loopback, among hollow executors (listeners with the
// platform's protocol whose work is a timer) and hollow nodes (members of the fleet that speak the real words and have no batch jobs). Points of several
// dimensions are measured in turn, round after round, so that a machine that is noisy for a while shows as spread and not as slope; each slope is fitted by
// least squares. CPU is the process's own time, never the clock on the wall.
//
// scale.go holds points and their measurement, bounds.go what is refused, proc.go the real nodes, hollow.go and members.go the hollow ones, load.go the
// clients, fit.go the slopes.
package scale

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"birchstair/internal/rig"
	"birchstair/internal/standin"
	"birchstair/internal/standin/platform"
	"birchstair/policy"
)

// HollowEnv is set in the environment of hollow processes.
const HollowEnv = "BIRCHLAB_HOLLOW"

// Options are the same for all points.
type Options struct {
	Binary string   // birchstair
	Hollow []string // what starts a hollow process
	Dir    string   // of its own: logs and configurations go there
	Rate   float64  // starts a second in all
	Work   time.Duration
	Idle   time.Duration // that nodes are watched at rest
	Load   time.Duration // and under load
	Settle time.Duration // before each
}

// Point is what is measured once.
type Point struct {
	Series    string // which slope it belongs to
	X         float64
	Executors int
	Of        int // nodes that a real one counts itself among: from six on its slice is three in so many
	Real      int
	Hollow    int
	Seed      uint64
	Round     int
}

// Row is what came of a point.
type Row struct {
	Point
	Figures map[string]float64 `json:",omitempty"`
	Wrong   []string           `json:",omitempty"`
	NotRun  string             `json:",omitempty"` // why it could not be run
}

const (
	readyIn     = 30 * time.Second
	perHollow   = 1600 // executors in a hollow process
	allPlaces   = 7700 // of all executors together
	allOf       = 3200 // where there are so many
	discoveryAt = "127.0.0.1:0"
)

// places is how many tasks the i-th executor runs at once: 7,700 over 3,200 executors.
func places(i int) int { return allPlaces*(i+1)/allOf - allPlaces*i/allOf }

// world is a point while it is measured.
type world struct {
	o       Options
	pt      Point
	dir     string
	hollow  []*hollow // with executors
	nodes   []*proc
	entries []standin.Entry
	list    *platform.Discovery
	lists   traffic
	closers []func()
	row     Row
}

// Measure measures a point. What could not be run is said in the row.
func Measure(pt Point, o Options) Row {
	w := &world{o: o, pt: pt, row: Row{Point: pt, Figures: map[string]float64{}}}
	err := w.measure()
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
	if err := w.setUp(); err != nil {
		return err
	}
	if err := w.idle(); err != nil {
		return err
	}
	return w.load()
}

func (w *world) setUp() error {
	w.dir = filepath.Join(w.o.Dir, fmt.Sprintf("%s-%g-%d", w.pt.Series, w.pt.X, w.pt.Round))
	if err := os.MkdirAll(w.dir, 0o700); err != nil {
		return err
	}
	slot, held, err := rig.Claim()
	if err != nil {
		return err
	}
	w.closers = append(w.closers, func() { held.Close() })
	for first := 0; first < w.pt.Executors; first += perHollow {
		job := hollowJob{Host: fmt.Sprintf("127.%d.3.%d", slot, first/perHollow+1), Work: w.o.Work}
		for i := first; i < min(first+perHollow, w.pt.Executors); i++ {
			job.Executors = append(job.Executors, hollowExecutor{policy.ExecutorID(fmt.Sprintf("e%05d", i)), places(i)})
		}
		h, err := startHollow(w.o.Hollow, job)
		if err != nil {
			return err
		}
		w.hollow = append(w.hollow, h)
		w.closers = append(w.closers, h.end)
		for i, x := range job.Executors {
			w.entries = append(w.entries, standin.Entry{Addr: h.Addrs[i], Entry: policy.Entry{Executor: x.ID, Zone: policy.ZoneID((first + i) % 4), Cell: policy.CellID((first + i) / 40),
				State: policy.Up, Weight: float64(x.Places), LongAgo: true}})
		}
	}
	lists, err := net.Listen("tcp", discoveryAt)
	if err != nil {
		return err
	}
	w.closers = append(w.closers, func() { lists.Close() })
	w.list = &platform.Discovery{Entries: w.entries, Zones: []string{"a", "b", "c", "d"}}
	go w.list.Serve(countedListener{lists, &w.lists})
	for i := range w.pt.Real {
		ip := fmt.Sprintf("127.%d.0.%d", slot, i+1)
		p := &proc{name: fmt.Sprint("n", i), number: i, dir: filepath.Join(w.dir, fmt.Sprint("n", i)), listen: ip + ":8081", door: ip + ":8082",
			tracks: []map[string]any{track("batch", 2)}}
		if err := os.MkdirAll(p.dir, 0o700); err != nil {
			return err
		}
		if err := errors.Join(p.config(w.pt, lists.Addr().String()), p.begin(w.o.Binary)); err != nil {
			return err
		}
		w.nodes = append(w.nodes, p)
		w.closers = append(w.closers, func() {
			if err := p.end(); err != nil {
				w.wrong("node %s: a planned end: %v", p.name, err)
			}
		})
	}
	for _, p := range w.nodes {
		if err := until(readyIn, func() bool {
			if !p.isReady() {
				return false
			}
			vars, err := p.vars()
			return err == nil && vars["executors_known"] == w.pt.Executors
		}); err != nil {
			return fmt.Errorf("node %s is not ready with %d executors: %w; its log is in %s", p.name, w.pt.Executors, err, p.dir)
		}
	}
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

// used is what all real nodes took over a stretch.
type used struct {
	cpu      time.Duration
	vars     map[string]int // summed
	counts   Counts
	listsIn  int64
	listsOut int64
	at       time.Time
}

func (w *world) used() (u used, err error) {
	u.vars, u.at, u.listsIn, u.listsOut = map[string]int{}, time.Now(), w.lists.in.Load(), w.lists.out.Load()
	for _, p := range w.nodes {
		t, err := cpu(p.cmd.Process.Pid)
		if err != nil {
			return u, err
		}
		u.cpu += t
	}
	for _, p := range w.nodes {
		vars, err := p.vars()
		if err != nil {
			return u, fmt.Errorf("node %s: %w", p.name, err)
		}
		for name, x := range vars {
			u.vars[name] += x
		}
	}
	for _, h := range w.hollow {
		c, err := h.counts("")
		if err != nil {
			return u, err
		}
		u.counts.Ran += c.Ran
		u.counts.Opened += c.Opened
		u.counts.In += c.In
		u.counts.Out += c.Out
		u.counts.Most = max(u.counts.Most, c.Most)
	}
	return u, nil
}

// stand books what the nodes hold: the mean over them, and for memory the most of one.
func (w *world) stand(when string) error {
	for _, p := range w.nodes {
		now, most, err := memory(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		fds, err := descriptors(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		f := w.row.Figures
		f["rss_mb_"+when] = max(f["rss_mb_"+when], float64(now)/1e6)
		f["peak_mb"] = max(f["peak_mb"], float64(most)/1e6)
		f["fds_"+when] = max(f["fds_"+when], float64(fds))
	}
	return nil
}

func (w *world) idle() error {
	time.Sleep(w.o.Settle)
	from, err := w.used()
	if err != nil {
		return err
	}
	time.Sleep(w.o.Idle)
	to, err := w.used()
	if err != nil {
		return err
	}
	nodes, span := float64(len(w.nodes)), to.at.Sub(from.at).Seconds()
	w.row.Figures["idle_core_pct"] = 100 * (to.cpu - from.cpu).Seconds() / span / nodes
	w.row.Figures["lists_in_bps_idle"] = float64(to.listsOut-from.listsOut) / span / nodes
	w.row.Figures["lists_out_bps_idle"] = float64(to.listsIn-from.listsIn) / span / nodes
	return w.stand("idle")
}

func (w *world) load() error {
	// The first stretch opens connections and is not counted.
	warm := load{}
	warm.run(w.nodes, w.o.Rate, w.o.Settle, "warm")
	from, err := w.used()
	if err != nil {
		return err
	}
	l := load{}
	due := l.run(w.nodes, w.o.Rate, w.o.Load, "job")
	to, err := w.used()
	if err != nil {
		return err
	}
	if err := w.stand("load"); err != nil {
		return err
	}
	f := w.row.Figures
	starts := float64(to.counts.Ran - from.counts.Ran)
	answered := 0
	for _, n := range l.answers {
		answered += n
	}
	w.row.Wrong = append(w.row.Wrong, l.wrong...)
	if answered+len(l.wrong) != due {
		w.wrong("%d batch jobs were handed in, and %d answered", due, answered)
	}
	span := to.at.Sub(from.at).Seconds()
	f["starts"], f["starts_ps"] = starts, starts/span
	f["cpu_us_start"] = float64((to.cpu - from.cpu).Microseconds()) / max(starts, 1)
	f["dials_start"] = float64(to.counts.Opened-from.counts.Opened) / max(starts, 1)
	f["out_b_start"] = float64(to.counts.In-from.counts.In) / max(starts, 1)
	f["in_b_start"] = float64(to.counts.Out-from.counts.Out) / max(starts, 1)
	f["attempts_start"] = float64(to.vars["attempts"]-from.vars["attempts"]) / max(starts, 1)
	f["handled_part"] = float64(l.answers["handled"]) / float64(due)
	f["late_part"] = float64(l.late) / float64(due)
	f["p50_ms"], f["p99_ms"] = l.within(0.5).Seconds()*1e3, l.within(0.99).Seconds()*1e3
	return nil
}

// Sort puts rows in the order of their series and places.
func Sort(rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Series, b.Series), cmp.Compare(a.X, b.X), cmp.Compare(a.Round, b.Round))
	})
}
