// Package invariants checks, from recorded events, that nodes keep the rules of the design. A caller passes each event to a Checker in
// the order of time, and learns at once which rule was violated. The package knows nothing of its callers: simulated worlds, clusters of
// real processes and recorded traces use the same checker.
//
// Each rule has a key that reports and scenarios refer to:
//
//	one answer         a batch job gets exactly one final answer before its deadline, and nothing is sent for it afterwards
//	no effect twice    no effect happens twice, and no two attempts are in flight unless hedging is allowed
//	drain kept         no attempt is sent to an executor later than the drain grace after its node was notified
//	cold spared        an executor in slow start does not get more work than its budget
//	answered at once   a batch job that the policy has given up on is answered without delay
//	bound kept         what nodes send to each other stays within its bounds
//	still awaited      no attempt is sent for a client that left a while ago
//	informed           a drain is in force some seconds after discovery published it, even if nobody notified the node
//
// The files follow the life of what they check: event.go has the events and their form in a trace, rule.go the rules and their settings,
// checker.go the dispatch of events, job.go jobs and their attempts, effect.go effects on executors, endpoint.go drains,
// slow_start.go the budget of executors that have just started, deadline.go what is due at a time, and violation.go the reports.
package invariants
