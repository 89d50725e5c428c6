package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// JobClass is a job class with the load that its clients make.
type JobClass struct {
	policy.JobClass
	Share    float64 // share of the batch jobs
	Mean     float64 // mean work, in seconds on a standard core
	Spread   float64 // sigma of the lognormal distribution of the work
	Priority int
}

// Behavior describe how clients behave.
type Behavior struct {
	Rate              float64       // batch jobs per second; 0 if Loops make the load
	Loops             int           // clients that each submit the next batch job when the last one has ended
	ThinkTime         time.Duration // pause of such a client before the next one
	Retries           int           // retries of a batch job at most
	Backoff           time.Duration // backoff before a retry without Retry-After
	MaxBackoff        time.Duration // if over the backoff: it doubles with each retry up to this limit, with a jitter of half either way
	FollowsRetryAfter bool          // follows Retry-After
	LeaveFraction     float64       // share of the batch jobs whose clients leave before the deadline
	RepeatIDFraction  float64       // share whose clients submit the same id again while it is in flight
	HintNoise         float64       // sigma of the error of stated costs; negative if none are stated
}

// Tail makes a share of the batch jobs cost many times the usual.
type Tail struct {
	Fraction float64
	Multiple float64
}

// TailOf returns a tail of one batch job in 50 that costs the given multiple.
func TailOf(multiple float64) Tail { return Tail{Fraction: 0.02, Multiple: multiple} }

// Work is what a client wants done, over all its requests.
type Work struct {
	ID         invariants.WorkID
	Client     int // of a loop, else -1
	Class      policy.JobClassID
	Cost       float64
	StatedCost float64 // 0 for none
	ArrivedAt  time.Duration
	Objective  time.Duration // latency objective, as a time: an answer by then has its full value
	Deadline   time.Duration
	LeavesAt   time.Duration // when its client leaves, or Never
	Retries    int           // retries so far
	Value      float64
	Ended      bool // its client has stopped
	OnTime     bool // it was answered by its latency objective

	firstSent time.Duration // when its first request was sent
	repeatID  bool
}

// Job returns the id of its present request.
func (w *Work) Job() policy.JobID { return policy.JobID(fmt.Sprintf("%s/%d", w.ID, w.Retries)) }

// RepeatsID reports whether its client submits its id again while it is in flight.
func (w *Work) RepeatsID() bool { return w.repeatID }

// Clients models the clients of one zone.
type Clients struct {
	Name     string
	Classes  []JobClass
	Behavior Behavior
	Burst    float64 // multiple of the usual rate; 0 for 1
	Tail     Tail
	rand     *rand.Rand
	count    int
	perWork  bool
	backoff  *rand.Rand // a separate source, so that retries do not change arrivals
}

// NewClients returns clients with the given name, which leads the ids of their work. If perWork is set, values count per unit of work.
func NewClients(name string, classes []JobClass, behavior Behavior, perWork bool, r *rand.Rand) *Clients {
	c := &Clients{Name: name, Classes: classes, Behavior: behavior, rand: r, perWork: perWork}
	if behavior.MaxBackoff > 0 {
		c.backoff = rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
	}
	return c
}

// Gap draws the time until the next arrival; it is Never without a rate.
func (c *Clients) Gap() time.Duration {
	rate := c.Behavior.Rate * max(c.Burst, 1)
	if rate <= 0 {
		return Never
	}
	return time.Duration(c.rand.ExpFloat64() / rate * 1e9)
}

// New draws the next work, of a client in a loop or -1.
func (c *Clients) New(now time.Duration, client int) *Work {
	c.count++
	id := c.pickClass()
	t := &c.Classes[id]
	cost := t.Mean * math.Exp(c.rand.NormFloat64()*t.Spread-t.Spread*t.Spread/2)
	noise := max(0, c.Behavior.HintNoise)
	hint := cost * math.Exp(c.rand.NormFloat64()*noise-noise*noise/2)
	if c.Behavior.HintNoise < 0 {
		hint = 0
	}
	if c.rand.Float64() < c.Tail.Fraction {
		cost *= c.Tail.Multiple // not in the stated cost
	}
	w := &Work{ID: invariants.WorkID(fmt.Sprintf("%s%d", c.Name, c.count)), Client: client, Class: id, Cost: cost, StatedCost: hint,
		ArrivedAt: now, Deadline: now + t.Deadline, LeavesAt: Never, firstSent: now, Value: t.Value}
	if c.perWork {
		w.Value *= cost
	}
	w.Objective = now + min(t.Deadline, t.LatencyObjective+time.Duration(t.RunTimeFactor*cost*1e9))
	if c.rand.Float64() < c.Behavior.LeaveFraction {
		w.LeavesAt = now + time.Duration(c.rand.Float64()*float64(t.Deadline))
	}
	w.repeatID = c.rand.Float64() < c.Behavior.RepeatIDFraction
	return w
}

func (c *Clients) pickClass() policy.JobClassID {
	x := c.rand.Float64()
	for i, t := range c.Classes {
		if x -= t.Share; x < 0 {
			return policy.JobClassID(i)
		}
	}
	return policy.JobClassID(len(c.Classes) - 1)
}

// End is how a request ended for its client.
type End int

// The ends of a request.
const (
	EndSucceeded End = iota
	EndRejected      // nothing of it ran
	EndFailed        // failed, or not answered in time
	EndUnreached     // no connection to the node
	EndLost          // the connection to the node broke
)

// RetryAt returns when a client retries, and whether it does. Idempotent work is retried after any end; work with an idempotency key too,
// if its dedup group is all executors and within half of its window. Otherwise a client retries only if nothing can have run.
func (c *Clients) RetryAt(now time.Duration, w *Work, end End, retryAfter time.Duration) (time.Duration, bool) {
	t := &c.Classes[w.Class]
	may := end == EndRejected || end == EndUnreached || t.Idempotency == policy.Idempotent ||
		t.Idempotency == policy.IdempotentWithKey && t.DedupGroup == policy.DedupAllExecutors && now < w.firstSent+t.DedupWindow/2
	if end == EndSucceeded || !may || w.Retries >= c.Behavior.Retries {
		return 0, false
	}
	wait := c.Behavior.Backoff
	if limit := c.Behavior.MaxBackoff; limit > wait {
		wait = min(limit, wait<<min(w.Retries, 20))
		wait = time.Duration(float64(wait) * (0.5 + c.backoff.Float64()))
	}
	if c.Behavior.FollowsRetryAfter && retryAfter > 0 {
		wait = retryAfter
	}
	at := now + wait
	if at >= w.Deadline || at >= w.LeavesAt {
		return 0, false
	}
	w.Retries++
	return at, true
}
