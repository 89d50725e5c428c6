package simulation

import (
	"bytes"
	"slices"
	"time"

	"birchstair/internal/invariants"
)

// Shrink looks for the smallest scenario, in faults first and then in all else, that still violates an invariant with the same seed. It
// calls step with each smaller one that it finds, and returns the last; s itself if that does not violate it.
func Shrink(s Scenario, seed uint64, rule invariants.Rule, step func(Scenario)) Scenario {
	return shrink(s, func(candidate Scenario) bool {
		r := New(candidate, seed, Options{MaxViolations: 1}).Play()
		return slices.ContainsFunc(r.Violations, func(b invariants.Violation) bool { return b.Rule == rule })
	}, step)
}

// shrink looks for the smallest scenario that still fails.
func shrink(s Scenario, fails func(Scenario) bool, step func(Scenario)) Scenario {
	if !fails(s) {
		return s
	}
	take := func(candidate Scenario) bool {
		if _, err := candidate.check(); err != nil || !fails(candidate) {
			return false
		}
		s = candidate
		step(s)
		return true
	}
	for again := true; again; {
		again = removeFaults(&s, take)
		if slices.ContainsFunc(smallerScenarios(s), take) {
			again = true
		}
	}
	return s
}

// removeFaults removes as many faults as it can: halves first, then smaller groups. It says whether it removed any.
func removeFaults(s *Scenario, take func(Scenario) bool) (any bool) {
	for group := (len(s.Faults) + 1) / 2; group > 0 && len(s.Faults) > 0; {
		if removeGroup(s, group, take) {
			any = true
		} else if group == 1 {
			break
		} else {
			group = (group + 1) / 2
		}
		group = min(group, len(s.Faults))
	}
	return any
}

// removeGroup removes the first group of so many faults without which the scenario still fails.
func removeGroup(s *Scenario, size int, take func(Scenario) bool) bool {
	for i := 0; i < len(s.Faults); i += size {
		candidate := *s
		candidate.Faults = slices.Delete(slices.Clone(s.Faults), i, min(i+size, len(s.Faults)))
		if take(candidate) {
			return true
		}
	}
	return false
}

// minShrunk is the least duration to which lengths and faults are shortened.
const minShrunk = Span(100 * time.Millisecond)

// candidates collects scenarios that are a step smaller than one.
type candidates struct {
	base Scenario
	all  []Scenario
}

func (c *candidates) add(change func(*Scenario)) {
	candidate := c.base
	candidate.Faults, candidate.Classes = slices.Clone(c.base.Faults), slices.Clone(c.base.Classes)
	change(&candidate)
	c.all = append(c.all, candidate)
}

// smallerScenarios are scenarios that are a step smaller, those that save most first.
func smallerScenarios(s Scenario) []Scenario {
	c := &candidates{base: s}
	c.addShorter()
	c.addSmallerFaults()
	c.addFewerClasses()
	for _, simpler := range []func(*Scenario){
		func(s *Scenario) { s.Load.RepeatIDRate = 0 },
		func(s *Scenario) { s.Load.LeaveRate = 0 },
		func(s *Scenario) { s.Load.Loops = 0 },
		func(s *Scenario) { s.Load.Retries = 0 },
		func(s *Scenario) { s.Fleet.WeightInterval = 0 },
		func(s *Scenario) { s.Fleet.Nodes-- },
		func(s *Scenario) { s.Fleet.Executors-- },
	} {
		c.add(simpler)
	}
	return slices.DeleteFunc(c.all, func(candidate Scenario) bool { return sameText(candidate, s) })
}

// addShorter shortens the world.
func (c *candidates) addShorter() {
	for _, divisor := range []Span{2, 4, 8} {
		if saved := c.base.Length / divisor; saved >= minShrunk {
			c.add(func(s *Scenario) {
				s.Length -= saved
				s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.At >= s.Length })
			})
		}
	}
}

// addSmallerFaults shortens a fault, or takes it off one of its targets.
func (c *candidates) addSmallerFaults() {
	for i, fault := range c.base.Faults {
		if fault.For > minShrunk {
			c.add(func(s *Scenario) { s.Faults[i].For = roundToMillisecond(fault.For / 2) })
		}
		if len(fault.Where) > 1 {
			for j := range fault.Where {
				c.add(func(s *Scenario) { s.Faults[i].Where = slices.Delete(slices.Clone(fault.Where), j, j+1) })
			}
		}
	}
}

// addFewerClasses removes a class; the others get its share.
func (c *candidates) addFewerClasses() {
	if len(c.base.Classes) == 1 {
		return
	}
	for i, removed := range c.base.Classes {
		c.add(func(s *Scenario) {
			s.Classes = slices.Delete(s.Classes, i, i+1)
			for j := range s.Classes {
				s.Classes[j].Share /= 1 - removed.Share
			}
		})
	}
}

func roundToMillisecond(d Span) Span { return Span(time.Duration(d).Round(time.Millisecond)) }

// sameText says whether two scenarios are written alike. Scenarios whose text can't be written never are.
func sameText(a, b Scenario) bool {
	textA, errA := a.Text()
	textB, errB := b.Text()
	return errA == nil && errB == nil && bytes.Equal(textA, textB)
}
