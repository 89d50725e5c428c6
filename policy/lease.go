package policy

import (
	"slices"
	"time"
)

// Where nodes are many and may message each other, one node, the lease holder, keeps each executor's slots for all: a
// lease is requested before a token there is used, and returned with it. A holder that does not answer is done without
// for an interval.

const (
	maxLateStarts      = 0.1 // of starts that may have to wait at an executor for its holder to grant one lease more
	leaseQuotaCooldown = 4   // intervals that a lowered lease quota stays
	leaseLifetime      = 2   // intervals after which a lease that is not returned is free again
	leaseAnswerPart    = 4   // a holder has the shortest objective over this to answer
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
	bypassUntil    time.Duration // no holder answers: leases are done without until then
	requested      bool
	requestedAt    time.Duration
	queued         bool // the holder has none free yet
	granted        bool // and not used yet
	held           int  // used by attempts, to be returned
	listed         bool // it is in leaseTable.requests
}

// use turns a granted lease into one that an attempt uses.
func (l *leaseState) use() {
	if l.granted {
		l.granted = false
		l.held++
	}
}

// expireRequest gives up a request that was not answered within the timeout.
func (l *leaseState) expireRequest(now, timeout time.Duration) {
	l.requested = l.requested && now-l.requestedAt <= timeout
}

// leaseLedger is what this node keeps for all nodes as the lease holder of an executor.
type leaseLedger struct {
	hash        ExecutorHash
	quota       int
	granted     []lease
	waiting     []NodeID // for a lease, the first at the front
	waitingLate []NodeID // likewise with a job past its objective
	returns     int      // leases returned in this interval
	lateStarts  int      // those of them where the job had to wait at the executor
	shortage    bool     // somebody had to wait in this interval
	cooldown    int      // intervals until the quota may rise
	grantedAt   time.Duration
	spareSeen   bool // in this interval a probe showed a free slot while all were granted
}

// lease is one slot that is granted to a node.
type lease struct {
	holder    NodeID
	expiresAt time.Duration
}

// requestWanted has the end of this turn request leases for jobs that wait.
func (t *leaseTable) requestWanted() { t.wanted = true }

func (d *Dispatcher) leaseHolderOf(sum ExecutorHash) NodeID {
	return NodeID(sum % ExecutorHash(d.config.nodeCount))
}

// leaseAllows says whether e's keeper has given a place there, or, asking, may be asked for one.
func (d *Dispatcher) leaseAllows(e *executor, now time.Duration, asking bool) bool {
	switch {
	case !d.config.canLease || !d.usesSubset():
		return !asking
	case asking:
		return !e.lease.granted && !e.lease.requested && e.lease.bypassUntil <= now
	}
	return e.lease.granted || e.lease.bypassUntil > now
}

// exchangeLeases gives back places that nothing wants any more, and asks for one for each batch job that waits.
func (d *Dispatcher) exchangeLeases(now time.Duration) {
	for _, e := range d.leases.unused {
		if e.lease.granted {
			e.lease.granted = false
			d.markDirty(e)
			d.sendLease(now, e.lease.holder, LeaseReturn, e.hash)
		}
	}
	d.leases.unused = d.leases.unused[:0]
	for _, e := range d.pendingLeaseRequests() {
		if e.indexed.subsetRank >= 0 && e.lease.queued && len(d.queue.onTime)+len(d.queue.late)+len(d.queue.hedges) == 0 {
			e.lease.requested = false
			d.markDirty(e)
			d.sendLease(now, e.lease.holder, LeaseCancel, e.hash)
		}
	}
	if !d.leases.wanted || !d.config.canLease || !d.usesSubset() {
		return
	}
	d.leases.wanted = false
	for _, list := range [...][]*job{d.queue.onTime, d.queue.late, d.queue.hedges} {
		for _, j := range list[:min(len(list), len(d.subset.members))] {
			if j.leaseRequestedFrom == nil || !j.leaseRequestedFrom.lease.requested || j.leaseRequestedFrom.lease.queued {
				d.requestLease(j, d.pickExecutor(j, now, true), now)
			}
		}
	}
}

func (d *Dispatcher) requestLease(j *job, e *executor, now time.Duration) {
	if e == nil {
		return
	} else if now >= e.lease.primaryRetryAt && e.lease.held == 0 {
		e.lease.holder = d.leaseHolderOf(e.hash)
	}
	j.leaseRequestedFrom, e.lease.requested, e.lease.queued, e.lease.requestedAt = e, true, false, now
	d.addLeaseRequest(e)
	d.schedule(now+d.classes.shortestObjective/leaseAnswerPart, nil, nil)
	word := LeaseRequest
	if d.isLate(j, now) {
		word = LeaseRequestLate
	}
	d.sendLease(now, e.lease.holder, word, e.hash)
}

// ReceiveLeaseMessage tells of a word from another node about an executor's places.
func (d *Dispatcher) ReceiveLeaseMessage(now time.Duration, from NodeID, word LeaseMessage, sum ExecutorHash) {
	switch word {
	case LeaseGrant, LeaseWait:
		e := d.endpoints.byHash[sum]
		if e == nil || !e.lease.requested || e.lease.holder != from {
			if word == LeaseGrant {
				d.sendLease(now, from, LeaseReturn, sum)
			}
			return
		}
		d.queue.tokenFreed, d.leases.wanted, e.lease.queued = true, true, word == LeaseWait
		if word == LeaseGrant {
			e.lease.requested, e.lease.granted = false, true
			d.markDirty(e)
			d.leases.unused = append(d.leases.unused, e)
		}
	case LeaseRequest, LeaseRequestLate:
		k := d.ledgerFor(sum)
		k.addWaiting(from, word == LeaseRequestLate)
		if d.grantLeases(k, k.quota, now); k.isWaiting(from) {
			k.shortage = true
			d.sendLease(now, from, LeaseWait, sum)
			if e := d.endpoints.byHash[sum]; e != nil {
				d.requestProbe(e, now, d.classes.shortestObjective)
			}
		}
	case LeaseCancel:
		d.ledgerFor(sum).removeWaiting(from)
	case LeaseReturn, LeaseReturnLate:
		k := d.ledgerFor(sum)
		k.recordReturn(from, word == LeaseReturnLate)
		d.grantLeases(k, k.quota, now)
	}
}

// grantLeases gives free places to the nodes that have waited longest. A place that does not come back within two
// intervals is free again: its node is dead or its word was lost.
func (d *Dispatcher) grantLeases(k *leaseLedger, most int, now time.Duration) {
	k.granted = slices.DeleteFunc(k.granted, func(l lease) bool { return l.expiresAt <= now })
	for len(k.waiting)+len(k.waitingLate) > 0 && len(k.granted) < most {
		to := k.popWaiting()
		k.grantedAt = now
		k.granted = append(k.granted, lease{to, now + leaseLifetime*d.classes.quotaInterval})
		d.sendLease(now, to, LeaseGrant, k.hash)
	}
}

// adjustLeaseQuotas is the design's single step for the places that this node keeps.
func (d *Dispatcher) adjustLeaseQuotas(now time.Duration) {
	for _, k := range d.leases.ledgerList {
		k.cooldown--
		switch r := float64(k.lateStarts) / max(float64(k.returns), 1); {
		case r > executorQueuingThreshold && k.quota > 1:
			k.quota--
			k.cooldown = leaseQuotaCooldown
		case r < maxLateStarts && k.shortage && k.quota < maxQuota && k.cooldown <= 0 && (!d.config.canProbe || k.spareSeen):
			k.quota++
		}
		k.lateStarts, k.returns, k.shortage, k.spareSeen = 0, 0, len(k.waiting) > 0, false
		d.grantLeases(k, k.quota, now)
	}
}

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

// addLeaseRequest notes an executor of which a place was asked for.
func (d *Dispatcher) addLeaseRequest(e *executor) {
	d.markDirty(e)
	if !e.lease.listed {
		e.lease.listed = true
		d.leases.requests = append(d.leases.requests, e)
	}
}

// pendingLeaseRequests are those of the slice of which a place was asked for, in its order.
func (d *Dispatcher) pendingLeaseRequests() []*executor {
	d.leases.requests = slices.DeleteFunc(d.leases.requests, func(e *executor) bool {
		e.lease.listed = e.lease.requested
		return !e.lease.listed
	})
	slices.SortFunc(d.leases.requests, func(a, b *executor) int { return a.indexed.subsetRank - b.indexed.subsetRank })
	return d.leases.requests
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
