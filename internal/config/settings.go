package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"birchstair/policy"
)

// Settings is the settings object, as the simulator's first message and a node's configuration hold it.
type Settings struct {
	Policy policy.Settings

	LoadFields LoadFields
	Probe      Probe
	MayGossip  bool     // nodes may talk with each other
	Tracks     []string // names, by number
	Zones      []string
	Kinds      []string

	IdleTimeout time.Duration // an executor closes a connection that has stood idle so long
	DialTimeout time.Duration // a connection that is not up by then counts as none

	DrainGrace time.Duration // after this node counts as told of a drain, nothing new goes there
}

// Probe is how executors may be asked for their load; no path: they are not.
type Probe struct {
	Path    string
	Timeout time.Duration
}

// ReportedValues says which values the settings name that the module can use, by the protocol's names.
func (s *Settings) ReportedValues() map[string]bool {
	told := map[string]bool{}
	for i, name := range [...]string{"inflight", "queue", "x0", "x1", "latency_ms"} {
		told[name] = s.LoadFields[i] >= 0
	}
	return told
}

// ReportsLoad says whether load reports have all that the module wants of an answer.
func (s *Settings) ReportsLoad() bool {
	return min(s.LoadFields[0], s.LoadFields[1], s.LoadFields[2]) >= 0
}

// LoadFields is where a load report has batch jobs held, waiting, places free, memory free and the running time of the
// last in ms; -1 where it has not.
type LoadFields [len(loadNames)]int

// loadNames are those values by the names of the settings, and what the settings must say of two of them.
var (
	loadNames = [5]string{"active", "waiting", "x0", "x1", "avg_ms"}
	loadMeans = map[string]string{"x0": "free slots", "x1": "free memory"}
)

// mostLoad is more than any executor could say: such a report counts as none.
const mostLoad = 1e6

// Decode turns a report's values into what the module takes. One of them that makes no sense makes the report count as none.
func (at LoadFields) Decode(values []float64) (load policy.Load, ok bool) {
	var x [len(loadNames)]float64
	for i, place := range at {
		x[i] = -1
		if place >= 0 && place < len(values) {
			if x[i] = values[place]; !(x[i] >= 0 && x[i] <= mostLoad) {
				return load, false
			}
			ok = true
		}
	}
	load = policy.Load{InFlight: x[0], Queued: x[1], FreeSlots: x[2], FreeMemory: x[3], RunTime: -1}
	if x[4] >= 0 {
		load.RunTime = Seconds(x[4] / 1000)
	}
	return load, ok
}

// Seconds turns seconds into a span, rounded to the microsecond.
func Seconds(x float64) time.Duration { return time.Duration(math.Round(x*1e6)) * time.Microsecond }

var repeats = map[string]policy.Idempotency{
	"repeatable": policy.Idempotent, "by_key": policy.IdempotentWithKey, "once": policy.AtMostOnce,
}

var groups = map[string]policy.DedupGroup{
	"": policy.DedupAllExecutors, "all": policy.DedupAllExecutors, "zone": policy.DedupZone, "cell": policy.DedupCell,
}

// reportHows are the ways in which executors tell their load.
var reportHows = []string{"inline", "on_probe", "off"}

// longestLimit is the longest outer limit in seconds: a year.
const longestLimit = 366 * 24 * 3600.0

// mostQuota is the largest quota of a tenant, in batch jobs a second: more than any installation takes.
const mostQuota = 1e9

// settingsText is the object's form; keys that are not known are skipped.
type settingsText struct {
	Areas     []string
	Flavors   []string
	Balancers int
	Number    int `json:"my-number"`
	Locality  int
	Quantum   float64 `json:"quantum-s"`
	Discovery string
	Weights   string
	PerWork   string  `json:"earnings-per"`
	Overage   float64 `json:"overage-earnings"`
	Prices    struct {
		CrossZone float64 `json:"cross-zone"`
	}
	ScoreParts map[string]float64 `json:"score-parts"`
	Caps       struct {
		Cancel       bool
		Peers        bool
		Copies       bool `json:"second-copies"`
		Probes       bool
		Allocations  int     `json:"max-allocations"`
		RetryAfter   bool    `json:"retry-after"`
		MaxComeBackS float64 `json:"max-retry-after-s"`
		IdleS        float64 `json:"conn-idle-s"`
		DialS        float64 `json:"dial-timeout-s"`
	}
	Rules struct {
		AskWithin    float64 `json:"ask-within-s"`
		ColdShare    float64 `json:"cold-share"`
		WarmWithin   float64 `json:"warm-within-s"`
		FallMultiple float64 `json:"fall-multiple"`
		FallS        float64 `json:"fall-s"`
		DrainGrace   float64 `json:"drain-grace-s"`
	}
	Clients struct {
		MarksRetry bool `json:"marks-retry"`
	}
	Domain struct {
		Kind       []int     `json:"class-kind"`
		Stretch    []float64 `json:"class-stretch"`
		TellsStart bool      `json:"tells-start"`
		TellsEvery float64   `json:"progress-s"`
		X0         string    `json:"report-x0"`
		X1         string    `json:"report-x1"`
	}
	Report struct {
		How    string
		Fields []string
	}
	Projects []struct {
		Quota float64 `json:"quota-per-s"`
	}
	Tracks []trackText
}

type trackText struct {
	Name     string
	Stretch  float64 `json:"aim-stretch"`
	Quoted   float64 `json:"quoted-time-s"`
	Limit    float64 `json:"outer-limit-s"`
	Repeat   string
	Scope    string  `json:"dedup-scope"`
	Window   float64 `json:"dedup-window-s"`
	Late     float64 `json:"late-earnings"`
	Earnings float64
}

// ReadSettings decodes the settings object.
func ReadSettings(text []byte) (Settings, error) {
	var w settingsText
	if err := json.Unmarshal(text, &w); err != nil {
		return Settings{}, misread("settings", err)
	}
	if err := w.check(); err != nil {
		return Settings{}, err
	}
	s := Settings{Zones: w.Areas, Kinds: w.Flavors,
		IdleTimeout: cmp.Or(Seconds(w.Caps.IdleS), defaultIdle), DialTimeout: cmp.Or(Seconds(w.Caps.DialS), defaultDial),
		DrainGrace: cmp.Or(Seconds(w.Rules.DrainGrace), defaultGrace)}
	for i, name := range loadNames {
		s.LoadFields[i] = slices.Index(w.Report.Fields, name)
		if means := loadMeans[name]; means != "" && means != map[string]string{"x0": w.Domain.X0, "x1": w.Domain.X1}[name] {
			s.LoadFields[i] = -1
		}
	}
	s.Policy = policy.Settings{
		Node: w.Number, Nodes: w.Balancers, Zone: policy.ZoneID(w.Locality),
		Quantum:             max(Seconds(w.Quantum), leastQuantum),
		LoadAdjustedWeights: w.Weights == "live", EndpointsPolled: w.Discovery == "ask", PollWithin: Seconds(w.Rules.AskWithin),
		ValuePerWork: w.PerWork == "work", OverQuotaValue: w.Overage, CrossZoneCost: w.Prices.CrossZone,
		TotalWeight:      w.ScoreParts["whole"] + w.ScoreParts["worst-window"],
		WorstClassWeight: w.ScoreParts["worst-class"],
		MaxAttempts:      w.Caps.Allocations, MayCancel: w.Caps.Cancel, MayLease: w.Caps.Peers,
		MayHedge: w.Caps.Copies, MayProbe: w.Caps.Probes && w.Report.How == "on_probe", ClientsMarkRetries: w.Clients.MarksRetry,
		SlowStartCapacity: w.Rules.ColdShare, SlowStartDuration: Seconds(w.Rules.WarmWithin),
		OverloadMultiple: w.Rules.FallMultiple, OverloadWindow: Seconds(w.Rules.FallS),
		StartNotices: w.Domain.TellsStart, ProgressInterval: Seconds(w.Domain.TellsEvery),
	}
	if w.Caps.RetryAfter {
		s.Policy.MaxRetryAfter = Seconds(w.Caps.MaxComeBackS)
	}
	for i, p := range w.Projects {
		if !(p.Quota >= 0 && p.Quota <= mostQuota) { // what is left of a sum with one under 0 divides rates
			return s, fmt.Errorf("settings.projects[%d].quota-per-s: not between 0 and %g", i, mostQuota)
		}
		s.Policy.Tenants = append(s.Policy.Tenants, policy.Tenant{QuotaPerSecond: p.Quota})
	}
	for i, t := range w.Tracks {
		track, err := t.track(i)
		if err != nil {
			return s, err
		}
		track.MaxAttempts = w.Caps.Allocations
		if i < len(w.Domain.Kind) {
			track.Kind = policy.KindID(w.Domain.Kind[i])
		}
		if i < len(w.Domain.Stretch) {
			track.RunTimeFactor = w.Domain.Stretch[i]
		}
		s.Policy.JobClasses = append(s.Policy.JobClasses, track)
		s.Tracks = append(s.Tracks, t.Name)
	}
	return s, nil
}

// check names the first key whose value makes no sense.
func (w *settingsText) check() error {
	caps, rules := &w.Caps, &w.Rules
	for _, c := range [...]struct {
		bad bool
		key string
		why string
	}{
		{w.Balancers < 1, "balancers", "fewer than one node"},
		{w.Number < 0 || w.Number >= w.Balancers, "my-number", "not one of the nodes, which count from 0"},
		{w.Locality < 0 || len(w.Areas) > 0 && w.Locality >= len(w.Areas), "locality", "not one of areas"},
		{w.Quantum < 0, "quantum-s", "under 0"},
		{caps.Allocations < 1, "caps.max-allocations", "missing, or under 1"},
		{caps.MaxComeBackS < 0, "caps.max-retry-after-s", "under 0"},
		{caps.IdleS < 0, "caps.conn-idle-s", "under 0"},
		{caps.DialS < 0, "caps.dial-timeout-s", "under 0"},
		{rules.ColdShare < 0 || rules.ColdShare > 1, "rules.cold-share", "not between 0 and 1"},
		{rules.WarmWithin < 0, "rules.warm-within-s", "under 0"},
		{rules.FallMultiple < 0, "rules.fall-multiple", "under 0"},
		{rules.FallS < 0, "rules.fall-s", "under 0"},
		{rules.DrainGrace < 0, "rules.drain-grace-s", "under 0"},
		{w.Domain.TellsEvery < 0, "domain.progress-s", "under 0"},
		{len(w.Tracks) == 0, "tracks", "missing, or empty"},
		{w.Report.How != "" && !slices.Contains(reportHows, w.Report.How), "report.how", "none of inline, on_probe and off"},
	} {
		if c.bad {
			return fmt.Errorf("settings.%s: %s", c.key, c.why)
		}
	}
	for _, c := range [...]struct {
		key     string
		seconds float64
	}{
		{"quantum-s", w.Quantum}, {"caps.max-retry-after-s", caps.MaxComeBackS}, {"caps.conn-idle-s", caps.IdleS}, {"caps.dial-timeout-s", caps.DialS},
		{"rules.ask-within-s", rules.AskWithin}, {"rules.warm-within-s", rules.WarmWithin}, {"rules.fall-s", rules.FallS},
		{"rules.drain-grace-s", rules.DrainGrace}, {"domain.progress-s", w.Domain.TellsEvery},
	} {
		if c.seconds > longestLimit { // more would not fit a span
			return fmt.Errorf("settings.%s: over %g s", c.key, longestLimit)
		}
	}
	return nil
}

func (t trackText) track(i int) (policy.JobClass, error) {
	repeat, ok := repeats[t.Repeat]
	if !ok {
		return policy.JobClass{}, fmt.Errorf("settings.tracks[%d].repeat: %.40q is none of the kinds", i, t.Repeat)
	}
	group, ok := groups[t.Scope]
	if !ok {
		return policy.JobClass{}, fmt.Errorf("settings.tracks[%d].dedup-scope: %.40q is none of the groups", i, t.Scope)
	}
	switch {
	case t.Quoted <= 0:
		return policy.JobClass{}, fmt.Errorf("settings.tracks[%d].quoted-time-s: missing, or not over 0", i)
	case t.Limit <= 0:
		return policy.JobClass{}, fmt.Errorf("settings.tracks[%d].outer-limit-s: missing, or not over 0", i)
	}
	if max(t.Quoted, t.Limit, t.Window) > longestLimit {
		return policy.JobClass{}, fmt.Errorf("settings.tracks[%d]: a time over %g s", i, longestLimit)
	}
	return policy.JobClass{Idempotency: repeat, DedupGroup: group, DedupWindow: Seconds(t.Window),
		LatencyObjective: Seconds(t.Quoted), RunTimeFactor: t.Stretch, Deadline: Seconds(t.Limit), Value: t.Earnings,
		LateValue: t.Late, Kind: policy.AnyKind}, nil
}
