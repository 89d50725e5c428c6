package durable

// InjectFault injects a fault by its name.
func (m *Manager) InjectFault(name string) {
	switch name {
	case "acknowledges first":
		m.faults.ackBeforeWrite = true
	case "sends first":
		m.faults.sendBeforeWrite = true
	case "sends without an epoch":
		m.faults.omitEpoch = true
	case "takes any end for a proof":
		m.faults.allEndsAsNeverRan = true
	}
}
