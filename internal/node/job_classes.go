package node

import (
	"fmt"
	"slices"
	"strings"

	"birchstair/policy"
)

// numberJobClasses makes these the current tracks, and gives what changes for the module. One that is as it was keeps its number;
// any other gets the next, so that batch jobs in hand, and those still on their way from the front, keep what they came
// with.
func (n *Node) numberJobClasses(tracks []JobClass) (changes []policy.JobClassUpdate) {
	var current []NumberedClass
	for _, t := range tracks {
		from, known := n.lastIDByName[t.Name]
		if !known {
			from = policy.NoJobClass
		}
		c := policy.JobClassUpdate{ID: policy.JobClassID(len(n.metricsIndex)), Replaces: from, JobClass: t.JobClass}
		if i := slices.IndexFunc(n.current, func(old NumberedClass) bool { return old.JobClass == t }); i >= 0 {
			c.ID = n.current[i].ID
		} else {
			n.metricsIndex = append(n.metricsIndex, n.metricsIndexOf(t.Name))
			n.idempotency = append(n.idempotency, t.Idempotency)
		}
		n.lastIDByName[t.Name] = c.ID
		changes = append(changes, c)
		current = append(current, NumberedClass{c.ID, t})
	}
	n.current = current
	return changes
}

// JobClasses are the current tracks with their numbers.
func (n *Node) JobClasses() []NumberedClass { return n.current }

// updateJobClasses takes up the tracks of another configuration. The module, this node and the front change in one step.
func (n *Node) updateJobClasses(ev ConfigReloaded) {
	n.limits.MaxWork, n.limits.ShutdownTimeout = ev.MaxWork, ev.ShutdownTimeout
	if slices.EqualFunc(n.current, ev.Classes, func(a NumberedClass, b JobClass) bool { return a.JobClass == b }) {
		return
	}
	n.policy.UpdateJobClasses(n.now, n.numberJobClasses(ev.Classes))
	n.emit(Log{Text: fmt.Sprintf("there are %d tracks from now on", len(n.current))})
	n.emit(UpdateJobClasses{n.current})
}

// configReloaded takes in a configuration that was read again: the list comes from the address that it names, the tracks are
// its, and nothing in hand is touched. One that makes no sense changes nothing.
func (n *Node) configReloaded(ev ConfigReloaded) {
	if ev.Detail != "" {
		n.metrics.ReloadsRejected++
		n.emit(Log{Text: "the configuration stays as it was: " + ev.Detail})
		return
	}
	n.metrics.ReloadsApplied++
	n.emit(Log{Text: "the configuration was read again; the list comes from " + ev.Discovery})
	if len(ev.NeedRestart) > 0 {
		n.emit(Log{Text: "changed, and taken up at the next start: " + strings.Join(ev.NeedRestart, ", ")})
	}
	n.updateJobClasses(ev)
	n.emit(SwitchDiscovery{ev.Discovery})
}
