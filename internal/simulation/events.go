package simulation

import "time"

// scheduledEvent is a function to run at a given time. Events at the same instant run in the order of their tieBreak
// values, which depend on the seed.
type scheduledEvent struct {
	at       time.Duration
	tieBreak uint64
	run      func()
}

func (e *scheduledEvent) before(other *scheduledEvent) bool {
	return e.at < other.at || e.at == other.at && e.tieBreak < other.tieBreak
}

// eventHeap is a binary min-heap with the next event first. It does not use container/heap: the interface values of
// that package need an allocation for each event, and its interface calls would take a large fraction of a simulation's
// time.
type eventHeap []scheduledEvent

func (h *eventHeap) push(event scheduledEvent) {
	all := append(*h, event)
	i := len(all) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !event.before(&all[parent]) {
			break
		}
		all[i], i = all[parent], parent
	}
	all[i] = event
	*h = all
}

func (h *eventHeap) pop() scheduledEvent {
	all := *h
	first, last := all[0], len(all)-1
	moved := all[last]
	all[last] = scheduledEvent{}
	all = all[:last]
	*h = all
	if last == 0 {
		return first
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && all[child+1].before(&all[child]) {
			child++
		}
		if !all[child].before(&moved) {
			break
		}
		all[i], i = all[child], child
	}
	all[i] = moved
	return first
}

// at schedules a function to run at the given time, or now if that time has passed.
func (sim *Simulation) at(at time.Duration, run func()) {
	sim.scheduled++
	sim.events.push(scheduledEvent{max(at, sim.now), permute(sim.seed ^ sim.scheduled*scheduleGamma), run})
	if sim.networked != nil {
		sim.networked.eventScheduled()
	}
}

// after schedules a function after a delay.
func (sim *Simulation) after(delay time.Duration, run func()) { sim.at(sim.now+delay, run) }
