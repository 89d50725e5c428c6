package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// JobClass is a job class with the load that clients make in it.
type JobClass struct {
	policy.JobClass
	Share    float64 // share of the class among all batch jobs
	Mean     float64 // mean work, in seconds on a standard core
	Spread   float64 // sigma of the lognormal distribution of the work
	Priority int
}

// Behavior describes how clients behave.
type Behavior struct {
	Rate      float64       // batch jobs per second that arrive in an open loop; 0 if Loops make the load
	Loops     int           // clients in a closed loop: each submits its next batch job when the last one has ended
	ThinkTime time.Duration // pause of a client in a closed loop before its next batch job
	Retries   int           // maximum number of retries of a batch job
	Backoff   time.Duration // time before a retry, unless the client follows a Retry-After
	// MaxBackoff limits the time before a retry, which doubles with each retry. The limited time is then multiplied by a
	// random factor from 0.5 to 1.5. If MaxBackoff is at most Backoff, the time is always Backoff.
	MaxBackoff        time.Duration
	FollowsRetryAfter bool    // clients wait as long as Retry-After says
	LeaveFraction     float64 // fraction of the batch jobs whose clients leave before the deadline
	RepeatIDFraction  float64 // fraction of the batch jobs whose id clients submit again while the job is in flight
	HintNoise         float64 // sigma of the lognormal error of stated costs; negative if clients state no costs
}

// Tail makes some batch jobs cost a multiple of the usual.
type Tail struct {
	Fraction float64 // fraction of the batch jobs that cost more
	Multiple float64 // their cost, as a multiple of the usual
}

// TailOf returns a tail of one batch job in 50 that costs the given multiple.
func TailOf(multiple float64) Tail { return Tail{Fraction: 0.02, Multiple: multiple} }

// Work is what a client wants done, over all its requests.
type Work struct {
	ID         invariants.WorkID
	Client     int // number of its client in a closed loop, or -1
	Class      policy.JobClassID
	Cost       float64 // seconds of work on a standard core
	StatedCost float64 // cost that its client states; 0 for none
	ArrivedAt  time.Duration
	Objective  time.Duration // time of the latency objective: an answer by then has its full value
	Deadline   time.Duration // time of the deadline
	LeavesAt   time.Duration // when its client leaves, or Never
	Retries    int           // retries so far
	Value      float64
	Ended      bool // its client neither waits for an answer nor retries
	OnTime     bool // it was answered by its latency objective

	firstSent time.Duration // when its first request was sent
	repeatID  bool          // its client submits the same job id again while the job is in flight
}

// Job returns the id of the present request for the work.
func (w *Work) Job() policy.JobID { return policy.JobID(fmt.Sprintf("%s/%d", w.ID, w.Retries)) }

// RepeatsID reports whether the client submits the same job id again while the job is in flight.
func (w *Work) RepeatsID() bool { return w.repeatID }

// Clients models the clients of one zone.
type Clients struct {
	Name     string
	Classes  []JobClass
	Behavior Behavior
	Burst    float64 // the present rate as a multiple of the usual one; below 1, it counts as 1
	Tail     Tail
	rand     *rand.Rand
	count    int        // number of pieces of work drawn so far
	perWork  bool       // the values of the classes are per second of work
	backoff  *rand.Rand // source for the jitter of the backoff; it is separate, so that retries do not change arrivals
}

// NewClients returns clients with the given name, which is the prefix of the ids of their work. If perWork is set, the
// values of the classes are per second of work.
func NewClients(name string, classes []JobClass, behavior Behavior, perWork bool, r *rand.Rand) *Clients {
	c := &Clients{Name: name, Classes: classes, Behavior: behavior, rand: r, perWork: perWork}
	if behavior.MaxBackoff > 0 {
		c.backoff = rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
	}
	return c
}

// Gap draws the time until the next arrival. It returns Never if the rate is 0.
func (c *Clients) Gap() time.Duration {
	rate := c.Behavior.Rate * max(c.Burst, 1)
	if rate <= 0 {
		return Never
	}
	return time.Duration(c.rand.ExpFloat64() / rate * 1e9)
}

// New draws the next work. client is the number of its client in a closed loop, or -1.
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
		cost *= c.Tail.Multiple // the stated cost does not include this
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

// pickClass draws a job class by the shares of the classes.
func (c *Clients) pickClass() policy.JobClassID {
	x := c.rand.Float64()
	for i, t := range c.Classes {
		if x -= t.Share; x < 0 {
			return policy.JobClassID(i)
		}
	}
	return policy.JobClassID(len(c.Classes) - 1)
}

// End is how a request ended, as its client sees it.
type End int

// The ends of a request.
const (
	EndSucceeded End = iota
	EndRejected      // rejected: the job did not run, or may safely run again
	EndFailed        // failed, or not answered in time
	EndUnreached     // no connection to the node was made
	EndLost          // the connection to the node was lost
)

// RetryAt returns when a client retries, and whether it retries. Idempotent work is retried after any failure. Work
// with an idempotency key is too, if its dedup group is all executors and less than half of its dedup window has passed
// since the first request. Otherwise a client retries only if nothing can have run: after a rejection, or if the
// request did not reach the node.
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
