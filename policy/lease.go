package policy

import (
	"slices"
	"time"
)

// Where nodes are many and may message each other, one node, the lease holder, grants leases on an executor's slots
// to all: a lease is requested before a token there is used, and returned with it. If the holder does not answer, nodes use the
// executor without a lease for one interval.

const (
	maxDelayedStartFraction = 0.1 // of starts that may have to wait at an executor for its holder to grant one lease more
	leaseQuotaCooldown      = 4   // intervals that a lowered lease quota stays
	leaseLifetime           = 2   // intervals after which a lease that is not returned is free again
	leaseAnswerDivisor      = 4   // a holder has the shortest objective over this to answer

	primaryRetryIntervals = 2 // intervals until the first holder in line is asked again
)

// LeaseMessage is what one node sends to another about an executor's slots. Its values are on the wire between nodes.
type LeaseMessage byte

// The lease messages. A borrower sends requests, cancels and returns, the lease holder grants and waits.
const (
	LeaseRequest       LeaseMessage = iota + 1 // a slot is wanted
	LeaseRequestLate                           // likewise, for a job past its objective
	LeaseGrant                                 // a slot is leased
	LeaseWait                                  // none is free yet; the request is queued
	LeaseCancel                                // a queued request is withdrawn
	LeaseReturn                                // the slot is free again
	LeaseReturnDelayed                         // likewise, and the job had to wait at the executor
)

// leaseTable is this node's part in leasing executors' slots between nodes: as a borrower, and as the holder for some.
type leaseTable struct {
	wanted     bool        // a queued job may want to request a lease
	unused     []*executor // where a lease was granted and no attempt uses it yet
	requests   []*executor // where a lease was requested
	ledgers    map[ExecutorHash]*leaseLedger
	ledgerList []*leaseLedger // the same, in the order in which they were opened
}

// leaseState is this node's lease of one of an executor's slots.
type leaseState struct {
	holder         NodeID        // who is asked for it
	primaryRetryAt time.Duration // from then on the first holder in line is asked again
	bypassUntil    time.Duration // no holder answers: until then the executor is used without a lease
	requested      bool
	requestedAt    time.Duration
	queued         bool // the holder has none free yet
	granted        bool // and not used yet
	inUse          int  // used by attempts, to be returned
	listed         bool // it is in leaseTable.requests
}

// request records that a lease is requested of the holder now.
func (l *leaseState) request(now time.Duration) {
	l.requested = true
	l.queued = false
	l.requestedAt = now
}

// use turns a granted lease into one that an attempt uses.
func (l *leaseState) use() {
	if l.granted {
		l.granted = false
		l.inUse++
	}
}

// expireRequest gives up a request that was not granted within the timeout.
func (l *leaseState) expireRequest(now, timeout time.Duration) {
	l.requested = l.requested && now-l.requestedAt <= timeout
}

// leaseLedger is what this node keeps for all nodes as the lease holder of an executor.
type leaseLedger struct {
	hash          ExecutorHash
	quota         int
	granted       []lease
	waiting       []NodeID // for a lease, the first at the front
	waitingLate   []NodeID // likewise with a job past its objective
	returns       int      // leases returned in this interval
	delayedStarts int      // those of them where the job had to wait at the executor
	shortage      bool     // somebody had to wait in this interval
	cooldown      int      // intervals until the quota may rise
	grantedAt     time.Duration
	freeSlotSeen  bool // in this interval a probe showed a free slot while all were granted
}

// lease is one slot that is granted to a node, the borrower.
type lease struct {
	borrower  NodeID
	expiresAt time.Duration
}

// requestWanted has the end of this turn request leases for jobs that wait.
func (t *leaseTable) requestWanted() { t.wanted = true }

// addRequest adds an executor that a lease was requested for.
func (t *leaseTable) addRequest(e *executor) {
	if !e.lease.listed {
		e.lease.listed = true
		t.requests = append(t.requests, e)
	}
}

// pending returns the executors with a lease request that was not granted yet, in the order of the subset.
func (t *leaseTable) pending() []*executor {
	t.requests = slices.DeleteFunc(t.requests, func(e *executor) bool {
		e.lease.listed = e.lease.requested
		return !e.lease.listed
	})
	slices.SortFunc(t.requests, func(a, b *executor) int { return a.indexed.subsetRank - b.indexed.subsetRank })
	return t.requests
}

// ledgerFor returns the ledger of an executor that this node holds the leases of. The first request opens it.
func (t *leaseTable) ledgerFor(hash ExecutorHash) *leaseLedger {
	ledger := t.ledgers[hash]
	if ledger == nil {
		ledger = &leaseLedger{hash: hash, quota: initialQuota}
		t.ledgers[hash] = ledger
		t.ledgerList = append(t.ledgerList, ledger)
	}
	return ledger
}

// leasesSlots reports whether executors' slots are leased between nodes: nodes may message each other and are many.
func (d *Dispatcher) leasesSlots() bool { return d.config.canLease && d.usesSubset() }

// leaseHolderOf returns the node that grants an executor's leases.
func (d *Dispatcher) leaseHolderOf(hash ExecutorHash) NodeID {
	return NodeID(hash % ExecutorHash(d.config.nodeCount))
}

// secondLeaseHolderOf returns the node that does so while the first does not answer: it follows another hash, so that a
// node's executors are spread over all others. Both may be the same node.
func (d *Dispatcher) secondLeaseHolderOf(hash ExecutorHash) NodeID {
	return d.leaseHolderOf((hash ^ hash>>16) * goldenRatio32 >> 8)
}

// leaseAllows reports whether a lease allows a token of e to be used now, or, with forLease, whether one may be requested.
func (d *Dispatcher) leaseAllows(e *executor, now time.Duration, forLease bool) bool {
	if !d.leasesSlots() {
		return !forLease
	}
	bypassed := e.lease.bypassUntil > now
	if forLease {
		return !e.lease.granted && !e.lease.requested && !bypassed
	}
	return e.lease.granted || bypassed
}

// exchangeLeases ends a turn: it returns leases that no job used, cancels requests when no job waits any more, and
// requests leases for the jobs that wait.
func (d *Dispatcher) exchangeLeases(now time.Duration) {
	d.returnUnusedLeases(now)
	if d.queue.empty() {
		d.cancelLeaseRequests(now)
	}
	if !d.leases.wanted || !d.leasesSlots() {
		return
	}
	d.leases.wanted = false
	for _, list := range d.queue.inOrder() {
		for _, j := range list[:min(len(list), len(d.subset.members))] {
			if j.awaitsLease() {
				continue
			}
			if e := d.pickExecutor(j, now, true); e != nil {
				d.requestLease(j, e, now)
			}
		}
	}
}

// awaitsLease reports whether a lease was requested for j and the holder has not answered yet.
func (j *job) awaitsLease() bool {
	from := j.leaseRequestedFrom
	return from != nil && from.lease.requested && !from.lease.queued
}

// returnUnusedLeases returns the leases that were granted and that no attempt used in this turn.
func (d *Dispatcher) returnUnusedLeases(now time.Duration) {
	for _, e := range d.leases.unused {
		if e.lease.granted {
			e.lease.granted = false
			d.markDirty(e)
			d.sendLease(now, e.lease.holder, LeaseReturn, e.hash)
		}
	}
	d.leases.unused = d.leases.unused[:0]
}

// cancelLeaseRequests cancels the requests that a holder has queued.
func (d *Dispatcher) cancelLeaseRequests(now time.Duration) {
	for _, e := range d.leases.pending() {
		if e.indexed.subsetRank >= 0 && e.lease.queued {
			e.lease.requested = false
			d.markDirty(e)
			d.sendLease(now, e.lease.holder, LeaseCancel, e.hash)
		}
	}
}

// requestLease requests a lease of one of e's slots for j. The first holder in line is asked again once primaryRetryAt has
// passed and no lease of the other one is in use.
func (d *Dispatcher) requestLease(j *job, e *executor, now time.Duration) {
	if now >= e.lease.primaryRetryAt && e.lease.inUse == 0 {
		e.lease.holder = d.leaseHolderOf(e.hash)
	}
	j.leaseRequestedFrom = e
	e.lease.request(now)
	d.leases.addRequest(e)
	d.markDirty(e)
	d.timers.checkAll(now + d.classes.shortestObjective/leaseAnswerDivisor)
	message := LeaseRequest
	if d.isLate(j, now) {
		message = LeaseRequestLate
	}
	d.sendLease(now, e.lease.holder, message, e.hash)
}

// ReceiveLeaseMessage takes up a lease message from another node about an executor's slots.
func (d *Dispatcher) ReceiveLeaseMessage(now time.Duration, from NodeID, message LeaseMessage, hash ExecutorHash) {
	switch message {
	case LeaseGrant, LeaseWait:
		d.receiveLeaseAnswer(now, from, message, hash)
	case LeaseRequest, LeaseRequestLate:
		d.receiveLeaseRequest(now, from, message == LeaseRequestLate, hash)
	case LeaseCancel:
		d.leases.ledgerFor(hash).removeWaiting(from)
	case LeaseReturn, LeaseReturnDelayed:
		ledger := d.leases.ledgerFor(hash)
		ledger.recordReturn(from, message == LeaseReturnDelayed)
		d.grantLeases(ledger, ledger.quota, now)
	}
}

// receiveLeaseAnswer handles a holder's answer to a request of this node. A grant that was not requested of that holder,
// or is not wanted any more, is returned at once.
func (d *Dispatcher) receiveLeaseAnswer(now time.Duration, from NodeID, message LeaseMessage, hash ExecutorHash) {
	e := d.endpoints.byHash[hash]
	if e == nil || !e.lease.requested || e.lease.holder != from {
		if message == LeaseGrant {
			d.sendLease(now, from, LeaseReturn, hash)
		}
		return
	}
	d.queue.rescan()
	d.leases.requestWanted()
	e.lease.queued = message == LeaseWait
	if message == LeaseGrant {
		e.lease.requested = false
		e.lease.granted = true
		d.markDirty(e)
		d.leases.unused = append(d.leases.unused, e)
	}
}

// receiveLeaseRequest handles a request as the lease holder: it grants a lease, or queues the node and has the executor
// checked for a slot beyond the quota.
func (d *Dispatcher) receiveLeaseRequest(now time.Duration, from NodeID, pastObjective bool, hash ExecutorHash) {
	ledger := d.leases.ledgerFor(hash)
	ledger.addWaiting(from, pastObjective)
	d.grantLeases(ledger, ledger.quota, now)
	if !ledger.isWaiting(from) {
		return
	}
	ledger.shortage = true
	d.sendLease(now, from, LeaseWait, hash)
	if e := d.endpoints.byHash[hash]; e != nil {
		d.requestHealthCheck(e, now, d.classes.shortestObjective)
	}
}

// grantFreeSlot grants one lease more than there are, if this node holds the executor's ledger: a health check showed a
// free slot. After a grant it waits for the shortest objective, until that lease shows in the executor's load.
func (d *Dispatcher) grantFreeSlot(hash ExecutorHash, now time.Duration) {
	ledger := d.leases.ledgers[hash]
	if ledger == nil || now-ledger.grantedAt < d.classes.shortestObjective {
		return
	}
	granted := len(ledger.granted)
	ledger.freeSlotSeen = ledger.freeSlotSeen || granted >= ledger.quota
	d.grantLeases(ledger, granted+1, now)
}

// checkLeaseRequests turns to the next lease holder in line where a request was not answered within the shortest
// objective over leaseAnswerDivisor, and does without a lease for an interval where that one does not answer either.
func (d *Dispatcher) checkLeaseRequests(now time.Duration) {
	for _, e := range d.leases.pending() {
		unanswered := !e.lease.queued && now-e.lease.requestedAt >= d.classes.shortestObjective/leaseAnswerDivisor
		if e.indexed.subsetRank < 0 || !unanswered {
			continue
		}
		e.lease.requested = false
		e.lease.inUse = 0
		d.markDirty(e)
		if e.lease.holder == d.leaseHolderOf(e.hash) {
			e.lease.holder = d.secondLeaseHolderOf(e.hash)
			e.lease.primaryRetryAt = now + primaryRetryIntervals*d.classes.quotaInterval
		} else {
			e.lease.bypassUntil = now + d.classes.quotaInterval
		}
	}
}

// grantLeases grants leases to the nodes that have waited longest, until the limit is reached. A lease that does not come
// back within leaseLifetime intervals is free again: its node has failed, or its message was lost.
func (d *Dispatcher) grantLeases(ledger *leaseLedger, limit int, now time.Duration) {
	ledger.granted = slices.DeleteFunc(ledger.granted, func(l lease) bool { return l.expiresAt <= now })
	for ledger.anyWaiting() && len(ledger.granted) < limit {
		to := ledger.popWaiting()
		ledger.grantedAt = now
		ledger.granted = append(ledger.granted, lease{to, now + leaseLifetime*d.classes.quotaInterval})
		d.sendLease(now, to, LeaseGrant, ledger.hash)
	}
}

// adjustLeaseQuotas ends an interval for the ledgers of this node: each quota moves by one at most.
func (d *Dispatcher) adjustLeaseQuotas(now time.Duration) {
	for _, ledger := range d.leases.ledgerList {
		ledger.adjustQuota(d.config.canProbe)
		d.grantLeases(ledger, ledger.quota, now)
	}
}

// sendLease sends a lease message. One to this node itself is handled at once.
func (d *Dispatcher) sendLease(now time.Duration, to NodeID, message LeaseMessage, hash ExecutorHash) {
	if to == d.config.nodeID {
		d.ReceiveLeaseMessage(now, to, message, hash)
		return
	}
	d.outbox = append(d.outbox, DueTask{Task: SendLeaseMessage, Node: to, Message: message, Hash: hash})
}

// returnLease returns the lease that an attempt at e used, if there is one, and says whether its job had to wait there.
func (d *Dispatcher) returnLease(e *executor, now time.Duration, waitedAtExecutor bool) {
	if e.lease.inUse == 0 {
		return
	}
	e.lease.inUse--
	message := LeaseReturn
	if waitedAtExecutor {
		message = LeaseReturnDelayed
	}
	d.sendLease(now, e.lease.holder, message, e.hash)
}

// adjustQuota moves the number of slots that may be leased by one at most, by the design's rule for quotas: down if too
// many jobs had to wait at the executor, up if nodes had to wait for a lease and few jobs did, and, where executors
// answer health checks, one of them showed a free slot. After a step down the quota stays for leaseQuotaCooldown
// intervals.
func (l *leaseLedger) adjustQuota(canProbe bool) {
	l.cooldown--
	delayedFraction := float64(l.delayedStarts) / max(float64(l.returns), 1)
	switch {
	case delayedFraction > executorQueuingThreshold && l.quota > 1:
		l.quota--
		l.cooldown = leaseQuotaCooldown
	case delayedFraction < maxDelayedStartFraction && l.shortage && l.quota < maxQuota && l.cooldown <= 0 && (!canProbe || l.freeSlotSeen):
		l.quota++
	}
	l.delayedStarts = 0
	l.returns = 0
	l.shortage = len(l.waiting) > 0
	l.freeSlotSeen = false
}

// addWaiting queues a node for a lease. Nodes whose job is past its objective wait behind all others.
func (l *leaseLedger) addWaiting(node NodeID, pastObjective bool) {
	if l.isWaiting(node) {
		return
	}
	if pastObjective {
		l.waitingLate = append(l.waitingLate, node)
	} else {
		l.waiting = append(l.waiting, node)
	}
}

// removeWaiting takes a node out of the queue.
func (l *leaseLedger) removeWaiting(node NodeID) {
	isNode := func(other NodeID) bool { return other == node }
	l.waiting = slices.DeleteFunc(l.waiting, isNode)
	l.waitingLate = slices.DeleteFunc(l.waitingLate, isNode)
}

// isWaiting reports whether a node is queued for a lease.
func (l *leaseLedger) isWaiting(node NodeID) bool {
	return slices.Contains(l.waiting, node) || slices.Contains(l.waitingLate, node)
}

// anyWaiting reports whether some node is.
func (l *leaseLedger) anyWaiting() bool { return len(l.waiting)+len(l.waitingLate) > 0 }

// popWaiting takes the node that has waited longest out of the queue.
func (l *leaseLedger) popWaiting() NodeID {
	from := &l.waiting
	if len(l.waiting) == 0 {
		from = &l.waitingLate
	}
	node := (*from)[0]
	*from = (*from)[1:]
	return node
}

// recordReturn takes a lease back. One that had expired counts all the same for the step of the quota.
func (l *leaseLedger) recordReturn(from NodeID, waitedAtExecutor bool) {
	l.returns++
	if waitedAtExecutor {
		l.delayedStarts++
	}
	index := slices.IndexFunc(l.granted, func(granted lease) bool { return granted.borrower == from })
	if index >= 0 {
		l.granted = slices.Delete(l.granted, index, index+1)
	}
}
