package durable

import (
	"birchstair/internal/leases"
	"birchstair/policy"
)

// StateMachineID returns the ID of a durable job in the node's state machine.
func StateMachineID(id string) policy.JobID { return stateMachineID(leases.ID(id)) }

// CallID returns the ID at executors of a durable job by its ID in the state machine. durable is false for an ordinary job.
func CallID(job policy.JobID) (call policy.JobID, durable bool) {
	id, durable := durableID(job)
	return callID(id), durable
}

// Fault is a defect that tests inject into a Manager.
type Fault int

// The faults.
const (
	NoFault           Fault = iota
	AckBeforeWrite          // acknowledge a submission before its record is synced
	SendBeforeWrite         // send an attempt before its record is synced
	OmitEpoch               // send attempts without an epoch
	AllEndsAsNeverRan       // treat every attempt that ends as one that never ran
)

// InjectFault injects a fault. NoFault injects none.
func (m *Manager) InjectFault(fault Fault) {
	switch fault {
	case AckBeforeWrite:
		m.faults.ackBeforeWrite = true
	case SendBeforeWrite:
		m.faults.sendBeforeWrite = true
	case OmitEpoch:
		m.faults.omitEpoch = true
	case AllEndsAsNeverRan:
		m.faults.allEndsAsNeverRan = true
	}
}
