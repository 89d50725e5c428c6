// Package policy decides for one node which executor gets which job, and when. It does no I/O and reads no clock: the
// reducer (internal/node, the node's state machine) and the simulator's adapter (internal/benchwire) call it with the time since the start.
//
// # Calls
//
// The caller reports events:
//
//	UpdateEndpoints                        what discovery brought
//	JobArrived, ClientLeft                 a job came; its client has left
//	AttemptStarted, AttemptProgressed      notices of an executor
//	LoadReported, HealthCheckEnded         load reports, with an answer or by a health check
//	ReceiveLeaseMessage                    another node's lease message
//	SetAdmissionThreshold                  which jobs the fleet has no capacity for
//	UpdateJobClasses, ShutDownBy           a new configuration; the node shuts down
//	ReserveSlowStartUntil, ImportLearned   from when on slow start is this process's; what its predecessor learned
//
// It also reads reports (TakeLoadSummary, ExportLearned, CountUnusable), and asks for three kinds of decision: Place (where to send this job, or that it waits, is rejected or fails), AttemptEnded (what to do
// after this outcome) and NextTask (what has fallen due, or until when nothing will). Calls and answers are plain values;
// their types are in ids.go, settings.go, events.go and decisions.go.
//
// Dispatcher (dispatcher.go) holds the state of each rule in a struct of its own, and the calls that ask several rules, in
// the order in which it asks them. A call that concerns one rule stands in that rule's file.
//
// # The ordinary path
//
// The design (RAIN) decides the ordinary path:
//
//  1. A job arrives (admission.go): its work is estimated, and its objective is set. It is shed at once if the fleet has
//     no capacity for its priority level (load_shedding.go).
//  2. It waits in the queue, by its slack and its value for the work (queue.go, value.go), until an executor has a free
//     token under its quota.
//  3. It takes the token with the highest weighted age among those of the subset (placement.go, subset.go), and an attempt goes out.
//  4. The outcome frees the token, or causes a retry (outcome.go, retry.go).
//  5. Once an interval each quota moves by one at most, by the waiting at the executor and here (quota.go).
//
// # Where the ordinary path fails
//
// Six mechanisms answer the ways in which it does:
//
//  1. Slow start: an executor that has just started has a cap in flight that grows with its answers, and a budget of work
//     that a few nodes share (slow_start.go).
//  2. Ejection: an executor that errs, loses connections or is silent gets nothing for a while, or until it answers a
//     health check; it returns with a cap of one attempt in flight (outlier.go, health_check.go).
//  3. Pace: a token is passed over where its executor can't meet the objective by what was seen of it, and ages the slower
//     the less its executor can take (latency.go, tokenAge in placement.go).
//  4. Migration and hedging: an attempt that does not start, or makes slow progress, is canceled and sent elsewhere where
//     rule 2 allows it, or a second attempt is sent beside it (migration.go, hedge.go).
//  5. Early rejection: a job that can earn nothing more, or that the fleet has no capacity for, gets its answer at once
//     (latestStart in admission.go, load_shedding.go).
//  6. Leases: where nodes are many and may message each other, one of them leases an executor's slots to all (lease.go).
//
// # Rules
//
// Rule 1 (one final answer before the deadline) is kept by Place and the reducer; rule 2 (no effect twice) by retryAllowed
// and inDedupGroup in retry.go, which isEligible asks; rule 3 (nothing new to a draining executor) by isUsable; rule 4 (no
// overload in slow start) by withinSlowStartBudget.
//
// # Finding an executor
//
// The candidate index (candidate_index.go, candidate_query.go, pace_index.go, executor_heap.go, class_candidates.go) decides
// nothing: it gives candidates in an order, and leaves out only what provably can't be chosen.
//
// # Names
//
// Throughout the package d is the dispatcher, j a job, a an attempt and e an executor. Late is a job past its latency
// objective. A value that can earn something is in the unit of the class's value; work is running time on a standard core,
// and pace the running time that an executor needs for a unit of work.
//
// # Time and determinism
//
// Times are spans since the node's start. Random numbers come from a seed and a counter, so that the same calls give the
// same decisions, on which the golden traces in testdata, a directory a rule, and the simulator rely.
package policy
