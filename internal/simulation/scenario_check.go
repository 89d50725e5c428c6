package simulation

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/tomlfile"
)

const (
	maxLength     = 24 * time.Hour
	maxNodes      = 1000
	maxExecutors  = 20000
	maxShareError = 0.001 // largest tolerated difference between 1 and the sum of the job classes' shares
)

// check returns the first error in the scenario, and the position of the wrong value.
func (s *Scenario) check() (tomlfile.Position, error) {
	for _, check := range []func() (tomlfile.Position, error){s.checkBounds, s.checkClasses, s.checkFaults} {
		if at, err := check(); err != nil {
			return at, err
		}
	}
	return tomlfile.Position{}, nil
}

// checkBounds checks that each value is within its bounds.
func (s *Scenario) checkBounds() (tomlfile.Position, error) {
	f, l := &s.Fleet, &s.Load
	for _, check := range []struct {
		wrong      bool
		table, key string
		want       string
	}{
		{s.Length <= 0 || time.Duration(s.Length) > maxLength, "", "length", "over 0 and at most 24h"},
		{len(f.Zones) == 0, "fleet", "zones", "at least one"},
		{f.Nodes < 1 || f.Nodes > maxNodes, "fleet", "nodes", fmt.Sprint("from 1 to ", maxNodes)},
		{f.Executors < 1 || f.Executors > maxExecutors, "fleet", "executors", fmt.Sprint("from 1 to ", maxExecutors)},
		{f.Cores < 1, "fleet", "cores", "at least 1"},
		{f.Slots < 1, "fleet", "places", "at least 1"},
		{f.QueueLimit < 0, "fleet", "queue", "at least 0"},
		{f.Speed <= 0, "fleet", "speed", "over 0"},
		{f.SpeedSpread < 0 || f.SpeedSpread >= 1, "fleet", "spread", "from 0 to under 1"},
		{f.SlowShare < 0 || f.SlowShare > 1, "fleet", "slow-part", "a fraction from 0 to 1"},
		{f.SlowShare > 0 && f.SlowSpeed <= 0, "fleet", "slow-speed", "over 0 where slow-part is"},
		{f.AttemptNoise < 0 || f.AttemptNoise > 3, "fleet", "attempt-noise", "from 0 to 3"},
		{f.NoWeights && f.WeightInterval > 0, "fleet", "no-weights", "false where weights-every is over 0"},
		{f.CellSize < 1, "fleet", "cell-of", "at least 1"},
		{f.SlowStartCapacity <= 0 || f.SlowStartCapacity > 1, "fleet", "cold-share", "over 0 and at most 1"},
		{f.OverloadMultiple < 0, "fleet", "fall-multiple", "at least 0"},
		{f.DialTimeout <= 0, "fleet", "dial-limit", "over 0"},
		{f.IdleTimeout <= 0, "fleet", "idle-limit", "over 0"},
		{f.MaxExecutorConns < 1, "fleet", "conns", "at least 1"},
		{f.ReportInterval <= 0, "fleet", "report-every", "over 0"},
		{f.MaxAttempts < 1, "fleet", "allocations", "at least 1"},
		{f.MaxNodeConns < 1, "fleet", "node-conns", "at least 1"},
		{f.MessageLoss < 0 || f.MessageLoss > 1, "fleet", "words-lost", "a fraction from 0 to 1"},
		{f.MessageDuplication < 0 || f.MessageDuplication > 1, "fleet", "words-doubled", "a fraction from 0 to 1"},
		{l.Utilization < 0 || l.Utilization > 50, "load", "of", "from 0 to 50"},
		{l.Utilization == 0 && l.Loops == 0, "load", "of", "over 0 if loops is 0: there would be no traffic"},
		{l.Loops < 0, "load", "loops", "at least 0"},
		{len(l.ZoneWeights) > 0 && len(l.ZoneWeights) != len(f.Zones), "load", "zones", fmt.Sprintf("a weight for each of the %d zones", len(f.Zones))},
		{slices.ContainsFunc(l.ZoneWeights, func(x float64) bool { return x < 0 }), "load", "zones", "at least 0"},
		{l.Retries < 0 || l.Retries > 20, "load", "retries", "from 0 to 20"},
		{l.NodeSkew < 0 || l.NodeSkew > 3, "load", "node-skew", "from 0 to 3"},
		{l.LeaveRate < 0 || l.LeaveRate > 1, "load", "leaves", "a fraction from 0 to 1"},
		{l.RepeatIDRate < 0 || l.RepeatIDRate > 1, "load", "repeats-ids", "a fraction from 0 to 1"},
		{l.MalformedRate < 0 || l.MalformedRate > 1000, "load", "bad", "from 0 to 1000"},
		{l.BodyBytes < 0 || l.BodyBytes > 64<<10, "load", "body", "from 0 to 65536"},
	} {
		if check.wrong {
			return tomlfile.Position{Table: check.table, Index: -1, Key: check.key}, fmt.Errorf("it must be %s", check.want)
		}
	}
	return tomlfile.Position{}, nil
}

// checkClasses checks each job class, and that the shares sum to 1.
func (s *Scenario) checkClasses() (tomlfile.Position, error) {
	sum := 0.0
	for i, class := range s.Classes {
		sum += class.Share
		if key, err := class.check(); err != nil {
			return tomlfile.Position{Table: "track", Index: i, Key: key}, err
		}
	}
	if sum < 1-maxShareError || sum > 1+maxShareError {
		return tomlfile.Position{Table: "track", Index: 0, Key: "share"}, fmt.Errorf("the shares of all tracks sum to %.3g, not 1", sum)
	}
	return tomlfile.Position{}, nil
}

// check returns the first error in the job class, and the key of the wrong value.
func (t *JobClass) check() (key string, err error) {
	_, isIdempotency := idempotencyNames[t.Idempotency]
	_, isDedupGroup := dedupGroupNames[t.DedupGroup]
	switch {
	case t.Share < 0:
		return "share", errors.New("it must be at least 0")
	case !isIdempotency:
		return "repeat", fmt.Errorf("unknown value %q; it must be repeatable, tagged or once-only", t.Idempotency)
	case !isDedupGroup:
		return "group", fmt.Errorf("unknown value %q; it must be all, zone or cell", t.DedupGroup)
	case t.Idempotency == idempotentWithKey && t.DedupWindow <= 0:
		return "window", errors.New("it must be over 0 for a tagged track")
	case t.Work <= 0:
		return "work", errMissing
	case t.LatencyObjective <= 0:
		return "quoted", errMissing
	case t.Deadline <= 0:
		return "outer-limit", errMissing
	case t.LatencyObjective > t.Deadline:
		return "quoted", errors.New("it must not be longer than outer-limit")
	case t.Value <= 0:
		return "earnings", errMissing
	}
	return "", nil
}

var errMissing = errors.New("it is missing or not over 0")

// checkFaults checks each fault.
func (s *Scenario) checkFaults() (tomlfile.Position, error) {
	for i, fault := range s.Faults {
		if key, err := s.checkFault(fault); err != nil {
			return tomlfile.Position{Table: "fault", Index: i, Key: key}, err
		}
	}
	return tomlfile.Position{}, nil
}

// checkFault returns the first error in the fault, and the key of the wrong value.
func (s *Scenario) checkFault(fault Fault) (key string, err error) {
	on, ok := fault.Kind.Target()
	if !ok {
		return "kind", fmt.Errorf("unknown kind %q; it must be one of %v", fault.Kind, emulator.FaultKinds())
	}
	if err := fault.Kind.CheckSize(fault.Size); err != nil {
		return "size", err
	}
	if fault.At >= s.Length {
		return "at", fmt.Errorf("it must be before the end of the scenario, %v", time.Duration(s.Length))
	}
	if on == emulator.OnZone && len(fault.Where) == 0 {
		return "where", errors.New("it must name at least one zone")
	}
	for _, target := range fault.Where {
		if err := s.checkTarget(on, target); err != nil {
			return "where", err
		}
	}
	return "", nil
}

// checkTarget returns an error unless name is a possible target of a fault that affects targets of this kind.
func (s *Scenario) checkTarget(kind emulator.Target, name string) error {
	isZone := slices.Contains(s.Fleet.Zones, name)
	switch {
	case kind == emulator.OnExecutors && !isZone && !isNumbered(name, "e", s.Fleet.Executors):
		return fmt.Errorf("%q is neither an executor, e0 to e%d, nor a zone", name, s.Fleet.Executors-1)
	case kind == emulator.OnNodes && !isZone && !isNumbered(name, "n", s.Fleet.Nodes):
		return fmt.Errorf("%q is neither a node, n0 to n%d, nor a zone", name, s.Fleet.Nodes-1)
	case kind == emulator.OnZone && !isZone:
		return fmt.Errorf("%q is not one of the zones %v", name, s.Fleet.Zones)
	case kind == emulator.OnAll:
		return fmt.Errorf("a fault of this kind always affects everything and can't be limited to %q", name)
	}
	return nil
}

// isNumbered returns whether the name is the letter followed by a number below count.
func isNumbered(name, letter string, count int) bool {
	digits, found := strings.CutPrefix(name, letter)
	n, err := strconv.Atoi(digits)
	return found && err == nil && n >= 0 && n < count
}
