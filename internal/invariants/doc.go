// Package invariants checks recorded events against the rules that nodes must keep. A caller passes the events to a
// Checker in the order of their times, and gets each violation as soon as it is found. The package depends on none of
// its callers: simulations, clusters of real processes and recorded traces use the same checker.
//
// Each rule has a key that reports and scenarios refer to:
//
//	one answer         a batch job gets exactly one final answer before its deadline, and no attempt is sent for it
//	                   after that answer
//	no effect twice    no effect happens twice, and a job has one attempt in flight at most, or two if hedging is allowed
//	drain kept         no attempt is sent to an executor later than the drain grace after its node was notified of the drain
//	cold spared        an executor in slow start does not get more work than its budget
//	answered at once   a batch job that the policy has given up on is answered without delay
//	bound kept         the gossip of a node stays within its bounds
//	still awaited      no attempt is sent for a client that left a while ago
//	informed           a node stops sending to a draining executor some seconds after discovery published the drain,
//	                   even if the node was not notified of it
//
// The files:
//
//   - event.go: the events and their form in a trace
//   - rule.go: the rules and their settings
//   - checker.go: the checker, which passes each event to the rules
//   - job.go: jobs and their attempts
//   - effect.go: effects on executors
//   - endpoint.go: drains
//   - slow_start.go: the budget of executors in slow start
//   - deadline.go: answers that are due
//   - violation.go: reports of violations
package invariants
