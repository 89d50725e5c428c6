package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// Track is a job class with the load that its clients make.
type Track struct {
	policy.JobClass
	Share    float64 // share of the batch jobs
	Mean     float64 // mean work, in seconds on a standard core
	Spread   float64 // sigma of the lognormal distribution of the work
	Priority int
}

// Habits describe how clients behave.
type Habits struct {
	Rate       float64       // batch jobs per second; 0 if Loops make the load
	Loops      int           // clients that each submit the next batch job when the last one has ended
	Think      time.Duration // pause of such a client before the next one
	Retries    int           // retries of a batch job at most
	RetryWait  time.Duration // backoff before a retry without Retry-After
	RetryMost  time.Duration // if over the backoff: it doubles with each retry up to this limit, with a jitter of half either way
	HeedsBack  bool          // follows Retry-After
	Leaves     float64       // share of the batch jobs whose clients leave before the deadline
	RepeatsIDs float64       // share whose clients submit the same id again while it is in flight
	HintNoise  float64       // sigma of the error of stated costs; negative if none are stated
}

// Tail makes a share of the batch jobs cost many times the usual.
type Tail struct {
	Part  float64
	Times float64
}

// TailOf returns a tail of one batch job in 50 that costs the given multiple.
func TailOf(times float64) Tail { return Tail{Part: 0.02, Times: times} }

// Work is what a client wants done, over all its requests.
type Work struct {
	ID     invariants.WorkID
	Client int // of a loop, else -1
	Track  policy.JobClassID
	Cost   float64
	Hint   float64       // stated cost; 0 for none
	Came   time.Duration // arrival
	Quoted time.Duration // latency objective, as a time: an answer by then has its full value
	Limit  time.Duration // deadline
	Leaves time.Duration // when its client leaves, or Never
	Tries  int           // retries so far
	Earns  float64       // its value
	Over   bool          // its client has stopped
	Earned bool          // it was answered by its latency objective

	firstSent time.Duration // when its first request was sent
	repeatID  bool
}

// Job returns the id of its present request.
func (w *Work) Job() policy.JobID { return policy.JobID(fmt.Sprintf("%s/%d", w.ID, w.Tries)) }

// RepeatsID reports whether its client submits its id again while it is in flight.
func (w *Work) RepeatsID() bool { return w.repeatID }

// Clients models the clients of one zone.
type Clients struct {
	Name    string
	Tracks  []Track
	Habits  Habits
	Burst   float64 // multiple of the usual rate; 0 for 1
	Tail    Tail
	rand    *rand.Rand
	count   int
	perWork bool
	backoff *rand.Rand // a separate source, so that retries do not change arrivals
}

// NewClients returns clients with the given name, which leads the ids of their work. If perWork is set, values count per unit of work.
func NewClients(name string, classes []Track, h Habits, perWork bool, r *rand.Rand) *Clients {
	c := &Clients{Name: name, Tracks: classes, Habits: h, rand: r, perWork: perWork}
	if h.RetryMost > 0 {
		c.backoff = rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
	}
	return c
}

// Gap draws the time until the next arrival; it is Never without a rate.
func (c *Clients) Gap() time.Duration {
	rate := c.Habits.Rate * max(c.Burst, 1)
	if rate <= 0 {
		return Never
	}
	return time.Duration(c.rand.ExpFloat64() / rate * 1e9)
}

// New draws the next work, of a client in a loop or -1.
func (c *Clients) New(now time.Duration, client int) *Work {
	c.count++
	id := c.pickClass()
	t := &c.Tracks[id]
	cost := t.Mean * math.Exp(c.rand.NormFloat64()*t.Spread-t.Spread*t.Spread/2)
	noise := max(0, c.Habits.HintNoise)
	hint := cost * math.Exp(c.rand.NormFloat64()*noise-noise*noise/2)
	if c.Habits.HintNoise < 0 {
		hint = 0
	}
	if c.rand.Float64() < c.Tail.Part {
		cost *= c.Tail.Times // not in the stated cost
	}
	w := &Work{ID: invariants.WorkID(fmt.Sprintf("%s%d", c.Name, c.count)), Client: client, Track: id, Cost: cost, Hint: hint,
		Came: now, Limit: now + t.Deadline, Leaves: Never, firstSent: now, Earns: t.Value}
	if c.perWork {
		w.Earns *= cost
	}
	w.Quoted = now + min(t.Deadline, t.LatencyObjective+time.Duration(t.RunTimeFactor*cost*1e9))
	if c.rand.Float64() < c.Habits.Leaves {
		w.Leaves = now + time.Duration(c.rand.Float64()*float64(t.Deadline))
	}
	w.repeatID = c.rand.Float64() < c.Habits.RepeatsIDs
	return w
}

func (c *Clients) pickClass() policy.JobClassID {
	x := c.rand.Float64()
	for i, t := range c.Tracks {
		if x -= t.Share; x < 0 {
			return policy.JobClassID(i)
		}
	}
	return policy.JobClassID(len(c.Tracks) - 1)
}

// End is how a request ended for its client.
type End int

// The ends of a request.
const (
	EndHandled    End = iota // succeeded
	EndPushedBack            // rejected: nothing of it ran
	EndBrokenOff             // failed, or not answered in time
	EndUnreached             // no connection to the node
	EndLost                  // the connection to the node broke
)

// After returns when a client retries, and whether it does. Idempotent work is retried after any end; work with an idempotency key too,
// if its dedup group is all executors and within half of its window. Otherwise a client retries only if nothing can have run.
func (c *Clients) After(now time.Duration, w *Work, how End, comeBack time.Duration) (time.Duration, bool) {
	t := &c.Tracks[w.Track]
	may := how == EndPushedBack || how == EndUnreached || t.Idempotency == policy.Idempotent ||
		t.Idempotency == policy.IdempotentWithKey && t.DedupGroup == policy.DedupAllExecutors && now < w.firstSent+t.DedupWindow/2
	if how == EndHandled || !may || w.Tries >= c.Habits.Retries {
		return 0, false
	}
	wait := c.Habits.RetryWait
	if most := c.Habits.RetryMost; most > wait {
		wait = min(most, wait<<min(w.Tries, 20))
		wait = time.Duration(float64(wait) * (0.5 + c.backoff.Float64()))
	}
	if c.Habits.HeedsBack && comeBack > 0 {
		wait = comeBack
	}
	at := now + wait
	if at >= w.Limit || at >= w.Leaves {
		return 0, false
	}
	w.Tries++
	return at, true
}
