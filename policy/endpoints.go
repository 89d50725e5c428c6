package policy

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"slices"
	"time"
)

// endpointTable holds the executors that the endpoint list names.
type endpointTable struct {
	byID       map[ExecutorID]*executor
	byHash     map[ExecutorHash]*executor // by the name that nodes use among each other
	ranked     []*executor                // all, highest rank first
	unranked   []*executor                // new ones that have no place in ranked yet
	kinds      map[KindID]*kindStats
	updates    int  // updates of the list so far
	anyRemoved bool // some executor is removed from the list and still here
}

// endpointPoll is when the endpoint list is asked for, where it comes only by polling.
type endpointPoll struct {
	watching    bool // an answer has come and no watch has failed since
	outstanding bool // a poll is on its way
	nextAt      time.Duration
	interval    time.Duration
}

// executor is what this node knows of one executor.
type executor struct {
	id         ExecutorID
	hash       ExecutorHash
	zone       ZoneID
	kind       KindID
	cell       CellID
	rank       uint32  // its rank at this node
	weight     float64 // its weight in the endpoint list
	size       float64 // the largest weight that it had there
	listedLoad float64 // jobs a core, by the list's weights
	available  bool    // it takes new jobs, by the list
	removed    bool    // it is no longer on the list
	listedIn   int     // the update that named it last
	started    time.Duration

	attempts  []*attempt // that are out
	tokens    tokens
	queuing   queuing
	health    health
	slowStart executorSlowStart
	estimate  estimate
	lease     leaseState
	indexed   indexEntry
}

// runningCount counts our batch jobs that run at an executor.
func (e *executor) runningCount() (n int) {
	for _, j := range e.attempts {
		if j.running {
			n++
		}
	}
	return n
}

// longestWork is the most work that one of ours has at an executor.
func (e *executor) longestWork() (work time.Duration) {
	for _, j := range e.attempts {
		work = max(work, j.work)
	}
	return work
}

// UpdateEndpoints tells what discovery brought.
func (d *Dispatcher) UpdateEndpoints(now time.Duration, what EndpointUpdateKind, entries []Endpoint) {
	d.poll.outstanding = false
	if what == WatchFailed {
		// Calls load a service that all nodes share: ask again after a spell that differs by node.
		d.poll.watching = false
		d.poll.nextAt = now + scaled(d.poll.interval, 0.5+d.rng.next())
		return
	}
	d.poll.watching = d.poll.watching || what != CachedUpdate
	d.endpoints.updates++
	for _, n := range entries {
		d.updateEndpoint(now, n)
	}
	d.insertRanked()
	d.dropRemoved(what != IncrementalUpdate)
	d.subset.stale, d.subset.changed, d.queue.tokenFreed = true, true, true
	d.updateZoneLoads(now)
}

func (d *Dispatcher) updateEndpoint(now time.Duration, n Endpoint) {
	e := d.endpoints.byID[n.Executor]
	fresh := e == nil
	if fresh {
		e = &executor{id: n.Executor, started: n.StartedAt, rank: d.rankOf(n.Executor)}
		e.health.lastSeen = now
		e.indexed.subsetRank = -1
		e.hash = ExecutorHash(crc32.ChecksumIEEE([]byte(n.Executor)))
		e.lease.holder = d.leaseHolderOf(e.hash)
		// The nodes that carry a cold executor follow its number: all reckon the same ones, without asking.
		place := (int(d.config.nodeID) + d.config.nodeCount - int(e.hash%ExecutorHash(d.config.nodeCount))) % d.config.nodeCount
		e.slowStart.sender = place < d.slowStart.senders
		d.endpoints.unranked = append(d.endpoints.unranked, e)
		d.endpoints.byID[e.id], d.endpoints.byHash[e.hash] = e, e
	}
	d.markDirty(e)
	d.subset.rezoned = d.subset.rezoned || e.indexed.subsetRank >= 0 && (e.zone != n.Zone || e.kind != n.Kind)
	d.addKind(n.Kind, max(n.Weight, 1e-3))
	restarted := !n.StartedLongAgo && (fresh || n.StartedAt > e.started)
	e.zone, e.kind, e.cell, e.listedIn = n.Zone, n.Kind, n.Cell, d.endpoints.updates
	e.available, e.removed = n.State == Available, n.State == Removed
	d.endpoints.anyRemoved = d.endpoints.anyRemoved || e.removed
	d.recordWeight(e, max(n.Weight, 1e-3))
	if !restarted {
		return
	}
	e.started = n.StartedAt
	if until := n.StartedAt + d.slowStart.duration; until > now {
		// A fresh executor can do part of its work only, and what we knew of it no longer holds.
		d.slowStart.add(e, now)
		e.slowStart.begin(until)
		e.health.restart()
		e.estimate.startWait = 0
	}
}

// spreadPolls lets many nodes ask one after another: the list's service doesn't grow with them. Until then the
// copy at hand serves; the last asks while that still counts.
func (d *Dispatcher) spreadPolls(within time.Duration) {
	d.poll.interval = within / 8
	if d.usesSubset() {
		d.poll.nextAt = scaled(within/2, float64(d.config.nodeID)/float64(d.config.nodeCount))
	}
}

// rankOf is an executor's rank at this node: a hash of both, reckoned once.
func (d *Dispatcher) rankOf(id ExecutorID) uint32 {
	b := binary.LittleEndian.AppendUint32([]byte(id), uint32(d.config.nodeID))
	// A checksum alone is linear in the node; the golden ratio's odd multiplier mends that.
	return crc32.ChecksumIEEE(b) * 0x9e3779b1
}

// byRank is the order of executors by their rank at this node, the highest first.
func byRank(a, b *executor) int {
	if a.rank == b.rank {
		return cmp.Compare(a.id, b.id)
	}
	return cmp.Compare(b.rank, a.rank)
}

// insertRanked puts new executors where their ranks belong: a list of hundreds that grows by few is not sorted anew.
func (d *Dispatcher) insertRanked() {
	if fresh := d.endpoints.unranked; len(fresh) > 8 {
		d.endpoints.ranked = append(d.endpoints.ranked, fresh...)
		slices.SortFunc(d.endpoints.ranked, byRank)
	} else {
		for _, e := range fresh {
			i, _ := slices.BinarySearchFunc(d.endpoints.ranked, e, byRank)
			d.endpoints.ranked = slices.Insert(d.endpoints.ranked, i, e)
		}
	}
	d.endpoints.unranked = nil
}

// dropRemoved drops executors that are gone, those that a whole list does not name among them, once nothing of ours is
// there: machines that are replaced come under new ids.
func (d *Dispatcher) dropRemoved(whole bool) {
	if whole {
		for _, e := range d.endpoints.ranked {
			if e.listedIn != d.endpoints.updates {
				e.available, e.removed, d.endpoints.anyRemoved = false, true, true
				d.markDirty(e)
			}
		}
	}
	if !d.endpoints.anyRemoved {
		return
	}
	d.endpoints.anyRemoved = false
	d.endpoints.ranked = slices.DeleteFunc(d.endpoints.ranked, func(e *executor) bool {
		drop := e.removed && e.tokens.taken == 0
		if drop {
			delete(d.endpoints.byID, e.id)
			delete(d.endpoints.byHash, e.hash)
		}
		d.endpoints.anyRemoved = d.endpoints.anyRemoved || e.removed && !drop
		return drop
	})
}

// CountExcluded counts the executors on the list that get nothing new from this node now, whoever says so.
func (d *Dispatcher) CountExcluded(now time.Duration) (n int) {
	for _, e := range d.endpoints.ranked {
		if !e.removed && !d.isUsable(e, now) {
			n++
		}
	}
	return n
}

// addKind makes room for a kind's figures: a known executor may come back as another kind, too.
func (d *Dispatcher) addKind(id KindID, weight float64) {
	if d.endpoints.kinds[id] == nil {
		d.endpoints.kinds[id] = &kindStats{pace: 1, concurrency: 1, size: weight}
		d.addKindIndex(id, d.endpoints.kinds[id])
	}
}

// recordWeight books what the list weighs an executor.
func (d *Dispatcher) recordWeight(e *executor, weight float64) {
	e.weight = weight
	if d.config.loadAdjustedWeights {
		// Live weights are the size over one and the batch jobs held a core; an idle one shows its size.
		e.size = max(e.size, weight)
		e.listedLoad = e.size/weight - 1
	}
	k := d.endpoints.kinds[e.kind]
	k.size += (max(e.size, weight) - k.size) * (1 - smoothing)
}

// remoteSide is 1 for an executor of another zone, where that has a price.
func (d *Dispatcher) remoteSide(e *executor) int {
	if d.config.crossZoneCost > 0 && e.zone != d.config.zone {
		return 1
	}
	return 0
}
