package simulation

import (
	"slices"
	"time"

	"birchstair/internal/invariants"
)

// Shrink looks for the smallest world, in faults first and then in all else, that with the same seed still breaks the
// same rule. It tells of each step that helped.
func Shrink(s Scenario, seed uint64, rule invariants.Rule, tell func(Scenario)) Scenario {
	return shrink(s, func(try Scenario) bool {
		r := New(try, seed, Options{Most: 1}).Play()
		return slices.ContainsFunc(r.Broken, func(b invariants.Broken) bool { return b.Rule == rule })
	}, tell)
}

// shrink looks for the smallest world that still breaks something; one that does not at all stays as it is.
func shrink(s Scenario, breaks func(Scenario) bool, tell func(Scenario)) Scenario {
	if !breaks(s) {
		return s
	}
	take := func(try Scenario) bool {
		if _, err := try.check(); err != nil || !breaks(try) {
			return false
		}
		s = try
		tell(s)
		return true
	}
	for again := true; again; {
		again = fewerFaults(&s, take)
		for _, smaller := range smallerScenarios(s) {
			if take(smaller) {
				again = true
				break
			}
		}
	}
	return s
}

// fewerFaults takes out as many faults as it can: halves first, then smaller parts.
func fewerFaults(s *Scenario, take func(Scenario) bool) (any bool) {
	for part := (len(s.Faults) + 1) / 2; part > 0 && len(s.Faults) > 0; {
		helped := false
		for i := 0; i < len(s.Faults); i += part {
			try := *s
			try.Faults = slices.Delete(slices.Clone(s.Faults), i, min(i+part, len(s.Faults)))
			if take(try) {
				helped, any = true, true
				break
			}
		}
		if !helped {
			if part == 1 {
				break
			}
			part = (part + 1) / 2
		}
		part = min(part, len(s.Faults))
	}
	return any
}

// smallerScenarios are worlds that are a step smaller, those that save most first.
func smallerScenarios(s Scenario) (all []Scenario) {
	with := func(change func(*Scenario)) {
		try := s
		try.Faults, try.Tracks = slices.Clone(s.Faults), slices.Clone(s.Tracks)
		change(&try)
		all = append(all, try)
	}
	second := Span(time.Second)
	for _, part := range []Span{2, 4, 8} {
		if cut := s.Length / part; cut >= second/10 {
			with(func(t *Scenario) {
				t.Length -= cut
				t.Faults = slices.DeleteFunc(t.Faults, func(f Fault) bool { return f.At >= t.Length })
			})
		}
	}
	for i, f := range s.Faults {
		if f.For > second/10 {
			with(func(t *Scenario) { t.Faults[i].For = roundToMillisecond(f.For / 2) })
		}
		if len(f.Where) > 1 {
			for j := range f.Where {
				with(func(t *Scenario) { t.Faults[i].Where = slices.Delete(slices.Clone(f.Where), j, j+1) })
			}
		}
	}
	if len(s.Tracks) > 1 {
		for i, gone := range s.Tracks {
			with(func(t *Scenario) {
				t.Tracks = slices.Delete(t.Tracks, i, i+1)
				for j := range t.Tracks {
					t.Tracks[j].Share /= 1 - gone.Share
				}
			})
		}
	}
	for _, simpler := range []func(*Scenario){
		func(t *Scenario) { t.Load.RepeatsIDs = 0 },
		func(t *Scenario) { t.Load.Leaves = 0 },
		func(t *Scenario) { t.Load.Loops = 0 },
		func(t *Scenario) { t.Load.Retries = 0 },
		func(t *Scenario) { t.Fleet.WeightsEvery = 0 },
		func(t *Scenario) { t.Fleet.Nodes-- },
		func(t *Scenario) { t.Fleet.Executors-- },
	} {
		with(simpler)
	}
	return slices.DeleteFunc(all, func(t Scenario) bool { return sameText(t, s) })
}

func roundToMillisecond(s Span) Span { return Span(time.Duration(s).Round(time.Millisecond)) }

// sameText says whether two worlds are written alike.
func sameText(a, b Scenario) bool {
	x, _ := a.Text()
	y, _ := b.Text()
	return string(x) == string(y)
}
