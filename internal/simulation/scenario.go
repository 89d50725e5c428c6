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
	Seed    uint64     `toml:"seed,omitempty"` // default of the random seed
	Length  Span       `toml:"length"`         // time during which clients submit new work items
	Fleet   Fleet      `toml:"fleet"`
	Load    Load       `toml:"load"`
	Classes []JobClass `toml:"track"`
	Faults  []Fault    `toml:"fault"`
}

// Fleet describes the nodes, the executors and the network between them. Its default values are in scenario_defaults.go.
type Fleet struct {
	Zones     []string `toml:"zones"`
	Nodes     int      `toml:"nodes"`     // number of nodes, named n0, n1, ... and spread over the zones
	Executors int      `toml:"executors"` // number of executors, named e0, e1, ... and spread over the zones

	// Executors.
	Cores          int     `toml:"cores"`                   // number of cores of an executor
	Slots          int     `toml:"places"`                  // number of jobs that an executor runs at the same time
	QueueLimit     int     `toml:"queue"`                   // largest number of jobs in an executor's queue
	Speed          float64 `toml:"speed"`                   // mean speed of the executors' cores; a standard core has speed 1
	SpeedSpread    float64 `toml:"spread"`                  // largest relative deviation from Speed, uniformly distributed
	SlowShare      float64 `toml:"slow-part,omitempty"`     // fraction of the executors that are of a second, slower kind
	SlowSpeed      float64 `toml:"slow-speed,omitempty"`    // mean speed of the slower kind, which deviates like Speed
	CellSize       int     `toml:"cell-of"`                 // number of executors in a cell
	ByPriority     bool    `toml:"by-priority"`             // executors order their queues by priority
	CancelsRunning bool    `toml:"stops-work"`              // canceling a running job ends the job
	KeepsQueued    bool    `toml:"keeps-waiting,omitempty"` // a queued job that is canceled stays queued and still runs
	// The work of each attempt of a job is multiplied by a lognormal random factor with this sigma.
	AttemptNoise      float64 `toml:"attempt-noise,omitempty"`
	SlowStartCapacity float64 `toml:"cold-share"`  // capacity of an executor right after its start, as a fraction of its full capacity
	SlowStartDuration Span    `toml:"warm-within"` // time from the start of an executor until it has its full capacity
	// The work that an executor in slow start can do within OverloadWindow at its present capacity is multiplied by
	// this to get its slow-start budget. An executor that receives more work crashes. 0 stands for no limit.
	OverloadMultiple float64 `toml:"fall-multiple"`
	OverloadWindow   Span    `toml:"fall-window"`  // length of the window in which received work counts for OverloadMultiple
	DrainGrace       Span    `toml:"drain-grace"`  // time during which a draining executor still accepts jobs
	StartNotices     bool    `toml:"tells-start"`  // executors notify nodes when a job starts to run
	ProgressInterval Span    `toml:"tells-every"`  // interval of an executor's progress notices for a running job; 0 for no notices
	ReportsLoad      bool    `toml:"reports"`      // executors report their load in their answers
	MayHedge         bool    `toml:"copies"`       // nodes are allowed to hedge idempotent jobs
	MayCheckHealth   bool    `toml:"probes"`       // nodes are allowed to send health checks
	ReportInterval   Span    `toml:"report-every"` // interval at which executors refresh the load that they report

	// The network.
	Near             Span `toml:"near"`       // one-way delay within a zone
	Far              Span `toml:"far"`        // one-way delay between zones
	DialTimeout      Span `toml:"dial-limit"` // timeout of nodes for opening a connection
	IdleTimeout      Span `toml:"idle-limit"` // executors close a connection that has been idle for this long
	MaxExecutorConns int  `toml:"conns"`      // largest number of connections that an executor accepts
	ConnCost         Span `toml:"conn-cost"`  // work that a new connection costs its executor

	// Discovery.
	DiscoveryLag Span `toml:"list-lag"` // time from a change of the endpoint list until discovery publishes it
	// Interval at which discovery sets executors' weights by their load. 0 stands for fixed weights by capacity.
	WeightInterval Span `toml:"weights-every"`
	NoWeights      bool `toml:"no-weights,omitempty"` // all executors have the same weight

	// Nodes.
	MaxAttempts   int     `toml:"allocations"`       // largest number of attempts of a job
	MaxRetryAfter Span    `toml:"come-back"`         // largest retry-after of a node's rejection; 0 for no retry-after
	CrossZoneCost float64 `toml:"cross-price"`       // cost of a cross-zone attempt; the mean value of a job is multiplied by this
	ValuePerWork  bool    `toml:"earnings-per-work"` // the values of job classes are per second of work
	MaxNodeConns  int     `toml:"node-conns"`        // largest number of connections that a node has to executors
	MaxBodyBytes  int     `toml:"node-bodies"`       // largest total size of the request bodies that a node holds, in bytes

	// Messages between nodes.
	Gossip             bool    `toml:"talk,omitempty"`          // nodes gossip
	Leases             bool    `toml:"keepers,omitempty"`       // nodes lease executors' slots to each other
	MessageLoss        float64 `toml:"words-lost,omitempty"`    // probability that a message between nodes is lost
	MessageDuplication float64 `toml:"words-doubled,omitempty"` // probability that a message between nodes is duplicated
	MessageDelay       Span    `toml:"words-late,omitempty"`    // largest additional delay of a message between nodes, uniformly distributed
}

// Load describes the clients.
type Load struct {
	Utilization float64   `toml:"of"`         // open-loop traffic as a fraction of the capacity of all executors; 0 for closed loops only
	ZoneWeights []float64 `toml:"zones"`      // relative weights of the zones' open-loop traffic; empty for equal traffic
	Loops       int       `toml:"loops"`      // number of closed-loop clients in each zone
	ThinkTime   Span      `toml:"think"`      // time that a closed-loop client waits between two work items
	Retries     int       `toml:"retries"`    // largest number of retries of a work item
	RetryWait   Span      `toml:"retry-wait"` // time that a client waits before a retry
	// If this is longer than RetryWait, the wait doubles with each retry up to this limit, with jitter of up to a half.
	MaxRetryWait Span `toml:"retry-most,omitempty"`
	MarksRetries bool `toml:"marks-repeats,omitempty"` // clients mark retries as such
	// Sigma of the lognormal weights by which a zone's traffic is spread over its nodes. 0 stands for equal weights.
	NodeSkew           float64 `toml:"node-skew,omitempty"`
	RespectsRetryAfter bool    `toml:"heeds-come-back"` // clients wait for the retry-after of a rejection before they retry
	LeaveRate          float64 `toml:"leaves"`          // probability that a client disconnects before it has an answer
	RepeatIDRate       float64 `toml:"repeats-ids"`     // probability that a client sends a job ID again, which can still be in flight
	HintNoise          float64 `toml:"hint-noise"`      // sigma of the error of clients' work estimates; negative if clients send no estimates
	BodyBytes          int     `toml:"body"`            // size of a request body, in bytes
	MalformedRate      float64 `toml:"bad"`             // malformed requests per second at each node; used only in networked simulations
	DeadNodeTime       Span    `toml:"dead-for"`        // time after the death of a node during which the front layer still sends requests to it
}

// JobClass describes a job class.
type JobClass struct {
	Name        string  `toml:"name"`
	Share       float64 `toml:"share"`  // fraction of the work items that belong to this class
	Idempotency string  `toml:"repeat"` // "repeatable", "tagged" (idempotent with a key) or "once-only"
	DedupGroup  string  `toml:"group"`  // executors that together deduplicate the jobs of a tagged class: "all", "zone" or "cell"
	DedupWindow Span    `toml:"window"` // time during which the jobs of a tagged class are deduplicated
	Work        Span    `toml:"work"`   // mean run time of a job on a standard core
	WorkSpread  float64 `toml:"spread"` // sigma of the lognormal distribution of the jobs' work
	// The latency objective of a job is this plus the job's work multiplied by RunTimeFactor.
	LatencyObjective Span    `toml:"quoted"`
	RunTimeFactor    float64 `toml:"stretch"`       // the work of a job is multiplied by this and added to LatencyObjective
	Deadline         Span    `toml:"outer-limit"`   // time from the submission of a work item until its client gives up
	Value            float64 `toml:"earnings"`      // value of an answer within the latency objective
	LateValue        float64 `toml:"late-earnings"` // fraction of the value that an answer after the latency objective earns
	Priority         int     `toml:"priority"`      // priority of the jobs in executors' queues
}

// Fault is a fault that a scenario injects.
type Fault struct {
	Kind  emulator.FaultKind `toml:"kind"`
	At    Span               `toml:"at"`              // time at which the fault begins
	For   Span               `toml:"for"`             // duration of the fault
	Where []string           `toml:"where,omitempty"` // names of the affected executors, nodes or zones; empty if all are affected
	Size  float64            `toml:"size,omitempty"`  // magnitude of the fault; its meaning depends on the kind
}

// Emulated converts the fault to the emulator's type.
func (f Fault) Emulated() emulator.Fault {
	return emulator.Fault{Kind: f.Kind, At: time.Duration(f.At), For: time.Duration(f.For), Where: f.Where, Size: f.Size}
}

// Read parses a scenario in TOML. Omitted keys have the values of Base. Errors state the file, the line and the key.
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

// Sized returns the scenario with the given numbers of nodes and executors and the given length. An argument of 0
// leaves its value unchanged. Faults that would begin at or after the new end are removed.
func (s Scenario) Sized(nodes, executors int, length time.Duration) (Scenario, error) {
	s.Fleet.Nodes, s.Fleet.Executors = cmp.Or(nodes, s.Fleet.Nodes), cmp.Or(executors, s.Fleet.Executors)
	s.Length = cmp.Or(Span(length), s.Length)
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return f.At >= s.Length })
	if at, err := s.check(); err != nil {
		return s, fmt.Errorf("%s with these sizes: %s: %w", s.Name, at.Key, err)
	}
	return s, nil
}

// JobClasses converts the job classes to two types: the type of the emulated clients, and the type of the nodes and the
// checker.
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
	slowKind    = policy.KindID(1) // kind of the slower executors; all other executors are of kind 0
)

// Spec returns the specification of the executor with the given number. The given speed is multiplied by
// SlowSpeed/Speed if the executor is of the slower kind.
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

// isSlow returns whether the executor with the given number is of the slower kind. The slow executors are spread evenly
// over the zones: the nth executor of a zone, counted from 1, is slow if n*SlowShare and (n-1)*SlowShare differ after
// rounding down.
func (s *Scenario) isSlow(number int) bool {
	inZone := float64(number / len(s.Fleet.Zones))
	return int((inZone+1)*s.Fleet.SlowShare) > int(inZone*s.Fleet.SlowShare)
}
