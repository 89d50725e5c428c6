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

// newPolicy makes what decides at a node.
func (n *simNode) newPolicy(p policy.Settings) node.Policy {
	if n.world.policy == ModulePolicy {
		return policy.New(p)
	}
	b := &baseline{node: n, settings: p, available: map[policy.ExecutorID]bool{}, jobs: map[policy.JobID]*baselineJob{}}
	if b.choose = b.soonest; n.world.policy == RandomPolicy {
		r := stream(n.world.seed+uint64(n.incarnation)<<32, randomPolicyStream+n.name)
		b.choose = func(time.Duration, *baselineJob) policy.ExecutorID { return b.random(r) }
	}
	return b
}

// baselineRetryDelay is how soon a baseline looks again at what it holds.
const baselineRetryDelay = time.Millisecond

// baseline is what nodes decide by where they don't use the module: an executor for each batch job by a choice of its own, and the next one where
// the last attempt certainly did not run, or may be repeated.
type baseline struct {
	node      *simNode
	settings  policy.Settings
	choose    func(now time.Duration, j *baselineJob) policy.ExecutorID // none: it is held
	available map[policy.ExecutorID]bool
	order     []policy.ExecutorID // of those, by name
	jobs      map[policy.JobID]*baselineJob
	due       []policy.JobID
	queued    []policy.JobID
	retryAt   time.Duration // when those are looked at again
	fullAt    time.Duration // when there was last no place free anywhere
	watching  bool          // for the list
}

// baselineJob is a batch job at a baseline.
type baselineJob struct {
	id         policy.JobID
	class      policy.JobClass
	request    *clientRequest
	limit      time.Duration // of the process
	attempts   int
	attemptOut bool
	mayHaveRun bool // an attempt of it may have run
}

func (b *baseline) JobArrived(now time.Duration, in policy.Arrival) {
	b.jobs[in.Job] = &baselineJob{id: in.Job, class: b.settings.JobClasses[in.Class], request: b.node.requests[in.Job], limit: now + in.Budget}
	b.due = append(b.due, in.Job)
}

func (b *baseline) NextTask(now time.Duration) policy.DueTask {
	if !b.watching {
		b.watching = true
		return policy.DueTask{Task: policy.WatchEndpoints}
	}
	if len(b.queued) > 0 && now >= b.retryAt {
		// What has least time left goes first.
		slices.SortStableFunc(b.queued, func(x, y policy.JobID) int { return cmp.Compare(b.quoted(x), b.quoted(y)) })
		b.due, b.queued = append(b.due, b.queued...), b.queued[:0]
	}
	switch {
	case len(b.due) > 0:
		id := b.due[0]
		b.due = b.due[1:]
		return policy.DueTask{Task: policy.PlaceJob, Job: id}
	case len(b.queued) > 0:
		return policy.DueTask{At: b.retryAt}
	}
	return policy.DueTask{At: now + time.Hour}
}

func (b *baseline) quoted(id policy.JobID) time.Duration {
	if j := b.jobs[id]; j != nil && j.request != nil {
		return j.request.work.Quoted
	}
	return 0
}

func (b *baseline) Place(now time.Duration, id policy.JobID) policy.Decision {
	j := b.jobs[id]
	if j == nil || j.attemptOut {
		return policy.Decision{}
	}
	if now >= j.limit-b.settings.Quantum || j.attempts >= b.settings.MaxAttempts || j.mayHaveRun && j.class.Idempotency != policy.Idempotent {
		delete(b.jobs, id)
		if j.mayHaveRun && j.class.Idempotency != policy.Idempotent {
			return policy.Decision{Action: policy.Fail}
		}
		return policy.Decision{Action: policy.Reject, RetryAfter: b.settings.MaxRetryAfter}
	}
	to := b.choose(now, j)
	if to == "" {
		if len(b.queued) == 0 {
			b.retryAt = now + baselineRetryDelay
		}
		b.queued = append(b.queued, id)
		return policy.Decision{Action: policy.Enqueue}
	}
	j.attempts++
	j.attemptOut = true
	return policy.Decision{Action: policy.Send, Executor: to}
}

func (b *baseline) AttemptEnded(now time.Duration, id policy.JobID, _ policy.AttemptID, how policy.Outcome, final bool) policy.Decision {
	j := b.jobs[id]
	if j == nil {
		return policy.Decision{}
	}
	j.attemptOut = false
	if final {
		delete(b.jobs, id)
		return policy.Decision{}
	}
	j.mayHaveRun = j.mayHaveRun || !how.NeverRan()
	return b.Place(now, id)
}

func (b *baseline) ClientLeft(_ time.Duration, id policy.JobID) {
	if j := b.jobs[id]; j != nil && !j.attemptOut {
		delete(b.jobs, id)
	}
}

func (b *baseline) UpdateEndpoints(_ time.Duration, what policy.EndpointUpdateKind, entries []policy.Endpoint) {
	if what == policy.CompleteUpdate {
		clear(b.available)
	}
	for _, e := range entries {
		b.available[e.Executor] = e.State == policy.Available
	}
	b.order = b.order[:0]
	for _, x := range b.node.world.executors {
		if b.available[x.ID] {
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
func (b *baseline) soonest(_ time.Duration, j *baselineJob) policy.ExecutorID {
	w, n := b.node.world, b.node
	if b.fullAt == w.now {
		return "" // nothing has come free since
	}
	var free *executor
	firstFree, first := policy.Forever, policy.Forever
	for _, x := range w.executors {
		if t := x.Trouble(); !b.available[x.ID] || !x.Up || x.unreachable || x.Drains || t.Mute || t.Errors > 0 || !w.linked(n.zone, x.Zone) {
			continue
		}
		way := w.minDelay(n.zone, x.Zone)
		there := w.now + way
		if !n.hasIdleConn(x) {
			there += 2 * way // it has to be dialled first
		}
		at, rate := x.Frees(w.now, w.assignedWork(x))
		done := max(at, there) + time.Duration(j.request.work.Cost/rate*1e9) + way
		first = min(first, done)
		if at <= there && done < firstFree {
			free, firstFree = x, done
		}
	}
	if free == nil {
		b.fullAt = w.now
	}
	quoted := j.request.work.Quoted
	if free == nil || firstFree > quoted && first <= quoted {
		return ""
	}
	free.assigned = append(free.assigned, j)
	j.request.delivered = false
	return free.ID
}

// assignedWork is the work that is on its way to an executor, by what the best choice sent there.
func (w *World) assignedWork(x *executor) (work []float64) {
	x.assigned = slices.DeleteFunc(x.assigned, func(j *baselineJob) bool {
		n := j.request.node
		return j.request.delivered || !j.attemptOut || !n.up || n.incarnation != j.request.incarnation
	})
	for _, j := range x.assigned {
		work = append(work, j.request.work.Cost)
	}
	return work
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
