package simulation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// Policy names the policy of the nodes in a simulation.
type Policy string

// Policies. RandomPolicy and BestPolicy are baselines that exist only in simulations.
const (
	ModulePolicy Policy = "module" // the policy of package policy, which real nodes use
	RandomPolicy Policy = "random" // sends each job at once to a random available executor
	// BestPolicy knows the true state of all executors. It sends each job to the executor that will answer first, as
	// soon as that executor has a free slot.
	BestPolicy Policy = "best"
)

// Policies lists all policies.
var Policies = []Policy{ModulePolicy, RandomPolicy, BestPolicy}

// queueRetryDelay is the interval at which a baseline tries again to place queued jobs.
const queueRetryDelay = time.Millisecond

// newPolicy creates the node's policy.
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

// baseline is a policy to which the real policy is compared. It calls choose to select the executor of an attempt.
// After an attempt without a final answer it chooses again, unless the job may have run and is not idempotent, or its
// deadline or MaxAttempts is reached.
type baseline struct {
	node      *simNode
	settings  policy.Settings
	choose    func(*baselineJob) policy.ExecutorID // returns the executor for a job, or "" to queue the job
	available map[policy.ExecutorID]bool
	order     []policy.ExecutorID // available executors, in the order of Simulation.executors
	jobs      map[policy.JobID]*baselineJob
	due       []policy.JobID // jobs to place now
	queued    []policy.JobID // jobs that wait for a free slot
	retryAt   time.Duration  // time at which the queued jobs are to be placed again
	noSlotAt  time.Duration  // last time at which no executor had a free slot
	watching  bool           // the baseline has requested the watch of the endpoint list
}

// baselineJob is a job at a baseline.
type baselineJob struct {
	id              policy.JobID
	class           policy.JobClass
	request         *clientRequest
	deadline        time.Duration // deadline on the clock of the node's process
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

// NextTask implements node.Policy. It tries to place queued jobs again in the order of their latency objectives,
// earliest first.
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

// objective returns the time by which a job must be answered to earn its full value.
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

// random returns a random available executor, or "" if there is none.
func (b *baseline) random(r *rand.Rand) policy.ExecutorID {
	if len(b.order) == 0 {
		return ""
	}
	return b.order[r.IntN(len(b.order))]
}

// earliestAnswer considers the executors that will have a free slot when the job arrives, and returns the one that will
// answer first. The forecast uses the true state of the executors, including their queues and the jobs on their way to
// them. earliestAnswer returns "" if no executor will have a free slot. It also returns "" if the chosen executor would
// miss the latency objective, but an executor without a free slot could still meet it: the job then waits for that
// slot.
func (b *baseline) earliestAnswer(job *baselineJob) policy.ExecutorID {
	sim := b.node.sim
	if b.noSlotAt == sim.now {
		return "" // no slot was free earlier at this instant, and none is assumed to have become free since
	}
	var earliest *executor
	earliestDone, earliestAnywhere := policy.Forever, policy.Forever
	for _, x := range sim.executors {
		if !b.usable(x) {
			continue
		}
		hasSlot, done := b.forecast(x, job)
		earliestAnywhere = min(earliestAnywhere, done)
		if hasSlot && done < earliestDone {
			earliest, earliestDone = x, done
		}
	}
	if earliest == nil {
		b.noSlotAt = sim.now
		return ""
	}
	if objective := job.request.work.Objective; earliestDone > objective && earliestAnywhere <= objective {
		return ""
	}
	earliest.assignedJobs = append(earliest.assignedJobs, job)
	job.request.delivered = false
	return earliest.ID
}

// usable returns whether the endpoint list has an executor as available, and the executor is in fact healthy and
// reachable from the node.
func (b *baseline) usable(x *executor) bool {
	faults := x.Faults()
	healthy := x.Up && !x.unreachable && !x.Draining && !faults.Unresponsive && faults.ErrorRate <= 0
	return b.available[x.ID] && healthy && b.node.sim.linked(b.node.zone, x.Zone)
}

// forecast predicts the result of sending a job to an executor now. hasSlot is true if the executor will have a free
// slot when the job arrives. done is the time at which the answer will reach the node.
func (b *baseline) forecast(x *executor, job *baselineJob) (hasSlot bool, done time.Duration) {
	sim := b.node.sim
	delay := sim.minDelay(b.node.zone, x.Zone)
	arrival := sim.now + delay
	if !b.node.hasIdleConn(x) {
		arrival += 2 * delay // time to open a connection
	}
	freeAt, rate := x.NextFreeSlot(sim.now, sim.assignedWork(x))
	done = max(freeAt, arrival) + time.Duration(job.request.work.Cost/rate*1e9) + delay
	return freeAt <= arrival, done
}

// assignedWork returns the work of the jobs that BestPolicy has sent to an executor and that have not arrived yet.
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

// The remaining methods of node.Policy do nothing, because a baseline does not need them.

// AttemptStarted implements node.Policy.
func (b *baseline) AttemptStarted(time.Duration, policy.JobID, policy.AttemptID) {}

// AttemptProgressed implements node.Policy.
func (b *baseline) AttemptProgressed(time.Duration, policy.JobID, policy.AttemptID, float64) {}

// LoadReported implements node.Policy.
func (b *baseline) LoadReported(policy.ExecutorID, policy.Load) {}

// HealthCheckEnded implements node.Policy.
func (b *baseline) HealthCheckEnded(time.Duration, policy.ExecutorID, bool, policy.Load) {}

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
