package node

import (
	"fmt"
	"testing"
	"time"

	"birchstair/policy"
)

// TestUsedIDsLimit checks that ever new IDs take a bounded number of entries, and that the newest are remembered.
func TestUsedIDsLimit(t *testing.T) {
	const limit = 100
	u := newUsedIDs(limit)
	id := func(i int) IDDigest { return digestOf(policy.JobID(fmt.Sprint("job-", i))) }
	for i := range 10 * limit {
		u.add(id(i), time.Duration(i)*time.Millisecond)
		u.add(id(0), time.Duration(i)*time.Millisecond) // used again and again
		if len(u.usedAt) > limit || len(u.order) > limit {
			t.Fatalf("%d IDs in %d entries are remembered after %d, want at most %d", len(u.usedAt), len(u.order), i, limit)
		}
	}
	now := 10 * limit * time.Millisecond
	if !u.contains(id(0), now) || !u.contains(id(10*limit-1), now) || u.contains(id(1), now) {
		t.Error("the newest IDs are not the ones that are remembered")
	}
	inherited := newUsedIDs(limit)
	inherited.inherit(u.export(now), 0)
	if !inherited.contains(id(0), 0) || !inherited.contains(id(10*limit-1), 0) {
		t.Error("an inherited ID is not remembered")
	}
	if u.contains(id(0), now+usedIDRetention) || len(u.usedAt)+len(u.order) > 0 {
		t.Error("an ID is remembered for too long")
	}
}
