// Package policy decides for one node which executor gets which batch job, and when. It does no I/O and reads no clock:
// the reducer (internal/node) and the simulator's adapter (internal/benchwire) call it with the time since the start.
//
// # Calls
//
// The caller tells what it sees:
//
//	UpdateEndpoints                        what discovery brought
//	JobArrived, ClientLeft                 a job came; its client has gone
//	AttemptStarted, AttemptProgressed      notices of an executor
//	LoadReported, ProbeEnded               load reports, with an answer or a probe
//	ReceiveLeaseMessage                    another node's lease message
//	SetAdmissionThreshold                  what the fleet has capacity for
//	UpdateJobClasses, ShutDownBy           a new configuration; the node ends
//
// and asks three things: Place (where to send this job, or not yet, or never), AttemptEnded (what to do after this outcome)
// and NextTask (what has fallen due, or until when nothing will). Plain values come back; their types are in types.go.
//
// # The design, and what stands beside it
//
// The design (RAIN) decides the ordinary path. Jobs wait in a queue until an executor has a free token under its quota
// (queue.go, quota.go); they take the oldest free token of the node's subset (placement.go, subset.go); a quota moves by
// one once an interval, by the slowdown at the tail and the executor's share of the waiting. Six mechanisms answer the ways
// in which that breaks:
//
//  1. Slow start: an executor that has just started has a cap in flight that grows with its answers, and a budget of work
//     that a few nodes have for all (slow_start.go).
//  2. Ejection: errors, lost connections and silence keep an executor's tokens back for a while, or until it answers a probe;
//     it returns under a cap of one (outlier.go, health_check.go).
//  3. Pace: a token is passed over where its executor can't meet the objective by what was seen of it, and ages the slower the
//     less its executor can take (latency.go, tokenAge in placement.go).
//  4. Migration and hedging: an attempt that does not start, or makes slow progress, is canceled and sent elsewhere where
//     rule 2 allows it, or a second attempt is sent beside it (migration.go, hedge.go).
//  5. Early rejection: a job that can earn nothing more, or that the fleet has no capacity for, is answered at once
//     (admission.go, load_shedding.go).
//  6. Leases: where nodes are many and may message each other, one of them grants an executor's slots to all (lease.go).
//
// # Rules
//
// Rule 1 (one final answer before the deadline) is Place's and the reducer's; rule 2 (no effect twice) is retryAllowed and
// isEligible; rule 3 (nothing new to a draining executor) is isUsable; rule 4 (no overload in slow start) is
// withinSlowStartBudget.
//
// # Finding an executor
//
// The candidate index (candidate_index.go, candidate_query.go, pace_index.go, executor_heap.go, class_candidates.go) decides
// nothing: it gives candidates in an order, and leaves out only what provably can't be chosen.
//
// # Time and determinism
//
// Times are spans since the node's start. Random numbers come from a seed and a counter, so the same calls give the same
// decisions, which golden traces in testdata and the simulator rely on.
package policy
