package simulation

import (
	"time"
)

// Recovery is how long after the last fault's end service was within near of what it was before the first one, over recoverySpell from then on; it says
// false where it never was, or where no fault ends inside the run.
func (r *Result) Recovery(faults []Fault, near float64) (time.Duration, bool) {
	first, last := time.Duration(r.Length), time.Duration(0)
	for _, f := range faults {
		first, last = min(first, time.Duration(f.At)), max(last, time.Duration(f.At+f.For))
	}
	over := func(from, to int) float64 {
		a, e := 0.0, 0.0
		for _, s := range r.seconds[max(0, from):min(to, len(r.seconds))] {
			a += s.valueOffered
			e += s.valueEarned
		}
		return ratio(e, a)
	}
	from := int((last + time.Second - 1) / time.Second)
	before := over(int(settlingTime/time.Second), int(first/time.Second))
	for at := from; at+recoveryWindow <= int(time.Duration(r.Length)/time.Second); at++ {
		if over(at, at+recoveryWindow) >= before-near {
			return time.Duration(at)*time.Second - last, true
		}
	}
	return 0, false
}

const (
	settlingTime   = 3 * time.Second // a world has found its feet by then
	recoveryWindow = 3               // seconds
)
