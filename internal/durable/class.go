package durable

import (
	"slices"
	"time"

	"birchstair/internal/leases"
	"birchstair/policy"
)

// ClassPrefix is put before the name of an ordinary job class to form the name of its durable class.
const ClassPrefix = "durable/"

// jobClass holds the properties of a durable job class that the manager uses.
type jobClass struct {
	id          policy.JobClassID // ID of the class in the node's state machine
	keyRequired bool              // submissions must have an idempotency key
	lease       leases.JobClass   // how attempts that may have run are treated
	removed     bool              // the class is no longer configured: jobs in the store continue, new ones are rejected
}

// newJobClass returns the durable class of an ordinary one. id is the ID of the durable class.
func newJobClass(id policy.JobClassID, class policy.JobClass) jobClass {
	return jobClass{
		id:          id,
		keyRequired: class.Idempotency == policy.IdempotentWithKey,
		lease: leases.JobClass{
			Idempotency: class.Idempotency,
			DedupGroup:  class.DedupGroup,
			DedupWindow: class.DedupWindow,
		},
	}
}

// AddClasses appends a durable class for each ordinary one. Deadline and latency objective of a durable class are maxDeadline,
// so that a durable job counts as on time for as long as it may run.
func AddClasses(settings policy.Settings, maxDeadline time.Duration) policy.Settings {
	for _, class := range slices.Clone(settings.JobClasses) {
		class.ExpectedWork = class.LatencyObjective // not maxDeadline, which says nothing about the work
		class.Deadline = maxDeadline
		class.LatencyObjective = maxDeadline
		class.RunTimeFactor = 0
		class.LateValue = 0
		settings.JobClasses = append(settings.JobClasses, class)
	}
	return settings
}
