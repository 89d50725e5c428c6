package durable

import (
	"crypto/rand"
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

// newLease returns the lease of a job that is being accepted. It holds the client's ID, for people who read an executor's log, and a
// random part that no other accepted job has: not an earlier or later job with this ID, a job at another node, or one that is
// accepted by a node on a copy of the store.
func newLease(id leases.ID) leases.LeaseID {
	return leases.LeaseID(callIDPrefix + string(id) + "-" + rand.Text())
}

// callID returns the ID of a durable job at executors, which is the value of X-Call-Id.
func callID(lease leases.LeaseID) policy.JobID { return policy.JobID(lease) }

// stateMachineID returns the ID of a durable job in the node's state machine, where it differs from the IDs of all ordinary jobs.
func stateMachineID(lease leases.LeaseID) policy.JobID { return callID(lease) + stateMachineSuffix }

// durableLease returns the lease of a durable job by its ID in the state machine. durable is false for an ordinary job.
func durableLease(job policy.JobID) (lease leases.LeaseID, durable bool) {
	name, durable := strings.CutSuffix(string(job), stateMachineSuffix)
	return leases.LeaseID(name), durable
}
