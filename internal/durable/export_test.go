package durable

// Fault is a fault that tests inject.
type Fault int

// The faults.
const (
	NoFault           Fault = iota
	AckBeforeWrite          // acknowledges before the record is synced
	SendBeforeWrite         // sends an attempt before its record is synced
	OmitEpoch               // sends attempts without an epoch
	AllEndsAsNeverRan       // takes any end of an attempt for proof that it never ran
)

// InjectFault injects a fault.
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
