package simulation

import (
	"cmp"
	"slices"
	"time"
)

// Offer is a work that clients wanted.
type Offer struct {
	ArrivedAt, Objective time.Duration // it earns its value within this time
	Work                 float64       // in seconds on a standard core
	Value                float64       // its value
}

// Bin is the length of the bins in which capacity is counted.
const Bin = 250 * time.Millisecond

// Best is an upper bound of the value that could have been earned with a capacity, given as work for each bin. Offers with most value
// for their work go first, each into the first bins of its time with capacity left.
func Best(offers []Offer, capacity []float64) float64 {
	left := slices.Clone(capacity)
	offers = slices.Clone(offers)
	slices.SortStableFunc(offers, func(a, b Offer) int { return cmp.Compare(b.Value/b.Work, a.Value/a.Work) })
	sum := 0.0
	for _, offer := range offers {
		work := offer.Work
		for bin := int(offer.ArrivedAt / Bin); bin <= int(offer.Objective/Bin) && bin < len(left) && work > 0; bin++ {
			done := min(work, left[bin])
			left[bin] -= done
			work -= done
		}
		sum += offer.Value * (1 - work/offer.Work)
	}
	return sum
}

// sampleCapacity adds the bin that begins now: the capacity of the executors that work and that a running node can reach.
func (r *Result) sampleCapacity(sim *Simulation) {
	capacity := 0.0
	for _, x := range sim.executors {
		trouble := x.Faults()
		if !x.Up || x.unreachable || x.Draining || trouble.Unresponsive || !sim.reachable(x) {
			continue
		}
		share := (1 - trouble.Errors) * (1 - trouble.Neighbor/2) / max(1, trouble.Slow)
		if trouble.StallEvery > 0 {
			share *= 1 - trouble.StallFor.Seconds()/trouble.StallEvery.Seconds()
		}
		capacity += x.Capacity(sim.now) * share
	}
	r.capacity = append(r.capacity, capacity*Bin.Seconds())
}

// reachable says whether a running node may send to an executor: their zones are linked, and operators have not excluded it there.
func (sim *Simulation) reachable(x *executor) bool {
	for _, n := range sim.nodes {
		_, excluded := n.excluded[x.ID]
		if n.up && !n.suspended && !excluded && sim.linked(n.zone, x.Zone) {
			return true
		}
	}
	return false
}
