package node

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The connection that makes room is the one that a pass over all executors finds, whatever rested and rose before.
func TestOldestResting(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 3))
		var resting idleConns
		executors := make([]*executor, 1+r.IntN(8))
		for i := range executors {
			executors[i] = &executor{}
		}
		now, last := time.Duration(0), ConnID(0)
		var risen []*conn
		for range 500 {
			now += time.Duration(r.IntN(2)) // many at one instant
			e := executors[r.IntN(len(executors))]
			switch {
			case len(risen) > 0 && r.IntN(2) == 0: // one dialled earlier rests again
				i := r.IntN(len(risen))
				c := risen[i]
				risen = append(risen[:i], risen[i+1:]...)
				c.idleSince = now
				resting.add(c)
			case r.IntN(2) == 0:
				last++
				resting.add(&conn{id: last, executor: e, idleSince: now})
			case len(e.idle) > 0:
				risen = append(risen, resting.take(e, r.IntN(len(e.idle))))
			}
			var want *conn
			count := 0
			for _, e := range executors {
				count += len(e.idle)
				if len(e.idle) == 0 {
					continue
				}
				if c := e.idle[0]; want == nil || c.idleSince < want.idleSince || c.idleSince == want.idleSince && c.id < want.id {
					want = c
				}
			}
			if got := resting.oldest(); got != want || resting.byAge.Len() != count {
				t.Fatalf("seed %d: %+v is taken, %+v is the oldest of %d", seed, got, want, count)
			}
		}
	}
}
