package simulation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// Policy names what decides at the nodes of a world.
type Policy string

// The module, and what it is measured against in the lab alone: a random live executor at once, and the executor that by what is true would be
// the first to be done, held until one of its places is free.
const (
	ModulePolicy Policy = "module"
	RandomPolicy Policy = "random"
	BestPolicy   Policy = "best"
)

// Policies are all of them.
var Policies = []Policy{ModulePolicy, RandomPolicy, BestPolicy}

// module makes what decides at a node.
func (n *sim) module(p policy.Settings) node.Policy {
	if n.w.policy == ModulePolicy {
		return policy.New(p)
	}
	b := &baseline{n: n, settings: p, live: map[policy.ExecutorID]bool{}, jobs: map[policy.JobID]*wanted{}}
	if b.choose = b.soonest; n.w.policy == RandomPolicy {
		r := stream(n.w.seed+uint64(n.run)<<32, "random choice at "+n.name)
		b.choose = func(time.Duration, *wanted) policy.ExecutorID { return b.random(r) }
	}
	return b
}

// holdStep is how soon a baseline looks again at what it holds.
const holdStep = time.Millisecond

// baseline is what nodes decide by where they don't use the module: an executor for each batch job by a choice of its own, and the next one where
// the last attempt certainly did not run, or may be repeated.
type baseline struct {
	n        *sim
	settings policy.Settings
	choose   func(now time.Duration, j *wanted) policy.ExecutorID // none: it is held
	live     map[policy.ExecutorID]bool
	order    []policy.ExecutorID // of those, by name
	jobs     map[policy.JobID]*wanted
	due      []policy.JobID
	held     []policy.JobID
	next     time.Duration // when those are looked at again
	fullAt   time.Duration // when there was last no place free anywhere
	asked    bool          // for the list
}

// wanted is a batch job at a baseline.
type wanted struct {
	id    policy.JobID
	track policy.JobClass
	try   *try
	limit time.Duration // of the process
	sent  int
	out   bool
	ran   bool // an attempt of it may have run
}

func (b *baseline) JobArrived(now time.Duration, in policy.Arrival) {
	b.jobs[in.Job] = &wanted{id: in.Job, track: b.settings.JobClasses[in.Class], try: b.n.tries[in.Job], limit: now + in.Budget}
	b.due = append(b.due, in.Job)
}

func (b *baseline) NextTask(now time.Duration) policy.DueTask {
	if !b.asked {
		b.asked = true
		return policy.DueTask{Task: policy.WatchEndpoints}
	}
	if len(b.held) > 0 && now >= b.next {
		// What has least time left goes first.
		slices.SortStableFunc(b.held, func(x, y policy.JobID) int { return cmp.Compare(b.quoted(x), b.quoted(y)) })
		b.due, b.held = append(b.due, b.held...), b.held[:0]
	}
	switch {
	case len(b.due) > 0:
		id := b.due[0]
		b.due = b.due[1:]
		return policy.DueTask{Task: policy.PlaceJob, Job: id}
	case len(b.held) > 0:
		return policy.DueTask{At: b.next}
	}
	return policy.DueTask{At: now + time.Hour}
}

func (b *baseline) quoted(id policy.JobID) time.Duration {
	if j := b.jobs[id]; j != nil && j.try != nil {
		return j.try.work.Quoted
	}
	return 0
}

func (b *baseline) Place(now time.Duration, id policy.JobID) policy.Decision {
	j := b.jobs[id]
	if j == nil || j.out {
		return policy.Decision{}
	}
	if now >= j.limit-b.settings.Quantum || j.sent >= b.settings.MaxAttempts || j.ran && j.track.Idempotency != policy.Idempotent {
		delete(b.jobs, id)
		if j.ran && j.track.Idempotency != policy.Idempotent {
			return policy.Decision{Action: policy.Fail}
		}
		return policy.Decision{Action: policy.Reject, RetryAfter: b.settings.MaxRetryAfter}
	}
	to := b.choose(now, j)
	if to == "" {
		if len(b.held) == 0 {
			b.next = now + holdStep
		}
		b.held = append(b.held, id)
		return policy.Decision{Action: policy.Enqueue}
	}
	j.sent++
	j.out = true
	return policy.Decision{Action: policy.Send, Executor: to}
}

func (b *baseline) AttemptEnded(now time.Duration, id policy.JobID, _ policy.AttemptID, how policy.Outcome, final bool) policy.Decision {
	j := b.jobs[id]
	if j == nil {
		return policy.Decision{}
	}
	j.out = false
	if final {
		delete(b.jobs, id)
		return policy.Decision{}
	}
	j.ran = j.ran || !how.NeverRan()
	return b.Place(now, id)
}

func (b *baseline) ClientLeft(_ time.Duration, id policy.JobID) {
	if j := b.jobs[id]; j != nil && !j.out {
		delete(b.jobs, id)
	}
}

func (b *baseline) UpdateEndpoints(_ time.Duration, what policy.EndpointUpdateKind, entries []policy.Endpoint) {
	if what == policy.CompleteUpdate {
		clear(b.live)
	}
	for _, e := range entries {
		b.live[e.Executor] = e.State == policy.Available
	}
	b.order = b.order[:0]
	for _, x := range b.n.w.executors {
		if b.live[x.ID] {
			b.order = append(b.order, x.ID)
		}
	}
}

// random is any executor of those that are up by the list.
func (b *baseline) random(r *rand.Rand) policy.ExecutorID {
	if len(b.order) == 0 {
		return ""
	}
	return b.order[r.IntN(len(b.order))]
}

// soonest is the executor that would answer first of those with a place free when it would come, by what is true of all of them, their queues and what is on
// its way there. None, so that it is held, where none has one, or where waiting for a place elsewhere would bring an answer in time and going now would not.
func (b *baseline) soonest(_ time.Duration, j *wanted) policy.ExecutorID {
	w, n := b.n.w, b.n
	if b.fullAt == w.now {
		return "" // nothing has come free since
	}
	var free *executor
	firstFree, first := policy.Forever, policy.Forever
	for _, x := range w.executors {
		if t := x.Trouble(); !b.live[x.ID] || !x.Up || x.gone || x.Drains || t.Mute || t.Errors > 0 || !w.connected(n.zone, x.Zone) {
			continue
		}
		way := w.way(n.zone, x.Zone)
		there := w.now + way
		if !n.rests(x) {
			there += 2 * way // it has to be dialled first
		}
		at, rate := x.Frees(w.now, w.booked(x))
		done := max(at, there) + time.Duration(j.try.work.Cost/rate*1e9) + way
		first = min(first, done)
		if at <= there && done < firstFree {
			free, firstFree = x, done
		}
	}
	if free == nil {
		b.fullAt = w.now
	}
	quoted := j.try.work.Quoted
	if free == nil || firstFree > quoted && first <= quoted {
		return ""
	}
	free.booked = append(free.booked, j)
	j.try.landed = false
	return free.ID
}

// booked is the work that is on its way to an executor, by what the best choice sent there.
func (w *World) booked(x *executor) (work []float64) {
	x.booked = slices.DeleteFunc(x.booked, func(j *wanted) bool {
		n := j.try.n
		return j.try.landed || !j.out || !n.up || n.run != j.try.run
	})
	for _, j := range x.booked {
		work = append(work, j.try.work.Cost)
	}
	return work
}

// rests says whether a node has a connection to an executor that nothing is on.
func (n *sim) rests(x *executor) bool {
	for _, c := range n.wires {
		if c.x == x && c.state == up && c.load == nil {
			return true
		}
	}
	return false
}

// What a baseline has no use for.

func (b *baseline) AttemptStarted(time.Duration, policy.JobID, policy.AttemptID)             {}
func (b *baseline) AttemptProgressed(time.Duration, policy.JobID, policy.AttemptID, float64) {}
func (b *baseline) LoadReported(policy.ExecutorID, policy.Load)                              {}
func (b *baseline) ProbeEnded(time.Duration, policy.ExecutorID, bool, policy.Load)           {}
func (b *baseline) ShutDownBy(time.Duration, time.Duration)                                  {}
func (b *baseline) CountExcluded(time.Duration) int                                          { return 0 }
func (b *baseline) ReserveSlowStartUntil(time.Duration, time.Duration)                       {}
func (b *baseline) UpdateJobClasses(time.Duration, []policy.JobClassUpdate)                  {}
func (b *baseline) ExportLearned(time.Duration) policy.LearnedState                          { return policy.LearnedState{} }
func (b *baseline) ImportLearned(time.Duration, policy.LearnedState)                         {}
func (b *baseline) ReceiveLeaseMessage(time.Duration, policy.NodeID, policy.LeaseMessage, policy.ExecutorHash) {
}
func (b *baseline) TakeLoadSummary(time.Duration) policy.LoadSummary { return policy.LoadSummary{} }
func (b *baseline) SetAdmissionThreshold(policy.AdmissionThreshold)  {}
