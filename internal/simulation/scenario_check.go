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
	maxLength    = 24 * time.Hour
	maxNodes     = 1000
	maxExecutors = 20000
)

// check names the first place where a scenario makes no sense.
func (s *Scenario) check() (tomlfile.Place, error) {
	f, l := &s.Fleet, &s.Load
	for _, c := range []struct {
		bad        bool
		table, key string
		why        string
	}{
		{s.Length <= 0 || time.Duration(s.Length) > maxLength, "", "length", "over 0 and at most 24h"},
		{len(f.Zones) == 0, "fleet", "zones", "at least one"},
		{f.Nodes < 1 || f.Nodes > maxNodes, "fleet", "nodes", fmt.Sprint("from 1 to ", maxNodes)},
		{f.Executors < 1 || f.Executors > maxExecutors, "fleet", "executors", fmt.Sprint("from 1 to ", maxExecutors)},
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
			return tomlfile.Place{Table: c.table, Index: -1, Key: c.key}, fmt.Errorf("it must be %s", c.why)
		}
	}
	sum := 0.0
	for i, t := range s.Tracks {
		at := func(key string) tomlfile.Place { return tomlfile.Place{Table: "track", Index: i, Key: key} }
		sum += t.Share
		_, isRepeat := idempotencyNames[t.Repeat]
		_, isGroup := dedupGroupNames[t.Group]
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
		return tomlfile.Place{Table: "track", Index: 0, Key: "share"}, fmt.Errorf("the shares of all tracks come to %.3g and not to 1", sum)
	}
	for i, x := range s.Faults {
		at := func(key string) tomlfile.Place { return tomlfile.Place{Table: "fault", Index: i, Key: key} }
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
	return tomlfile.Place{}, nil
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
