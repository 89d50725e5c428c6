package simulation

import (
	"cmp"
	"time"

	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// policyRecorder wraps a node's policy and records its decisions.
type policyRecorder struct {
	node.Policy
	node    *simNode
	process *nodeProcess // process that runs the policy; nil unless the simulation is a networked one
}

// Place lets the policy place a job, and records whether the policy gives it up.
func (r *policyRecorder) Place(now time.Duration, id policy.JobID) policy.Decision {
	return r.recordDecision(id, r.Policy.Place(now, id))
}

// AttemptEnded notifies the policy of the end of an attempt. It records the completed work, and whether the policy
// gives up the job.
func (r *policyRecorder) AttemptEnded(now time.Duration, id policy.JobID, attempt policy.AttemptID, outcome policy.Outcome, final bool) policy.Decision {
	sim := r.node.sim
	if request := r.node.requests[id]; outcome == policy.Succeeded && request != nil {
		r.node.workRate.add(sim.now, cmp.Or(request.work.StatedCost, sim.classes[request.work.Class].Mean))
	}
	return r.recordDecision(id, r.Policy.AttemptEnded(now, id, attempt, outcome, final))
}

// recordDecision records the decision if it gives up the job. In a networked simulation, nodeProcess.recordStep reports
// this event later, together with the other events of the step.
func (r *policyRecorder) recordDecision(id policy.JobID, decision policy.Decision) policy.Decision {
	if decision.Action != policy.Reject && decision.Action != policy.Fail {
		return decision
	}
	gaveUp := invariants.Event{Kind: invariants.JobGivenUp, Node: r.node.id, Job: id}
	if r.process != nil {
		r.process.gaveUp = append(r.process.gaveUp, gaveUp)
	} else {
		r.node.sim.observe(gaveUp)
	}
	return decision
}
