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

// Span is a duration that scenario files write with a unit, such as "1.5s".
type Span = tomlfile.Duration

// Scenario describes a simulation and its faults. The TOML keys are the format of scenario files and must not change.
type Scenario struct {
	Name    string     `toml:"-"` // name of the file, without its extension
	About   string     `toml:"about"`
	Seed    uint64     `toml:"seed,omitempty"` // default seed
	Length  Span       `toml:"length"`         // time during which clients submit new work
	Fleet   Fleet      `toml:"fleet"`
	Load    Load       `toml:"load"`
	Classes []JobClass `toml:"track"`
	Faults  []Fault    `toml:"fault"`
}

// Fleet describes the nodes, the executors and the network between them. scenario_defaults.go has the defaults.
type Fleet struct {
	Zones     []string `toml:"zones"`
	Nodes     int      `toml:"nodes"`     // number of nodes, named n0, n1, ... and spread over the zones
	Executors int      `toml:"executors"` // number of executors, named e0, e1, ... and spread over the zones

	// Executors.
	Cores             int     `toml:"cores"`                   // number of cores of an executor
	Slots             int     `toml:"places"`                  // jobs that an executor runs at the same time
	QueueLimit        int     `toml:"queue"`                   // jobs that an executor queues
	Speed             float64 `toml:"speed"`                   // mean speed; a standard core has 1
	SpeedSpread       float64 `toml:"spread"`                  // largest relative deviation from Speed, uniformly distributed
	SlowShare         float64 `toml:"slow-part,omitempty"`     // fraction of the executors that are of a second, slower kind
	SlowSpeed         float64 `toml:"slow-speed,omitempty"`    // mean speed of the slower kind, with the same deviation
	CellSize          int     `toml:"cell-of"`                 // number of executors in a cell
	ByPriority        bool    `toml:"by-priority"`             // executors order their queues by priority
	CancelsRunning    bool    `toml:"stops-work"`              // canceling a running job ends it
	KeepsQueued       bool    `toml:"keeps-waiting,omitempty"` // a canceled job stays queued and still runs
	AttemptNoise      float64 `toml:"attempt-noise,omitempty"` // sigma of the lognormal factor by which the work of a job's attempts varies
	SlowStartCapacity float64 `toml:"cold-share"`              // capacity right after a start, as a fraction of full capacity
	SlowStartDuration Span    `toml:"warm-within"`             // time from a start until full capacity
	OverloadMultiple  float64 `toml:"fall-multiple"`           // received work over fall-window, relative to capacity, at which an executor in slow start crashes
	OverloadWindow    Span    `toml:"fall-window"`             // time over which received work counts for fall-multiple
	DrainGrace        Span    `toml:"drain-grace"`             // time during which a draining executor still accepts jobs
	StartNotices      bool    `toml:"tells-start"`             // executors notify nodes when a job starts to run
	ProgressInterval  Span    `toml:"tells-every"`             // interval of progress notices for a running job; 0 for none
	ReportsLoad       bool    `toml:"reports"`                 // executors' answers report their load
	MayHedge          bool    `toml:"copies"`                  // nodes may hedge idempotent jobs
	MayCheckHealth    bool    `toml:"probes"`                  // nodes may send health checks
	ReportInterval    Span    `toml:"report-every"`            // interval at which executors refresh the load that they report

	// The network.
	Near             Span `toml:"near"`       // one-way delay within a zone
	Far              Span `toml:"far"`        // one-way delay between zones
	DialTimeout      Span `toml:"dial-limit"` // nodes' timeout for opening a connection
	IdleTimeout      Span `toml:"idle-limit"` // executors close a connection that is idle for this long
	MaxExecutorConns int  `toml:"conns"`      // largest number of connections that an executor accepts
	ConnCost         Span `toml:"conn-cost"`  // work that a new connection costs its executor

	// Discovery.
	DiscoveryLag   Span `toml:"list-lag"`             // time until discovery publishes a change
	WeightInterval Span `toml:"weights-every"`        // interval at which discovery sets weights by load; 0 for fixed weights by capacity
	NoWeights      bool `toml:"no-weights,omitempty"` // all executors have the same weight

	// Nodes.
	MaxAttempts   int     `toml:"allocations"`       // largest number of attempts of a job
	MaxRetryAfter Span    `toml:"come-back"`         // largest retry-after of a rejection; 0 for none
	CrossZoneCost float64 `toml:"cross-price"`       // cost of a cross-zone attempt, as a multiple of the mean value of a job
	ValuePerWork  bool    `toml:"earnings-per-work"` // job classes' values are per second of work
	MaxNodeConns  int     `toml:"node-conns"`        // largest number of a node's connections to executors
	MaxBodyBytes  int     `toml:"node-bodies"`       // largest size of all request bodies that a node holds, in bytes

	// Messages between nodes.
	Gossip             bool    `toml:"talk,omitempty"`          // nodes gossip
	Leases             bool    `toml:"keepers,omitempty"`       // nodes lease executors' slots to each other
	MessageLoss        float64 `toml:"words-lost,omitempty"`    // probability that a message is lost
	MessageDuplication float64 `toml:"words-doubled,omitempty"` // probability that a message is duplicated
	MessageDelay       Span    `toml:"words-late,omitempty"`    // largest additional delay of a message, uniformly distributed
}

// Load describes the clients.
type Load struct {
	Utilization        float64   `toml:"of"`                      // open-loop traffic as a fraction of the executors' capacity; 0 for closed loops only
	ZoneWeights        []float64 `toml:"zones"`                   // weights of the zones' traffic; empty for equal traffic
	Loops              int       `toml:"loops"`                   // number of closed-loop clients in each zone
	ThinkTime          Span      `toml:"think"`                   // time that a closed-loop client waits between two work items
	Retries            int       `toml:"retries"`                 // largest number of retries of a work item
	RetryWait          Span      `toml:"retry-wait"`              // time that a client waits before a retry
	MaxRetryWait       Span      `toml:"retry-most,omitempty"`    // if larger than retry-wait, the wait doubles with each retry up to this, with jitter of up to a half
	MarksRetries       bool      `toml:"marks-repeats,omitempty"` // clients mark retries as such
	NodeSkew           float64   `toml:"node-skew,omitempty"`     // sigma of the lognormal weights by which a zone's traffic is spread over its nodes; 0 for equal weights
	RespectsRetryAfter bool      `toml:"heeds-come-back"`         // clients wait for the retry-after of a rejection
	LeaveRate          float64   `toml:"leaves"`                  // probability that a client disconnects before it has an answer
	RepeatIDRate       float64   `toml:"repeats-ids"`             // probability that a client sends a job ID again that may be in flight
	HintNoise          float64   `toml:"hint-noise"`              // sigma of the error of clients' work estimates; negative if clients give none
	BodyBytes          int       `toml:"body"`                    // size of a request body, in bytes
	MalformedRate      float64   `toml:"bad"`                     // malformed requests per second at each node; networked simulations only
	DeadNodeTime       Span      `toml:"dead-for"`                // time during which the front layer still sends to a node that has died
}

// JobClass describes a job class.
type JobClass struct {
	Name             string  `toml:"name"`
	Share            float64 `toml:"share"`         // fraction of the work items
	Idempotency      string  `toml:"repeat"`        // repeatable, tagged (idempotent with a key) or once-only
	DedupGroup       string  `toml:"group"`         // executors that deduplicate a tagged class together: all, zone or cell
	DedupWindow      Span    `toml:"window"`        // time during which a tagged class is deduplicated
	Work             Span    `toml:"work"`          // mean run time on a standard core
	WorkSpread       float64 `toml:"spread"`        // sigma of the lognormal distribution of the work
	LatencyObjective Span    `toml:"quoted"`        // latency objective, to which RunTimeFactor times the work is added
	RunTimeFactor    float64 `toml:"stretch"`       // multiple of a job's work that is added to its latency objective
	Deadline         Span    `toml:"outer-limit"`   // time after which the client gives up
	Value            float64 `toml:"earnings"`      // value of an answer within the latency objective
	LateValue        float64 `toml:"late-earnings"` // fraction of the value that a later answer earns
	Priority         int     `toml:"priority"`      // priority in executors' queues
}

// Fault is a fault that a scenario injects.
type Fault struct {
	Kind  emulator.FaultKind `toml:"kind"`
	At    Span               `toml:"at"`              // time at which the fault begins
	For   Span               `toml:"for"`             // duration of the fault
	Where []string           `toml:"where,omitempty"` // names of the affected executors, nodes or zones; empty for all
	Size  float64            `toml:"size,omitempty"`  // magnitude, whose meaning depends on the kind
}

// Emulated converts the fault to the emulator's type.
func (f Fault) Emulated() emulator.Fault {
	return emulator.Fault{Kind: f.Kind, At: time.Duration(f.At), For: time.Duration(f.For), Where: f.Where, Size: f.Size}
}

// Read parses a scenario in TOML. Omitted keys have the values of Base. Errors name the file, the line and the key.
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

// Text encodes the scenario in TOML, with all keys.
func (s Scenario) Text() ([]byte, error) {
	var text bytes.Buffer
	err := toml.NewEncoder(&text).Encode(s)
	return text.Bytes(), err
}

// Names of the kinds of idempotency in scenario files.
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

// Sized returns the scenario with the given numbers of nodes and executors and the given length; 0 leaves a value unchanged. Faults that
// would begin after the end are removed.
func (s Scenario) Sized(nodes, executors int, length time.Duration) (Scenario, error) {
	s.Fleet.Nodes, s.Fleet.Executors = cmp.Or(nodes, s.Fleet.Nodes), cmp.Or(executors, s.Fleet.Executors)
	s.Length = cmp.Or(Span(length), s.Length)
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return f.At >= s.Length })
	if at, err := s.check(); err != nil {
		return s, fmt.Errorf("%s with these sizes: %s: %w", s.Name, at.Key, err)
	}
	return s, nil
}

// JobClasses converts the job classes to the type of the emulated clients and to that of the nodes and the checker.
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

// MeanWork returns the mean work of a job over all classes, in seconds on a standard core.
func (s *Scenario) MeanWork() (mean float64) {
	for _, class := range s.Classes {
		mean += class.Share * time.Duration(class.Work).Seconds()
	}
	return mean
}

// Rates returns the open-loop arrival rate of each zone, in work items per second. capacity is the capacity of all executors, in seconds of
// work per second.
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
	reportNoise = 0.1              // relative error of executors' load reports
	slowKind    = policy.KindID(1) // kind of the slower executors; the others are of kind 0
)

// Spec returns the specification of the executor with the given number. The speed is scaled down if the executor is of the slower kind.
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
		QueueLimit:       f.QueueLimit,
		ByPriority:       f.ByPriority,
		CancelsRunning:   f.CancelsRunning,
		KeepsQueued:      f.KeepsQueued,
		InitialCapacity:  f.SlowStartCapacity,
		SlowStart:        time.Duration(f.SlowStartDuration),
		OverloadMultiple: f.OverloadMultiple,
		OverloadWindow:   time.Duration(f.OverloadWindow),
		MeanWork:         s.MeanWork(),
		SendsStart:       f.StartNotices,
		ProgressEvery:    time.Duration(f.ProgressInterval),
		SendsLoad:        f.ReportsLoad,
		ReportEvery:      time.Duration(f.ReportInterval),
		ReportNoise:      reportNoise,
		MaxConns:         f.MaxExecutorConns,
		ConnCost:         time.Duration(f.ConnCost),
	}
}

// isSlow returns whether the executor with the given number is of the slower kind. Each zone has the same fraction of slow executors: the
// nth executor of a zone is slow if n*SlowShare, rounded down, is larger than for the executor before it.
func (s *Scenario) isSlow(number int) bool {
	inZone := float64(number / len(s.Fleet.Zones))
	return int((inZone+1)*s.Fleet.SlowShare) > int(inZone*s.Fleet.SlowShare)
}
