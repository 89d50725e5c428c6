package simulation

import (
	"testing"
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// hardCases counts the hard cases in a trace.
type hardCases struct {
	attemptsInFlight      map[string]invariants.Event // allocations that are out, by node and batch job
	attemptsEnded         map[string]bool             // that the node counts as over, by node, batch job and executor
	nodeOfWork            map[invariants.WorkID]invariants.NodeID
	atTwoNodes            int // a second node takes what a first one still holds
	startedAfterConnBreak int // an executor begins on what its node counts as over: it saw the break first
	killedWithAttempt     int // a node dies with a last byte gone and no word of it
	arrivedInSlowStart    int // work reaches a cold executor
	lateStartNotices      int // a node is told of a start long after it
}

func (x *hardCases) record(s invariants.Event) {
	key := string(rune(s.Node)) + string(s.Job)
	switch s.Kind {
	case invariants.JobAccepted:
		if n, ok := x.nodeOfWork[s.Work]; ok && n != s.Node {
			x.atTwoNodes++
		}
		x.nodeOfWork[s.Work] = s.Node
	case invariants.JobAnswered, invariants.ClientKnownLeft:
		for w, n := range x.nodeOfWork {
			if n == s.Node && len(s.Job) > len(w) && string(s.Job[:len(w)]) == string(w) && s.Job[len(w)] == '/' {
				delete(x.nodeOfWork, w)
			}
		}
	case invariants.AttemptLastByte:
		x.attemptsInFlight[key] = s
	case invariants.AttemptEnded:
		delete(x.attemptsInFlight, key)
		x.attemptsEnded[key+string(s.Executor)] = true
	case invariants.EffectStarted:
		if x.attemptsEnded[key+string(s.Executor)] {
			x.startedAfterConnBreak++
		}
	case invariants.NodeKilled:
		for k, o := range x.attemptsInFlight {
			if o.Node == s.Node {
				x.killedWithAttempt++
				delete(x.attemptsInFlight, k)
			}
		}
		for w, n := range x.nodeOfWork {
			if n == s.Node {
				delete(x.nodeOfWork, w)
			}
		}
	case invariants.AttemptReached:
		x.arrivedInSlowStart++
	case invariants.EndpointNotified:
		if s.State == policy.Available && s.Start > 0 && s.At > s.Start+2*time.Second {
			x.lateStartNotices++
		}
	}
}

// The hard cases happen in the worlds of the tests, each many times, and no invariant is violated by them.
func TestHardCasesHappen(t *testing.T) {
	t.Parallel()
	x := &hardCases{attemptsInFlight: map[string]invariants.Event{}, attemptsEnded: map[string]bool{}, nodeOfWork: map[invariants.WorkID]invariants.NodeID{}}
	ties, orphans := 0, 0
	play := func(s Scenario, seed uint64) {
		clear(x.attemptsInFlight)
		clear(x.attemptsEnded)
		clear(x.nodeOfWork)
		sim := New(s, seed, Options{Trace: x.record})
		r := sim.Play()
		ties += sim.simultaneousSteps
		for _, e := range sim.executors {
			orphans += e.Orphans
		}
		for _, b := range r.Violations {
			t.Errorf("seed %d: %v", seed, b)
		}
	}
	for seed := uint64(1000); seed < 1060; seed++ {
		play(Draw(seed, Size{Nodes: 4, Executors: 8, Length: 10 * time.Second}), seed)
	}
	retries := faultyScenario(func(s *Scenario) {
		s.Load.RetryWait, s.Load.RespectsRetryAfter = 0, false
		s.Faults = append(s.Faults, Fault{Kind: "client-reset", At: Span(3 * time.Second), For: Span(15 * time.Second), Size: 0.3},
			Fault{Kind: "node-killed", At: Span(8 * time.Second), For: Span(2 * time.Second), Where: []string{"n1"}})
	})
	play(retries, 1)
	for _, c := range []struct {
		name  string
		count int
	}{
		{"two things at one instant", ties},
		{"two nodes hold the same work of one client", x.atTwoNodes},
		{"work that runs on after its allocation was given up, and ends for nobody", orphans},
		{"a node killed between the last byte and the word of it", x.killedWithAttempt},
		{"a break that the node sees before the executor has the allocation", x.startedAfterConnBreak},
		{"work for a cold executor", x.arrivedInSlowStart},
		{"a node told of a start long after it", x.lateStartNotices},
	} {
		t.Logf("%s: %d", c.name, c.count)
		if c.count < 5 {
			t.Errorf("%s: happened %d times only", c.name, c.count)
		}
	}
}
