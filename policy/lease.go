package policy

import (
	"slices"
	"time"
)

// If there are many nodes and they may send each other messages, the slots of each executor are leased: one node, the lease
// holder, grants leases to all nodes. A node requests a lease before it uses a token of the executor, and returns it when it
// releases the token. If a lease holder does not answer, the node asks a second holder. If that one does not answer either,
// the node uses the executor without a lease for one interval.

const (
	maxDelayedStartFraction = 0.1 // fraction of delayed starts below which the lease quota may be raised
	leaseQuotaCooldown      = 4   // number of intervals for which a lowered lease quota is not raised
	leaseLifetime           = 2   // number of intervals after which a lease that was not returned expires
	leaseAnswerDivisor      = 4   // the timeout for a lease request is the shortest objective divided by this

	primaryRetryIntervals = 2 // number of intervals after which a node asks the first lease holder again
)

// LeaseMessage is a message between two nodes about a lease of an executor's slot. Its values are part of the wire protocol.
type LeaseMessage byte

// The lease messages. Borrowers send requests, cancels and returns; lease holders send grants and waits.
const (
	LeaseRequest       LeaseMessage = iota + 1 // requests a lease
	LeaseRequestLate                           // requests a lease for a job past its objective
	LeaseGrant                                 // grants a requested lease
	LeaseWait                                  // no lease is available; the request is queued
	LeaseCancel                                // withdraws a queued request
	LeaseReturn                                // returns a lease
	LeaseReturnDelayed                         // returns a lease whose job had to wait at the executor
)

// leaseTable holds this node's lease requests as a borrower, and its ledgers as the lease holder of executors.
type leaseTable struct {
	wanted     bool        // queued jobs may need leases to be requested at the end of this turn
	unused     []*executor // executors with a lease granted in this turn, to be returned at its end if no attempt uses it
	requests   []*executor // executors with a lease request that may be pending
	ledgers    map[ExecutorHash]*leaseLedger
	ledgerList []*leaseLedger // all ledgers, in the order in which they were opened
}

// leaseState holds this node's lease request and leases, as a borrower, for one executor.
type leaseState struct {
	holder         NodeID        // node that leases are requested from
	primaryRetryAt time.Duration // time from which the first lease holder is asked again
	bypassUntil    time.Duration // time until which the executor is used without a lease, since no holder answers
	requested      bool          // a lease was requested and not granted yet
	requestedAt    time.Duration
	queued         bool // the holder has answered that no lease is available yet
	granted        bool // a lease was granted and no attempt uses it yet
	inUse          int  // number of leases used by attempts
	listed         bool // the executor is in leaseTable.requests
}

// request records that a lease is requested of the holder now.
func (l *leaseState) request(now time.Duration) {
	l.requested = true
	l.queued = false
	l.requestedAt = now
}

// use marks a granted lease as used by an attempt.
func (l *leaseState) use() {
	if l.granted {
		l.granted = false
		l.inUse++
	}
}

// expireRequest drops a request that was not granted within the timeout.
func (l *leaseState) expireRequest(now, timeout time.Duration) {
	l.requested = l.requested && now-l.requestedAt <= timeout
}

// leaseLedger holds the leases of one executor's slots, and the nodes that wait for one. Its lease holder keeps it.
type leaseLedger struct {
	hash          ExecutorHash
	quota         int // number of slots that may be leased at the same time; a free slot seen in a health check may be added
	granted       []lease
	waiting       []NodeID // nodes that wait for a lease, longest first
	waitingLate   []NodeID // nodes that wait for a lease for a job past its objective, longest first
	returns       int      // number of leases returned in this interval
	delayedStarts int      // number of these leases whose job had to wait at the executor
	shortage      bool     // a node had to wait for a lease in this interval
	cooldown      int      // number of intervals until the quota may be raised
	grantedAt     time.Duration
	freeSlotSeen  bool // in this interval a health check showed a free slot while the whole quota was granted
}

// lease is a lease of one slot, granted to the borrower.
type lease struct {
	borrower  NodeID
	expiresAt time.Duration
}

// requestWanted makes the end of this turn request leases for queued jobs.
func (t *leaseTable) requestWanted() { t.wanted = true }

// addRequest adds an executor with a lease request, unless it is in the list already.
func (t *leaseTable) addRequest(e *executor) {
	if !e.lease.listed {
		e.lease.listed = true
		t.requests = append(t.requests, e)
	}
}

// pending returns the executors with a lease request that is not granted yet, in the order of the subset.
func (t *leaseTable) pending() []*executor {
	t.requests = slices.DeleteFunc(t.requests, func(e *executor) bool {
		e.lease.listed = e.lease.requested
		return !e.lease.listed
	})
	slices.SortFunc(t.requests, func(a, b *executor) int { return a.indexed.subsetRank - b.indexed.subsetRank })
	return t.requests
}

// ledgerFor returns the ledger of an executor whose lease holder is this node, and opens it if there is none.
func (t *leaseTable) ledgerFor(hash ExecutorHash) *leaseLedger {
	ledger := t.ledgers[hash]
	if ledger == nil {
		ledger = &leaseLedger{hash: hash, quota: initialQuota}
		t.ledgers[hash] = ledger
		t.ledgerList = append(t.ledgerList, ledger)
	}
	return ledger
}

// leasesSlots reports whether executors' slots are leased between nodes: nodes may send each other messages, and there are
// enough of them for subsetting.
func (d *Dispatcher) leasesSlots() bool { return d.config.canLease && d.usesSubset() }

// leaseHolderOf returns an executor's first lease holder.
func (d *Dispatcher) leaseHolderOf(hash ExecutorHash) NodeID {
	return NodeID(hash % ExecutorHash(d.config.nodeCount))
}

// secondLeaseHolderOf returns the lease holder to use while the first one does not answer. It is derived from another hash,
// so that the executors of a failed lease holder are spread over all nodes. It may be the same node as the first one.
func (d *Dispatcher) secondLeaseHolderOf(hash ExecutorHash) NodeID {
	return d.leaseHolderOf((hash ^ hash>>16) * goldenRatio32 >> 8)
}

// leaseAllows reports whether a token of e may be used now as far as leases are concerned, or, with forLease, whether a lease
// may be requested for e.
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

// exchangeLeases is called at the end of a turn. It returns unused leases, cancels queued requests if no job is queued any
// more, and requests leases for queued jobs.
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

// awaitsLease reports whether a lease was requested for j and the lease holder has not answered yet.
func (j *job) awaitsLease() bool {
	from := j.leaseRequestedFrom
	return from != nil && from.lease.requested && !from.lease.queued
}

// returnUnusedLeases returns the leases that were granted in this turn and that no attempt uses.
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

// cancelLeaseRequests cancels the requests that a lease holder has queued.
func (d *Dispatcher) cancelLeaseRequests(now time.Duration) {
	for _, e := range d.leases.pending() {
		if e.indexed.subsetRank >= 0 && e.lease.queued {
			e.lease.requested = false
			d.markDirty(e)
			d.sendLease(now, e.lease.holder, LeaseCancel, e.hash)
		}
	}
}

// requestLease requests a lease of one of e's slots for j. The first lease holder is asked again once primaryRetryAt has
// passed and no lease of the second one is in use.
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

// ReceiveLeaseMessage handles a lease message from another node about an executor's slots.
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

// receiveLeaseAnswer handles a lease holder's answer to a request of this node. A grant without a pending request to that
// holder is returned at once.
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

// receiveLeaseRequest handles a request as the lease holder. It grants a lease, or queues the request and sends the executor
// a health check, which may show a free slot beyond the quota.
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

// grantFreeSlot grants one more lease after a health check has shown a free slot, if this node has the executor's ledger. It
// grants none within the shortest objective after the last grant, as that lease may not show in the executor's load yet.
func (d *Dispatcher) grantFreeSlot(hash ExecutorHash, now time.Duration) {
	ledger := d.leases.ledgers[hash]
	if ledger == nil || now-ledger.grantedAt < d.classes.shortestObjective {
		return
	}
	granted := len(ledger.granted)
	ledger.freeSlotSeen = ledger.freeSlotSeen || granted >= ledger.quota
	d.grantLeases(ledger, granted+1, now)
}

// checkLeaseRequests handles lease requests that were not answered within the shortest objective divided by
// leaseAnswerDivisor. If the first lease holder did not answer, the next request goes to the second one. If the second one
// did not answer either, the executor is used without a lease for one interval.
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

// grantLeases grants leases to the nodes that have waited longest, up to the limit. It first drops the leases that were not
// returned within leaseLifetime intervals: their node has failed, or its message was lost.
func (d *Dispatcher) grantLeases(ledger *leaseLedger, limit int, now time.Duration) {
	ledger.granted = slices.DeleteFunc(ledger.granted, func(l lease) bool { return l.expiresAt <= now })
	for ledger.anyWaiting() && len(ledger.granted) < limit {
		to := ledger.popWaiting()
		ledger.grantedAt = now
		ledger.granted = append(ledger.granted, lease{to, now + leaseLifetime*d.classes.quotaInterval})
		d.sendLease(now, to, LeaseGrant, ledger.hash)
	}
}

// adjustLeaseQuotas adjusts the quotas of this node's ledgers at the end of an interval.
func (d *Dispatcher) adjustLeaseQuotas(now time.Duration) {
	for _, ledger := range d.leases.ledgerList {
		ledger.adjustQuota(d.config.canCheckHealth)
		d.grantLeases(ledger, ledger.quota, now)
	}
}

// sendLease sends a lease message. A message to this node itself is handled at once.
func (d *Dispatcher) sendLease(now time.Duration, to NodeID, message LeaseMessage, hash ExecutorHash) {
	if to == d.config.nodeID {
		d.ReceiveLeaseMessage(now, to, message, hash)
		return
	}
	d.outbox = append(d.outbox, DueTask{Task: SendLeaseMessage, Node: to, Message: message, Hash: hash})
}

// returnLease returns a lease of e that is in use, if there is one. waitedAtExecutor tells the lease holder whether the job had
// to wait at e.
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

// adjustQuota changes the quota by at most one, following the RAIN design's rule for executors' quotas. It is lowered
// if too many jobs had to wait at the executor. It is raised if nodes had to wait for a lease while few jobs had to
// wait at the executor. If executors answer health checks, one of these must also have shown a free slot. After the
// quota was lowered it is not raised for leaseQuotaCooldown intervals.
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

// addWaiting queues a node for a lease, unless it is queued already. Nodes with a job past its objective come after all others.
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

// removeWaiting removes a node from the queue.
func (l *leaseLedger) removeWaiting(node NodeID) {
	isNode := func(other NodeID) bool { return other == node }
	l.waiting = slices.DeleteFunc(l.waiting, isNode)
	l.waitingLate = slices.DeleteFunc(l.waitingLate, isNode)
}

// isWaiting reports whether a node is queued for a lease.
func (l *leaseLedger) isWaiting(node NodeID) bool {
	return slices.Contains(l.waiting, node) || slices.Contains(l.waitingLate, node)
}

// anyWaiting reports whether any node is queued for a lease.
func (l *leaseLedger) anyWaiting() bool { return len(l.waiting)+len(l.waitingLate) > 0 }

// popWaiting removes the next node from the queue and returns it. The queue must not be empty.
func (l *leaseLedger) popWaiting() NodeID {
	from := &l.waiting
	if len(l.waiting) == 0 {
		from = &l.waitingLate
	}
	node := (*from)[0]
	*from = (*from)[1:]
	return node
}

// recordReturn records a returned lease. A lease that has already expired also counts for the adjustment of the quota.
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
