package simulation

import (
	"time"
)

const (
	settlingTime   = 3 * time.Second // time from the start until nodes' estimates have settled
	recoveryWindow = 3               // number of seconds over which the earned fraction must have recovered
)

// Recovery returns the time from the end of the last fault until the earned fraction of the value, over recoveryWindow, is back within
// tolerance of the fraction before the first fault. ok is false if it never recovers, or if the last fault ends too late to tell. The first
// fault must begin later than settlingTime, and the result must be one that Play returned.
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
