package simulation

import (
	"time"
)

const (
	settlingTime   = 3 * time.Second // after a world's start; estimates are settled then
	recoveryWindow = 3               // seconds over which service must have recovered
)

// Recovery is the time from the end of the last fault until the share of value earned was at most tolerance under that before the first
// fault, over recoveryWindow. It is false if that never was, or if no fault ends within the world. The first fault must begin later than
// settlingTime, and the result must be one that Play returned.
func (r *Result) Recovery(faults []Fault, tolerance float64) (time.Duration, bool) {
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
