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

// Policies. The last two are baselines that exist in simulations alone.
const (
	ModulePolicy Policy = "module" // package policy
	RandomPolicy Policy = "random" // a random available executor, at once
	BestPolicy   Policy = "best"   // the executor that by the true state of all would answer first; jobs queue until it has a place
)

// Policies are all of them.
var Policies = []Policy{ModulePolicy, RandomPolicy, BestPolicy}

// baselineRetryDelay is how soon a baseline looks again at its queue.
const queueRetryDelay = time.Millisecond

// newPolicy makes what decides at the node.
func (n *simNode) newPolicy(settings policy.Settings) node.Policy {
	if n.sim.policy == ModulePolicy {
		return policy.New(settings)
	}
	b := &baseline{node: n, settings: settings, available: map[policy.ExecutorID]bool{}, jobs: map[policy.JobID]*baselineJob{}}
	b.choose = b.earliestAnswer
	if n.sim.policy == RandomPolicy {
		r := stream(n.sim.seed+uint64(n.incarnation)<<32, randomPolicyStream+n.name)
		b.choose = func(*baselineJob) policy.ExecutorID { return b.random(r) }
	}
	return b
}

// baseline is a policy that the real one is compared with. It chooses an executor for each job by choose, and another one after an
// attempt that did not run or may be repeated.
type baseline struct {
	node      *simNode
	settings  policy.Settings
	choose    func(*baselineJob) policy.ExecutorID // "" to queue the job
	available map[policy.ExecutorID]bool
	order     []policy.ExecutorID // available ones, in the world's order
	jobs      map[policy.JobID]*baselineJob
	due       []policy.JobID
	queued    []policy.JobID
	retryAt   time.Duration // when the queue is looked at
	noSlotAt  time.Duration // when there was last no place anywhere
	watching  bool          // the endpoint list
}

// baselineJob is a job at a baseline.
type baselineJob struct {
	id              policy.JobID
	class           policy.JobClass
	request         *clientRequest
	deadline        time.Duration // its deadline on the process's clock
	attempts        int
	attemptInFlight bool
	mayHaveRun      bool
}

// JobArrived implements node.Policy.
func (b *baseline) JobArrived(now time.Duration, arrival policy.Arrival) {
	b.jobs[arrival.Job] = &baselineJob{id: arrival.Job, class: b.settings.JobClasses[arrival.Class], request: b.node.requests[arrival.Job],
		deadline: now + arrival.Budget}
	b.due = append(b.due, arrival.Job)
}

// NextTask implements node.Policy. Queued jobs with the least time left go first.
func (b *baseline) NextTask(now time.Duration) policy.DueTask {
	if !b.watching {
		b.watching = true
		return policy.DueTask{Task: policy.WatchEndpoints}
	}
	if len(b.queued) > 0 && now >= b.retryAt {
		slices.SortStableFunc(b.queued, func(x, y policy.JobID) int { return cmp.Compare(b.objective(x), b.objective(y)) })
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

// objective is when a job must be answered to earn its full value.
func (b *baseline) objective(id policy.JobID) time.Duration {
	if job := b.jobs[id]; job != nil && job.request != nil {
		return job.request.work.Objective
	}
	return 0
}

// Place implements node.Policy.
func (b *baseline) Place(now time.Duration, id policy.JobID) policy.Decision {
	job := b.jobs[id]
	if job == nil || job.attemptInFlight {
		return policy.Decision{}
	}
	ranOnce := job.mayHaveRun && job.class.Idempotency != policy.Idempotent
	if ranOnce || now >= job.deadline-b.settings.Quantum || job.attempts >= b.settings.MaxAttempts {
		delete(b.jobs, id)
		if ranOnce {
			return policy.Decision{Action: policy.Fail}
		}
		return policy.Decision{Action: policy.Reject, RetryAfter: b.settings.MaxRetryAfter}
	}
	executor := b.choose(job)
	if executor == "" {
		if len(b.queued) == 0 {
			b.retryAt = now + queueRetryDelay
		}
		b.queued = append(b.queued, id)
		return policy.Decision{Action: policy.Enqueue}
	}
	job.attempts++
	job.attemptInFlight = true
	return policy.Decision{Action: policy.Send, Executor: executor}
}

// AttemptEnded implements node.Policy.
func (b *baseline) AttemptEnded(now time.Duration, id policy.JobID, _ policy.AttemptID, outcome policy.Outcome, final bool) policy.Decision {
	job := b.jobs[id]
	if job == nil {
		return policy.Decision{}
	}
	job.attemptInFlight = false
	if final {
		delete(b.jobs, id)
		return policy.Decision{}
	}
	job.mayHaveRun = job.mayHaveRun || !outcome.NeverRan()
	return b.Place(now, id)
}

// ClientLeft implements node.Policy.
func (b *baseline) ClientLeft(_ time.Duration, id policy.JobID) {
	if job := b.jobs[id]; job != nil && !job.attemptInFlight {
		delete(b.jobs, id)
	}
}

// UpdateEndpoints implements node.Policy.
func (b *baseline) UpdateEndpoints(_ time.Duration, kind policy.EndpointUpdateKind, endpoints []policy.Endpoint) {
	if kind == policy.CompleteUpdate {
		clear(b.available)
	}
	for _, endpoint := range endpoints {
		b.available[endpoint.Executor] = endpoint.State == policy.Available
	}
	b.order = b.order[:0]
	for _, x := range b.node.sim.executors {
		if b.available[x.ID] {
			b.order = append(b.order, x.ID)
		}
	}
}

// random is a random available executor.
func (b *baseline) random(r *rand.Rand) policy.ExecutorID {
	if len(b.order) == 0 {
		return ""
	}
	return b.order[r.IntN(len(b.order))]
}

// soonest is the executor that would answer first of those that would have a place when the job came, by the true state of all, their
// queues and what is on its way to them. It is "" if none would, or if waiting for a place elsewhere would bring an answer in time and
// this executor would not.
func (b *baseline) earliestAnswer(job *baselineJob) policy.ExecutorID {
	sim := b.node.sim
	if b.noSlotAt == sim.now {
		return "" // no place has become free since
	}
	var free *executor
	firstFree, first := policy.Forever, policy.Forever
	for _, x := range sim.executors {
		if !b.usable(x) {
			continue
		}
		hasPlace, done := b.forecast(x, job)
		first = min(first, done)
		if hasPlace && done < firstFree {
			free, firstFree = x, done
		}
	}
	if free == nil {
		b.noSlotAt = sim.now
		return ""
	}
	if objective := job.request.work.Objective; firstFree > objective && first <= objective {
		return ""
	}
	free.assignedJobs = append(free.assignedJobs, job)
	job.request.delivered = false
	return free.ID
}

// usable says whether an executor is available, by the endpoint list and in truth.
func (b *baseline) usable(x *executor) bool {
	trouble := x.Faults()
	healthy := x.Up && !x.unreachable && !x.Draining && !trouble.Unresponsive && trouble.Errors <= 0
	return b.available[x.ID] && healthy && b.node.sim.linked(b.node.zone, x.Zone)
}

// forecast says whether an executor will have a place when a job that is sent now arrives, and when its answer will be back.
func (b *baseline) forecast(x *executor, job *baselineJob) (hasPlace bool, done time.Duration) {
	sim := b.node.sim
	delay := sim.minDelay(b.node.zone, x.Zone)
	arrival := sim.now + delay
	if !b.node.hasIdleConn(x) {
		arrival += 2 * delay // for the dial
	}
	placeFree, rate := x.NextFreeSlot(sim.now, sim.assignedWork(x))
	done = max(placeFree, arrival) + time.Duration(job.request.work.Cost/rate*1e9) + delay
	return placeFree <= arrival, done
}

// assignedWork is the work that the best policy has sent to an executor and that has not arrived yet.
func (sim *Simulation) assignedWork(x *executor) (work []float64) {
	x.assignedJobs = slices.DeleteFunc(x.assignedJobs, func(job *baselineJob) bool {
		n := job.request.node
		return job.request.delivered || !job.attemptInFlight || !n.up || n.incarnation != job.request.incarnation
	})
	for _, job := range x.assignedJobs {
		work = append(work, job.request.work.Cost)
	}
	return work
}

// The methods of node.Policy for which a baseline has no use.

// AttemptStarted implements node.Policy.
func (b *baseline) AttemptStarted(time.Duration, policy.JobID, policy.AttemptID) {}

// AttemptProgressed implements node.Policy.
func (b *baseline) AttemptProgressed(time.Duration, policy.JobID, policy.AttemptID, float64) {}

// LoadReported implements node.Policy.
func (b *baseline) LoadReported(policy.ExecutorID, policy.Load) {}

// ProbeEnded implements node.Policy.
func (b *baseline) ProbeEnded(time.Duration, policy.ExecutorID, bool, policy.Load) {}

// ShutDownBy implements node.Policy.
func (b *baseline) ShutDownBy(time.Duration, time.Duration) {}

// CountUnusable implements node.Policy.
func (b *baseline) CountUnusable(time.Duration) int { return 0 }

// BlockSlowStartUntil implements node.Policy.
func (b *baseline) BlockSlowStartUntil(time.Duration, time.Duration) {}

// UpdateJobClasses implements node.Policy.
func (b *baseline) UpdateJobClasses(time.Duration, []policy.JobClassUpdate) {}

// ExportLearned implements node.Policy.
func (b *baseline) ExportLearned(time.Duration) policy.LearnedState { return policy.LearnedState{} }

// ImportLearned implements node.Policy.
func (b *baseline) ImportLearned(time.Duration, policy.LearnedState) {}

// ReceiveLeaseMessage implements node.Policy.
func (b *baseline) ReceiveLeaseMessage(time.Duration, policy.NodeID, policy.LeaseMessage, policy.ExecutorHash) {
}

// TakeLoadSummary implements node.Policy.
func (b *baseline) TakeLoadSummary(time.Duration) policy.LoadSummary { return policy.LoadSummary{} }

// SetAdmissionThreshold implements node.Policy.
func (b *baseline) SetAdmissionThreshold(policy.AdmissionThreshold) {}
