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

func effectText(e Effect) string {
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
		return fmt.Sprintf("submit %s to the policy for %v", e.ID, e.Budget)
	case SendAttempt:
		return fmt.Sprintf("send attempt %d of %s", e.Epoch, e.ID)
	case QueryAttempt:
		return fmt.Sprintf("query %s about attempt %d of %s", e.Executor, e.Epoch, e.ID)
	case Publish:
		return fmt.Sprintf("publish %s", e.ID)
	}
	return ""
}

// trace makes the calls of a book, and writes each with the effects that it returns.
type trace struct {
	b   *JobTable
	out strings.Builder
}

// call writes a call and its effects.
func (s *trace) call(what string, effects []Effect) {
	fmt.Fprintf(&s.out, "%s\n", what)
	for _, e := range effects {
		if text := effectText(e); text != "" {
			fmt.Fprintf(&s.out, "%s%s\n", golden.Arrow, text)
		}
	}
}

func (s *trace) section(title string) { fmt.Fprintf(&s.out, "# %s\n", title) }

func (s *trace) accept(id ID, class JobClass, now, deadline float64) {
	effects, ok := s.b.Accept(at(now), Job{id, class, at(deadline)})
	s.call(fmt.Sprintf("%s is submitted at %v s: %v", id, now, ok), effects)
}

func (s *trace) stored(id ID, now float64) {
	s.call(fmt.Sprintf("%s is on disk", id), s.b.JobStored(at(now), id))
}

func (s *trace) send(id ID, now float64) {
	e, effects := s.b.AttemptStarted(at(now), id, "e")
	s.call(fmt.Sprintf("the policy sends %s: attempt %d", id, e), effects)
}

// recover starts a node that finds the job j on disk, with an attempt that went out at 2 s and did or did not provably never
// run.
func (s *trace) recover(title string, set Settings, now, last float64, class JobClass, neverRan bool) {
	s.b = NewJobTable(set)
	s.call(fmt.Sprintf("# %s, recovered at %.0f s, sent at 2 s", title, now), s.b.Recover(at(now), at(last), Job{"j", class, at(60)},
		[]Attempt{{Epoch: 1, Executor: "e", At: at(2), NeverRan: neverRan}}, nil, nil, 0))
}

func at(seconds float64) time.Duration { return time.Duration(seconds * 1e9) }

func first(e []Effect, _ bool) []Effect { return e }

// Each state, and the transitions from it.
func TestTransitions(t *testing.T) {
	set := Settings{MaxDispatched: 1, AnswerTTL: 100 * time.Second, QueryInterval: time.Second}
	queries := set
	queries.QueryExecutors = true
	s := &trace{b: NewJobTable(set)}
	traceSuccess(s)
	traceDeadline(s)
	traceNotStored(s)
	traceShutdown(s)
	traceRecovery(s, set)
	traceQueries(s, queries)
	golden.Compare(t, "transitions.txt", s.out.String())
}

func traceSuccess(s *trace) {
	s.section("a job that succeeds, and the next one waits for its place")
	s.accept("a", atMostOnce, 1, 60)
	s.accept("a", atMostOnce, 1, 60)
	s.stored("a", 1)
	s.accept("b", atMostOnce, 1, 50)
	s.stored("b", 1)
	s.send("b", 1)
	s.send("a", 2)
	s.call("its record is on disk", s.b.AttemptStored(at(2), "a", 1))
	s.call("its connection failed", s.b.AttemptEnded(at(3), "a", 1, true))
	s.call("and is reported again", s.b.AttemptEnded(at(3), "a", 1, true))
	s.send("a", 3)
	s.call("the record of the first is reported late", s.b.AttemptStored(at(3), "a", 1))
	s.call("that of the second is reported", s.b.AttemptStored(at(3), "a", 2))
	s.call("a is forgotten too early", first(s.b.Forget(at(3), "a")))
	s.call("the policy says succeeded", s.b.Answered(at(4), "a", Succeeded, []byte("r")))
	s.call("and again", s.b.Answered(at(4), "a", Failed, nil))
	s.call("the answer is on disk", s.b.FinalStored(at(4), "a"))
	s.call("a is forgotten", first(s.b.Forget(at(5), "a")))
}

func traceDeadline(s *trace) {
	s.section("waiting until the deadline, and an answer that nobody fetches")
	s.accept("c", atMostOnce, 5, 20)
	s.stored("c", 5)
	s.call("at 20 s", s.b.Wake(at(20)))
	s.call("the answer is on disk", s.b.FinalStored(at(20), "c"))
	s.call("at 119 s", s.b.Wake(at(119)))
	s.call("at 121 s", s.b.Wake(at(121)))
}

func traceNotStored(s *trace) {
	s.section("not stored: nothing is left of it")
	s.accept("d", atMostOnce, 130, 200)
	s.call("the disk is full", s.b.JobNotStored(at(130), "d"))
	s.accept("d", atMostOnce, 131, 200)
}

func traceShutdown(s *trace) {
	s.section("a shutdown: only a result is final")
	s.b = NewJobTable(Settings{MaxDispatched: 3, AnswerTTL: 100 * time.Second})
	for _, id := range []ID{"x", "y", "z"} {
		s.b.Accept(at(1), Job{id, atMostOnce, at(60)})
		s.b.JobStored(at(1), id)
	}
	s.send("y", 2)
	s.call("shutdown is requested", s.b.Stop(at(3)))
	s.call("x is rejected", s.b.Answered(at(3), "x", Rejected, nil))
	s.call("y has failed", s.b.Answered(at(3), "y", Failed, nil))
	s.call("z has succeeded", s.b.Answered(at(3), "z", Succeeded, nil))
}

func traceRecovery(s *trace, set Settings) {
	s.recover("idempotent, may have run", set, 5, 2, idempotent, false)
	s.recover("at most once, provably never ran", set, 5, 2, atMostOnce, true)
	s.recover("at most once, may have run, executors can't be queried", set, 5, 2, atMostOnce, false)
	s.recover("at most once, may have run, past its deadline", set, 70, 2, atMostOnce, false)
	s.recover("at most once, never ran, past its deadline", set, 70, 2, atMostOnce, true)
	s.recover("dedup group of all executors, inside its window", set, 5, 2, keyedAll, false)
	s.call("rejected when the window ends: the policy does not know that it may have run", s.b.Answered(at(9), "j", Rejected, nil))
	s.recover("dedup group of all executors, outside its window", set, 10, 2, keyedAll, false)
	s.recover("dedup group of a zone", set, 5, 2, keyedZone, false)
	s.recover("dedup group of all executors, and the clock was set back", set, 5, 8, keyedAll, false)
}

func traceQueries(s *trace, queries Settings) {
	for _, answer := range []struct {
		name  string
		found QueryResult
	}{
		{"never started, and refused from now on", QueryNeverRan},
		{"finished", QueryFinished},
		{"lost", QueryLost},
		{"not supported", QueryUnsupported},
	} {
		s.recover("at most once, may have run", queries, 5, 2, atMostOnce, false)
		s.call(answer.name, s.b.AttemptQueried(at(5), "j", 1, answer.found, []byte("r")))
	}
	s.recover("at most once, may have run", queries, 5, 2, atMostOnce, false)
	s.call("no answer", s.b.AttemptQueried(at(5), "j", 1, QueryUnanswered, nil))
	s.call("a second later", s.b.Wake(at(6)))
	s.call("still running", s.b.AttemptQueried(at(6), "j", 1, QueryRunning, nil))
	s.call("and at the deadline", s.b.Wake(at(60)))
	s.recover("at most once, may have run, past its deadline, queried once all the same", queries, 70, 2, atMostOnce, false)
	s.call("finished", s.b.AttemptQueried(at(70), "j", 1, QueryFinished, []byte("r")))
}

// Ten thousand recovered jobs: the policy gets no more than it has room for, those with the nearest deadlines first.
func TestManyRecovered(t *testing.T) {
	b := NewJobTable(Settings{MaxDispatched: 50, AnswerTTL: time.Hour})
	submitted := 0
	count := func(effects []Effect) {
		for _, e := range effects {
			if _, ok := e.(Submit); ok {
				submitted++
			}
		}
	}
	for i := range 10000 {
		count(b.Recover(0, 0, Job{ID(fmt.Sprint(i)), idempotent, at(float64(100 + i%7))}, nil, nil, nil, 0))
	}
	if submitted != 50 {
		t.Fatalf("submitted %d at once, want 50", submitted)
	}
	for i := range 10000 {
		count(b.Answered(at(1), ID(fmt.Sprint(i)), Succeeded, nil))
		count(b.FinalStored(at(1), ID(fmt.Sprint(i))))
	}
	if counts := b.Counts(); submitted+counts[Waiting] != 10000 {
		t.Errorf("submitted %d, waiting %d, want 10000 together", submitted, counts[Waiting])
	}
}
