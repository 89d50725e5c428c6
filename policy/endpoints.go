package policy

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"slices"
	"time"
)

const (
	// minWeight is the smallest weight of an executor; smaller weights in the endpoint list are raised to it. Weights
	// are used as divisors.
	minWeight = 1e-3

	// maxSingleInsertions is the number of new executors up to which inserting them one by one is cheaper. For more new
	// executors, the whole list is sorted.
	maxSingleInsertions = 8

	// pollIntervalDivisor leaves time for several polls within Settings.PollWithin. The poll interval is PollWithin
	// divided by this number.
	pollIntervalDivisor = 8

	// pollSpreadDivisor spreads the first polls of many nodes, and leaves time for retries. The first polls are spread
	// over Settings.PollWithin divided by this number.
	pollSpreadDivisor = 2

	// minPollJitter is the lower bound of the random factor that spreads the polls after a failure. The delay is the
	// poll interval times a random number from minPollJitter to minPollJitter + 1.
	minPollJitter = 0.5
)

// goldenRatio32 is a prime number close to 2^32 divided by the golden ratio. If two hashes differ in few bits, their
// products with this number differ in many bits (Fibonacci hashing).
const goldenRatio32 = 0x9e3779b1

// endpointTable holds the executors of the endpoint list. It also holds removed executors of which this node still has
// tokens taken.
type endpointTable struct {
	byID       map[ExecutorID]*executor
	byHash     map[ExecutorHash]*executor // executors by the hash of their id; lease messages contain this hash
	ranked     []*executor                // all executors, highest rank first
	unranked   []*executor                // new executors that are not in ranked yet
	kinds      map[KindID]*kindStats
	updates    int  // number of updates of the endpoint list so far
	anyRemoved bool // the table possibly holds executors that were removed from the endpoint list; false: it holds none
}

// endpointPoll schedules the requests for the endpoint list. It is used if the discovery service has to be polled.
type endpointPoll struct {
	watching    bool          // the endpoint list was received, and the watch has not failed since
	outstanding bool          // a poll of the endpoint list was sent and is not answered yet
	nextAt      time.Duration // earliest time of the next poll
	interval    time.Duration // mean delay between a failed poll and the next one
}

// wanted reports whether the endpoint list has to be polled: it is not being watched, and no poll is outstanding.
func (p *endpointPoll) wanted() bool { return !p.watching && !p.outstanding }

// executor holds what this node knows about one executor.
type executor struct {
	id         ExecutorID
	hash       ExecutorHash
	zone       ZoneID
	kind       KindID
	cell       CellID
	rank       uint32        // rank at this node (rankOf); executors of higher rank are preferred
	weight     float64       // weight in the endpoint list
	size       float64       // weight of the idle executor: the largest weight so far; 0: weights ignore the load
	listedLoad float64       // load in jobs per core, inferred from the weight and the size; 0: weights ignore the load
	available  bool          // the endpoint list says that the executor takes new jobs
	removed    bool          // the executor was removed from the endpoint list
	listedIn   int           // value of endpointTable.updates at the last update that contained the executor
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

// longestWork returns the largest work of any attempt that this node has in flight at e.
func (e *executor) longestWork() time.Duration {
	longest := time.Duration(0)
	for _, a := range e.attempts {
		longest = max(longest, a.work)
	}
	return longest
}

// UpdateEndpoints applies an update from discovery. An update is the complete endpoint list, a set of changed entries,
// a list cached by an earlier process, or the failure of the watch.
func (d *Dispatcher) UpdateEndpoints(now time.Duration, kind EndpointUpdateKind, entries []Endpoint) {
	d.poll.outstanding = false
	if kind == WatchFailed {
		// All nodes poll the same service. The delay before the next poll is random so that they do not poll at once.
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

// isSlowStartSender reports whether this node is one of an executor's senders: the nodes that are allowed to send it
// jobs during its slow start. The executor's hash selects the first sender. The other senders are the nodes with the
// next numbers. So all nodes agree on the senders without a message.
func (d *Dispatcher) isSlowStartSender(hash ExecutorHash) bool {
	nodes := d.config.nodeCount
	first := int(hash % ExecutorHash(nodes))
	place := (int(d.config.nodeID) + nodes - first) % nodes
	return place < d.slowStart.senders
}

// update copies the fields of an entry of the endpoint list, except the weight (see recordWeight) and the start time
// (see recordRestart).
func (e *executor) update(entry Endpoint) {
	e.zone = entry.Zone
	e.kind = entry.Kind
	e.cell = entry.Cell
	e.available = entry.State == Available
	e.removed = entry.State == Removed
}

// recordRestart records that an executor has started, and begins its slow start. The in-flight cap is set to one. The
// ejection and the start wait are reset, because they date from before the restart. If the executor started so long ago
// that its slow start is over, only the start time is recorded.
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

// spreadPolls sets the poll interval and the time of the first poll. A node must have the endpoint list within the
// given time. In a cluster that is large enough for subsetting, the first polls are spread by node number. Without
// that, all nodes would load discovery at once. Until its first poll, a node uses its cached list.
func (d *Dispatcher) spreadPolls(within time.Duration) {
	d.poll.interval = within / pollIntervalDivisor
	if d.usesSubset() {
		d.poll.nextAt = scaled(within/pollSpreadDivisor, float64(d.config.nodeID)/float64(d.config.nodeCount))
	}
}

// retry schedules the next poll after a failed poll or watch. The delay is the poll interval multiplied by jitter.
func (p *endpointPoll) retry(now time.Duration, jitter float64) {
	p.watching = false
	p.nextAt = now + scaled(p.interval, jitter)
}

// rankOf returns an executor's rank at this node. The rank is a hash of the executor's id and the node's number.
func (d *Dispatcher) rankOf(id ExecutorID) uint32 {
	key := binary.LittleEndian.AppendUint32([]byte(id), uint32(d.config.nodeID))
	// CRC-32 alone is linear in the node's number, so all nodes would rank executors in similar orders.
	return crc32.ChecksumIEEE(key) * goldenRatio32
}

// byRank compares executors by their rank at this node, highest first. Executors of equal rank are compared by id.
func byRank(a, b *executor) int {
	if a.rank == b.rank {
		return cmp.Compare(a.id, b.id)
	}
	return cmp.Compare(b.rank, a.rank)
}

// add adds a new executor to the table. At the end of the update, insertRanked moves the executor from the list
// unranked to the list ranked.
func (t *endpointTable) add(e *executor) {
	t.unranked = append(t.unranked, e)
	t.byID[e.id] = e
	t.byHash[e.hash] = e
}

// insertRanked inserts the new executors into ranked. Up to maxSingleInsertions executors are inserted one by one,
// because that is cheaper than sorting a list of hundreds again.
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

// dropRemoved drops the removed executors of which this node has no token taken. Removed executors would otherwise
// accumulate, because a machine that is replaced comes back under a new id. After a complete update, executors that are
// missing in the update are first marked as removed.
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

// dropUnused drops the removed executors that have no token taken. Removed executors with a token taken stay, and are
// checked again at the next update.
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

// CountUnusable returns the number of executors in the endpoint list to which this node sends no new attempts now.
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

// recordWeight records an executor's weight in the endpoint list. If weights fall with the load, a weight is
// size / (1 + jobs per core). The weight of an idle executor is then its size.
func (d *Dispatcher) recordWeight(e *executor, weight float64) {
	e.weight = weight
	if d.config.loadAdjustedWeights {
		e.size = max(e.size, weight)
		e.listedLoad = e.size/weight - 1
	}
	kind := d.endpoints.kinds[e.kind]
	kind.size += (max(e.size, weight) - kind.size) * (1 - smoothing)
}

// remoteSide returns 1 for an executor in another zone, and 0 for one in this node's zone. If sending jobs to other
// zones has no cost, the result is always 0.
func (d *Dispatcher) remoteSide(e *executor) int {
	if d.config.crossZoneCost > 0 && e.zone != d.config.zone {
		return 1
	}
	return 0
}
