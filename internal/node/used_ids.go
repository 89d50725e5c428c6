package node

import (
	"crypto/sha256"
	"time"

	"birchstair/policy"
)

const (
	// usedIDRetention is how long the ID of a job that may have run is remembered.
	usedIDRetention = 5 * time.Minute
	// defaultMaxUsedIDs is how many IDs are remembered if Limits.MaxUsedIDs is 0.
	defaultMaxUsedIDs = 1 << 14
)

// IDDigest is the beginning of the SHA-256 digest of a job's ID. Digests have the same size for IDs of all lengths.
type IDDigest [16]byte

func digestOf(id policy.JobID) IDDigest {
	sum := sha256.Sum256([]byte(id))
	return IDDigest(sum[:len(IDDigest{})])
}

// UsedID is the ID of a job that is not idempotent and that has been sent or may be sent to an executor.
type UsedID struct {
	Digest IDDigest
	Age    time.Duration // time since the ID was last used
}

// usedIDs remembers the IDs of jobs that may have run and must not run again: a client that has lost its connection may submit
// the same job again, under the same ID. The number of IDs is limited; the oldest are forgotten first.
type usedIDs struct {
	limit  int
	usedAt map[IDDigest]time.Duration
	order  []usedIDEntry // in the order of their times; an ID that was used again has several entries
}

// usedIDEntry is a use of an ID.
type usedIDEntry struct {
	digest IDDigest
	at     time.Duration
}

func newUsedIDs(limit int) usedIDs {
	if limit == 0 {
		limit = defaultMaxUsedIDs
	}
	return usedIDs{limit: limit, usedAt: map[IDDigest]time.Duration{}}
}

// add remembers an ID that is used now.
func (u *usedIDs) add(digest IDDigest, now time.Duration) {
	u.usedAt[digest] = now
	u.order = append(u.order, usedIDEntry{digest, now})
	u.expire(now)
}

// contains reports whether an ID is remembered.
func (u *usedIDs) contains(digest IDDigest, now time.Duration) bool {
	u.expire(now)
	_, ok := u.usedAt[digest]
	return ok
}

// expire forgets IDs that were used too long ago, and the oldest ones beyond the limit.
func (u *usedIDs) expire(now time.Duration) {
	for len(u.order) > 0 && (len(u.order) > u.limit || now-u.order[0].at >= usedIDRetention) {
		oldest := u.order[0]
		u.order = u.order[1:]
		if u.usedAt[oldest.digest] == oldest.at {
			delete(u.usedAt, oldest.digest)
		}
	}
}

// export returns the remembered IDs, the oldest first.
func (u *usedIDs) export(now time.Duration) []UsedID {
	u.expire(now)
	var list []UsedID
	for _, entry := range u.order {
		list = append(list, UsedID{Digest: entry.digest, Age: now - entry.at})
	}
	return list
}

// inherit adds the IDs that another process of this node remembers. Their times count from now, so that the order is kept.
func (u *usedIDs) inherit(list []UsedID, now time.Duration) {
	for _, id := range list {
		u.add(id.Digest, now)
	}
}

// mustNotRepeat reports whether a job must not run again under its ID once it may have run. Jobs without a waiting client are
// durable jobs, whose package knows what may have run.
func (n *Node) mustNotRepeat(j *Job) bool {
	return j.Client != nil && n.classes.idempotency[j.Class] != policy.Idempotent
}
