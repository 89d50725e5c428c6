package policy

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"slices"
	"time"
)

const (
	minWeight           = 1e-3 // lower bound for an executor's weight; smaller weights are raised to it
	maxSingleInsertions = 8    // up to this many new executors are inserted one by one; for more, the whole list is sorted again
	pollIntervalDivisor = 8    // the poll interval is Settings.PollWithin divided by this
	pollSpreadDivisor   = 2    // the first polls of many nodes are spread over Settings.PollWithin divided by this
	minPollJitter       = 0.5  // smallest random factor of the poll interval after a failed poll; the largest is greater by 1
)

// goldenRatio32 is the odd integer closest to 2^32 divided by the golden ratio. Multiplying by it makes hashes that differ
// in few bits differ in many (Fibonacci hashing).
const goldenRatio32 = 0x9e3779b1

// endpointTable holds the executors of the endpoint list, and executors removed from it that still have tokens taken.
type endpointTable struct {
	byID       map[ExecutorID]*executor
	byHash     map[ExecutorHash]*executor // by the hash of the id, which nodes use in lease messages
	ranked     []*executor                // all executors, highest rank first
	unranked   []*executor                // new executors that are not in ranked yet
	kinds      map[KindID]*kindStats
	updates    int  // number of list updates so far
	anyRemoved bool // an executor in this table may have been removed from the list
}

// endpointPoll schedules the requests for the endpoint list, for discovery services that have to be polled.
type endpointPoll struct {
	watching    bool          // the list has been received, and no watch has failed since
	outstanding bool          // a poll was sent and has not been answered
	nextAt      time.Duration // earliest time of the next poll
	interval    time.Duration // mean delay after a failed poll
}

// wanted reports whether the endpoint list has to be polled: no watch is active and no poll is outstanding.
func (p *endpointPoll) wanted() bool { return !p.watching && !p.outstanding }

// executor holds what this node knows about one executor.
type executor struct {
	id         ExecutorID
	hash       ExecutorHash
	zone       ZoneID
	kind       KindID
	cell       CellID
	rank       uint32        // order of preference at this node (rankOf)
	weight     float64       // weight in the endpoint list
	size       float64       // largest weight so far, where weights fall with the load; 0 otherwise
	listedLoad float64       // jobs per core, computed from the weights in the endpoint list
	available  bool          // the endpoint list says that the executor takes new jobs
	removed    bool          // the executor was removed from the endpoint list
	listedIn   int           // number of the last list update that contained the executor
	started    time.Duration // time of the executor's last start
	attempts   []*attempt    // this node's attempts in flight
	tokens     tokens
	queuing    queuing
	health     health
	slowStart  executorSlowStart
	estimate   estimate
	lease      leaseState
	indexed    indexEntry
}

// runningCount returns the number of this node's attempts that e has started.
func (e *executor) runningCount() int {
	count := 0
	for _, a := range e.attempts {
		if a.running {
			count++
		}
	}
	return count
}

// longestWork returns the work of this node's largest attempt in flight at e.
func (e *executor) longestWork() time.Duration {
	longest := time.Duration(0)
	for _, a := range e.attempts {
		longest = max(longest, a.work)
	}
	return longest
}

// UpdateEndpoints applies an update from discovery: the complete list, changes to it, a list cached by an earlier process,
// or the failure of the watch.
func (d *Dispatcher) UpdateEndpoints(now time.Duration, kind EndpointUpdateKind, entries []Endpoint) {
	d.poll.outstanding = false
	if kind == WatchFailed {
		// All nodes poll the same service, so the delay before the next poll is random.
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

// updateEndpoint applies one entry of the endpoint list.
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

// newExecutor returns the state for an executor that is new in the endpoint list.
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

// isSlowStartSender reports whether this node may send jobs to the executor during its slow start. The executor's hash
// selects the first such node, and the following node numbers are the others, so all nodes agree without a message.
func (d *Dispatcher) isSlowStartSender(hash ExecutorHash) bool {
	nodes := d.config.nodeCount
	first := int(hash % ExecutorHash(nodes))
	place := (int(d.config.nodeID) + nodes - first) % nodes
	return place < d.slowStart.senders
}

// update copies the fields of an endpoint list entry except the weight, which recordWeight handles.
func (e *executor) update(entry Endpoint) {
	e.zone = entry.Zone
	e.kind = entry.Kind
	e.cell = entry.Cell
	e.available = entry.State == Available
	e.removed = entry.State == Removed
}

// recordRestart begins the slow start of an executor that has started, unless the slow start is already over. It resets
// the ejection and the start wait, which date from before the restart, and sets the in-flight cap to one.
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

// spreadPolls sets the poll interval and the first poll, given the time within which a node must have the endpoint list.
// Where nodes are many, their first polls are spread by node number, so that they don't load discovery all at once. A node
// uses its cached list until then.
func (d *Dispatcher) spreadPolls(within time.Duration) {
	d.poll.interval = within / pollIntervalDivisor
	if d.usesSubset() {
		d.poll.nextAt = scaled(within/pollSpreadDivisor, float64(d.config.nodeID)/float64(d.config.nodeCount))
	}
}

// retry schedules the next poll after a failure. The delay is the poll interval times jitter.
func (p *endpointPoll) retry(now time.Duration, jitter float64) {
	p.watching = false
	p.nextAt = now + scaled(p.interval, jitter)
}

// rankOf returns an executor's rank at this node: a hash of the executor's id and the node's number.
func (d *Dispatcher) rankOf(id ExecutorID) uint32 {
	key := binary.LittleEndian.AppendUint32([]byte(id), uint32(d.config.nodeID))
	// CRC-32 alone is linear in the node's number, so all nodes would rank executors in similar orders.
	return crc32.ChecksumIEEE(key) * goldenRatio32
}

// byRank compares executors by their rank at this node, highest first, and by id where ranks are equal.
func byRank(a, b *executor) int {
	if a.rank == b.rank {
		return cmp.Compare(a.id, b.id)
	}
	return cmp.Compare(b.rank, a.rank)
}

// add adds a new executor. insertRanked adds it to the ranking at the end of the list update.
func (t *endpointTable) add(e *executor) {
	t.unranked = append(t.unranked, e)
	t.byID[e.id] = e
	t.byHash[e.hash] = e
}

// insertRanked inserts the new executors by their ranks. A few are inserted one by one, which is cheaper than sorting a
// list of hundreds again.
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

// dropRemoved drops the removed executors that have no token of this node taken. They would otherwise accumulate, since a
// machine that is replaced comes back under a new id. A complete update first marks the executors missing from it as removed.
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

// dropUnused drops removed executors that have no token taken. The others are checked again at the next update.
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

// CountUnusable returns how many executors in the endpoint list get no new attempts from this node now, for any reason.
func (d *Dispatcher) CountUnusable(now time.Duration) int {
	count := 0
	for _, e := range d.endpoints.ranked {
		if !e.removed && !d.isUsable(e, now) {
			count++
		}
	}
	return count
}

// addKind adds the statistics and the candidate index of an executor kind, unless they exist already.
func (d *Dispatcher) addKind(id KindID, weight float64) {
	if d.endpoints.kinds[id] != nil {
		return
	}
	kind := &kindStats{pace: standardPace, concurrency: 1, size: weight}
	d.endpoints.kinds[id] = kind
	d.addKindIndex(id, kind)
}

// recordWeight records an executor's weight in the endpoint list. A weight that falls with the load is
// size / (1 + jobs per core), so the weight of an idle executor is its size.
func (d *Dispatcher) recordWeight(e *executor, weight float64) {
	e.weight = weight
	if d.config.loadAdjustedWeights {
		e.size = max(e.size, weight)
		e.listedLoad = e.size/weight - 1
	}
	kind := d.endpoints.kinds[e.kind]
	kind.size += (max(e.size, weight) - kind.size) * (1 - smoothing)
}

// remoteSide returns 1 for an executor in another zone if crossing zones has a cost, and 0 otherwise.
func (d *Dispatcher) remoteSide(e *executor) int {
	if d.config.crossZoneCost > 0 && e.zone != d.config.zone {
		return 1
	}
	return 0
}
