package durable

import "birchstair/policy"

// StateMachineID returns the ID in the node's state machine of a durable job that is stored with a lease.
func (m *Manager) StateMachineID(id string) policy.JobID {
	stored, _ := m.store.Get(id)
	return stateMachineID(storedLease(stored))
}

// CallID returns the ID at executors of a durable job by its ID in the state machine. durable is false for an ordinary job.
func CallID(job policy.JobID) (call policy.JobID, durable bool) {
	lease, durable := durableLease(job)
	return callID(lease), durable
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
