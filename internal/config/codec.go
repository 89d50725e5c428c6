package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"birchstair/policy"
)

// configJSON is the JSON form of the configuration file. Unknown keys are ignored.
type configJSON struct {
	Name            string          `json:"name"`
	Listen          string          `json:"listen"`
	Discovery       string          `json:"discovery"`
	AdminAddr       string          `json:"management"`
	Seed            string          `json:"seed"`
	Limits          limitsJSON      `json:"limits"`
	CachedEndpoints json.RawMessage `json:"known"`
	Probe           probeJSON       `json:"probe"`
	Settings        json.RawMessage `json:"settings"`
}

type limitsJSON struct {
	Cores          *float64 `json:"cores"`
	MemoryMiB      *int     `json:"memory_mb"`
	MaxDescriptors *int     `json:"sockets"`
}

type probeJSON struct {
	Path     string   `json:"path"`
	TimeoutS *float64 `json:"timeout_s"`
}

// settingsJSON is the JSON form of the settings object. Unknown keys are ignored. Times are in seconds. The platform
// defines the keys, so their names differ from those of the Go fields.
type settingsJSON struct {
	Zones          []string           `json:"areas"`
	Kinds          []string           `json:"flavors"`
	Nodes          int                `json:"balancers"`
	Node           int                `json:"my-number"`
	Zone           int                `json:"locality"`
	Quantum        float64            `json:"quantum-s"`
	Discovery      string             `json:"discovery"`
	Weights        string             `json:"weights"`
	ValuePer       string             `json:"earnings-per"`
	OverQuotaValue float64            `json:"overage-earnings"`
	Prices         pricesJSON         `json:"prices"`
	ScoreParts     map[string]float64 `json:"score-parts"`
	Caps           capsJSON           `json:"caps"`
	Rules          rulesJSON          `json:"rules"`
	Clients        clientsJSON        `json:"clients"`
	Domain         domainJSON         `json:"domain"`
	Report         reportJSON         `json:"report"`
	Tenants        []tenantJSON       `json:"projects"`
	JobClasses     []jobClassJSON     `json:"tracks"`
}

type pricesJSON struct {
	CrossZone float64 `json:"cross-zone"`
}

type capsJSON struct {
	Cancel        bool    `json:"cancel"`
	Gossip        bool    `json:"peers"`
	Hedging       bool    `json:"second-copies"`
	Probes        bool    `json:"probes"`
	MaxAttempts   int     `json:"max-allocations"`
	RetryAfter    bool    `json:"retry-after"`
	MaxRetryAfter float64 `json:"max-retry-after-s"`
	IdleTimeout   float64 `json:"conn-idle-s"`
	DialTimeout   float64 `json:"dial-timeout-s"`
}

type rulesJSON struct {
	PollWithin        float64 `json:"ask-within-s"`
	SlowStartCapacity float64 `json:"cold-share"`
	SlowStartDuration float64 `json:"warm-within-s"`
	OverloadMultiple  float64 `json:"fall-multiple"`
	OverloadWindow    float64 `json:"fall-s"`
	DrainGrace        float64 `json:"drain-grace-s"`
}

type clientsJSON struct {
	MarkRetries bool `json:"marks-retry"`
}

type domainJSON struct {
	ClassKinds       []int     `json:"class-kind"`
	RunTimeFactors   []float64 `json:"class-stretch"`
	StartNotices     bool      `json:"tells-start"`
	ProgressInterval float64   `json:"progress-s"`
	MeaningX0        string    `json:"report-x0"`
	MeaningX1        string    `json:"report-x1"`
}

type reportJSON struct {
	How    string   `json:"how"`
	Fields []string `json:"fields"`
}

type tenantJSON struct {
	QuotaPerSecond float64 `json:"quota-per-s"`
}

type jobClassJSON struct {
	Name             string  `json:"name"`
	RunTimeFactor    float64 `json:"aim-stretch"`
	LatencyObjective float64 `json:"quoted-time-s"`
	Deadline         float64 `json:"outer-limit-s"`
	Idempotency      string  `json:"repeat"`
	DedupGroup       string  `json:"dedup-scope"`
	DedupWindow      float64 `json:"dedup-window-s"`
	LateValue        float64 `json:"late-earnings"`
	Value            float64 `json:"earnings"`
}

// Values of keys that hold strings. The comment of each constant names its key.
const (
	discoveryPolled     = "ask"      // discovery
	weightsLoadAdjusted = "live"     // weights
	valuePerWork        = "work"     // earnings-per
	reportInline        = "inline"   // report.how
	reportOnProbe       = "on_probe" // report.how
	reportOff           = "off"      // report.how
)

// idempotencies maps the values of a job class's repeat key.
var idempotencies = map[string]policy.Idempotency{
	"repeatable": policy.Idempotent,
	"by_key":     policy.IdempotentWithKey,
	"once":       policy.AtMostOnce,
}

// dedupGroups maps the values of a job class's dedup-scope key. If the key is absent, the group holds all executors.
var dedupGroups = map[string]policy.DedupGroup{
	"":     policy.DedupAllExecutors,
	"all":  policy.DedupAllExecutors,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
}

// settings converts the settings object. The caller must have checked the object with validate. Tenants and job classes
// are validated here; an error names the invalid tenant or job class.
func (w *settingsJSON) settings() (Settings, error) {
	s := Settings{
		Policy:      w.policy(),
		LoadFields:  w.loadFields(),
		Zones:       w.Zones,
		Kinds:       w.Kinds,
		IdleTimeout: cmp.Or(Seconds(w.Caps.IdleTimeout), defaultIdleTimeout),
		DialTimeout: cmp.Or(Seconds(w.Caps.DialTimeout), defaultDialTimeout),
		DrainGrace:  cmp.Or(Seconds(w.Rules.DrainGrace), defaultDrainGrace),
	}
	for i, tenant := range w.Tenants {
		if err := tenant.validate(i); err != nil {
			return s, err
		}
		s.Policy.Tenants = append(s.Policy.Tenants, policy.Tenant{QuotaPerSecond: tenant.QuotaPerSecond})
	}
	for i := range w.JobClasses {
		class, err := w.jobClass(i)
		if err != nil {
			return s, err
		}
		s.Policy.JobClasses = append(s.Policy.JobClasses, class)
		s.JobClassNames = append(s.JobClassNames, w.JobClasses[i].Name)
	}
	return s, nil
}

// policy converts the settings that package policy uses, except tenants and job classes.
func (w *settingsJSON) policy() policy.Settings {
	p := policy.Settings{
		Node:                w.Node,
		Nodes:               w.Nodes,
		Zone:                policy.ZoneID(w.Zone),
		Quantum:             max(Seconds(w.Quantum), minQuantum),
		LoadAdjustedWeights: w.Weights == weightsLoadAdjusted,
		EndpointsPolled:     w.Discovery == discoveryPolled,
		PollWithin:          Seconds(w.Rules.PollWithin),
		ValuePerWork:        w.ValuePer == valuePerWork,
		OverQuotaValue:      w.OverQuotaValue,
		CrossZoneCost:       w.Prices.CrossZone,
		TotalWeight:         w.ScoreParts["whole"] + w.ScoreParts["worst-window"],
		WorstClassWeight:    w.ScoreParts["worst-class"],
		MaxAttempts:         w.Caps.MaxAttempts,
		MayCancel:           w.Caps.Cancel,
		MayLease:            w.Caps.Gossip,
		MayHedge:            w.Caps.Hedging,
		MayCheckHealth:      w.Caps.Probes && w.Report.How == reportOnProbe,
		ClientsMarkRetries:  w.Clients.MarkRetries,
		SlowStartCapacity:   w.Rules.SlowStartCapacity,
		SlowStartDuration:   Seconds(w.Rules.SlowStartDuration),
		OverloadMultiple:    w.Rules.OverloadMultiple,
		OverloadWindow:      Seconds(w.Rules.OverloadWindow),
		StartNotices:        w.Domain.StartNotices,
		ProgressInterval:    Seconds(w.Domain.ProgressInterval),
	}
	if w.Caps.RetryAfter {
		p.MaxRetryAfter = Seconds(w.Caps.MaxRetryAfter)
	}
	return p
}

// loadFields returns the position of each known value in load reports. The value x0 or x1 counts as absent
// if the settings do not declare the expected meaning for it.
func (w *settingsJSON) loadFields() (fields LoadFields) {
	for i, name := range loadFieldNames {
		fields[i] = slices.Index(w.Report.Fields, name)
	}
	if w.Domain.MeaningX0 != meaningX0 {
		fields[loadFreeSlots] = -1
	}
	if w.Domain.MeaningX1 != meaningX1 {
		fields[loadFreeMemory] = -1
	}
	return fields
}

// jobClass validates and converts the job class with index i.
func (w *settingsJSON) jobClass(i int) (policy.JobClass, error) {
	wire := &w.JobClasses[i]
	if err := wire.validate(i); err != nil {
		return policy.JobClass{}, err
	}
	class := policy.JobClass{
		Idempotency:      idempotencies[wire.Idempotency],
		DedupGroup:       dedupGroups[wire.DedupGroup],
		DedupWindow:      Seconds(wire.DedupWindow),
		LatencyObjective: Seconds(wire.LatencyObjective),
		RunTimeFactor:    wire.RunTimeFactor,
		Deadline:         Seconds(wire.Deadline),
		Value:            wire.Value,
		LateValue:        wire.LateValue,
		Kind:             policy.AnyKind,
		MaxAttempts:      w.Caps.MaxAttempts,
	}
	if i < len(w.Domain.ClassKinds) {
		class.Kind = policy.KindID(w.Domain.ClassKinds[i])
	}
	if i < len(w.Domain.RunTimeFactors) {
		class.RunTimeFactor = w.Domain.RunTimeFactors[i]
	}
	return class, nil
}

// decodeError returns an error that names the key whose value could not be decoded, or only the object if the key is
// not known. The object is given by its name.
func decodeError(object string, err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		key := strings.TrimPrefix(object+"."+mismatch.Field, "configuration.")
		return fmt.Errorf("%s: a %s does not belong there", strings.ToLower(key), mismatch.Value)
	}
	return fmt.Errorf("%s: not a JSON object: %w", object, err)
}
