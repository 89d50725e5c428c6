package simulation

import (
	"testing"
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// hardCases counts situations in a trace that are hard to handle correctly.
type hardCases struct {
	attemptsInFlight      map[string]invariants.Event             // attempts in flight, by node and job
	attemptsEnded         map[string]bool                         // attempts that have ended for the node, by node, job and executor
	nodeOfWork            map[invariants.WorkID]invariants.NodeID // node with a job of the work item in flight
	jobsAtTwoNodes        int                                     // jobs accepted while another node had the same work item in flight
	startedAfterConnBreak int                                     // attempts that started at the executor after the node had recorded their end
	killedWithAttempt     int                                     // attempts of killed nodes of which the last byte was sent and no outcome had arrived
	arrivedInSlowStart    int                                     // attempts that arrived at an executor in slow start
	lateStartNotices      int                                     // updates by which a node learned of an executor's start more than 2 s after it
}

func (h *hardCases) record(s invariants.Event) {
	key := string(rune(s.Node)) + string(s.Job)
	switch s.Kind {
	case invariants.JobAccepted:
		if n, ok := h.nodeOfWork[s.Work]; ok && n != s.Node {
			h.jobsAtTwoNodes++
		}
		h.nodeOfWork[s.Work] = s.Node
	case invariants.JobAnswered, invariants.ClientKnownLeft:
		for w, n := range h.nodeOfWork {
			if n == s.Node && len(s.Job) > len(w) && string(s.Job[:len(w)]) == string(w) && s.Job[len(w)] == '/' {
				delete(h.nodeOfWork, w)
			}
		}
	case invariants.AttemptLastByte:
		h.attemptsInFlight[key] = s
	case invariants.AttemptEnded:
		delete(h.attemptsInFlight, key)
		h.attemptsEnded[key+string(s.Executor)] = true
	case invariants.EffectStarted:
		if h.attemptsEnded[key+string(s.Executor)] {
			h.startedAfterConnBreak++
		}
	case invariants.NodeKilled:
		for k, o := range h.attemptsInFlight {
			if o.Node == s.Node {
				h.killedWithAttempt++
				delete(h.attemptsInFlight, k)
			}
		}
		for w, n := range h.nodeOfWork {
			if n == s.Node {
				delete(h.nodeOfWork, w)
			}
		}
	case invariants.AttemptReached:
		h.arrivedInSlowStart++
	case invariants.EndpointNotified:
		if s.State == policy.Available && s.Start > 0 && s.At > s.Start+2*time.Second {
			h.lateStartNotices++
		}
	}
}

// TestHardCasesHappen verifies that each hard case happens several times in drawn scenarios, and that no invariant is violated.
func TestHardCasesHappen(t *testing.T) {
	t.Parallel()
	cases := &hardCases{attemptsInFlight: map[string]invariants.Event{}, attemptsEnded: map[string]bool{}, nodeOfWork: map[invariants.WorkID]invariants.NodeID{}}
	simultaneous, orphanedRuns := 0, 0
	play := func(s Scenario, seed uint64) {
		clear(cases.attemptsInFlight)
		clear(cases.attemptsEnded)
		clear(cases.nodeOfWork)
		sim := New(s, seed, Options{Trace: cases.record})
		r := sim.Play()
		simultaneous += sim.simultaneousSteps
		for _, e := range sim.executors {
			orphanedRuns += e.Orphans
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
		{"two events at the same instant", simultaneous},
		{"two nodes have the same work item in flight", cases.jobsAtTwoNodes},
		{"an attempt that finishes after its connection has closed", orphanedRuns},
		{"a node killed between an attempt's last byte and its outcome", cases.killedWithAttempt},
		{"an attempt that starts after the node has noticed the broken connection", cases.startedAfterConnBreak},
		{"an attempt that arrives at an executor in slow start", cases.arrivedInSlowStart},
		{"a node that learns of an executor's start long after it", cases.lateStartNotices},
	} {
		t.Logf("%s: %d", c.name, c.count)
		if c.count < 5 {
			t.Errorf("%s: happened only %d times, want at least 5", c.name, c.count)
		}
	}
}
