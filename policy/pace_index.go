package policy

import (
	"math"
	"time"
)

const (
	evenPaceBuckets    = 16 // buckets of equal width for the part of a pace that was seen
	halvingPaceBuckets = 24 // and buckets of half the width of the one before, below the first of them
)

// indexPace files an executor of the slice by its pace without what runs: that is its kind's, plus the difference
// of its own times the part that was seen of it.
func (d *Dispatcher) indexPace(e *executor, s *kindIndex) {
	if e.indexed.subsetRank < 0 {
		e.removeFrom(keyPace)
		return
	}
	seen, key := e.estimate.work/(e.estimate.work+1), floatKey(e.estimate.runTime)
	at := int(seen * evenPaceBuckets)
	switch {
	case e.estimate.work <= 0:
		at = len(s.paceBuckets) - 1
	case at > 0:
		at, key = min(at, evenPaceBuckets-1), floatKey(e.estimate.runTime/e.estimate.work)
	default:
		_, exp := math.Frexp(seen) // it is from half of that power on, and less than it
		at, key = min(evenPaceBuckets-4-exp, evenPaceBuckets+halvingPaceBuckets-1), floatKey(e.estimate.runTime/e.estimate.work)
	}
	s.paceBuckets[at].update(e, key)
}

// minPace is the least that the pace of an executor, and of those after it in its step, can be.
func (s *kindIndex) minPace(step, i int) float64 {
	k := s.stats.pace
	own := math.Float64frombits(uint64(s.paceBuckets[step].key(i)))
	if step == len(s.paceBuckets)-1 {
		return (k + own) * roundingDown
	}
	from, to := float64(step)/evenPaceBuckets, float64(step+1)/evenPaceBuckets
	if step >= evenPaceBuckets {
		to = math.Ldexp(1, evenPaceBuckets-4-step)
		if from = to / 2; step == len(s.paceBuckets)-2 {
			from = 0
		}
	}
	if own < k {
		from = to
	}
	return (k + (own-k)*from) * roundingDown
}

// paceLowerBound is a pace that none of the slice is under.
func (d *Dispatcher) paceLowerBound(id KindID, now time.Duration) float64 {
	d.reindexDirty(now)
	least := math.Inf(1)
	for _, s := range d.index.kinds {
		for step := range s.paceBuckets {
			if (id == AnyKind || id == s.id) && len(s.paceBuckets[step].executors) > 0 {
				least = min(least, s.minPace(step, 0))
			}
		}
	}
	return least
}

// lowestPace is the least pace of those of the slice that are up, infinite where there is none.
func (d *Dispatcher) lowestPace(id KindID, now time.Duration) float64 {
	d.reindexDirty(now)
	best := math.Inf(1)
	for _, s := range d.index.kinds {
		if id != AnyKind && id != s.id {
			continue
		}
		first, least := 0, math.Inf(1)
		for step := range s.paceBuckets {
			if len(s.paceBuckets[step].executors) > 0 {
				if to := s.minPace(step, 0); to < least {
					first, least = step, to
				}
			}
		}
		d.searchLowestPace(s, first, 0, &best, now)
		for step := range s.paceBuckets {
			if step != first {
				d.searchLowestPace(s, step, 0, &best, now)
			}
		}
	}
	return best
}

// searchLowestPace goes through a step of paces from its i-th on.
func (d *Dispatcher) searchLowestPace(s *kindIndex, step, i int, best *float64, now time.Duration) {
	if i >= len(s.paceBuckets[step].executors) || s.minPace(step, i) >= *best {
		return
	}
	d.index.visited++
	e, k := s.paceBuckets[step].executors[i], s.stats.pace
	pace := (e.estimate.runTime + k) / (e.estimate.work + 1)
	switch {
	case !e.available:
	case len(e.attempts) == 0:
		*best = min(*best, pace)
	case pace*roundingDown < *best:
		d.index.evaluated++
		*best = min(*best, d.pace(e, now))
	}
	d.searchLowestPace(s, step, 2*i+1, best, now)
	d.searchLowestPace(s, step, 2*i+2, best, now)
}
