package simulation

import (
	"cmp"
	"slices"
	"time"
)

// Offer is work that was wanted, from when until when it earned.
type Offer struct {
	Came, Until time.Duration
	Work, Earns float64
}

// Bin is the span of time for which capacity is booked.
const Bin = 250 * time.Millisecond

// Best is the most that could have been earned with a capacity, in work for each bin: what earns most for its work first, each in the first bins of its
// time that have room left.
func Best(offers []Offer, capacity []float64) float64 {
	left := slices.Clone(capacity)
	offers = slices.Clone(offers)
	slices.SortStableFunc(offers, func(a, b Offer) int { return cmp.Compare(b.Earns/b.Work, a.Earns/a.Work) })
	sum := 0.0
	for _, o := range offers {
		work := o.Work
		for i := int(o.Came / Bin); i <= int(o.Until/Bin) && i < len(left) && work > 0; i++ {
			x := min(work, left[i])
			left[i] -= x
			work -= x
		}
		sum += o.Earns * (1 - work/o.Work)
	}
	return sum
}

// sampleCapacity books what could be done in the bin that begins now: by executors that take and answer, that some node which lives can reach.
func (r *Result) sampleCapacity(w *World) {
	can := 0.0
	for _, x := range w.executors {
		t := x.Trouble()
		if !x.Up || x.unreachable || x.Drains || t.Mute || !w.reachable(x) {
			continue
		}
		part := (1 - t.Errors) * (1 - t.Neighbour/2) / max(1, t.Slow)
		if t.StallEvery > 0 {
			part *= 1 - t.StallFor.Seconds()/t.StallEvery.Seconds()
		}
		can += x.Capacity(w.now) * part
	}
	r.capacity = append(r.capacity, can*Bin.Seconds())
}

// reachable says whether a node lives that may send to an executor: there is a way, and operators have not taken it out there.
func (w *World) reachable(x *executor) bool {
	for _, n := range w.nodes {
		_, out := n.excluded[x.ID]
		if n.up && !n.suspended && !out && w.linked(n.zone, x.Zone) {
			return true
		}
	}
	return false
}
