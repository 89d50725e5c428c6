package node

import (
	"slices"

	"birchstair/policy"
)

// jobClasses assigns an ID to each job class. The IDs of classes from earlier configurations stay valid.
//
// A class that a reload leaves unchanged keeps its ID. A new or changed class gets the next unused ID. So the jobs in
// flight, and the jobs still on their way from the frontend, keep the class with which they arrived.
type jobClasses struct {
	current      []NumberedClass
	idempotency  []policy.Idempotency         // idempotency of each class ever configured, indexed by the class's ID
	lastIDByName map[string]policy.JobClassID // newest ID of each class name ever configured
}

// set replaces the current classes. It returns the updates for the policy. It also returns the names of the classes that
// got new IDs, ordered by these IDs.
func (c *jobClasses) set(classes []JobClass) (updates []policy.JobClassUpdate, added []string) {
	var current []NumberedClass
	for _, class := range classes {
		replaces, known := c.lastIDByName[class.Name]
		if !known {
			replaces = policy.NoJobClass
		}
		id, unchanged := c.idOf(class)
		if !unchanged {
			id = policy.JobClassID(len(c.idempotency))
			c.idempotency = append(c.idempotency, class.Idempotency)
			added = append(added, class.Name)
		}
		c.lastIDByName[class.Name] = id
		updates = append(updates, policy.JobClassUpdate{ID: id, Replaces: replaces, JobClass: class.JobClass})
		current = append(current, NumberedClass{id, class})
	}
	c.current = current
	return updates, added
}

// idOf returns the ID of the current class that has the same name and settings, and false if there is none.
func (c *jobClasses) idOf(class JobClass) (id policy.JobClassID, ok bool) {
	i := slices.IndexFunc(c.current, func(old NumberedClass) bool { return old.JobClass == class })
	if i < 0 {
		return 0, false
	}
	return c.current[i].ID, true
}

// same reports whether the given classes are the current classes.
func (c *jobClasses) same(classes []JobClass) bool {
	return slices.EqualFunc(c.current, classes, func(a NumberedClass, b JobClass) bool { return a.JobClass == b })
}

// JobClasses returns the current job classes with their IDs.
func (n *Node) JobClasses() []NumberedClass { return n.classes.current }

// setJobClasses replaces the current classes, and adds the new ones to the metrics. It returns the update for the
// policy.
func (n *Node) setJobClasses(classes []JobClass) []policy.JobClassUpdate {
	updates, added := n.classes.set(classes)
	for _, name := range added {
		n.metrics.addClass(name)
	}
	return updates
}
