package node

import (
	"fmt"
	"slices"

	"birchstair/policy"
)

// number makes these the current tracks, and gives what changes for the module. One that is as it was keeps its number;
// any other gets the next, so that batch jobs in hand, and those still on their way from the front, keep what they came
// with.
func (n *Node) number(tracks []JobClass) (changes []policy.JobClassUpdate) {
	var current []NumberedClass
	for _, t := range tracks {
		from, known := n.former[t.Name]
		if !known {
			from = policy.NoJobClass
		}
		c := policy.JobClassUpdate{ID: policy.JobClassID(len(n.booked)), Replaces: from, JobClass: t.JobClass}
		if i := slices.IndexFunc(n.tracks, func(old NumberedClass) bool { return old.JobClass == t }); i >= 0 {
			c.ID = n.tracks[i].ID
		} else {
			n.booked = append(n.booked, n.figuresOf(t.Name))
			n.repeats = append(n.repeats, t.Idempotency)
		}
		n.former[t.Name] = c.ID
		changes = append(changes, c)
		current = append(current, NumberedClass{c.ID, t})
	}
	n.tracks = current
	return changes
}

// JobClasses are the current tracks with their numbers.
func (n *Node) JobClasses() []NumberedClass { return n.tracks }

// figuresOf is where a track's figures stand; those of one that is dropped stay, and go on if it comes back.
func (n *Node) figuresOf(name string) int {
	f := &n.figures.Classes
	i := slices.IndexFunc(*f, func(t ClassMetrics) bool { return t.Name == name })
	if i < 0 {
		i = len(*f)
		*f = append(*f, ClassMetrics{Name: name})
	}
	return i
}

// retune takes up the tracks of another configuration. The module, this node and the front change in one step.
func (n *Node) retune(ev ConfigReloaded) {
	n.limits.MaxWork, n.limits.ShutdownTimeout = ev.MaxWork, ev.ShutdownTimeout
	if slices.EqualFunc(n.tracks, ev.Classes, func(a NumberedClass, b JobClass) bool { return a.JobClass == b }) {
		return
	}
	n.brain.UpdateJobClasses(n.now, n.number(ev.Classes))
	n.say(Log{Text: fmt.Sprintf("there are %d tracks from now on", len(n.tracks))})
	n.say(UpdateJobClasses{n.tracks})
}
