package node

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestOldestIdle compares idleConns.oldest with a search through all executors, after random sequences in which connections
// become idle and are taken.
func TestOldestIdle(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 3))
		var idle idleConns
		executors := make([]*executor, 1+r.IntN(8))
		for i := range executors {
			executors[i] = &executor{}
		}
		now, last := time.Duration(0), ConnID(0)
		var taken []*conn
		for range 500 {
			now += time.Duration(r.IntN(2)) // many connections become idle at the same time
			e := executors[r.IntN(len(executors))]
			switch {
			case len(taken) > 0 && r.IntN(2) == 0: // a taken connection becomes idle again, often after ones that were dialed later
				i := r.IntN(len(taken))
				c := taken[i]
				taken = append(taken[:i], taken[i+1:]...)
				c.idleSince = now
				idle.add(c)
			case r.IntN(2) == 0:
				last++
				idle.add(&conn{id: last, executor: e, idleSince: now})
			case len(e.idle) > 0:
				taken = append(taken, idle.take(e, r.IntN(len(e.idle))))
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
			if got := idle.oldest(); got != want || idle.byAge.Len() != count {
				t.Fatalf("seed %d: oldest() = %+v, want %+v; %d idle connections, want %d", seed, got, want, idle.byAge.Len(), count)
			}
		}
	}
}
