package invariants

import (
	"time"

	"birchstair/policy"
)

// Rule identifies a rule. The zero value is no rule.
type Rule int

// The rules, in the order of ruleNames.
const (
	OneAnswer       Rule = iota + 1 // a job gets exactly one final answer before its deadline, and no attempt after that answer
	NoEffectTwice                   // no effect happens twice
	DrainRespected                  // no attempt to an executor later than the drain grace after the node was notified of its drain
	SlowStartBudget                 // an executor in slow start does not get more work than its budget
	PromptAnswer                    // a job that the policy has given up on is answered without delay
	GossipBound                     // the gossip of a node stays within its bounds
	ClientPresent                   // no attempt is sent for a client that left a while ago
	DrainInForce                    // no attempt is sent to an executor some seconds after discovery published its drain
)

var ruleNames = [...]string{"", "one answer", "no effect twice", "drain kept", "cold spared", "answered at once", "bound kept", "still awaited", "informed"}

// String returns the key of the rule, by which reports and scenarios refer to it.
func (r Rule) String() string { return ruleNames[r] }

// Settings are the parameters of the rules at a site.
type Settings struct {
	Classes           []policy.JobClass // job classes by their ids, with the dedup windows that the executors apply
	AnswerSlack       time.Duration     // how long after the deadline of its job an answer still counts as in time
	DrainGrace        time.Duration     // how long after the notification of a drain an attempt may still be sent
	PromptWithin      time.Duration     // how long after the policy has given up on a job its answer counts as prompt
	SlowStart         time.Duration     // length of an executor's slow start
	SlowStartMultiple float64           // slow-start budget, as a multiple of the executor's present capacity
	SlowStartWindow   time.Duration     // length of the window for which the slow-start budget holds
	MeanWork          float64           // seconds of work of a mean batch job; 0 if unknown: then the operators' slow-start bound is not checked
	Hedging           bool              // an idempotent batch job may have two attempts in flight
}

// DrainInForceWithin is how long a node that can reach discovery may still send attempts to a draining executor, from
// the time when discovery has published the drain. It includes the drain grace.
const DrainInForceWithin = 6 * time.Second

// Bounds of the rule "still awaited". An attempt is late if it begins longer than ClientGoneTolerance after its client
// left, whatever its class and whether it is the first of its batch job or a retry. The late attempts of all nodes
// count together. A pause of a node's process is no excuse, since the node can check the connection of the client
// before it sends the attempt.
const (
	ClientGoneTolerance   = 100 * time.Millisecond
	ClientGoneLimit       = 300 * time.Millisecond // a single attempt that late is a violation
	ToleratedLateAttempts = 2                      // number of late attempts that are not a violation
)
