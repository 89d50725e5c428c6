// Package simulation plays worlds: nodes, executors, discovery and clients on a virtual clock, with faults from a script, and the
// rules checked at every step. The same seed gives the same trace.
//
// scenario.go reads a world's description, world.go builds it, net.go is what goes between nodes and executors,
// front.go what goes between clients and nodes, faults.go the script, result.go what came of it; hunt.go draws worlds
// from seeds, shrink.go makes them small.
package simulation

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strconv"
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

// base is what a scenario leaves out.
func base() Scenario {
	ms := func(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
	return Scenario{Length: ms(60000),
		Fleet: Fleet{Zones: []string{"east", "west"}, Nodes: 3, Executors: 12, Cores: 2, Places: 2, Queue: 4, Speed: 1, Spread: 0.2,
			CellOf: 2, ByPriority: true, ColdShare: 0.3, WarmWithin: ms(9000), FallMultiple: 4, FallWindow: ms(1500), DrainGrace: ms(1500),
			TellsStart: true, TellsEvery: ms(2000), Reports: true, ReportEvery: ms(700), Near: ms(1), Far: ms(8), DialLimit: ms(100),
			IdleLimit: ms(60000), Conns: 200, ConnCost: ms(1), ListLag: ms(1000), WeightsEvery: ms(700), Allocations: 6, ComeBack: ms(2000),
			CrossPrice: 0.2, PerWork: true, NodeConns: 250, NodeBodies: 48 << 20},
		Load: Load{Of: 0.6, Retries: 2, RetryWait: ms(200), HeedsBack: true, HintNoise: 0.2, Body: 1 << 10, DeadFor: ms(2000)}}
}

func baseTracks() []Track {
	s := func(f float64) Span { return Span(f * 1e9) }
	return []Track{
		{Name: "read", Share: 0.4, Repeat: "repeatable", Work: s(0.35), Spread: 0.4, Quoted: s(0.3), Stretch: 2, Outer: s(5), Earnings: 2},
		{Name: "verify", Share: 0.3, Repeat: "once-only", Work: s(1), Spread: 0.4, Quoted: s(0.75), Stretch: 2, Outer: s(20), Earnings: 8, Priority: 1},
		{Name: "split", Share: 0.3, Repeat: "tagged", Group: "zone", Window: s(7.5), Work: s(0.2), Spread: 0.4, Quoted: s(0.2), Stretch: 2, Outer: s(5), Earnings: 2},
	}
}

// Base is what a scenario leaves out, tracks included.
func Base() Scenario {
	s := base()
	s.Tracks = baseTracks()
	return s
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

var repeats = map[string]policy.Idempotency{"repeatable": policy.Idempotent, "tagged": policy.IdempotentWithKey, "once-only": policy.AtMostOnce}
var groups = map[string]policy.DedupGroup{"": policy.DedupAllExecutors, "all": policy.DedupAllExecutors, "zone": policy.DedupZone, "cell": policy.DedupCell}

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

const (
	longest       = 24 * time.Hour
	mostNodes     = 1000
	mostExecutors = 20000
)

// check names the first place where a scenario makes no sense.
func (s *Scenario) check() (tomlfile.Position, error) {
	f, l := &s.Fleet, &s.Load
	for _, c := range []struct {
		bad        bool
		table, key string
		why        string
	}{
		{s.Length <= 0 || time.Duration(s.Length) > longest, "", "length", "over 0 and at most 24h"},
		{len(f.Zones) == 0, "fleet", "zones", "at least one"},
		{f.Nodes < 1 || f.Nodes > mostNodes, "fleet", "nodes", fmt.Sprint("from 1 to ", mostNodes)},
		{f.Executors < 1 || f.Executors > mostExecutors, "fleet", "executors", fmt.Sprint("from 1 to ", mostExecutors)},
		{f.Cores < 1, "fleet", "cores", "at least 1"},
		{f.Places < 1, "fleet", "places", "at least 1"},
		{f.Queue < 0, "fleet", "queue", "not under 0"},
		{f.Speed <= 0, "fleet", "speed", "over 0"},
		{f.Spread < 0 || f.Spread >= 1, "fleet", "spread", "from 0 to under 1"},
		{f.SlowPart < 0 || f.SlowPart > 1, "fleet", "slow-part", "a part, from 0 to 1"},
		{f.SlowPart > 0 && f.SlowSpeed <= 0, "fleet", "slow-speed", "over 0 where slow-part is"},
		{f.AttemptNoise < 0 || f.AttemptNoise > 3, "fleet", "attempt-noise", "from 0 to 3"},
		{f.NoWeights && f.WeightsEvery > 0, "fleet", "no-weights", "false where weights-every is over 0"},
		{f.CellOf < 1, "fleet", "cell-of", "at least 1"},
		{f.ColdShare <= 0 || f.ColdShare > 1, "fleet", "cold-share", "over 0 and at most 1"},
		{f.FallMultiple < 0, "fleet", "fall-multiple", "not under 0"},
		{f.DialLimit <= 0, "fleet", "dial-limit", "over 0"},
		{f.IdleLimit <= 0, "fleet", "idle-limit", "over 0"},
		{f.Conns < 1, "fleet", "conns", "at least 1"},
		{f.ReportEvery <= 0, "fleet", "report-every", "over 0"},
		{f.Allocations < 1, "fleet", "allocations", "at least 1"},
		{f.NodeConns < 1, "fleet", "node-conns", "at least 1"},
		{f.WordsLost < 0 || f.WordsLost > 1, "fleet", "words-lost", "a part, from 0 to 1"},
		{f.WordsDoubled < 0 || f.WordsDoubled > 1, "fleet", "words-doubled", "a part, from 0 to 1"},
		{l.Of < 0 || l.Of > 50, "load", "of", "from 0 to 50"},
		{l.Of == 0 && l.Loops == 0, "load", "of", "over 0, or loops over 0: nobody would hand anything in"},
		{l.Loops < 0, "load", "loops", "not under 0"},
		{len(l.Zones) > 0 && len(l.Zones) != len(f.Zones), "load", "zones", fmt.Sprintf("a figure for each of the %d zones", len(f.Zones))},
		{slices.ContainsFunc(l.Zones, func(x float64) bool { return x < 0 }), "load", "zones", "not under 0"},
		{l.Retries < 0 || l.Retries > 20, "load", "retries", "from 0 to 20"},
		{l.NodeSkew < 0 || l.NodeSkew > 3, "load", "node-skew", "from 0 to 3"},
		{l.Leaves < 0 || l.Leaves > 1, "load", "leaves", "a part, from 0 to 1"},
		{l.RepeatsIDs < 0 || l.RepeatsIDs > 1, "load", "repeats-ids", "a part, from 0 to 1"},
		{l.Bad < 0 || l.Bad > 1000, "load", "bad", "from 0 to 1000"},
		{l.Body < 0 || l.Body > 64<<10, "load", "body", "from 0 to 65536"},
	} {
		if c.bad {
			return tomlfile.Position{Table: c.table, Index: -1, Key: c.key}, fmt.Errorf("it must be %s", c.why)
		}
	}
	sum := 0.0
	for i, t := range s.Tracks {
		at := func(key string) tomlfile.Position { return tomlfile.Position{Table: "track", Index: i, Key: key} }
		sum += t.Share
		_, isRepeat := repeats[t.Repeat]
		_, isGroup := groups[t.Group]
		switch {
		case t.Share < 0:
			return at("share"), errors.New("under 0")
		case !isRepeat:
			return at("repeat"), fmt.Errorf("%q is none of repeatable, tagged and once-only", t.Repeat)
		case !isGroup:
			return at("group"), fmt.Errorf("%q is none of all, zone and cell", t.Group)
		case t.Repeat == "tagged" && t.Window <= 0:
			return at("window"), errors.New("a tagged track needs one over 0")
		case t.Work <= 0:
			return at("work"), errors.New("missing, or not over 0")
		case t.Quoted <= 0:
			return at("quoted"), errors.New("missing, or not over 0")
		case t.Outer <= 0:
			return at("outer-limit"), errors.New("missing, or not over 0")
		case t.Quoted > t.Outer:
			return at("quoted"), errors.New("it is over the outer limit; were the two mixed up?")
		case t.Earnings <= 0:
			return at("earnings"), errors.New("missing, or not over 0")
		}
	}
	if sum < 0.999 || sum > 1.001 {
		return tomlfile.Position{Table: "track", Index: 0, Key: "share"}, fmt.Errorf("the shares of all tracks come to %.3g and not to 1", sum)
	}
	for i, x := range s.Faults {
		at := func(key string) tomlfile.Position { return tomlfile.Position{Table: "fault", Index: i, Key: key} }
		on, ok := x.Kind.On()
		if !ok {
			return at("kind"), fmt.Errorf("%q is none of %v", x.Kind, emulator.Kinds())
		}
		if err := x.Kind.CheckSize(x.Size); err != nil {
			return at("size"), err
		}
		if x.At >= s.Length {
			return at("at"), fmt.Errorf("it is not before the end, at %v", time.Duration(s.Length))
		}
		if on == emulator.OnZone && len(x.Where) == 0 {
			return at("where"), errors.New("a zone is missing")
		}
		for _, w := range x.Where {
			if err := s.knows(on, w); err != nil {
				return at("where"), err
			}
		}
	}
	return tomlfile.Position{}, nil
}

// knows says what is wrong with a name that a fault is to be put on.
func (s *Scenario) knows(on emulator.Sort, name string) error {
	numbered := func(letter string, count int) bool {
		n, err := strconv.Atoi(strings.TrimPrefix(name, letter))
		return err == nil && strings.HasPrefix(name, letter) && n >= 0 && n < count
	}
	zone := slices.Contains(s.Fleet.Zones, name)
	switch {
	case on == emulator.OnExecutors && !zone && !numbered("e", s.Fleet.Executors):
		return fmt.Errorf("%q is neither an executor, e0 to e%d, nor a zone", name, s.Fleet.Executors-1)
	case on == emulator.OnNodes && !zone && !numbered("n", s.Fleet.Nodes):
		return fmt.Errorf("%q is neither a node, n0 to n%d, nor a zone", name, s.Fleet.Nodes-1)
	case on == emulator.OnZone && !zone:
		return fmt.Errorf("%q is none of the zones %v", name, s.Fleet.Zones)
	case on == emulator.OnAll:
		return fmt.Errorf("this kind is on all; %q can't be picked", name)
	}
	return nil
}

// Takes are the tracks as clients, module and rules take them.
func (s *Scenario) Takes() (own []emulator.Track, module []policy.JobClass) {
	for _, t := range s.Tracks {
		p := policy.JobClass{Idempotency: repeats[t.Repeat], DedupGroup: groups[t.Group], DedupWindow: time.Duration(t.Window),
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
