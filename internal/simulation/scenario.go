// Package simulation plays scenarios of nodes, executors, discovery and clients on a virtual clock, with faults from a script, and checks
// the invariants at every step.
package simulation

import (
	"bytes"
	"cmp"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"birchstair/internal/emulator"
	"birchstair/internal/tomlfile"
	"birchstair/policy"
)

// Span is a span of time with its unit.
type Span = tomlfile.Duration

// Scenario is a world and its faults.
type Scenario struct {
	Name   string  `toml:"-"`
	About  string  `toml:"about"`
	Seed   uint64  `toml:"seed,omitempty"` // with which it is played unless another is asked for
	Length Span    `toml:"length"`
	Fleet  Fleet   `toml:"fleet"`
	Load   Load    `toml:"load"`
	Tracks []Track `toml:"track"`
	Faults []Fault `toml:"fault"`
}

// Fleet are the nodes, the executors and what lies between them. The defaults are those of base.
type Fleet struct {
	Zones        []string `toml:"zones"`
	Nodes        int      `toml:"nodes"`     // n0, n1, ...: over the zones in turn
	Executors    int      `toml:"executors"` // e0, e1, ...: over the zones in turn
	Cores        int      `toml:"cores"`
	Places       int      `toml:"places"`
	Queue        int      `toml:"queue"`
	Speed        float64  `toml:"speed"`
	Spread       float64  `toml:"spread"`               // speeds are off from that by such a part either way
	SlowPart     float64  `toml:"slow-part,omitempty"`  // this part of the executors is of a second, slower kind
	SlowSpeed    float64  `toml:"slow-speed,omitempty"` // of this speed, off from it as the others
	CellOf       int      `toml:"cell-of"`
	ByPriority   bool     `toml:"by-priority"`
	StopsWork    bool     `toml:"stops-work"`
	KeepsWaiting bool     `toml:"keeps-waiting,omitempty"` // what waits stays when it is cancelled, and runs in its turn
	AttemptNoise float64  `toml:"attempt-noise,omitempty"` // sigma of the lognormal by which each attempt's work differs from its batch job's
	ColdShare    float64  `toml:"cold-share"`
	WarmWithin   Span     `toml:"warm-within"`
	FallMultiple float64  `toml:"fall-multiple"`
	FallWindow   Span     `toml:"fall-window"`
	DrainGrace   Span     `toml:"drain-grace"`
	TellsStart   bool     `toml:"tells-start"`
	TellsEvery   Span     `toml:"tells-every"`
	Reports      bool     `toml:"reports"`
	Copies       bool     `toml:"copies"` // repeatable batch jobs may have a second allocation out
	Probes       bool     `toml:"probes"` // executors answer probes with their load
	ReportEvery  Span     `toml:"report-every"`
	Near         Span     `toml:"near"` // one way within a zone
	Far          Span     `toml:"far"`  // and between zones
	DialLimit    Span     `toml:"dial-limit"`
	IdleLimit    Span     `toml:"idle-limit"`
	Conns        int      `toml:"conns"`
	ConnCost     Span     `toml:"conn-cost"`
	ListLag      Span     `toml:"list-lag"`
	WeightsEvery Span     `toml:"weights-every"`        // live weights, renewed so often; 0: the weight is the size
	NoWeights    bool     `toml:"no-weights,omitempty"` // the list weighs all executors alike
	Allocations  int      `toml:"allocations"`
	ComeBack     Span     `toml:"come-back"` // 0: clients are not told when to come back
	CrossPrice   float64  `toml:"cross-price"`
	PerWork      bool     `toml:"earnings-per-work"`
	NodeConns    int      `toml:"node-conns"`
	NodeBodies   int      `toml:"node-bodies"`
	Talk         bool     `toml:"talk,omitempty"`          // nodes talk with each other
	Keepers      bool     `toml:"keepers,omitempty"`       // and lend each other executors' places
	WordsLost    float64  `toml:"words-lost,omitempty"`    // the part of their words that gets lost
	WordsDoubled float64  `toml:"words-doubled,omitempty"` // and that comes twice
	WordsLate    Span     `toml:"words-late,omitempty"`    // and the most that one is late, each by a chance of its own
}

// Load are the clients.
type Load struct {
	Of         float64   `toml:"of"`    // traffic as a part of what all executors can do; 0 where clients come in loops
	Zones      []float64 `toml:"zones"` // how it is spread over the zones; evenly where it is empty
	Loops      int       `toml:"loops"` // clients that hand in the next one once the last is over
	Think      Span      `toml:"think"` // and wait so long before that
	Retries    int       `toml:"retries"`
	RetryWait  Span      `toml:"retry-wait"`
	RetryMost  Span      `toml:"retry-most,omitempty"`    // over retry-wait: the wait doubles up to that, and is off by up to half
	MarksAgain bool      `toml:"marks-repeats,omitempty"` // clients mark their repeats
	NodeSkew   float64   `toml:"node-skew,omitempty"`     // sigma of the lognormal by which nodes of a zone get unlike parts of its traffic
	HeedsBack  bool      `toml:"heeds-come-back"`
	Leaves     float64   `toml:"leaves"`
	RepeatsIDs float64   `toml:"repeats-ids"`
	HintNoise  float64   `toml:"hint-noise"` // under 0: no hints
	Body       int       `toml:"body"`       // bytes
	Bad        float64   `toml:"bad"`        // bad clients a second at each node; they come only where the world is wired
	DeadFor    Span      `toml:"dead-for"`   // the front layer goes on sending to a node that is gone for so long
}

// Track is a track and its share of the batch jobs.
type Track struct {
	Name     string  `toml:"name"`
	Share    float64 `toml:"share"`
	Repeat   string  `toml:"repeat"` // repeatable, tagged or once-only
	Group    string  `toml:"group"`  // of a tagged one: all, zone or cell
	Window   Span    `toml:"window"`
	Work     Span    `toml:"work"`   // on average, on a standard core
	Spread   float64 `toml:"spread"` // sigma of the lognormal
	Quoted   Span    `toml:"quoted"`
	Stretch  float64 `toml:"stretch"`
	Outer    Span    `toml:"outer-limit"`
	Earnings float64 `toml:"earnings"`
	Late     float64 `toml:"late-earnings"`
	Priority int     `toml:"priority"`
}

// Fault is an entry of the script.
type Fault struct {
	Kind  emulator.Kind `toml:"kind"`
	At    Span          `toml:"at"`
	For   Span          `toml:"for"`
	Where []string      `toml:"where,omitempty"`
	Size  float64       `toml:"size,omitempty"`
}

// Standin is the fault as the stand-ins know it.
func (f Fault) Standin() emulator.Fault {
	return emulator.Fault{Kind: f.Kind, At: time.Duration(f.At), For: time.Duration(f.For), Where: f.Where, Size: f.Size}
}

// Read reads a scenario; file is its name in messages. What it leaves out is as in the base.
func Read(file string, text []byte) (Scenario, error) {
	s := base()
	if err := tomlfile.Decode(file, text, &s); err != nil {
		return s, err
	}
	if len(s.Tracks) == 0 {
		s.Tracks = baseTracks()
	}
	s.Name = strings.TrimSuffix(path.Base(file), ".toml")
	if at, err := s.check(); err != nil {
		return s, at.Wrap(file, text, err)
	}
	return s, nil
}

// LoadFrom reads a scenario from a file system.
func LoadFrom(files fs.FS, file string) (Scenario, error) {
	text, err := fs.ReadFile(files, file)
	if err != nil {
		return Scenario{}, err
	}
	return Read(file, text)
}

// Text writes a scenario as TOML, whole.
func (s Scenario) Text() ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	err := e.Encode(s)
	return b.Bytes(), err
}

// Names of idempotency in scenarios.
const (
	idempotent        = "repeatable"
	idempotentWithKey = "tagged"
	atMostOnce        = "once-only"
)

var idempotencyNames = map[string]policy.Idempotency{
	idempotent:        policy.Idempotent,
	idempotentWithKey: policy.IdempotentWithKey,
	atMostOnce:        policy.AtMostOnce,
}

var dedupGroupNames = map[string]policy.DedupGroup{
	"":     policy.DedupAllExecutors,
	"all":  policy.DedupAllExecutors,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
}

// Sized is the scenario with another number of nodes and executors, and another length; 0 leaves one as it is. Faults that come later are left out.
func (s Scenario) Sized(nodes, executors int, length time.Duration) (Scenario, error) {
	s.Fleet.Nodes, s.Fleet.Executors = cmp.Or(nodes, s.Fleet.Nodes), cmp.Or(executors, s.Fleet.Executors)
	s.Length = cmp.Or(Span(length), s.Length)
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return f.At >= s.Length })
	if at, err := s.check(); err != nil {
		return s, fmt.Errorf("%s with these sizes: %s: %w", s.Name, at.Key, err)
	}
	return s, nil
}

// Takes are the tracks as clients, module and rules take them.
func (s *Scenario) Takes() (own []emulator.Track, module []policy.JobClass) {
	for _, t := range s.Tracks {
		p := policy.JobClass{Idempotency: idempotencyNames[t.Repeat], DedupGroup: dedupGroupNames[t.Group], DedupWindow: time.Duration(t.Window),
			LatencyObjective: time.Duration(t.Quoted), RunTimeFactor: t.Stretch, Deadline: time.Duration(t.Outer), Value: t.Earnings,
			LateValue: t.Late, Kind: policy.AnyKind}
		own = append(own, emulator.Track{JobClass: p, Share: t.Share, Mean: time.Duration(t.Work).Seconds(), Spread: t.Spread,
			Priority: t.Priority})
		module = append(module, p)
	}
	return own, module
}

// MeanWork is the work of a batch job on average over all tracks, in seconds.
func (s *Scenario) MeanWork() (mean float64) {
	for _, t := range s.Tracks {
		mean += t.Share * time.Duration(t.Work).Seconds()
	}
	return mean
}

// Rates are the batch jobs a second that come to each zone, where executors can do so much work a second in all.
func (s *Scenario) Rates(capacity float64) (rates []float64) {
	mean, total := s.MeanWork(), 0.0
	for _, part := range s.Load.Zones {
		total += part
	}
	for i := range s.Fleet.Zones {
		part := 1 / float64(len(s.Fleet.Zones))
		if len(s.Load.Zones) > 0 {
			part = s.Load.Zones[i] / total
		}
		rates = append(rates, s.Load.Of*capacity/mean*part)
	}
	return rates
}

// Spec is how the scenario's executor of that number is built; speed is what it has unless it is of the slower kind.
func (s *Scenario) Spec(id string, number int, speed float64) emulator.ExecutorSpec {
	f := &s.Fleet
	kind := policy.KindID(0)
	// In each zone alike: its nth executor is slow where the slow ones due by then are one more.
	if n := float64(number / len(f.Zones)); int((n+1)*f.SlowPart) > int(n*f.SlowPart) {
		kind, speed = 1, speed*f.SlowSpeed/f.Speed
	}
	return emulator.ExecutorSpec{ID: policy.ExecutorID(id), Kind: kind, Zone: policy.ZoneID(number % len(f.Zones)),
		Cell: policy.CellID(number / f.CellOf), Cores: f.Cores, Speed: speed, Places: f.Places, Queue: f.Queue, ByPriority: f.ByPriority,
		StopsWork: f.StopsWork, KeepsWaiting: f.KeepsWaiting, ColdShare: f.ColdShare, WarmWithin: time.Duration(f.WarmWithin), FallMultiple: f.FallMultiple,
		FallWindow: time.Duration(f.FallWindow), MeanWork: s.MeanWork(), TellsStart: f.TellsStart, TellsEvery: time.Duration(f.TellsEvery), Reports: f.Reports,
		ReportEvery: time.Duration(f.ReportEvery), ReportNoise: 0.1, Conns: f.Conns, ConnCost: time.Duration(f.ConnCost)}
}
