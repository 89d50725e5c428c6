// Package policy schedules batch jobs for one node: it decides which executor gets which job, and when. It does no I/O and
// reads no clock. The node's state machine (internal/node) and the simulator's adapter (internal/benchwire) call it, and
// pass the time since the node's start.
//
// # Calls
//
// The caller reports events:
//
//	UpdateEndpoints                        the endpoint list has changed
//	JobArrived, ClientLeft                 a client has sent a job; a client no longer waits for one
//	AttemptStarted, AttemptProgressed      an executor has started a job, or has completed a fraction of it
//	LoadReported, HealthCheckEnded         an executor has reported its load; a health check has ended
//	ReceiveLeaseMessage                    another node has sent a lease message
//	SetAdmissionThreshold                  the cluster has a new threshold, below which jobs are shed
//	UpdateJobClasses, ShutDownBy           the configuration has changed; the node shuts down
//	BlockSlowStartUntil, ImportLearned     at a restart: the other process of this node uses the slow-start
//	                                       budget; the learned state of the predecessor
//
// The caller asks for three kinds of decision:
//
//	Place                                  sends a job to an executor, queues it, rejects it or fails it
//	AttemptEnded                           records an attempt's outcome, and decides what becomes of the job
//	NextTask                               returns the next task that is due, or the time until which none is
//
// It also reads reports: TakeLoadSummary, ExportLearned and CountUnusable. Arguments and results are plain values, whose
// types are in ids.go, settings.go, events.go and decisions.go.
//
// Dispatcher (dispatcher.go) holds the state of each scheduling rule in a struct of its own. The calls that involve several
// rules are in dispatcher.go, and a call that involves one rule is in that rule's file.
//
// # Life of a job
//
// The main path follows the RAIN design:
//
//  1. When a job arrives, its work is estimated and its latency objective is set (admission.go). It is shed at once if the
//     cluster has no capacity for its priority level (load_shedding.go).
//  2. It waits in the queue until an executor has a free token under its quota. The queue is ordered by slack and by value
//     per second of work (queue.go, value.go).
//  3. It takes a token from the executor of the subset whose oldest free token has the highest weighted age, and an attempt
//     is sent to that executor (placement.go, subset.go).
//  4. The outcome releases the token, or causes a retry (outcome.go, retry.go).
//  5. At the end of each interval, each executor's quota changes by at most one, depending on how long jobs waited at the
//     executor and in the queue (quota.go).
//
// # Failures and overload
//
// Six mechanisms handle the cases in which the main path fails:
//
//  1. Slow start: an executor that has just started has a cap on attempts in flight, which grows with each completed
//     attempt. A few nodes share a budget of work for it (slow_start.go).
//  2. Ejection: an executor that returns errors, loses connections, reaches its inactivity timeout or is unresponsive gets
//     no attempts for a while, or until it answers a health check. It returns with a cap of one attempt in flight
//     (outlier.go, health_check.go).
//  3. Pace: a job doesn't use an executor that is predicted to miss the job's objective, and tokens of an executor with
//     little capacity or long waits age more slowly (latency.go, and tokenAge in placement.go).
//  4. Migration and hedging: an attempt that doesn't start, or makes slow progress, is canceled and sent to another executor
//     if that can't cause a duplicate effect, or a second attempt is sent while it runs (migration.go, hedge.go).
//  5. Early rejection: a job that can't yield any value any more, or that the cluster has no capacity for, is rejected at
//     once (latestStart in admission.go, load_shedding.go).
//  6. Leases: in a large cluster whose nodes may exchange messages, one node per executor leases the executor's slots to all
//     nodes (lease.go).
//
// # Rules
//
// Four rules must never be broken:
//
//   - Rule 1, one final answer before the deadline: kept by Place and by the node's state machine.
//   - Rule 2, no duplicate effect: kept by retryAllowed and inDedupGroup in retry.go, which isEligible calls.
//   - Rule 3, nothing new to a draining executor: kept by isUsable.
//   - Rule 4, no overload of an executor in slow start: kept by withinSlowStartBudget.
//
// # Finding an executor
//
// The candidate index (candidate_index.go, candidate_query.go, pace_index.go, executor_heap.go, class_candidates.go) makes
// the search fast and doesn't change its result: it returns candidates in order, and leaves out only executors that can't
// be chosen.
//
// # Terms
//
// Variables are named d for the dispatcher, j for a job, a for an attempt and e for an executor.
//
// Work is running time on a standard core, and pace is the running time that an executor needs for one unit of work.
// Slack is the time that the latency objective leaves beyond the work. A late job can no longer meet its objective. Value is in the
// unit of the classes' values, and value density is value per second of work. A try is one request of a client for a job.
// An attempt is one sending of the job to an executor by this node.
//
// # Time and determinism
//
// Times are durations since the node's start. Random numbers come from a seed and a counter, so the same calls always give
// the same decisions. The golden traces (testdata, with a directory for each rule) and the simulator rely on that.
package policy
