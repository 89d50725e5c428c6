package policy

import (
	"math"
	"time"
)

// The pace index finds the lowest pace of an executor in the subset. Apart from the effect of its attempts in flight,
// an executor's pace is
//
//	(runTime + kind's pace) / (work + 1)  =  kind's pace + seen x (own pace - kind's pace)
//
// where own pace = runTime / work, and seen = work / (work + 1) is the weight of the executor's own observations. The
// pace of an executor changes with each change of its kind's pace, so it can't be the key of a heap. Instead, executors
// are divided into buckets by seen, and a heap in each bucket orders them by their own pace. The lowest own pace in a
// bucket gives a lower bound of the bucket's paces, whatever the kind's pace is.

const (
	// Number of pace buckets of equal width into which the range of seen, 0 to 1, is divided.
	evenPaceBuckets = 16
	// Number of pace buckets into which the lowest of the equal-width buckets is divided. Each but the last is half as
	// wide as the one before.
	halvingPaceBuckets = 24
	// Number of the pace bucket for executors without observed work, which are ordered by runTime.
	unseenPaceBucket = evenPaceBuckets + halvingPaceBuckets
	firstHalvingExp  = 4 // the width of an even pace bucket is 2 to the power of minus this
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

// minPace returns a lower bound for the pace of the executor at index i in a pace bucket's heap. The bound also holds
// for all descendants of this executor in the heap.
func (k *kindIndex) minPace(bucket, i int) float64 {
	kindPace := k.stats.pace
	own := math.Float64frombits(uint64(k.paceBuckets[bucket].key(i)))
	if bucket == unseenPaceBucket {
		return (kindPace + own) * roundingDown
	}
	least, most := seenRange(bucket)
	if own < kindPace {
		least = most // if the own pace is below the kind's, the pace is lowest where seen is largest
	}
	return (kindPace + (own-kindPace)*least) * roundingDown
}

// seenRange returns the smallest and the largest value of seen, the weight of an executor's own observations, in a pace
// bucket.
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

// paceLowerBound returns a lower bound of the paces of the subset's members of the given kind, or of all kinds for
// AnyKind.
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

// lowestPace returns the lowest pace of the subset's available members of the given kind, or of all kinds for AnyKind.
// If there are no such members, it returns infinity.
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

// mostPromisingPaceBucket returns the number of the pace bucket in which to search first for the lowest pace: the one
// with the lowest lower bound of paces. If all buckets are empty, the result is 0.
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

// searchLowestPace searches a pace bucket's heap for the lowest pace of an available executor, and lowers *lowest to
// it. The search covers the executor at index i and its descendants in the heap. It skips executors whose lower bound
// (minPace) is not below *lowest.
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
