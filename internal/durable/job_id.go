package durable

import (
	"strings"

	"birchstair/internal/leases"
	"birchstair/policy"
)

const (
	// callIDPrefix is the prefix of the IDs of durable jobs at executors. A client can give the same ID to an ordinary job.
	callIDPrefix = "durable-"

	// stateMachineSuffix is the suffix of the IDs of durable jobs in the node's state machine. No ordinary job has it, because the
	// value of a header has no spaces around it (RFC 9110, section 5.5).
	stateMachineSuffix = " "
)

// callID returns the ID of a durable job at executors, which is the value of X-Call-Id.
func callID(id leases.ID) policy.JobID { return policy.JobID(callIDPrefix + id) }

// stateMachineID returns the ID of a durable job in the node's state machine, where it differs from the IDs of all ordinary jobs.
func stateMachineID(id leases.ID) policy.JobID { return callID(id) + stateMachineSuffix }

// durableID returns the ID of a durable job by its ID in the state machine. durable is false for an ordinary job.
func durableID(job policy.JobID) (id leases.ID, durable bool) {
	name, durable := strings.CutSuffix(string(job), stateMachineSuffix)
	return leases.ID(strings.TrimPrefix(name, callIDPrefix)), durable
}
