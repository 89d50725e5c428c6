package invariants

import (
	"time"

	"birchstair/policy"
)

// effectRun is an effect that has begun on an executor.
type effectRun struct {
	job      jobKey
	executor policy.ExecutorID
	at       time.Duration
}

// maxEffectRuns is how many runs of its effect are remembered for each work.
const maxEffectRuns = 8

// effectStarted checks that an effect does not run twice. For classes with an idempotency key, only runs for the same
// batch job count, since nodes are not responsible for clients that repeat their requests. If a delay between node and
// executor makes an attempt arrive after the dedup window, the effect runs again whatever the node does. Such runs are
// counted, and are not a violation if every attempt was sent within the window.
func (c *Checker) effectStarted(key jobKey, event Event) {
	class := c.settings.Classes[event.Class]
	about := subject{job: key, work: event.Work, executor: event.Executor}
	for _, run := range c.effects[event.Work] {
		switch {
		case class.Idempotency == policy.AtMostOnce:
			c.report(NoEffectTwice, event.At, about, "%s, once-only, ran at %s and at %s", event.Work, run.executor, event.Executor)
		case class.Idempotency == policy.IdempotentWithKey && event.At > run.at+class.DedupWindow:
			c.lateReruns++
		case class.Idempotency == policy.IdempotentWithKey && run.job == key:
			c.report(NoEffectTwice, event.At, about, "%s, tagged, ran at %s and at %s for one batch job", event.Work, run.executor, event.Executor)
		}
	}
	if len(c.effects[event.Work]) < maxEffectRuns {
		c.effects[event.Work] = append(c.effects[event.Work], effectRun{key, event.Executor, event.At})
	}
}
