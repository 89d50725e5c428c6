package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// Track is a track as its clients use it.
type Track struct {
	policy.JobClass
	Share    float64 // of the batch jobs
	Mean     float64 // seconds on a standard core
	Spread   float64 // how far single ones are from that: the sigma of a lognormal
	Priority int
}

// Habits are what clients do.
type Habits struct {
	Rate       float64       // batch jobs a second; 0 where they come in loops
	Loops      int           // clients that hand in the next one once the last is over
	Think      time.Duration // and wait so long before that
	Retries    int
	RetryWait  time.Duration // before a retry, where nothing says when to come back
	RetryMost  time.Duration // over RetryWait: the wait doubles with each try up to that, and is off by up to half
	HeedsBack  bool          // comes back when told to
	Leaves     float64       // part of the batch jobs whose clients leave before their time
	RepeatsIDs float64       // part that hands the same id in again while it is in hand
	HintNoise  float64       // sigma of the hint's error; under 0 there are no hints
}

// Tail is a spell in which some batch jobs cost many times the usual.
type Tail struct {
	Part  float64
	Times float64
}

// TailOf is a tail so many times as dear as usual, on one batch job in 50.
func TailOf(times float64) Tail { return Tail{Part: 0.02, Times: times} }

// Work is what a client wants done, over all its tries.
type Work struct {
	ID     invariants.WorkID
	Client int // of a loop; -1
	Track  policy.JobClassID
	Cost   float64
	Hint   float64 // 0: none
	Came   time.Duration
	Quoted time.Duration // an answer by then earns
	Limit  time.Duration
	Leaves time.Duration // when its client leaves; Never
	Tries  int
	Earns  float64
	Over   bool
	Earned bool

	firstSent time.Duration // when its first try was handed in
	repeatID  bool
}

// Job is the id of its present try.
func (w *Work) Job() policy.JobID { return policy.JobID(fmt.Sprintf("%s/%d", w.ID, w.Tries)) }

// RepeatsID says whether its client hands its id in again while it is in hand.
func (w *Work) RepeatsID() bool { return w.repeatID }

// Clients are the clients of one zone.
type Clients struct {
	Name    string
	Tracks  []Track
	Habits  Habits
	Burst   float64 // times the usual rate; 0 for 1
	Tail    Tail
	rand    *rand.Rand
	count   int
	perWork bool
	backoff *rand.Rand // a source of its own, so that what comes does not hang on who repeats
}

// NewClients makes clients; perWork: earnings count for each unit of work.
func NewClients(name string, classes []Track, h Habits, perWork bool, r *rand.Rand) *Clients {
	c := &Clients{Name: name, Tracks: classes, Habits: h, rand: r, perWork: perWork}
	if h.RetryMost > 0 {
		c.backoff = rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
	}
	return c
}

// Gap is the time until the next arrival where they come at a rate: Never where there is none.
func (c *Clients) Gap() time.Duration {
	rate := c.Habits.Rate * max(c.Burst, 1)
	if rate <= 0 {
		return Never
	}
	return time.Duration(c.rand.ExpFloat64() / rate * 1e9)
}

// New is the next thing wanted.
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
		cost *= c.Tail.Times // no hint tells it
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

// End is how a try ended for its client.
type End int

// The ends of a try.
const (
	EndHandled    End = iota // served
	EndPushedBack            // rejected: nothing of it ran
	EndBrokenOff             // failed, or not answered in time
	EndUnreached             // no connection to the node
	EndLost                  // the connection to the node broke
)

// After says when the client tries again, or that it does not. A repeatable one is tried after anything, a tagged one
// likewise where all executors drop its repeats and within its window; others only where nothing can have run.
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
