package policy

import (
	"math"
	"time"
)

// The pace index finds the lowest pace in the subset. The pace of an executor, apart from its attempts in flight, is
//
//	(runTime + kind's pace) / (work + 1)  =  kind's pace + seen x (own pace - kind's pace)
//
// where own pace = runTime / work, and seen = work / (work + 1) is the weight of the executor's own observations. An
// executor's pace thus changes whenever its kind's pace changes, so it can't be the key of a heap. Instead, executors
// are put into buckets by seen. In each bucket, a heap orders them by their own pace, which gives a lower bound of the
// paces in the bucket for any pace of the kind.

const (
	evenPaceBuckets    = 16                                   // number of buckets of equal width for seen, from 0 to 1
	halvingPaceBuckets = 24                                   // buckets that divide the lowest even one, each half as wide as the one before
	unseenPaceBucket   = evenPaceBuckets + halvingPaceBuckets // bucket of executors without observed work, ordered by runTime
	firstHalvingExp    = 4                                    // the width of an even bucket is 2 to the power of -firstHalvingExp
)

// indexPace puts a member of the subset into its pace bucket. An executor outside the subset is removed from its bucket.
func (d *Dispatcher) indexPace(e *executor, kind *kindIndex) {
	if e.indexed.subsetRank < 0 {
		e.removeFrom(keyPace)
		return
	}
	if e.estimate.work <= 0 {
		kind.paceBuckets[unseenPaceBucket].update(e, floatKey(e.estimate.runTime))
		return
	}
	seen := e.estimate.work / (e.estimate.work + 1)
	number := int(seen * evenPaceBuckets)
	if number > 0 {
		number = min(number, evenPaceBuckets-1)
	} else {
		_, exp := math.Frexp(seen) // 2^(exp-1) <= seen < 2^exp
		number = min(evenPaceBuckets-firstHalvingExp-exp, unseenPaceBucket-1)
	}
	kind.paceBuckets[number].update(e, floatKey(e.estimate.runTime/e.estimate.work))
}

// minPace returns a lower bound of the paces of the executor at index i of a bucket's heap and of those below it.
func (k *kindIndex) minPace(bucket, i int) float64 {
	kindPace := k.stats.pace
	own := math.Float64frombits(uint64(k.paceBuckets[bucket].key(i)))
	if bucket == unseenPaceBucket {
		return (kindPace + own) * roundingDown
	}
	least, most := seenRange(bucket)
	if own < kindPace {
		least = most // its own pace is lower than its kind's, so the pace is lowest where seen is largest
	}
	return (kindPace + (own-kindPace)*least) * roundingDown
}

// seenRange returns the smallest and the largest value of seen in a bucket.
func seenRange(bucket int) (least, most float64) {
	if bucket < evenPaceBuckets {
		return float64(bucket) / evenPaceBuckets, float64(bucket+1) / evenPaceBuckets
	}
	most = math.Ldexp(1, evenPaceBuckets-firstHalvingExp-bucket)
	if bucket == unseenPaceBucket-1 {
		return 0, most
	}
	return most / 2, most
}

// paceLowerBound returns a lower bound of the paces of the subset's members of the given kind, or of all members for AnyKind.
func (d *Dispatcher) paceLowerBound(id KindID, now time.Duration) float64 {
	d.reindexDirty(now)
	lowest := math.Inf(1)
	for _, kind := range d.index.kinds {
		if id != AnyKind && id != kind.id {
			continue
		}
		for bucket := range kind.paceBuckets {
			if len(kind.paceBuckets[bucket].executors) > 0 {
				lowest = min(lowest, kind.minPace(bucket, 0))
			}
		}
	}
	return lowest
}

// lowestPace returns the lowest pace of the subset's available members of the given kind, or of all of them for AnyKind. It is
// infinite if there are none.
func (d *Dispatcher) lowestPace(id KindID, now time.Duration) float64 {
	d.reindexDirty(now)
	lowest := math.Inf(1)
	for _, kind := range d.index.kinds {
		if id != AnyKind && id != kind.id {
			continue
		}
		first := kind.mostPromisingPaceBucket()
		d.searchLowestPace(kind, first, 0, &lowest, now)
		for bucket := range kind.paceBuckets {
			if bucket != first {
				d.searchLowestPace(kind, bucket, 0, &lowest, now)
			}
		}
	}
	return lowest
}

// mostPromisingPaceBucket returns the number of the bucket with the lowest bound, or 0 if all are empty.
func (k *kindIndex) mostPromisingPaceBucket() int {
	first, lowest := 0, math.Inf(1)
	for bucket := range k.paceBuckets {
		if len(k.paceBuckets[bucket].executors) == 0 {
			continue
		}
		if bound := k.minPace(bucket, 0); bound < lowest {
			first, lowest = bucket, bound
		}
	}
	return first
}

// searchLowestPace lowers *lowest to the lowest pace in a bucket's heap from index i downwards. It skips the executors whose
// bound shows that their paces are not lower.
func (d *Dispatcher) searchLowestPace(kind *kindIndex, bucket, i int, lowest *float64, now time.Duration) {
	executors := kind.paceBuckets[bucket].executors
	if i >= len(executors) || kind.minPace(bucket, i) >= *lowest {
		return
	}
	d.index.visited++
	e := executors[i]
	pace := (e.estimate.runTime + kind.stats.pace) / (e.estimate.work + 1)
	switch {
	case !e.available:
	case len(e.attempts) == 0:
		*lowest = min(*lowest, pace)
	case pace*roundingDown < *lowest: // attempts in flight can only raise the pace
		d.index.evaluated++
		*lowest = min(*lowest, d.pace(e, now))
	}
	d.searchLowestPace(kind, bucket, 2*i+1, lowest, now)
	d.searchLowestPace(kind, bucket, 2*i+2, lowest, now)
}
