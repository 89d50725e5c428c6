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

// Span is a duration that is written with its unit.
type Span = tomlfile.Duration

// Scenario describes a world and its faults. Its keys in TOML are a format that scenario files keep to.
type Scenario struct {
	Name    string     `toml:"-"` // of the file
	About   string     `toml:"about"`
	Seed    uint64     `toml:"seed,omitempty"` // played unless another one is asked for
	Length  Span       `toml:"length"`         // of the time in which works come
	Fleet   Fleet      `toml:"fleet"`
	Load    Load       `toml:"load"`
	Classes []JobClass `toml:"track"` // job classes
	Faults  []Fault    `toml:"fault"`
}

// Fleet describes the nodes, the executors and the network between them. Defaults are in scenario_defaults.go.
type Fleet struct {
	Zones     []string `toml:"zones"`
	Nodes     int      `toml:"nodes"`     // n0, n1, ..., spread over the zones
	Executors int      `toml:"executors"` // e0, e1, ..., spread over the zones

	// Executors.
	Cores             int     `toml:"cores"`
	Slots             int     `toml:"places"` // jobs that run at once
	QueueLimit        int     `toml:"queue"`  // jobs that wait
	Speed             float64 `toml:"speed"`
	SpeedSpread       float64 `toml:"spread"`                  // relative deviation of speeds, uniform either way
	SlowShare         float64 `toml:"slow-part,omitempty"`     // share of the executors that are of a second, slower kind
	SlowSpeed         float64 `toml:"slow-speed,omitempty"`    // speed of those, with the same deviation
	CellSize          int     `toml:"cell-of"`                 // executors in a cell
	ByPriority        bool    `toml:"by-priority"`             // queues are ordered by priority
	CancelsRunning    bool    `toml:"stops-work"`              // a running job ends when it is canceled
	KeepsQueued       bool    `toml:"keeps-waiting,omitempty"` // a queued job stays when it is canceled, and runs in its turn
	AttemptNoise      float64 `toml:"attempt-noise,omitempty"` // sigma of the lognormal by which the work of attempts of a job differs
	SlowStartCapacity float64 `toml:"cold-share"`              // capacity right after a start, as a share
	SlowStartDuration Span    `toml:"warm-within"`             // until full capacity
	OverloadMultiple  float64 `toml:"fall-multiple"`           // of its capacity, over fall-window, at which a cold executor falls over
	OverloadWindow    Span    `toml:"fall-window"`
	DrainGrace        Span    `toml:"drain-grace"` // a draining executor takes jobs for so long
	StartNotices      bool    `toml:"tells-start"` // notices of starts
	ProgressInterval  Span    `toml:"tells-every"` // notices of progress; 0 for none
	ReportsLoad       bool    `toml:"reports"`     // answers report load
	MayHedge          bool    `toml:"copies"`      // idempotent jobs may be hedged
	MayCheckHealth    bool    `toml:"probes"`      // health checks
	ReportInterval    Span    `toml:"report-every"`

	// The network.
	Near             Span `toml:"near"` // one-way delay within a zone
	Far              Span `toml:"far"`  // and between zones
	DialTimeout      Span `toml:"dial-limit"`
	IdleTimeout      Span `toml:"idle-limit"`
	MaxExecutorConns int  `toml:"conns"`     // that an executor accepts
	ConnCost         Span `toml:"conn-cost"` // work of an executor for a new one

	// Discovery.
	DiscoveryLag   Span `toml:"list-lag"`
	WeightInterval Span `toml:"weights-every"`        // interval of updates of weights by load; 0 for weights by size
	NoWeights      bool `toml:"no-weights,omitempty"` // all executors have the same weight

	// Nodes.
	MaxAttempts   int     `toml:"allocations"`       // attempts of a job, at most
	MaxRetryAfter Span    `toml:"come-back"`         // largest retry-after; 0 for none
	CrossZoneCost float64 `toml:"cross-price"`       // cost of an attempt in another zone
	ValuePerWork  bool    `toml:"earnings-per-work"` // values are per second of work
	MaxNodeConns  int     `toml:"node-conns"`        // to executors
	MaxBodyBytes  int     `toml:"node-bodies"`       // bytes of bodies in memory

	// Messages between nodes.
	Gossip             bool    `toml:"talk,omitempty"`          // nodes gossip
	Leases             bool    `toml:"keepers,omitempty"`       // nodes lease executors' places to each other
	MessageLoss        float64 `toml:"words-lost,omitempty"`    // probability
	MessageDuplication float64 `toml:"words-doubled,omitempty"` // probability
	MessageDelay       Span    `toml:"words-late,omitempty"`    // largest delay of a message, uniform
}

// Load describes the clients.
type Load struct {
	Utilization        float64   `toml:"of"`    // open-loop traffic as a share of the executors' capacity; 0 for closed loops only
	ZoneWeights        []float64 `toml:"zones"` // weights of the zones' traffic; evenly if empty
	Loops              int       `toml:"loops"` // closed-loop clients of each zone
	ThinkTime          Span      `toml:"think"` // of those, between two works
	Retries            int       `toml:"retries"`
	RetryWait          Span      `toml:"retry-wait"`
	MaxRetryWait       Span      `toml:"retry-most,omitempty"`    // if over retry-wait, the wait doubles up to this, with jitter of up to a half
	MarksRetries       bool      `toml:"marks-repeats,omitempty"` // clients mark retries
	NodeSkew           float64   `toml:"node-skew,omitempty"`     // sigma of the lognormal of the shares that nodes of a zone get of its traffic
	RespectsRetryAfter bool      `toml:"heeds-come-back"`         // clients respect retry-after
	LeaveRate          float64   `toml:"leaves"`                  // probability that a client leaves early
	RepeatIDRate       float64   `toml:"repeats-ids"`             // probability that a client repeats a job ID that may be in use
	HintNoise          float64   `toml:"hint-noise"`              // sigma of the hints of work; under 0 for no hints
	BodyBytes          int       `toml:"body"`                    // bytes
	MalformedRate      float64   `toml:"bad"`                     // malformed requests a second at each node, in wired worlds
	DeadNodeTime       Span      `toml:"dead-for"`                // the front layer sends to a dead node for so long
}

// JobClass describes a job class.
type JobClass struct {
	Name             string  `toml:"name"`
	Share            float64 `toml:"share"`         // of the works
	Idempotency      string  `toml:"repeat"`        // idempotency: repeatable, tagged or once-only
	DedupGroup       string  `toml:"group"`         // dedup group of a tagged one: all, zone or cell
	DedupWindow      Span    `toml:"window"`        // dedup window of a tagged one
	Work             Span    `toml:"work"`          // mean on a standard core
	WorkSpread       float64 `toml:"spread"`        // sigma of the lognormal of the work
	LatencyObjective Span    `toml:"quoted"`        // latency objective beyond the run time
	RunTimeFactor    float64 `toml:"stretch"`       // run time factor
	Deadline         Span    `toml:"outer-limit"`   // deadline
	Value            float64 `toml:"earnings"`      // value
	LateValue        float64 `toml:"late-earnings"` // share of the value for late answers
	Priority         int     `toml:"priority"`      // in executors' queues
}

// Fault is an entry of the script.
type Fault struct {
	Kind  emulator.Kind `toml:"kind"`
	At    Span          `toml:"at"`
	For   Span          `toml:"for"`
	Where []string      `toml:"where,omitempty"` // names of executors, nodes or zones; empty for all
	Size  float64       `toml:"size,omitempty"`  // its meaning depends on the kind
}

// Emulated is the fault as the emulator knows it.
func (f Fault) Emulated() emulator.Fault {
	return emulator.Fault{Kind: f.Kind, At: time.Duration(f.At), For: time.Duration(f.For), Where: f.Where, Size: f.Size}
}

// Read reads a scenario in TOML; file is its name in errors. What it leaves out is as in Base. An error says where it stands.
func Read(file string, text []byte) (Scenario, error) {
	s := base()
	if err := tomlfile.Decode(file, text, &s); err != nil {
		return s, err
	}
	if len(s.Classes) == 0 {
		s.Classes = baseClasses()
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

// Text writes the scenario in TOML, with all keys.
func (s Scenario) Text() ([]byte, error) {
	var text bytes.Buffer
	err := toml.NewEncoder(&text).Encode(s)
	return text.Bytes(), err
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

// Sized is the scenario with other numbers of nodes and executors, and another length; 0 leaves a value as it is. Faults that would begin
// after the end are left out.
func (s Scenario) Sized(nodes, executors int, length time.Duration) (Scenario, error) {
	s.Fleet.Nodes, s.Fleet.Executors = cmp.Or(nodes, s.Fleet.Nodes), cmp.Or(executors, s.Fleet.Executors)
	s.Length = cmp.Or(Span(length), s.Length)
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return f.At >= s.Length })
	if at, err := s.check(); err != nil {
		return s, fmt.Errorf("%s with these sizes: %s: %w", s.Name, at.Key, err)
	}
	return s, nil
}

// JobClasses are the job classes as emulated clients know them, and as nodes and the checker do.
func (s *Scenario) JobClasses() (clients []emulator.JobClass, nodes []policy.JobClass) {
	for _, t := range s.Classes {
		class := policy.JobClass{
			Idempotency:      idempotencyNames[t.Idempotency],
			DedupGroup:       dedupGroupNames[t.DedupGroup],
			DedupWindow:      time.Duration(t.DedupWindow),
			LatencyObjective: time.Duration(t.LatencyObjective),
			RunTimeFactor:    t.RunTimeFactor,
			Deadline:         time.Duration(t.Deadline),
			Value:            t.Value,
			LateValue:        t.LateValue,
			Kind:             policy.AnyKind,
		}
		nodes = append(nodes, class)
		clients = append(clients, emulator.JobClass{JobClass: class, Share: t.Share, Mean: time.Duration(t.Work).Seconds(), Spread: t.WorkSpread,
			Priority: t.Priority})
	}
	return clients, nodes
}

// MeanWork is the mean work of a job over all classes, in seconds on a standard core.
func (s *Scenario) MeanWork() (mean float64) {
	for _, class := range s.Classes {
		mean += class.Share * time.Duration(class.Work).Seconds()
	}
	return mean
}

// Rates are the works a second that come to each zone, for a capacity of all executors in seconds of work a second.
func (s *Scenario) Rates(capacity float64) (rates []float64) {
	mean, total := s.MeanWork(), 0.0
	for _, weight := range s.Load.ZoneWeights {
		total += weight
	}
	for i := range s.Fleet.Zones {
		share := 1 / float64(len(s.Fleet.Zones))
		if len(s.Load.ZoneWeights) > 0 {
			share = s.Load.ZoneWeights[i] / total
		}
		rates = append(rates, s.Load.Utilization*capacity/mean*share)
	}
	return rates
}

const (
	reportNoise = 0.1              // relative error of load reports
	slowKind    = policy.KindID(1) // of the slower executors; the others are of kind 0
)

// Spec is the specification of the scenario's executor of a number. It has the given speed unless it is of the slower kind.
func (s *Scenario) Spec(id string, number int, speed float64) emulator.ExecutorSpec {
	f := &s.Fleet
	kind := policy.KindID(0)
	if s.isSlow(number) {
		kind, speed = slowKind, speed*f.SlowSpeed/f.Speed
	}
	return emulator.ExecutorSpec{
		ID:               policy.ExecutorID(id),
		Kind:             kind,
		Zone:             policy.ZoneID(number % len(f.Zones)),
		Cell:             policy.CellID(number / f.CellSize),
		Cores:            f.Cores,
		Speed:            speed,
		Slots:            f.Slots,
		Queue:            f.QueueLimit,
		ByPriority:       f.ByPriority,
		CancelsRunning:   f.CancelsRunning,
		KeepsQueued:      f.KeepsQueued,
		SlowStartShare:   f.SlowStartCapacity,
		SlowStart:        time.Duration(f.SlowStartDuration),
		OverloadMultiple: f.OverloadMultiple,
		OverloadWindow:   time.Duration(f.OverloadWindow),
		MeanWork:         s.MeanWork(),
		SendsStart:       f.StartNotices,
		ProgressEvery:    time.Duration(f.ProgressInterval),
		SendsLoad:        f.ReportsLoad,
		ReportEvery:      time.Duration(f.ReportInterval),
		ReportNoise:      reportNoise,
		Conns:            f.MaxExecutorConns,
		ConnCost:         time.Duration(f.ConnCost),
	}
}

// isSlow says whether the executor of a number is of the slower kind. Each zone has the same share of those: its nth executor is slow if
// that makes the zone's number of slow ones due by then.
func (s *Scenario) isSlow(number int) bool {
	inZone := float64(number / len(s.Fleet.Zones))
	return int((inZone+1)*s.Fleet.SlowShare) > int(inZone*s.Fleet.SlowShare)
}
