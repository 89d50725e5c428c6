package policy

import (
	"slices"
	"time"
)

// In a large cluster whose nodes may send each other messages, the slots of each executor are leased. One node, called
// the executor's lease holder, grants the leases to all nodes, itself included. A node requests a lease before it uses
// a token of the executor, and returns the lease when it releases the token. If the lease holder does not answer, the
// node asks a second lease holder. If that one does not answer either, the node uses the executor without a lease for
// one interval.

const (
	// A lease quota is raised only if less than this fraction of the jobs had to wait at the executor.
	maxDelayedStartFraction = 0.1
	// A lease quota that was lowered is raised again after this number of intervals at the earliest.
	leaseQuotaCooldown = 4
	leaseLifetime      = 2 // a lease that is not returned expires after this number of intervals
	leaseAnswerDivisor = 4 // the timeout for a lease request is the shortest objective divided by this

	primaryRetryIntervals = 2 // a lease holder that did not answer is asked again after this number of intervals
)

// LeaseMessage is a message between two nodes about a lease of a slot of an executor. Its values are part of the wire
// protocol.
type LeaseMessage byte

// The lease messages. A borrower, which is a node that uses leases, sends requests, cancels and returns. A lease
// holder, which is the node that grants an executor's leases, sends grants and waits.
const (
	LeaseRequest       LeaseMessage = iota + 1 // requests a lease
	LeaseRequestLate                           // requests a lease for a job past its objective
	LeaseGrant                                 // grants a requested lease
	LeaseWait                                  // no lease is available yet; the request is queued
	LeaseCancel                                // withdraws a queued request
	LeaseReturn                                // returns a lease
	LeaseReturnDelayed                         // returns a lease whose job had to wait at the executor
)

// leaseTable holds this node's own lease requests, and the ledgers of the executors whose leases this node grants.
type leaseTable struct {
	wanted bool // at the end of this turn, leases are requested for queued jobs that need one
	// Executors whose lease holder granted this node a lease in this turn. At the end of the turn, the leases that no
	// attempt uses are returned.
	unused     []*executor
	requests   []*executor // executors for which a lease was requested; some of the requests may have ended since
	ledgers    map[ExecutorHash]*leaseLedger
	ledgerList []*leaseLedger // all lease ledgers of this node, in the order in which they were opened
}

// leaseState holds this node's lease request and its leases for one executor.
type leaseState struct {
	holder         NodeID        // node from which leases of the executor are requested
	primaryRetryAt time.Duration // time from which leases are requested from the first lease holder again
	// Time until which the executor is used without a lease, because no lease holder has answered.
	bypassUntil time.Duration
	requested   bool // a lease was requested and has not been granted yet
	requestedAt time.Duration
	queued      bool // the lease holder has answered that no lease is available yet
	granted     bool // a lease was granted and no attempt uses it yet
	inUse       int  // number of leases that attempts use
	listed      bool // the executor is in leaseTable.requests
}

// request records that a lease is requested now.
func (l *leaseState) request(now time.Duration) {
	l.requested = true
	l.queued = false
	l.requestedAt = now
}

// use marks the granted lease, if there is one, as used by an attempt.
func (l *leaseState) use() {
	if l.granted {
		l.granted = false
		l.inUse++
	}
}

// expireRequest drops a lease request that was not granted within the timeout.
func (l *leaseState) expireRequest(now, timeout time.Duration) {
	l.requested = l.requested && now-l.requestedAt <= timeout
}

// leaseLedger holds the leases of one executor's slots, and the nodes that wait for a lease. It is kept by the
// executor's lease holder, the node that grants these leases.
type leaseLedger struct {
	hash ExecutorHash
	// Maximum number of leases granted at the same time. After a health check that shows a free slot, one more lease is
	// granted even if this number is reached.
	quota   int
	granted []lease
	waiting []NodeID // nodes that wait for a lease, longest wait first
	// Nodes that wait for a lease for a job past its objective, longest wait first. They get leases only when waiting is
	// empty.
	waitingLate   []NodeID
	returns       int  // number of leases returned in this interval
	delayedStarts int  // number of leases returned in this interval whose job had to wait at the executor
	shortage      bool // a node had to wait for a lease in this interval
	cooldown      int  // number of intervals until the quota can be raised again; 0 or less: it can be raised now
	grantedAt     time.Duration
	freeSlotSeen  bool // a health check showed a free slot in this interval although the whole quota was granted
}

// lease is a lease of one slot of an executor. The borrower is the node to which the lease is granted.
type lease struct {
	borrower  NodeID
	expiresAt time.Duration
}

// requestWanted schedules lease requests for queued jobs at the end of this turn.
func (t *leaseTable) requestWanted() { t.wanted = true }

// addRequest adds an executor for which a lease was requested, unless the executor is in the list already.
func (t *leaseTable) addRequest(e *executor) {
	if !e.lease.listed {
		e.lease.listed = true
		t.requests = append(t.requests, e)
	}
}

// pending returns the executors for which a lease is requested and not granted yet, in the order of the subset.
func (t *leaseTable) pending() []*executor {
	t.requests = slices.DeleteFunc(t.requests, func(e *executor) bool {
		e.lease.listed = e.lease.requested
		return !e.lease.listed
	})
	slices.SortFunc(t.requests, func(a, b *executor) int { return a.indexed.subsetRank - b.indexed.subsetRank })
	return t.requests
}

// ledgerFor returns the lease ledger of an executor whose leases this node grants. If there is none yet, it opens one.
func (t *leaseTable) ledgerFor(hash ExecutorHash) *leaseLedger {
	ledger := t.ledgers[hash]
	if ledger == nil {
		ledger = &leaseLedger{hash: hash, quota: initialQuota}
		t.ledgers[hash] = ledger
		t.ledgerList = append(t.ledgerList, ledger)
	}
	return ledger
}

// leasesSlots reports whether executors' slots are leased between nodes. That requires that nodes may send each other
// messages, and that the cluster has enough nodes for subsetting.
func (d *Dispatcher) leasesSlots() bool { return d.config.canLease && d.usesSubset() }

// leaseHolderOf returns an executor's first lease holder: the node that grants its leases unless that node fails.
func (d *Dispatcher) leaseHolderOf(hash ExecutorHash) NodeID {
	return NodeID(hash % ExecutorHash(d.config.nodeCount))
}

// secondLeaseHolderOf returns an executor's second lease holder: the node that is asked for leases while the first
// lease holder does not answer. It is derived from another hash, so that the executors whose first lease holder has
// failed are spread over all nodes. For some executors it is the same node as the first lease holder.
func (d *Dispatcher) secondLeaseHolderOf(hash ExecutorHash) NodeID {
	return d.leaseHolderOf((hash ^ hash>>16) * goldenRatio32 >> 8)
}

// leaseAllows reports whether the state of e's leases allows the use of a token of e now. With forLease it reports
// instead whether this state allows a lease request for e.
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

// exchangeLeases is called at the end of a turn. It returns unused leases and requests leases for queued jobs. If no
// job is queued any more, it cancels the requests that wait for a lease.
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

// awaitsLease reports whether a lease was requested for j and the request has not been answered yet.
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

// cancelLeaseRequests cancels this node's lease requests that wait in the queue of a lease holder. Requests for
// executors outside the subset are left alone.
func (d *Dispatcher) cancelLeaseRequests(now time.Duration) {
	for _, e := range d.leases.pending() {
		if e.indexed.subsetRank >= 0 && e.lease.queued {
			e.lease.requested = false
			d.markDirty(e)
			d.sendLease(now, e.lease.holder, LeaseCancel, e.hash)
		}
	}
}

// requestLease requests a lease of one of e's slots for j. The request goes to the first lease holder again once
// primaryRetryAt has passed and no attempt uses a lease of e that the second lease holder granted.
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

// ReceiveLeaseMessage handles a lease message from another node about the slots of the executor with the given hash.
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

// receiveLeaseAnswer handles a lease holder's answer to a lease request of this node. If this node has no pending
// request to that lease holder, a granted lease is returned at once.
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

// receiveLeaseRequest handles a lease request for an executor whose leases this node grants. It grants a lease or
// queues the request. After it has queued the request, it sends the executor a health check, because the executor may
// have a free slot beyond the quota.
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

// grantFreeSlot grants one more lease to a waiting node after a health check has shown a free slot, if this node grants
// the executor's leases. It grants none within the shortest objective after the last grant, because the reported load
// may not include the job of that grant yet.
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
// leaseAnswerDivisor. If the first lease holder did not answer, the next request goes to the second one. If the second
// one did not answer either, the executor is used without a lease for one interval. If both are the same node, the
// requests to it are repeated instead.
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

// grantLeases grants leases to the nodes that have waited longest, until the number of granted leases reaches the
// limit. Before that, it drops the leases that were not returned within leaseLifetime intervals, because the borrower
// has failed or its message was lost.
func (d *Dispatcher) grantLeases(ledger *leaseLedger, limit int, now time.Duration) {
	ledger.granted = slices.DeleteFunc(ledger.granted, func(l lease) bool { return l.expiresAt <= now })
	for ledger.anyWaiting() && len(ledger.granted) < limit {
		to := ledger.popWaiting()
		ledger.grantedAt = now
		ledger.granted = append(ledger.granted, lease{to, now + leaseLifetime*d.classes.quotaInterval})
		d.sendLease(now, to, LeaseGrant, ledger.hash)
	}
}

// adjustLeaseQuotas adjusts the lease quotas of the executors whose leases this node grants, at the end of an interval.
// It grants the leases that the new quotas allow.
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

// returnLease returns a lease of e that an attempt used, if there is one. The message says whether the job had to wait
// at e (waitedAtExecutor).
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

// adjustQuota changes the lease quota by at most one, like the rule of the RAIN design for quotas of executors. The
// quota is lowered if too many jobs had to wait at the executor. It is raised if nodes had to wait for a lease while
// few jobs had to wait at the executor. If executors answer health checks, the quota is raised only after a health
// check has also shown a free slot. A quota that was lowered is raised after leaseQuotaCooldown intervals at the
// earliest.
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

// addWaiting queues a node for a lease, unless the node is queued already. Nodes that want a lease for a job past its
// objective come after all others.
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

// removeWaiting removes a node from the queue for leases.
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

// popWaiting removes the node that is next in the queue for leases, and returns it. The queue must not be empty.
func (l *leaseLedger) popWaiting() NodeID {
	from := &l.waiting
	if len(l.waiting) == 0 {
		from = &l.waitingLate
	}
	node := (*from)[0]
	*from = (*from)[1:]
	return node
}

// recordReturn records a returned lease. The return of a lease that has already expired is counted too, for the
// adjustment of the quota.
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
