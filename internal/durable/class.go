package durable

import (
	"slices"
	"time"

	"birchstair/internal/leases"
	"birchstair/policy"
)

// ClassPrefix begins the name of the durable job class that belongs to an ordinary one.
const ClassPrefix = "durable/"

// jobClass is what the manager needs of a durable job class.
type jobClass struct {
	id          policy.JobClassID // the reducer's
	keyRequired bool              // submissions must carry an idempotency key
	lease       leases.JobClass
	dropped     bool // not configured any more: jobs in the store go on, new ones are refused
}

// newJobClass makes the durable class with that id of an ordinary one.
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

// AddClasses appends a durable class for each ordinary one. Its deadline and its latency objective are maxDeadline, so that a durable job
// counts as in time for as long as it may run.
func AddClasses(settings policy.Settings, maxDeadline time.Duration) policy.Settings {
	for _, class := range slices.Clone(settings.JobClasses) {
		class.ExpectedWork = class.LatencyObjective // an objective of hours says nothing about the work
		class.Deadline = maxDeadline
		class.LatencyObjective = maxDeadline
		class.RunTimeFactor = 0
		class.LateValue = 0
		settings.JobClasses = append(settings.JobClasses, class)
	}
	return settings
}
