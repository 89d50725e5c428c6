package simulation

import (
	"bytes"
	"slices"
	"time"

	"birchstair/internal/invariants"
)

// Shrink reduces a scenario as long as it still violates the given invariant with the same seed. It reduces the faults
// first, and then the rest. It calls step with each smaller scenario that it finds, and returns the last of them. If s
// itself does not violate the invariant, Shrink returns s.
func Shrink(s Scenario, seed uint64, rule invariants.Rule, step func(Scenario)) Scenario {
	return shrink(s, func(candidate Scenario) bool {
		r := New(candidate, seed, Options{MaxViolations: 1}).Play()
		return slices.ContainsFunc(r.Violations, func(b invariants.Violation) bool { return b.Rule == rule })
	}, step)
}

// shrink reduces a scenario as long as fails returns true for the smaller scenario.
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

// removeFaults removes as many faults as possible. It first tries to remove half of them at once, and then smaller
// groups. It returns whether it removed any.
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

// removeGroup divides the faults into groups of the given size, and removes the first group without which the scenario
// still fails. It returns false if there is no such group.
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

// minShrunk is the shortest duration to which the length and the faults of a scenario are reduced.
const minShrunk = Span(100 * time.Millisecond)

// candidates collects scenarios that are one step smaller than base.
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

// smallerScenarios returns scenarios that are one step smaller than s. Shorter scenarios come first, then those with
// smaller faults, with fewer job classes, and with simpler settings.
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

// addShorter adds scenarios of a shorter length, the shortest first. They do not have the faults that would begin after
// their end.
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

// addSmallerFaults adds scenarios in which one fault has half its duration, or affects one target fewer.
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

// addFewerClasses adds scenarios without one of the job classes. The share of the removed class is spread over the
// other classes.
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

// sameText returns whether two scenarios have the same text in TOML. It returns false if a scenario can't be encoded.
func sameText(a, b Scenario) bool {
	textA, errA := a.Text()
	textB, errB := b.Text()
	return errA == nil && errB == nil && bytes.Equal(textA, textB)
}
