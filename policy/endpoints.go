package policy

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"slices"
	"time"
)

const (
	minWeight           = 1e-3 // least weight that an executor is taken to have
	maxSingleInsertions = 8    // new executors that are inserted in order one by one; more of them are sorted in together
	pollIntervalDivisor = 8    // the time within which a node must have the endpoint list, over this, is between two polls
	pollSpreadDivisor   = 2    // and over this, the first polls of many nodes are spread
	minPollJitter       = 0.5  // least factor of the interval after a failed poll; the most is one more
)

// goldenRatio32 is the odd number next to 2^32 over the golden ratio: multiplied by it, hashes that differ in few bits
// differ in many.
const goldenRatio32 = 0x9e3779b1

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

// wanted reports whether the endpoint list has to be polled: no watch is in force and no poll is out.
func (p *endpointPoll) wanted() bool { return !p.watching && !p.outstanding }

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
	removed    bool    // it is gone from the list
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

// runningCount returns how many attempts of this node run at e.
func (e *executor) runningCount() int {
	count := 0
	for _, a := range e.attempts {
		if a.running {
			count++
		}
	}
	return count
}

// longestWork returns the most work that an attempt of this node at e has.
func (e *executor) longestWork() time.Duration {
	longest := time.Duration(0)
	for _, a := range e.attempts {
		longest = max(longest, a.work)
	}
	return longest
}

// UpdateEndpoints takes up what discovery brought: the complete list, changes to it, a cached list from before the start, or
// that the watch failed.
func (d *Dispatcher) UpdateEndpoints(now time.Duration, kind EndpointUpdateKind, entries []Endpoint) {
	d.poll.outstanding = false
	if kind == WatchFailed {
		// All nodes poll the same service, so that each waits for another time before it tries again.
		d.poll.retry(now, minPollJitter+d.rng.next())
		return
	}
	d.poll.watching = d.poll.watching || kind != CachedUpdate
	d.endpoints.updates++
	for _, entry := range entries {
		d.updateEndpoint(now, entry)
	}
	d.endpoints.insertRanked()
	d.dropRemoved(kind != IncrementalUpdate)
	d.subset.invalidate()
	d.queue.rescan()
	d.updateZoneLoads(now)
}

// updateEndpoint takes over one entry of the endpoint list.
func (d *Dispatcher) updateEndpoint(now time.Duration, entry Endpoint) {
	e := d.endpoints.byID[entry.Executor]
	isNew := e == nil
	if isNew {
		e = d.newExecutor(now, entry)
		d.endpoints.add(e)
	}
	d.markDirty(e)
	if e.zone != entry.Zone || e.kind != entry.Kind {
		d.subset.noteMoved(e)
	}
	weight := max(entry.Weight, minWeight)
	d.addKind(entry.Kind, weight)
	restarted := !entry.StartedLongAgo && (isNew || entry.StartedAt > e.started)
	e.update(entry)
	e.listedIn = d.endpoints.updates
	d.endpoints.anyRemoved = d.endpoints.anyRemoved || e.removed
	d.recordWeight(e, weight)
	if restarted {
		d.recordRestart(e, entry.StartedAt, now)
	}
}

// newExecutor makes an executor that the endpoint list names for the first time.
func (d *Dispatcher) newExecutor(now time.Duration, entry Endpoint) *executor {
	e := &executor{
		id:      entry.Executor,
		hash:    ExecutorHash(crc32.ChecksumIEEE([]byte(entry.Executor))),
		rank:    d.rankOf(entry.Executor),
		started: entry.StartedAt,
	}
	e.health.lastSeen = now
	e.indexed.subsetRank = -1
	e.lease.holder = d.leaseHolderOf(e.hash)
	e.slowStart.sender = d.isSlowStartSender(e.hash)
	return e
}

// isSlowStartSender reports whether this node may use that executor in its slow start: it is one of the few nodes whose
// numbers follow the executor's hash. All nodes compute the same ones, without a message.
func (d *Dispatcher) isSlowStartSender(hash ExecutorHash) bool {
	nodes := d.config.nodeCount
	first := int(hash % ExecutorHash(nodes))
	place := (int(d.config.nodeID) + nodes - first) % nodes
	return place < d.slowStart.senders
}

// update takes over what the endpoint list says of an executor, its weight aside.
func (e *executor) update(entry Endpoint) {
	e.zone = entry.Zone
	e.kind = entry.Kind
	e.cell = entry.Cell
	e.available = entry.State == Available
	e.removed = entry.State == Removed
}

// recordRestart begins the slow start of an executor that has started again, unless it is over by now. What was seen of
// its health and its start waits before does not hold any more.
func (d *Dispatcher) recordRestart(e *executor, startedAt, now time.Duration) {
	e.started = startedAt
	until := startedAt + d.slowStart.duration
	if until <= now {
		return
	}
	d.slowStart.add(e, now)
	e.slowStart.begin(until)
	e.health.restart()
	e.estimate.forgetStartWait()
}

// spreadPolls sets when the endpoint list is polled, given the time within which a node must have it. Many nodes begin one
// after another, so that the load of discovery does not grow with them; a cached list serves until then.
func (d *Dispatcher) spreadPolls(within time.Duration) {
	d.poll.interval = within / pollIntervalDivisor
	if d.usesSubset() {
		d.poll.nextAt = scaled(within/pollSpreadDivisor, float64(d.config.nodeID)/float64(d.config.nodeCount))
	}
}

// retry sets the next poll after a failed one, in that factor of the interval.
func (p *endpointPoll) retry(now time.Duration, jitter float64) {
	p.watching = false
	p.nextAt = now + scaled(p.interval, jitter)
}

// rankOf returns an executor's rank at this node, a hash of both.
func (d *Dispatcher) rankOf(id ExecutorID) uint32 {
	key := binary.LittleEndian.AppendUint32([]byte(id), uint32(d.config.nodeID))
	// A checksum alone is linear in the node's number, so that nodes would rank executors alike.
	return crc32.ChecksumIEEE(key) * goldenRatio32
}

// byRank orders executors by their rank at this node, the highest first.
func byRank(a, b *executor) int {
	if a.rank == b.rank {
		return cmp.Compare(a.id, b.id)
	}
	return cmp.Compare(b.rank, a.rank)
}

// add adds a new executor, which is ranked at the end of the update.
func (t *endpointTable) add(e *executor) {
	t.unranked = append(t.unranked, e)
	t.byID[e.id] = e
	t.byHash[e.hash] = e
}

// insertRanked inserts new executors by their ranks. Sorting a list of hundreds again for a few would be a waste.
func (t *endpointTable) insertRanked() {
	if len(t.unranked) > maxSingleInsertions {
		t.ranked = append(t.ranked, t.unranked...)
		slices.SortFunc(t.ranked, byRank)
	} else {
		for _, e := range t.unranked {
			position, _ := slices.BinarySearchFunc(t.ranked, e, byRank)
			t.ranked = slices.Insert(t.ranked, position, e)
		}
	}
	t.unranked = nil
}

// dropRemoved drops executors that were removed, once no attempt of this node is there: a machine that is replaced comes
// under a new id. A complete update removes those that it does not name.
func (d *Dispatcher) dropRemoved(complete bool) {
	if complete {
		for _, e := range d.endpoints.ranked {
			if e.listedIn != d.endpoints.updates {
				e.available = false
				e.removed = true
				d.endpoints.anyRemoved = true
				d.markDirty(e)
			}
		}
	}
	if d.endpoints.anyRemoved {
		d.endpoints.dropUnused()
	}
}

// dropUnused drops removed executors without attempts. The others stay, and are looked at again with the next update.
func (t *endpointTable) dropUnused() {
	t.anyRemoved = false
	t.ranked = slices.DeleteFunc(t.ranked, func(e *executor) bool {
		if !e.removed {
			return false
		}
		if e.tokens.taken > 0 {
			t.anyRemoved = true
			return false
		}
		delete(t.byID, e.id)
		delete(t.byHash, e.hash)
		return true
	})
}

// CountUnusable returns how many executors on the endpoint list get no new attempt from this node now, for any reason.
func (d *Dispatcher) CountUnusable(now time.Duration) int {
	count := 0
	for _, e := range d.endpoints.ranked {
		if !e.removed && !d.isUsable(e, now) {
			count++
		}
	}
	return count
}

// addKind adds the statistics and the index of an executor kind that is met for the first time.
func (d *Dispatcher) addKind(id KindID, weight float64) {
	if d.endpoints.kinds[id] != nil {
		return
	}
	kind := &kindStats{pace: standardPace, concurrency: 1, size: weight}
	d.endpoints.kinds[id] = kind
	d.addKindIndex(id, kind)
}

// recordWeight records an executor's weight in the endpoint list. A weight that falls with the load is the size over one
// plus the jobs a core; an idle executor shows its size.
func (d *Dispatcher) recordWeight(e *executor, weight float64) {
	e.weight = weight
	if d.config.loadAdjustedWeights {
		e.size = max(e.size, weight)
		e.listedLoad = e.size/weight - 1
	}
	kind := d.endpoints.kinds[e.kind]
	kind.size += (max(e.size, weight) - kind.size) * (1 - smoothing)
}

// remoteSide returns 1 for an executor of another zone, where crossing zones has a cost, and 0 for any other.
func (d *Dispatcher) remoteSide(e *executor) int {
	if d.config.crossZoneCost > 0 && e.zone != d.config.zone {
		return 1
	}
	return 0
}
