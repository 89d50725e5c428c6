package leases

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/policy"
)

var (
	idempotent = JobClass{}
	atMostOnce = JobClass{Idempotency: policy.AtMostOnce}
	keyedAll   = JobClass{Idempotency: policy.IdempotentWithKey, DedupWindow: 7 * time.Second}
	keyedZone  = JobClass{Idempotency: policy.IdempotentWithKey, DedupGroup: policy.DedupZone, DedupWindow: 7 * time.Second}
)

func effectText(now time.Duration, e Effect) string {
	switch e := e.(type) {
	case StoreJob:
		return "store " + string(e.ID)
	case StoreAttempt:
		return fmt.Sprintf("store attempt %d of %s to %s", e.Attempt.Epoch, e.ID, e.Attempt.Executor)
	case StoreNeverRan:
		return fmt.Sprintf("store that attempt %d of %s never ran", e.Epoch, e.ID)
	case StoreFinal:
		return fmt.Sprintf("store the answer of %s: %s %s", e.ID, [...]string{"succeeded", "rejected", "failed"}[e.Final], e.Result)
	case StoreForget:
		return "store that " + string(e.ID) + " is forgotten"
	case Acknowledge:
		return "acknowledge " + string(e.ID)
	case Submit:
		return fmt.Sprintf("submit %s to the policy for %v", e.ID, e.Until-now)
	case SendAttempt:
		return fmt.Sprintf("send attempt %d of %s", e.Epoch, e.ID)
	case Withdraw:
		return fmt.Sprintf("withdraw %s from the policy", e.ID)
	case DropAttempt:
		return fmt.Sprintf("drop attempt %d of %s", e.Epoch, e.ID)
	case QueryAttempt:
		return fmt.Sprintf("query %s about attempt %d of %s", e.Executor, e.Epoch, e.ID)
	case Publish:
		return fmt.Sprintf("publish %s", e.ID)
	}
	return ""
}

// trace makes calls of a JobTable, and writes down each call and the effects that it returns.
type trace struct {
	table *JobTable
	out   strings.Builder
	now   time.Duration // time of the last call
}

// at returns the time of a call.
func (tr *trace) at(seconds float64) time.Duration {
	tr.now = at(seconds)
	return tr.now
}

// call writes down a call and its effects, except for Wake.
func (tr *trace) call(event string, effects []Effect) {
	fmt.Fprintf(&tr.out, "%s\n", event)
	for _, e := range effects {
		if text := effectText(tr.now, e); text != "" {
			fmt.Fprintf(&tr.out, "%s%s\n", golden.Arrow, text)
		}
	}
}

func (tr *trace) section(title string) { fmt.Fprintf(&tr.out, "# %s\n", title) }

func (tr *trace) submit(id ID, class JobClass, now, deadline float64) {
	effects, ok := tr.table.Accept(tr.at(now), Job{ID: id, Class: class, Deadline: at(deadline)})
	tr.call(fmt.Sprintf("%s is submitted at %v s: %v", id, now, ok), effects)
}

func (tr *trace) jobStored(id ID, now float64) {
	tr.call(fmt.Sprintf("%s is on disk", id), tr.table.JobStored(tr.at(now), id))
}

func (tr *trace) startAttempt(id ID, now float64) {
	e, effects := tr.table.AttemptStarted(tr.at(now), id, "e")
	tr.call(fmt.Sprintf("the policy sends %s: attempt %d", id, e), effects)
}

// recover starts a node that finds the job j on disk, with an attempt that was sent at 2 s. neverRan tells whether the
// attempt provably never ran.
func (tr *trace) recover(title string, settings Settings, now, last float64, class JobClass, neverRan bool) {
	tr.table = NewJobTable(settings)
	tr.call(fmt.Sprintf("# %s, recovered at %.0f s, sent at 2 s", title, now), tr.table.Recover(tr.at(now), at(last), Job{ID: "j", Class: class, Deadline: at(60)},
		[]Attempt{{Epoch: 1, Lease: "lease", Executor: "e", At: at(2), NeverRan: neverRan}}, nil, 0))
}

func at(seconds float64) time.Duration { return time.Duration(seconds * 1e9) }

func withoutOK(e []Effect, _ bool) []Effect { return e }

// The transitions from each state and the effects of each call are pinned in a golden file.
func TestTransitions(t *testing.T) {
	settings := Settings{MaxDispatched: 1, AnswerTTL: 100 * time.Second, QueryInterval: time.Second}
	withQueries := settings
	withQueries.QueryExecutors = true
	tr := &trace{table: NewJobTable(settings)}
	traceSuccess(tr)
	traceDeadline(tr)
	traceNotStored(tr)
	traceShutdown(tr)
	traceRecovery(tr, settings)
	traceQueries(tr, withQueries)
	traceHeld(tr, settings, withQueries)
	traceTooLate(tr, settings)
	traceLaxPolicy(tr, settings)
	golden.Compare(t, "transitions.txt", tr.out.String())
}

func traceSuccess(tr *trace) {
	tr.section("a job succeeds, and the next one waits until the policy has room")
	tr.submit("a", atMostOnce, 1, 60)
	tr.submit("a", atMostOnce, 1, 60)
	tr.jobStored("a", 1)
	tr.submit("b", atMostOnce, 1, 50)
	tr.jobStored("b", 1)
	tr.startAttempt("b", 1)
	tr.startAttempt("a", 2)
	tr.call("the record of attempt 1 is on disk", tr.table.AttemptStored(tr.at(2), "a", 1))
	tr.call("attempt 1 ended and never ran", tr.table.AttemptEnded(tr.at(3), "a", 1, true))
	tr.call("attempt 1 ended and never ran, reported again", tr.table.AttemptEnded(tr.at(3), "a", 1, true))
	tr.startAttempt("a", 3)
	tr.call("the record of attempt 1 is reported again, after attempt 2 was started", tr.table.AttemptStored(tr.at(3), "a", 1))
	tr.call("the record of attempt 2 is on disk", tr.table.AttemptStored(tr.at(3), "a", 2))
	tr.call("the client forgets a before its final answer", withoutOK(tr.table.Forget(tr.at(3), "a")))
	tr.call("the policy answers that a succeeded", tr.table.Answered(tr.at(4), "a", Succeeded, []byte("r")))
	tr.call("the policy answers again, that a failed", tr.table.Answered(tr.at(4), "a", Failed, nil))
	tr.call("the answer is on disk", tr.table.FinalStored(tr.at(4), "a"))
	tr.call("the client forgets a", withoutOK(tr.table.Forget(tr.at(5), "a")))
}

func traceDeadline(tr *trace) {
	tr.section("a job waits until its deadline, and its answer is never fetched")
	tr.submit("c", atMostOnce, 5, 20)
	tr.jobStored("c", 5)
	tr.call("at 20 s", tr.table.Wake(tr.at(20)))
	tr.call("the answer is on disk", tr.table.FinalStored(tr.at(20), "c"))
	tr.call("at 119 s", tr.table.Wake(tr.at(119)))
	tr.call("at 121 s", tr.table.Wake(tr.at(121)))
}

func traceNotStored(tr *trace) {
	tr.section("a job that could not be stored is forgotten")
	tr.submit("d", atMostOnce, 130, 200)
	tr.call("d could not be stored", tr.table.JobNotStored(tr.at(130), "d"))
	tr.submit("d", atMostOnce, 131, 200)
}

func traceShutdown(tr *trace) {
	tr.section("during a shutdown only a success becomes final")
	tr.table = NewJobTable(Settings{MaxDispatched: 3, AnswerTTL: 100 * time.Second})
	for _, id := range []ID{"x", "y", "z"} {
		tr.table.Accept(tr.at(1), Job{ID: id, Class: atMostOnce, Deadline: at(60)})
		tr.table.JobStored(tr.at(1), id)
	}
	tr.startAttempt("y", 2)
	tr.call("shutdown is requested", tr.table.Stop(tr.at(3)))
	tr.call("the policy answers that x is rejected", tr.table.Answered(tr.at(3), "x", Rejected, nil))
	tr.call("the policy answers that y failed", tr.table.Answered(tr.at(3), "y", Failed, nil))
	tr.call("the policy answers that z succeeded", tr.table.Answered(tr.at(3), "z", Succeeded, nil))
}

func traceRecovery(tr *trace, settings Settings) {
	tr.recover("idempotent, may have run", settings, 5, 2, idempotent, false)
	tr.recover("at most once, provably never ran", settings, 5, 2, atMostOnce, true)
	tr.recover("at most once, may have run, executors can't be queried", settings, 5, 2, atMostOnce, false)
	tr.recover("at most once, may have run, past its deadline", settings, 70, 2, atMostOnce, false)
	tr.recover("at most once, never ran, past its deadline", settings, 70, 2, atMostOnce, true)
	tr.recover("dedup group of all executors, inside its window", settings, 5, 2, keyedAll, false)
	tr.call("the policy rejects j when the window ends, not knowing that attempt 1 may have run", tr.table.Answered(tr.at(9), "j", Rejected, nil))
	tr.recover("dedup group of all executors, outside its window", settings, 10, 2, keyedAll, false)
	tr.recover("dedup group of a zone", settings, 5, 2, keyedZone, false)
	tr.recover("dedup group of all executors, and the clock was set back", settings, 5, 8, keyedAll, false)
}

func traceQueries(tr *trace, settings Settings) {
	for _, answer := range []struct {
		name   string
		result QueryResult
	}{
		{"the executor answers: never started, and refused from now on", QueryNeverRan},
		{"the executor answers: finished", QueryFinished},
		{"the executor answers: lost", QueryLost},
		{"the executor answers: not supported", QueryUnsupported},
	} {
		tr.recover("at most once, may have run", settings, 5, 2, atMostOnce, false)
		tr.call(answer.name, tr.table.AttemptQueried(tr.at(5), "j", 1, answer.result, []byte("r")))
	}
	tr.recover("at most once, may have run", settings, 5, 2, atMostOnce, false)
	tr.call("the executor does not answer", tr.table.AttemptQueried(tr.at(5), "j", 1, QueryUnanswered, nil))
	tr.call("a second later", tr.table.Wake(tr.at(6)))
	tr.call("the executor answers: running", tr.table.AttemptQueried(tr.at(6), "j", 1, QueryRunning, nil))
	tr.call("at the deadline", tr.table.Wake(tr.at(60)))
	tr.recover("at most once, may have run, past its deadline, but queried once", settings, 70, 2, atMostOnce, false)
	tr.call("the executor answers: finished", tr.table.AttemptQueried(tr.at(70), "j", 1, QueryFinished, []byte("r")))
}

// recoverHeld starts a node like recover, and holds its table until it is released.
func (tr *trace) recoverHeld(title string, settings Settings, class JobClass, neverRan bool) {
	tr.table = NewJobTable(settings)
	tr.table.Hold()
	tr.call(fmt.Sprintf("# %s, held, recovered at 5 s, sent at 2 s", title), tr.table.Recover(tr.at(5), at(2), Job{ID: "j", Class: class, Deadline: at(60)},
		[]Attempt{{Epoch: 1, Lease: "lease", Executor: "e", At: at(2), NeverRan: neverRan}}, nil, 0))
}

func traceHeld(tr *trace, settings, withQueries Settings) {
	tr.recoverHeld("dedup group of all executors", settings, keyedAll, false)
	tr.call("released at 8 s, inside the window", tr.table.Release(tr.at(8)))
	tr.recoverHeld("dedup group of all executors", settings, keyedAll, false)
	tr.call("released at 9 s, when the window ends", tr.table.Release(tr.at(9)))
	tr.recoverHeld("dedup group of all executors, executors can be queried", withQueries, keyedAll, false)
	tr.call("released at 10 s, outside the window", tr.table.Release(tr.at(10)))
	tr.recoverHeld("idempotent", settings, idempotent, false)
	tr.call("at the deadline", tr.table.Wake(tr.at(60)))
	tr.call("released at 61 s", tr.table.Release(tr.at(61)))
	tr.recoverHeld("at most once, never ran", settings, atMostOnce, true)
	tr.call("at the deadline", tr.table.Wake(tr.at(60)))
	tr.recoverHeld("at most once, may have run, executors can be queried", withQueries, atMostOnce, false)
	tr.call("released at 20 s", tr.table.Release(tr.at(20)))
	tr.call("released again", tr.table.Release(tr.at(20)))
	tr.recoverHeld("at most once, may have run, executors can be queried", withQueries, atMostOnce, false)
	tr.call("at the deadline", tr.table.Wake(tr.at(60)))
}

func traceTooLate(tr *trace, settings Settings) {
	for _, class := range []JobClass{keyedAll, keyedZone, idempotent} {
		tr.section(fmt.Sprintf("dedup window of %v: records of attempts take long to write", class.DedupWindow))
		tr.table = NewJobTable(settings)
		tr.submit("j", class, 1, 20)
		tr.jobStored("j", 1)
		tr.startAttempt("j", 2)
		tr.call("the record of attempt 1 is on disk at 3 s", tr.table.AttemptStored(tr.at(3), "j", 1))
		tr.startAttempt("j", 8)
		tr.call("the record of attempt 2 is on disk at 10 s", tr.table.AttemptStored(tr.at(10), "j", 2))
		tr.call("attempt 2 ended", tr.table.AttemptEnded(tr.at(10), "j", 2, true))
		tr.startAttempt("j", 11)
		tr.startAttempt("j", 19)
		tr.call("the record of the last attempt is on disk at the deadline", tr.table.AttemptStored(tr.at(20), "j", Epoch(len(tr.table.jobs["j"].attempts))))
		tr.startAttempt("j", 20)
	}
}

// traceLaxPolicy plays jobs of classes that the policy, with another configuration, takes for idempotent.
func traceLaxPolicy(tr *trace, settings Settings) {
	for _, class := range []struct {
		name string
		JobClass
	}{{"at most once", atMostOnce}, {"dedup group of all executors", keyedAll}, {"dedup group of a zone", keyedZone}, {"idempotent", idempotent}} {
		tr.section(class.name + ", and the policy takes the job for idempotent")
		tr.table = NewJobTable(settings)
		job := Job{ID: "j", Class: class.JobClass, Deadline: at(60), PolicyClass: 3, LaxPolicy: true}
		tr.call("recovered, never sent", tr.table.Recover(tr.at(1), at(1), job, nil, nil, 0))
		tr.startAttempt("j", 2)
		tr.call("attempt 1 ended and never ran", tr.table.AttemptEnded(tr.at(2), "j", 1, true))
		tr.startAttempt("j", 3)
		tr.startAttempt("j", 4)
		tr.call("attempt 2 ended, and may have run", tr.table.AttemptEnded(tr.at(5), "j", 2, false))
		tr.call("attempt 3 ended, and may have run", tr.table.AttemptEnded(tr.at(5), "j", 3, false))
		tr.startAttempt("j", 6)
		tr.startAttempt("j", 7)
	}
}

// Of ten thousand recovered jobs the policy gets only as many at a time as it has room for. Every job is either
// submitted or waiting.
func TestManyRecovered(t *testing.T) {
	table := NewJobTable(Settings{MaxDispatched: 50, AnswerTTL: time.Hour})
	submitted := 0
	countSubmitted := func(effects []Effect) {
		for _, e := range effects {
			if _, ok := e.(Submit); ok {
				submitted++
			}
		}
	}
	for i := range 10000 {
		countSubmitted(table.Recover(0, 0, Job{ID: ID(fmt.Sprint(i)), Class: idempotent, Deadline: at(float64(100 + i%7))}, nil, nil, 0))
	}
	if submitted != 50 {
		t.Fatalf("%d jobs were submitted at once, want 50", submitted)
	}
	for i := range 10000 {
		countSubmitted(table.Answered(at(1), ID(fmt.Sprint(i)), Succeeded, nil))
		countSubmitted(table.FinalStored(at(1), ID(fmt.Sprint(i))))
	}
	if counts := table.Counts(); submitted+counts[Waiting] != 10000 {
		t.Errorf("%d jobs submitted and %d waiting, want 10000 together", submitted, counts[Waiting])
	}
}
