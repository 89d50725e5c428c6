package simulation

import (
	"testing"
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// sighting looks for the hard cases in what is seen.
type sighting struct {
	out      map[string]invariants.Seen // allocations that are out, by node and batch job
	over     map[string]bool            // that the node counts as over, by node, batch job and executor
	held     map[invariants.WorkID]invariants.NodeID
	twoHold  int // a second node takes what a first one still holds
	lateRun  int // an executor begins on what its node counts as over: it saw the break first
	killed   int // a node dies with a last byte gone and no word of it
	cold     int // work reaches a cold executor
	notFresh int // a node is told of a start long after it
}

func (x *sighting) see(s invariants.Seen) {
	key := string(rune(s.Node)) + string(s.Job)
	switch s.What {
	case invariants.Taken:
		if n, ok := x.held[s.Work]; ok && n != s.Node {
			x.twoHold++
		}
		x.held[s.Work] = s.Node
	case invariants.Answered, invariants.Left:
		for w, n := range x.held {
			if n == s.Node && len(s.Job) > len(w) && string(s.Job[:len(w)]) == string(w) && s.Job[len(w)] == '/' {
				delete(x.held, w)
			}
		}
	case invariants.LastByte:
		x.out[key] = s
	case invariants.Over:
		delete(x.out, key)
		x.over[key+string(s.Executor)] = true
	case invariants.Ran:
		if x.over[key+string(s.Executor)] {
			x.lateRun++
		}
	case invariants.NodeKilled:
		for k, o := range x.out {
			if o.Node == s.Node {
				x.killed++
				delete(x.out, k)
			}
		}
		for w, n := range x.held {
			if n == s.Node {
				delete(x.held, w)
			}
		}
	case invariants.Reached:
		x.cold++
	case invariants.Told:
		if s.State == policy.Available && s.Start > 0 && s.At > s.Start+2*time.Second {
			x.notFresh++
		}
	}
}

// The worlds of the tests hold the hard cases: each happens, many times over, and no rule breaks by it.
func TestHardCasesHappen(t *testing.T) {
	t.Parallel()
	x := &sighting{out: map[string]invariants.Seen{}, over: map[string]bool{}, held: map[invariants.WorkID]invariants.NodeID{}}
	ties, orphans := 0, 0
	play := func(s Scenario, seed uint64) {
		clear(x.out)
		clear(x.over)
		clear(x.held)
		w := New(s, seed, Options{Trace: x.see})
		r := w.Play()
		ties += w.sameInstantSteps
		for _, e := range w.executors {
			orphans += e.Orphans
		}
		for _, b := range r.Broken {
			t.Errorf("seed %d: %v", seed, b)
		}
	}
	for seed := uint64(1000); seed < 1060; seed++ {
		play(Draw(seed, Size{Nodes: 4, Executors: 8, Length: 10 * time.Second}), seed)
	}
	retries := troubled(func(s *Scenario) {
		s.Load.RetryWait, s.Load.HeedsBack = 0, false
		s.Faults = append(s.Faults, Fault{Kind: "client-reset", At: Span(3 * time.Second), For: Span(15 * time.Second), Size: 0.3},
			Fault{Kind: "node-killed", At: Span(8 * time.Second), For: Span(2 * time.Second), Where: []string{"n1"}})
	})
	play(retries, 1)
	for _, c := range []struct {
		name  string
		count int
	}{
		{"two things at one instant", ties},
		{"two nodes hold the same work of one client", x.twoHold},
		{"work that runs on after its allocation was given up, and ends for nobody", orphans},
		{"a node killed between the last byte and the word of it", x.killed},
		{"a break that the node sees before the executor has the allocation", x.lateRun},
		{"work for a cold executor", x.cold},
		{"a node told of a start long after it", x.notFresh},
	} {
		t.Logf("%s: %d", c.name, c.count)
		if c.count < 5 {
			t.Errorf("%s: happened %d times only", c.name, c.count)
		}
	}
}
