package policy

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

// Upkeep of what state.go holds, without decisions.

func scaled(t time.Duration, f float64) time.Duration { return time.Duration(float64(t) * f) }

func oneIf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// Random is a number from 0 to 1 drawn from a seed and a counter.
func Random(seed, count uint32) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:4], seed)
	binary.LittleEndian.PutUint32(b[4:], count)
	return float64(crc32.ChecksumIEEE(b[:])) / math.MaxUint32
}

// randomSource draws the dispatcher's random numbers.
type randomSource struct{ seed, count uint32 }

// next is the next number from 0 to 1.
func (r *randomSource) next() float64 {
	r.count++
	return Random(r.seed, r.count)
}

// logf writes a line to the log.
func (d *Dispatcher) logf(format string, args ...any) {
	d.outbox = append(d.outbox, DueTask{Task: WriteLog, Text: fmt.Sprintf(format, args...)})
}

// schedule notes a due time of a batch job, of a token that is to come free, or of neither: a look at everything.
func (d *Dispatcher) schedule(at time.Duration, j *job, token *executor) {
	d.timers.sequence++
	it := timer{at: at, sequence: d.timers.sequence, job: j, tokenOf: token}
	if j != nil {
		it.generation = j.generation
	}
	heap.Push(&d.timers.heap, it)
}

// scheduleCheck notes when an allocation that is out gets its next look; a look noted before falls away.
func (d *Dispatcher) scheduleCheck(at time.Duration, s *attempt) {
	d.timers.sequence++
	s.generation++
	heap.Push(&d.timers.heap, timer{at: at, sequence: d.timers.sequence, generation: s.generation, attempt: s})
}

// addKind makes room for a kind's figures: a known executor may come back as another kind, too.
func (d *Dispatcher) addKind(id KindID, weight float64) {
	if d.endpoints.kinds[id] == nil {
		d.endpoints.kinds[id] = &kindStats{pace: 1, concurrency: 1, size: weight}
		d.addKindIndex(id, d.endpoints.kinds[id])
	}
}

// safeSlots are a kind's places, for rule 4: by reports that are exact enough, or by what ran beside each other for long enough. Guards
// against the notice of a start that passes that of the end before it, by which an executor with one place looks as if it had two.
func (k *kindStats) safeSlots() float64 {
	if k.exactSlots > 0 {
		return max(1, math.Round(k.exactSlots))
	}
	return float64(max(1, min(k.concurrency, k.observedConcurrency)))
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

// valueOf is what a batch job earns, by its work or whatever it is.
func (d *Dispatcher) valueOf(j *job) float64 {
	if d.config.valuePerWork {
		return j.class.value * j.work.Seconds()
	}
	return j.class.value
}

// tenantFactor is what a tenant's earnings count for: less over its share.
func (d *Dispatcher) tenantFactor(t *tenant) float64 {
	if t != nil && t.overQuota > 1 {
		return d.config.overQuotaValue + (1-d.config.overQuotaValue)/t.overQuota
	}
	return 1
}

// latencyObjective is the span of j's quoted time, counted from its first try.
func (j *job) latencyObjective() time.Duration {
	return min(j.class.latencyObjective+scaled(j.work, j.class.runTimeFactor), j.class.deadline)
}

// remoteSide is 1 for an executor of another zone, where that has a price.
func (d *Dispatcher) remoteSide(e *executor) int {
	if d.config.crossZoneCost > 0 && e.zone != d.config.zone {
		return 1
	}
	return 0
}

// capToShutdown cuts what a batch job has left to the end of its node.
func (d *Dispatcher) capToShutdown(j *job) {
	if d.clock.shutdownBy > 0 {
		j.deadlineAt = min(j.deadlineAt, d.clock.shutdownBy)
		j.objectiveAt = min(j.objectiveAt, d.clock.shutdownBy)
	}
}

// ShutDownBy tells that this node ends: all in hand must be over by then, and what can't be gets its answer at
// once.
func (d *Dispatcher) ShutDownBy(now, by time.Duration) {
	d.clock.shutdownBy = by
	for _, j := range d.jobs {
		d.capToShutdown(j)
	}
	for _, j := range slices.Concat(d.queue.onTime, d.queue.late) {
		d.schedule(now, j, nil)
	}
}

// ---- Held batch jobs, in the order of their keys, late ones apart ----

func compareQueueKeys(a, b *job) int {
	return cmp.Or(cmp.Compare(a.queueKey, b.queueKey), cmp.Compare(a.id, b.id))
}

func (d *Dispatcher) queueOf(late bool) *[]*job {
	if late {
		return &d.queue.late
	}
	return &d.queue.onTime
}

func (d *Dispatcher) enqueue(j *job) {
	list := d.queueOf(j.queuedLate)
	i, _ := slices.BinarySearchFunc(*list, j, compareQueueKeys)
	*list = slices.Insert(*list, i, j)
}

func (d *Dispatcher) dequeue(j *job) {
	if j.isQueued {
		j.isQueued = false
		list := d.queueOf(j.queuedLate)
		i, _ := slices.BinarySearchFunc(*list, j, compareQueueKeys)
		*list = slices.Delete(*list, i, i+1)
	}
}

func (d *Dispatcher) removeJob(j *job) {
	d.dequeue(j)
	j.finished = true
	j.generation++
	delete(d.jobs, j.id)
}

// findAttempt is a batch job's allocation n, if it is out now.
func (d *Dispatcher) findAttempt(id JobID, n AttemptID) *attempt {
	if j := d.jobs[id]; j != nil {
		for _, s := range j.attempts {
			if s.number == n {
				return s
			}
		}
	}
	return nil
}

// finish books a batch job that is over: what is still out of it gets its look at once.
func (d *Dispatcher) finish(j *job, now time.Duration) {
	if len(j.attempts) == 0 {
		d.removeJob(j)
		return
	}
	d.dequeue(j)
	j.finished = true
	j.generation++
	for _, s := range j.attempts {
		d.scheduleCheck(now, s)
	}
}

// ---- Tokens ----

// dispatch books that an allocation of j goes out to e.
func (d *Dispatcher) dispatch(j *job, e *executor, now time.Duration) Decision {
	d.dequeue(j)
	// A late batch job waits because others go first, not for want of tokens: its time until then counts.
	e.queuing.here += max(0, min(now, j.objectiveAt-j.work)-j.queuedAt)
	if len(e.attempts) == 0 {
		e.health.lastSeen = now
	}
	s := &attempt{job: j, number: AttemptID(j.attemptCount), executor: e, zone: e.zone, cell: e.cell, sentAt: now}
	d.takeToken(e, s)
	if now < e.slowStart.until {
		e.slowStart.spent = append(e.slowStart.spent, spend{now, j.slowStartWork()})
	}
	j.attemptCount++
	j.generation++
	d.scheduleCheck(now+d.classes.checkInterval, s)
	return Decision{Action: Send, Executor: e.id}
}

// takeToken uses the oldest free token.
func (d *Dispatcher) takeToken(e *executor, s *attempt) {
	e.tokens.free = e.tokens.free[1:]
	e.tokens.taken++
	e.queuing.outOfTokens = e.queuing.outOfTokens || len(e.tokens.free) == 0
	if e.lease.granted {
		e.lease.granted = false
		e.lease.held++
	}
	e.attempts = append(e.attempts, s)
	s.job.attempts = append(s.job.attempts, s)
	d.markDirty(e)
}

// releaseToken frees a token. Late: the batch job did not start there at once.
func (d *Dispatcher) releaseToken(e *executor, now time.Duration, late bool) {
	d.returnLease(e, now, late)
	e.tokens.taken--
	if e.tokens.taken+len(e.tokens.free) < e.tokens.quota {
		e.tokens.free = append(e.tokens.free, now)
	}
	d.queue.tokenFreed = true
	d.markDirty(e)
}

// meanQuota is that of quotas.
type meanQuota struct{ sum, count int }

func (m meanQuota) of(none int) int {
	if m.count == 0 {
		return none
	}
	return (m.sum + m.count/2) / m.count
}

func (m meanQuota) with(quota int) meanQuota { return meanQuota{m.sum + quota, m.count + 1} }

// meanQuotas reckons the kinds' mean quotas, once for all executors that come into the slice together.
func (d *Dispatcher) meanQuotas(means map[KindID]meanQuota) {
	if len(means) > 0 {
		return
	}
	means[AnyKind] = meanQuota{} // reckoned, though none is met yet
	for _, e := range d.quota.executors {
		if e.available {
			means[e.kind] = means[e.kind].with(e.tokens.quota)
		}
	}
}

// addWithTokens takes an executor among those met.
func (d *Dispatcher) addWithTokens(e *executor) {
	d.quota.joined++
	e.tokens.joined = d.quota.joined
	d.quota.executors = append(d.quota.executors, e)
	d.markDirty(e)
}

// dropRemovedWithTokens takes those that are gone from among those met, once nothing of ours is there.
func (d *Dispatcher) dropRemovedWithTokens() {
	d.quota.executors = slices.DeleteFunc(d.quota.executors, func(e *executor) bool {
		drop := e.removed && e.tokens.taken == 0
		if drop {
			e.tokens.joined = 0
		}
		return drop
	})
}

// markUnresponsive lets nothing go to an executor until it answers.
func (d *Dispatcher) markUnresponsive(e *executor, silences int) {
	e.health.unresponsive, e.health.timeouts = true, silences
	d.subset.stale, d.subset.changed = true, true
	d.awaitReply(e)
}

// stepQuota moves a quota.
func (d *Dispatcher) stepQuota(e *executor, by int, now time.Duration) {
	e.tokens.quota += by
	d.markDirty(e)
	if by > 0 {
		if e.tokens.taken+len(e.tokens.free) < e.tokens.quota {
			e.tokens.free = append(e.tokens.free, now)
			d.queue.tokenFreed = true
		}
	} else if e.tokens.taken+len(e.tokens.free) > e.tokens.quota && len(e.tokens.free) > 0 {
		e.tokens.free = e.tokens.free[:len(e.tokens.free)-1]
	}
}

// ---- Places that nodes lend each other ----

func (d *Dispatcher) sendLease(now time.Duration, to NodeID, word LeaseMessage, sum ExecutorHash) {
	if to == d.config.nodeID {
		d.ReceiveLeaseMessage(now, to, word, sum)
		return
	}
	d.outbox = append(d.outbox, DueTask{Task: SendLeaseMessage, Node: to, Message: word, Hash: sum})
}

// returnLease tells the keeper that a place it lent is free again.
func (d *Dispatcher) returnLease(e *executor, now time.Duration, late bool) {
	if e.lease.held > 0 {
		e.lease.held--
		word := LeaseReturn
		if late {
			word = LeaseReturnLate
		}
		d.sendLease(now, e.lease.holder, word, e.hash)
	}
}

// ledgerFor is the book that this node keeps of an executor's places.
func (d *Dispatcher) ledgerFor(sum ExecutorHash) *leaseLedger {
	k := d.leases.ledgers[sum]
	if k == nil {
		k = &leaseLedger{hash: sum, quota: initialQuota}
		d.leases.ledgers[sum] = k
		d.leases.ledgerList = append(d.leases.ledgerList, k)
	}
	return k
}

// addWaiting puts a node into the queue, or into that of those with late batch jobs.
func (k *leaseLedger) addWaiting(n NodeID, late bool) {
	if k.isWaiting(n) {
		return
	}
	list := &k.waiting
	if late {
		list = &k.waitingLate
	}
	*list = append(*list, n)
}

func (k *leaseLedger) removeWaiting(n NodeID) {
	is := func(o NodeID) bool { return o == n }
	k.waiting, k.waitingLate = slices.DeleteFunc(k.waiting, is), slices.DeleteFunc(k.waitingLate, is)
}

func (k *leaseLedger) isWaiting(n NodeID) bool {
	return slices.Contains(k.waiting, n) || slices.Contains(k.waitingLate, n)
}

// recordReturn takes a place back; one that has been given up for lost is passed over. Late: the batch job had to wait there.
func (k *leaseLedger) recordReturn(from NodeID, late bool) {
	k.returns++
	k.lateStarts += int(oneIf(late))
	if i := slices.IndexFunc(k.granted, func(l lease) bool { return l.holder == from }); i >= 0 {
		k.granted = slices.Delete(k.granted, i, i+1)
	}
}

// popWaiting takes the node that has waited longest out of the queue, those with late batch jobs last.
func (k *leaseLedger) popWaiting() NodeID {
	from := &k.waiting
	if len(k.waiting) == 0 {
		from = &k.waitingLate
	}
	n := (*from)[0]
	*from = (*from)[1:]
	return n
}
