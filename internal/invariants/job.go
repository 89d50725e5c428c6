package invariants

import (
	"slices"
	"time"

	"birchstair/policy"
)

type jobKey struct {
	node NodeID
	id   policy.JobID
}

// job is the record of a batch job at a node. It begins with the arrival of the job. It ends once
// the job is answered or needs no answer any more, and none of its attempts is in flight.
type job struct {
	work       WorkID
	class      policy.JobClassID
	deadline   time.Duration // its deadline
	givenUp    bool          // the policy has given up on it
	givenUpAt  time.Duration
	excused    bool // its node was paused while it had the job: no time limit applies
	answered   bool
	closed     bool // no answer is expected: its node knows that the client left, or the missing answer has been reported
	clientLeft bool // its client has left, whether its node knows or not
	attempts   []attempt
}

// attempt is an attempt of a batch job whose first byte has been sent.
type attempt struct {
	number     policy.AttemptID
	executor   policy.ExecutorID
	zone       policy.ZoneID
	cell       policy.CellID
	sentAt     time.Duration
	ended      bool
	neverRan   bool          // its end proved that it never ran
	knownStart time.Duration // the last start of its executor that its node had been notified of
}

func inFlight(a attempt) bool { return !a.ended }

func mayHaveRun(a attempt) bool { return !a.ended || !a.neverRan }

// jobAccepted begins the record of a job. If its id has a record already, the attempts in that record are kept:
// a client can leave and submit the same id again while an attempt is in flight. See forget.
func (c *Checker) jobAccepted(key jobKey, event Event) {
	j := c.jobs[key]
	if j == nil {
		j = &job{}
		c.jobs[key] = j
	}
	delete(c.clientLeftAt, key)
	j.work, j.class, j.deadline = event.Work, event.Class, event.Deadline
	j.answered, j.closed, j.clientLeft, j.givenUp = false, false, false, false
	j.excused = c.paused[event.Node]
	c.schedule(event.Deadline+c.settings.AnswerSlack, key, event.Deadline)
}

// forget drops the record of a batch job if it needs no answer and has no attempt in flight. The record of a job whose
// node was paused is kept, since its id may be answered more than once.
func (c *Checker) forget(key jobKey, j *job) {
	if (j.answered || j.closed) && !j.excused && !slices.ContainsFunc(j.attempts, inFlight) {
		delete(c.jobs, key)
	}
}

func (c *Checker) jobGivenUp(key jobKey, event Event) {
	if j := c.jobs[key]; j != nil && !j.answered && !j.closed {
		j.givenUp, j.givenUpAt = true, event.At
		c.schedule(event.At+c.settings.PromptWithin, key, 0)
	}
}

func (c *Checker) clientLeft(key jobKey, event Event) {
	c.clientLeftAt[key] = event.At
	j := c.jobs[key]
	if j == nil {
		return
	}
	j.clientLeft = true
	if !j.answered && !slices.ContainsFunc(j.attempts, inFlight) {
		c.leftWhileQueued++
	}
}

func (c *Checker) clientKnownLeft(key jobKey) {
	if j := c.jobs[key]; j != nil {
		j.closed = true
		c.forget(key, j)
	}
}

// attemptSent checks the rules that apply when a node sends the first byte of an attempt.
func (c *Checker) attemptSent(key jobKey, event Event) {
	c.checkClientPresent(key, event)
	j := c.jobs[key]
	if j == nil || (j.answered || j.closed) && !j.excused {
		about := subject{job: key, work: event.Work, executor: event.Executor}
		c.report(OneAnswer, event.At, about, "%s was sent to %s after its end", event.Job, event.Executor)
		return
	}
	about := subject{job: key, work: j.work, executor: event.Executor}
	c.checkDrain(event, about, j.excused)
	c.checkInFlight(j, event, about)
	c.checkRetry(j, event, about)
	j.attempts = append(j.attempts, attempt{number: event.Attempt, executor: event.Executor, zone: event.Zone, cell: event.Cell,
		sentAt: event.At, knownStart: c.knownStart(event.Node, event.Executor)})
}

// checkClientPresent checks the rule "still awaited": no attempt is sent for a client that left a while ago.
func (c *Checker) checkClientPresent(key jobKey, event Event) {
	leftAt, left := c.clientLeftAt[key]
	if !left || event.At <= leftAt+ClientGoneTolerance {
		return
	}
	c.lateAttempts++
	if c.lateAttempts > ToleratedLateAttempts || event.At >= leftAt+ClientGoneLimit {
		about := subject{job: key, work: event.Work, executor: event.Executor}
		c.report(ClientPresent, event.At, about, "%s was sent to %s %v after its client had left, late attempt %d",
			event.Job, event.Executor, event.At-leftAt, c.lateAttempts)
	}
}

// checkInFlight checks that no other attempt of the job is in flight, or one at most if the class may be hedged.
func (c *Checker) checkInFlight(j *job, event Event, about subject) {
	count := 0
	for _, a := range j.attempts {
		if inFlight(a) {
			count++
		}
	}
	hedgeable := c.settings.Hedging && c.settings.Classes[j.class].Idempotency == policy.Idempotent
	switch {
	case count > 1:
		c.report(NoEffectTwice, event.At, about, "%s has three allocations out at once", event.Job)
	case count == 1 && !hedgeable:
		c.report(NoEffectTwice, event.At, about, "%s has two allocations out at once", event.Job)
	}
}

// checkRetry checks that if an earlier attempt may have run, the present one cannot cause the effect a second time.
func (c *Checker) checkRetry(j *job, event Event, about subject) {
	index := slices.IndexFunc(j.attempts, mayHaveRun)
	if index < 0 {
		return
	}
	first := j.attempts[index]
	class := c.settings.Classes[j.class]
	switch {
	case class.Idempotency == policy.AtMostOnce:
		c.report(NoEffectTwice, event.At, about, "%s, once-only, was sent again though allocation %d may have run", event.Job, first.number)
	case class.Idempotency != policy.IdempotentWithKey:
	case class.DedupGroup == policy.DedupZone && first.zone != event.Zone, class.DedupGroup == policy.DedupCell && first.cell != event.Cell:
		c.report(NoEffectTwice, event.At, about, "%s, tagged, was sent outside the group that drops its repeats", event.Job)
	case event.At > first.sentAt+class.DedupWindow:
		c.report(NoEffectTwice, event.At, about, "%s, tagged, was sent again %v after allocation %d, outside the window",
			event.Job, event.At-first.sentAt, first.number)
	}
}

func (c *Checker) attemptEnded(key jobKey, event Event) {
	j := c.jobs[key]
	if j == nil {
		return
	}
	for i := range j.attempts {
		if a := &j.attempts[i]; a.number == event.Attempt && !a.ended {
			a.ended, a.neverRan = true, event.NeverRan
		}
	}
	c.forget(key, j)
}

// jobAnswered checks that a final answer is the only one, agrees with what ran, and comes without delay if the policy
// has given up on the job.
func (c *Checker) jobAnswered(key jobKey, event Event) {
	j := c.jobs[key]
	if j != nil && j.answered && j.excused {
		return // its id arrived several times while the node was paused, and each is answered
	}
	if j == nil || j.answered {
		c.report(OneAnswer, event.At, subject{job: key, work: event.Work}, "%s was answered a second time, or was never taken", event.Job)
		return
	}
	if j.closed {
		return
	}
	about := subject{job: key, work: j.work}
	c.checkAnswer(j, event, about)
	if j.givenUp && !j.excused && event.At > j.givenUpAt+c.settings.PromptWithin {
		c.report(PromptAnswer, event.At, about, "%s was given up on %v before its answer", event.Job, event.At-j.givenUpAt)
	}
	j.answered = true
	c.forget(key, j)
}

// checkAnswer checks that an answer agrees with what ran or may have run. A client repeats a rejected job, so a job
// that may have run may be rejected only if the repeat is safe.
func (c *Checker) checkAnswer(j *job, event Event, about subject) {
	class := c.settings.Classes[j.class]
	repeatUnsafe := class.Idempotency == policy.AtMostOnce ||
		class.Idempotency == policy.IdempotentWithKey && class.DedupGroup != policy.DedupAllExecutors
	switch {
	case event.Final == Rejected && repeatUnsafe && slices.ContainsFunc(j.attempts, mayHaveRun):
		c.report(NoEffectTwice, event.At, about, "%s was pushed back, though it may have run", event.Job)
	case event.Final == Succeeded && len(c.effects[j.work]) == 0:
		c.report(OneAnswer, event.At, about, "%s was answered as handled, and never ran", event.Job)
	}
}
