package durable

import (
	"slices"
	"time"

	"birchstair/internal/leases"
	"birchstair/internal/store"
	"birchstair/policy"
)

// ClassPrefix and the name of an ordinary job class together form the name of the durable class.
const ClassPrefix = "durable/"

// jobClass holds the properties of a durable job class that the manager uses.
type jobClass struct {
	id          policy.JobClassID // ID of the durable class in the node's state machine
	keyRequired bool              // a submission without an idempotency key is rejected
	lease       leases.JobClass   // properties that determine what happens to a job whose attempt may have run
	removed     bool              // the class is no longer configured; jobs in the store continue, new jobs are rejected
}

// newJobClass returns the durable class for an ordinary job class. id is the ID of the durable class.
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

// retryTerms returns the terms of a class as they are stored with each job.
func retryTerms(class leases.JobClass) *store.RetryTerms {
	return &store.RetryTerms{
		Idempotency: uint8(class.Idempotency),
		DedupGroup:  uint8(class.DedupGroup),
		DedupWindow: class.DedupWindow,
	}
}

// storedClass returns the class of a job with these terms. Records of earlier versions have no terms. A job of theirs is taken for
// at most once, the strictest class, because it is unknown what was promised when it was accepted.
func storedClass(terms *store.RetryTerms) leases.JobClass {
	if terms == nil {
		return leases.JobClass{Idempotency: policy.AtMostOnce}
	}
	return leases.JobClass{
		Idempotency: policy.Idempotency(terms.Idempotency),
		DedupGroup:  policy.DedupGroup(terms.DedupGroup),
		DedupWindow: terms.DedupWindow,
	}
}

// AddClasses appends a durable class for each ordinary class. A durable class has maxDeadline as its deadline and as its latency
// objective, so that a durable job that finishes before maxDeadline counts as on time.
func AddClasses(settings policy.Settings, maxDeadline time.Duration) policy.Settings {
	for _, class := range slices.Clone(settings.JobClasses) {
		class.ExpectedWork = class.LatencyObjective // kept from the ordinary class, because maxDeadline says nothing about the work
		class.Deadline = maxDeadline
		class.LatencyObjective = maxDeadline
		class.RunTimeFactor = 0
		class.LateValue = 0
		settings.JobClasses = append(settings.JobClasses, class)
	}
	return settings
}
