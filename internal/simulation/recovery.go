package simulation

import (
	"time"
)

const (
	settlingTime   = 3 * time.Second // time from the start of a simulation until the nodes' estimates have settled
	recoveryWindow = 3               // length of the window over which the earned fraction is compared, in seconds
)

// Recovery returns the time from the end of the last fault until the simulation has recovered. It has recovered at the
// start of the first recoveryWindow in which the earned fraction of the value is at most tolerance below the fraction
// before the first fault. ok is false if there is no such window before the end of the simulation. The first fault must
// begin later than settlingTime, and the result must come from Play.
func (r *Result) Recovery(faults []Fault, tolerance float64) (recovery time.Duration, ok bool) {
	first, last := time.Duration(r.Length), time.Duration(0)
	for _, fault := range faults {
		first = min(first, time.Duration(fault.At))
		last = max(last, time.Duration(fault.At+fault.For))
	}
	before := r.earnedOver(int(settlingTime/time.Second), int(first/time.Second))
	from := int((last + time.Second - 1) / time.Second)
	for at := from; at+recoveryWindow <= int(time.Duration(r.Length)/time.Second); at++ {
		if r.earnedOver(at, at+recoveryWindow) >= before-tolerance {
			return time.Duration(at)*time.Second - last, true
		}
	}
	return 0, false
}
