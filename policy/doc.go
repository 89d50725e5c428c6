// Package policy schedules batch jobs for one node: it decides which executor gets which job, and when. It does no I/O
// and reads no clock. It is called by the node's state machine (internal/node) and the simulator's adapter
// (internal/benchwire). With each call they pass the time since the node's start.
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
//	SetAdmissionThreshold                  the cluster has a new admission threshold; jobs below it are shed
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
// The caller also reads reports: TakeLoadSummary, ExportLearned and CountUnusable. Arguments and results are plain
// values. Their types are in ids.go, settings.go, events.go and decisions.go.
//
// Dispatcher (dispatcher.go) holds the state of each scheduling rule in a struct of its own. A call that involves
// several rules is in dispatcher.go. A call that involves only one rule is in that rule's file.
//
// # Life of a job
//
// The main path follows the RAIN design:
//
//  1. When a job arrives, its work is estimated and its latency objective is set (admission.go). It is shed at once if
//     the cluster has no capacity for its priority level (load_shedding.go).
//  2. The job waits in the queue until an executor has a free token under its quota. The queue is ordered by slack and
//     by value per second of work (queue.go, value.go).
//  3. The job takes a token of one executor of the subset: the executor whose oldest free token has the highest
//     weighted age. An attempt is sent to that executor (placement.go, subset.go).
//  4. The attempt's outcome releases the token. If the attempt failed, the job can be retried (outcome.go, retry.go).
//  5. At the end of each quota interval, each executor's quota changes by at most one. The change depends on how long
//     jobs waited at the executor and in the queue (quota.go).
//
// # Failures and overload
//
// Six mechanisms handle the cases in which the main path fails:
//
//  1. Slow start: an executor that has just started has a cap on attempts in flight. The cap grows with each completed
//     attempt. A few nodes share a budget of work for the executor (slow_start.go).
//  2. Ejection: an executor that returns errors, loses connections, reaches its inactivity timeout or is unresponsive
//     gets no attempts for a while, or until it answers a health check. After an ejection, the executor has a cap of
//     one attempt in flight at first (outlier.go, health_check.go).
//  3. Pace: a job doesn't use an executor that is predicted to miss the job's objective. Tokens of an executor with
//     little capacity or long waits age more slowly (latency.go, and tokenAge in placement.go).
//  4. Migration: an attempt that doesn't start, or makes slow progress, is canceled, and the job is sent to another
//     executor. This is done only if it can't cause a duplicate effect. Hedging: instead of a migration, a second
//     attempt can be sent while the first one is in flight (migration.go, hedge.go).
//  5. Early rejection: a job that can't yield any value any more is rejected or fails at once (latestStart in
//     admission.go). The same applies to a job for which the cluster has no capacity (load_shedding.go).
//  6. Leases: in a large cluster whose nodes are allowed to exchange messages, each executor's slots are leased to all
//     nodes by one of the nodes (lease.go).
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
// The candidate index (candidate_index.go, candidate_query.go, pace_index.go, executor_heap.go, class_candidates.go)
// makes the search for an executor fast. It doesn't change the search's result, because it omits only executors that
// can't be chosen.
//
// # Terms
//
// Variables are named d for the dispatcher, j for a job, a for an attempt and e for an executor.
//
// Work is running time on a standard core. Pace is the running time that an executor needs for one unit of work. Slack
// is the latency objective minus the work. A late job can no longer meet its objective. Value is in the unit of the
// classes' values. Value density is value per second of work. A try is one request of a client for a job. An attempt is
// one sending of the job to an executor by this node.
//
// # Time and determinism
//
// Times are durations since the node's start. Random numbers are computed from a seed and a counter. So the same calls
// always give the same decisions. The golden traces (testdata, with a directory for each rule) and the simulator rely
// on that.
package policy
