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
	maxShareError = 0.001 // by which the classes' shares may differ from 1 in sum
)

// check returns the first thing in a scenario that makes no sense, and where it stands.
func (s *Scenario) check() (tomlfile.Position, error) {
	for _, check := range []func() (tomlfile.Position, error){s.checkBounds, s.checkClasses, s.checkFaults} {
		if at, err := check(); err != nil {
			return at, err
		}
	}
	return tomlfile.Position{}, nil
}

// checkBounds checks the bounds of single values.
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
		{f.QueueLimit < 0, "fleet", "queue", "not under 0"},
		{f.Speed <= 0, "fleet", "speed", "over 0"},
		{f.SpeedSpread < 0 || f.SpeedSpread >= 1, "fleet", "spread", "from 0 to under 1"},
		{f.SlowShare < 0 || f.SlowShare > 1, "fleet", "slow-part", "a part, from 0 to 1"},
		{f.SlowShare > 0 && f.SlowSpeed <= 0, "fleet", "slow-speed", "over 0 where slow-part is"},
		{f.AttemptNoise < 0 || f.AttemptNoise > 3, "fleet", "attempt-noise", "from 0 to 3"},
		{f.NoWeights && f.WeightInterval > 0, "fleet", "no-weights", "false where weights-every is over 0"},
		{f.CellSize < 1, "fleet", "cell-of", "at least 1"},
		{f.SlowStartCapacity <= 0 || f.SlowStartCapacity > 1, "fleet", "cold-share", "over 0 and at most 1"},
		{f.OverloadMultiple < 0, "fleet", "fall-multiple", "not under 0"},
		{f.DialTimeout <= 0, "fleet", "dial-limit", "over 0"},
		{f.IdleTimeout <= 0, "fleet", "idle-limit", "over 0"},
		{f.MaxExecutorConns < 1, "fleet", "conns", "at least 1"},
		{f.ReportInterval <= 0, "fleet", "report-every", "over 0"},
		{f.MaxAttempts < 1, "fleet", "allocations", "at least 1"},
		{f.MaxNodeConns < 1, "fleet", "node-conns", "at least 1"},
		{f.MessageLoss < 0 || f.MessageLoss > 1, "fleet", "words-lost", "a part, from 0 to 1"},
		{f.MessageDuplication < 0 || f.MessageDuplication > 1, "fleet", "words-doubled", "a part, from 0 to 1"},
		{l.Utilization < 0 || l.Utilization > 50, "load", "of", "from 0 to 50"},
		{l.Utilization == 0 && l.Loops == 0, "load", "of", "over 0, or loops over 0: nobody would hand anything in"},
		{l.Loops < 0, "load", "loops", "not under 0"},
		{len(l.ZoneWeights) > 0 && len(l.ZoneWeights) != len(f.Zones), "load", "zones", fmt.Sprintf("a figure for each of the %d zones", len(f.Zones))},
		{slices.ContainsFunc(l.ZoneWeights, func(x float64) bool { return x < 0 }), "load", "zones", "not under 0"},
		{l.Retries < 0 || l.Retries > 20, "load", "retries", "from 0 to 20"},
		{l.NodeSkew < 0 || l.NodeSkew > 3, "load", "node-skew", "from 0 to 3"},
		{l.LeaveRate < 0 || l.LeaveRate > 1, "load", "leaves", "a part, from 0 to 1"},
		{l.RepeatIDRate < 0 || l.RepeatIDRate > 1, "load", "repeats-ids", "a part, from 0 to 1"},
		{l.MalformedRate < 0 || l.MalformedRate > 1000, "load", "bad", "from 0 to 1000"},
		{l.BodyBytes < 0 || l.BodyBytes > 64<<10, "load", "body", "from 0 to 65536"},
	} {
		if check.wrong {
			return tomlfile.Position{Table: check.table, Index: -1, Key: check.key}, fmt.Errorf("it must be %s", check.want)
		}
	}
	return tomlfile.Position{}, nil
}

// checkClasses checks each job class, and that their shares come to 1.
func (s *Scenario) checkClasses() (tomlfile.Position, error) {
	sum := 0.0
	for i, class := range s.Classes {
		sum += class.Share
		if key, err := class.check(); err != nil {
			return tomlfile.Position{Table: "track", Index: i, Key: key}, err
		}
	}
	if sum < 1-maxShareError || sum > 1+maxShareError {
		return tomlfile.Position{Table: "track", Index: 0, Key: "share"}, fmt.Errorf("the shares of all tracks come to %.3g and not to 1", sum)
	}
	return tomlfile.Position{}, nil
}

// check returns the first thing in a class that makes no sense, and its key.
func (t *JobClass) check() (key string, err error) {
	_, isIdempotency := idempotencyNames[t.Idempotency]
	_, isDedupGroup := dedupGroupNames[t.DedupGroup]
	switch {
	case t.Share < 0:
		return "share", errors.New("under 0")
	case !isIdempotency:
		return "repeat", fmt.Errorf("%q is none of repeatable, tagged and once-only", t.Idempotency)
	case !isDedupGroup:
		return "group", fmt.Errorf("%q is none of all, zone and cell", t.DedupGroup)
	case t.Idempotency == idempotentWithKey && t.DedupWindow <= 0:
		return "window", errors.New("a tagged track needs one over 0")
	case t.Work <= 0:
		return "work", errMissing
	case t.LatencyObjective <= 0:
		return "quoted", errMissing
	case t.Deadline <= 0:
		return "outer-limit", errMissing
	case t.LatencyObjective > t.Deadline:
		return "quoted", errors.New("it is over the outer limit; were the two mixed up?")
	case t.Value <= 0:
		return "earnings", errMissing
	}
	return "", nil
}

var errMissing = errors.New("missing, or not over 0")

// checkFaults checks the script.
func (s *Scenario) checkFaults() (tomlfile.Position, error) {
	for i, fault := range s.Faults {
		if key, err := s.checkFault(fault); err != nil {
			return tomlfile.Position{Table: "fault", Index: i, Key: key}, err
		}
	}
	return tomlfile.Position{}, nil
}

// checkFault returns the first thing in a fault that makes no sense, and its key.
func (s *Scenario) checkFault(fault Fault) (key string, err error) {
	on, ok := fault.Kind.On()
	if !ok {
		return "kind", fmt.Errorf("%q is none of %v", fault.Kind, emulator.Kinds())
	}
	if err := fault.Kind.CheckSize(fault.Size); err != nil {
		return "size", err
	}
	if fault.At >= s.Length {
		return "at", fmt.Errorf("it is not before the end, at %v", time.Duration(s.Length))
	}
	if on == emulator.OnZone && len(fault.Where) == 0 {
		return "where", errors.New("a zone is missing")
	}
	for _, target := range fault.Where {
		if err := s.checkTarget(on, target); err != nil {
			return "where", err
		}
	}
	return "", nil
}

// checkTarget says what is wrong with the name of something that a fault is to be on.
func (s *Scenario) checkTarget(on emulator.Target, name string) error {
	isZone := slices.Contains(s.Fleet.Zones, name)
	switch {
	case on == emulator.OnExecutors && !isZone && !isNumbered(name, "e", s.Fleet.Executors):
		return fmt.Errorf("%q is neither an executor, e0 to e%d, nor a zone", name, s.Fleet.Executors-1)
	case on == emulator.OnNodes && !isZone && !isNumbered(name, "n", s.Fleet.Nodes):
		return fmt.Errorf("%q is neither a node, n0 to n%d, nor a zone", name, s.Fleet.Nodes-1)
	case on == emulator.OnZone && !isZone:
		return fmt.Errorf("%q is none of the zones %v", name, s.Fleet.Zones)
	case on == emulator.OnAll:
		return fmt.Errorf("this kind is on all; %q can't be picked", name)
	}
	return nil
}

// isNumbered says whether a name is a letter and a number under count.
func isNumbered(name, letter string, count int) bool {
	digits, found := strings.CutPrefix(name, letter)
	n, err := strconv.Atoi(digits)
	return found && err == nil && n >= 0 && n < count
}
