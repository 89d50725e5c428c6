package simulation

import (
	"cmp"
	"slices"
	"time"
)

// Offer is the demand of a work item: when it arrived, its latency objective, its work and its value.
type Offer struct {
	ArrivedAt, Objective time.Duration // the work earns its value if it is completed between these times
	Work                 float64       // work in seconds on a standard core
	Value                float64
}

// Bin is the length of the time bins in which capacity is counted.
const Bin = 250 * time.Millisecond

// Best returns an upper bound of the value that any policy could earn with the capacity, which is the possible work in each bin. It places
// the offers with the highest value density first, each into the earliest bins between its arrival and its objective that have capacity left.
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

// sampleCapacity adds the bin that begins now, with the capacity of the working executors that a running node can reach.
func (r *Result) sampleCapacity(sim *Simulation) {
	capacity := 0.0
	for _, x := range sim.executors {
		faults := x.Faults()
		if !x.Up || x.unreachable || x.Draining || faults.Unresponsive || !sim.reachable(x) {
			continue
		}
		fraction := (1 - faults.ErrorRate) * (1 - faults.NeighborShare/2) / max(1, faults.Slow)
		if faults.StallEvery > 0 {
			fraction *= 1 - faults.StallFor.Seconds()/faults.StallEvery.Seconds()
		}
		capacity += x.Capacity(sim.now) * fraction
	}
	r.capacity = append(r.capacity, capacity*Bin.Seconds())
}

// reachable returns whether any running node may send to the executor: their zones are linked, and operators have not excluded it there.
func (sim *Simulation) reachable(x *executor) bool {
	for _, n := range sim.nodes {
		_, excluded := n.excluded[x.ID]
		if n.up && !n.suspended && !excluded && sim.linked(n.zone, x.Zone) {
			return true
		}
	}
	return false
}
