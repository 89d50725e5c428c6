package node

import (
	"maps"
	"slices"
	"time"
)

// claimTimeout is how long a job waits until the node's other processes have granted the claim on its ID.
const claimTimeout = 250 * time.Millisecond

// idClaims are the claims of this process on IDs. While another process of this node runs, a job that must not run twice can come
// to both, under the same ID. Before it is given to the policy, this process therefore claims its ID from the other processes. A
// process that grants a claim remembers the ID as used, and refuses a claim on an ID that it knows. If two processes claim the
// same ID at the same time, both claims are refused.
type idClaims struct {
	links   []HandoffLink            // links to processes that answer claims
	pending map[uint64]*pendingClaim // claims that not all of these processes have answered, by sequence number
	lastSeq uint64                   // sequence number of the last claim
}

// pendingClaim is a claim that not all other processes have granted yet.
type pendingClaim struct {
	job      *job
	waiting  []HandoffLink // links to the processes that have not answered
	deadline time.Duration // time at which the job fails
}

// seqs returns the sequence numbers of the pending claims in ascending order.
func (c *idClaims) seqs() []uint64 { return slices.Sorted(maps.Keys(c.pending)) }

// nextDeadline returns when the next pending claim times out, or none if no claim is pending.
func (c *idClaims) nextDeadline(none time.Duration) time.Duration {
	next := none
	for _, p := range c.pending {
		next = min(next, p.deadline)
	}
	return next
}

// addLink records that the process at the other end of a link answers claims.
func (c *idClaims) addLink(link HandoffLink) {
	if !slices.Contains(c.links, link) {
		c.links = append(c.links, link)
	}
}

// admit gives a job to the policy, or first claims its ID.
func (n *Node) admit(j *job) {
	if len(n.claims.links) == 0 || !n.mustNotRepeat(&j.Job) {
		n.submit(j)
		return
	}
	n.claims.lastSeq++
	seq := n.claims.lastSeq
	n.claims.pending[seq] = &pendingClaim{job: j, waiting: slices.Clone(n.claims.links), deadline: n.now + claimTimeout}
	for _, link := range n.claims.links {
		n.emit(SendHandoff{link, HandoffMessage{Kind: ClaimID, Seq: seq, Digest: j.digest}})
	}
}

// claimReceived answers another process's claim on an ID.
func (n *Node) claimReceived(from HandoffLink, m HandoffMessage) {
	granted := n.jobs.byDigest[m.Digest] == nil && !n.usedIDs.contains(m.Digest, n.now)
	if granted {
		n.usedIDs.add(m.Digest, n.now)
	}
	n.emit(SendHandoff{from, HandoffMessage{Kind: ClaimAnswered, Seq: m.Seq, Granted: granted}})
}

// claimAnswered handles another process's answer to a claim of this process.
func (n *Node) claimAnswered(from HandoffLink, m HandoffMessage) {
	switch p := n.claims.pending[m.Seq]; {
	case p == nil:
	case !m.Granted:
		n.refuseClaim(m.Seq, ReasonIDUsed)
	default:
		n.claimGranted(m.Seq, from)
	}
}

// claimGranted records that a process has granted a claim, or has ended. The job goes to the policy once no answer is missing.
func (n *Node) claimGranted(seq uint64, by HandoffLink) {
	p := n.claims.pending[seq]
	p.waiting = slices.DeleteFunc(p.waiting, func(link HandoffLink) bool { return link == by })
	if len(p.waiting) > 0 {
		return
	}
	delete(n.claims.pending, seq)
	if !p.job.answered {
		n.submit(p.job)
	}
}

// refuseClaim fails a job whose ID this process could not claim. A rejection would promise that the job never ran.
func (n *Node) refuseClaim(seq uint64, reason Reason) {
	p := n.claims.pending[seq]
	delete(n.claims.pending, seq)
	n.answer(p.job, Answer{Final: Failed, Reason: reason})
}

// endClaimsOf stops claiming IDs from a process that has ended or runs no more jobs, and takes its missing answers as granted.
func (n *Node) endClaimsOf(link HandoffLink) {
	n.claims.links = slices.DeleteFunc(n.claims.links, func(other HandoffLink) bool { return other == link })
	for _, seq := range n.claims.seqs() {
		n.claimGranted(seq, link)
	}
}

// announceClaimsEnd tells the other processes that this one runs no more jobs. It does not answer their claims any more.
func (n *Node) announceClaimsEnd() {
	for _, link := range n.claims.links {
		n.emit(SendHandoff{link, HandoffMessage{Kind: ClaimsEnded}})
	}
}

// expireClaims fails the jobs whose claims were not answered in time.
func (n *Node) expireClaims() {
	if len(n.claims.pending) == 0 { // this is the usual case, and expireClaims runs in every step
		return
	}
	for _, seq := range n.claims.seqs() {
		if n.now >= n.claims.pending[seq].deadline {
			n.refuseClaim(seq, ReasonClaimTimeout)
		}
	}
}

// usedAndCurrentIDs returns the IDs that another process must not use: those that are remembered, and those of the jobs in flight
// that must not run twice.
func (n *Node) usedAndCurrentIDs() []UsedID {
	current := slices.SortedFunc(maps.Values(n.jobs.byDigest), func(a, b *job) int { return a.arrival - b.arrival })
	list := n.usedIDs.export(n.now)
	for _, j := range current {
		list = append(list, UsedID{Digest: j.digest})
	}
	return list
}
