package simulation

import (
	"cmp"
	"slices"
	"time"
)

// Offer is the demand of a work item: when it arrived, its latency objective, its work and its value.
type Offer struct {
	ArrivedAt, Objective time.Duration // the work earns its value if it is completed between arrival and latency objective
	Work                 float64       // work in seconds on a standard core
	Value                float64
}

// Bin is the length of the time bins in which capacity is counted.
const Bin = 250 * time.Millisecond

// Best returns an upper bound of the value that any policy could earn. capacity is the work that can be done in each
// bin, in seconds on a standard core. Best places the offers in the order of their value density, highest first. It
// places each offer into the earliest bins that have capacity left, from the bin of its arrival to the bin of its
// latency objective.
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

// sampleCapacity adds a bin that begins now. Its capacity is that of all working executors to which at least one
// running node can send jobs.
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

// reachable returns whether at least one running node can send jobs to the executor. The zones of the node and the
// executor must be linked, and operators must not have excluded the executor at the node.
func (sim *Simulation) reachable(x *executor) bool {
	for _, n := range sim.nodes {
		_, excluded := n.excluded[x.ID]
		if n.up && !n.suspended && !excluded && sim.linked(n.zone, x.Zone) {
			return true
		}
	}
	return false
}
