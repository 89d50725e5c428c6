package policy

import (
	"math"
	"time"
)

// The pace index answers how quick the subset's quickest executor is. An executor's pace without what runs there is
//
//	(runTime + kind's pace) / (work + 1)  =  kind's pace + seen x (own pace - kind's pace),  seen = work / (work + 1)
//
// so it moves with its kind's. Executors are in buckets by how much of their pace was seen, and in each bucket in a heap by
// their own pace: that gives a lower bound for a bucket whatever the kind's pace is.

const (
	evenPaceBuckets    = 16                                   // buckets of equal width for how much of a pace was seen
	halvingPaceBuckets = 24                                   // buckets below the first of them, each half as wide as the one before
	unseenPaceBucket   = evenPaceBuckets + halvingPaceBuckets // for those of which nothing was seen, by their running time
	firstHalvingExp    = 4                                    // the even buckets' width is 2 to the minus this
)

// indexPace puts a member of the subset into its pace bucket, and takes others out of theirs.
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
		_, exp := math.Frexp(seen) // seen is from half of 2^exp on, and less than it
		number = min(evenPaceBuckets-firstHalvingExp-exp, unseenPaceBucket-1)
	}
	kind.paceBuckets[number].update(e, floatKey(e.estimate.runTime/e.estimate.work))
}

// minPace is a lower bound of the pace of the executor at index i of a bucket, and of those below it in the heap.
func (k *kindIndex) minPace(bucket, i int) float64 {
	kindPace := k.stats.pace
	own := math.Float64frombits(uint64(k.paceBuckets[bucket].key(i)))
	if bucket == unseenPaceBucket {
		return (kindPace + own) * roundingDown
	}
	least, most := seenRange(bucket)
	if own < kindPace {
		least = most // the more of it was seen, the lower the pace
	}
	return (kindPace + (own-kindPace)*least) * roundingDown
}

// seenRange is how much of their paces was seen of a bucket's executors, at least and at most.
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

// paceLowerBound is a pace that no member of the subset of that kind is under.
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

// lowestPace is the lowest pace of the subset's available members of that kind, infinite where there is none.
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

// mostPromisingPaceBucket is the bucket with the lowest bound; 0 where all are empty.
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

// searchLowestPace lowers *lowest by the executors of a bucket's heap from index i downwards, as far as their bound allows.
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
	case pace*roundingDown < *lowest: // what runs there can only raise it
		d.index.evaluated++
		*lowest = min(*lowest, d.pace(e, now))
	}
	d.searchLowestPace(kind, bucket, 2*i+1, lowest, now)
	d.searchLowestPace(kind, bucket, 2*i+2, lowest, now)
}
