package durable

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
