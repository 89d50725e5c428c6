package invariants

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/policy"
)

const ms = time.Millisecond

// Tracks 0 to 4: repeatable, once-only, tagged within all, a zone, a cell.
var site = Settings{Slack: 16 * ms, Grace: 1500 * ms, Prompt: ms, WarmWithin: 9000 * ms, FallMultiple: 2, FallWindow: 1000 * ms,
	Tracks: []policy.JobClass{{}, {Idempotency: policy.AtMostOnce}, {Idempotency: policy.IdempotentWithKey, DedupWindow: 7500 * ms},
		{Idempotency: policy.IdempotentWithKey, DedupGroup: policy.DedupZone, DedupWindow: 7500 * ms},
		{Idempotency: policy.IdempotentWithKey, DedupGroup: policy.DedupCell, DedupWindow: 7500 * ms}}}

func at(t time.Duration, what What, with func(*Seen)) Seen {
	s := Seen{At: t, What: what, Job: "j", Work: "w", Executor: "a"}
	if with != nil {
		with(&s)
	}
	return s
}

func taken(track policy.JobClassID) Seen {
	return at(0, Taken, func(s *Seen) { s.Track, s.Limit = track, 10000*ms })
}

func sentTo(t time.Duration, n policy.AttemptID, e policy.ExecutorID, zone policy.ZoneID) Seen {
	return at(t, FirstByte, func(s *Seen) { s.Allocation, s.Executor, s.Zone, s.Cell = n, e, zone, policy.CellID(zone) })
}

func over(t time.Duration, n policy.AttemptID, proof bool) Seen {
	return at(t, Over, func(s *Seen) { s.Allocation, s.Proof = n, proof })
}

func ranAt(t time.Duration, track policy.JobClassID, e policy.ExecutorID) Seen {
	return at(t, Ran, func(s *Seen) { s.Track, s.Executor = track, e })
}

// leftAndSent has as many clients leave at once, and sends their batch jobs that much later.
func leftAndSent(after time.Duration, count int) (all []Seen) {
	for _, s := range []Seen{taken(0), at(0, Went, nil), sentTo(after, 0, "a", 0)} {
		for i := range count {
			s.Job, s.Work = policy.JobID(fmt.Sprint("j", i)), WorkID(fmt.Sprint("w", i))
			all = append(all, s)
		}
	}
	return all
}

func answer(t time.Duration, f Final) Seen { return at(t, Answered, func(s *Seen) { s.Final = f }) }

func toldOf(t time.Duration, state policy.EndpointState) Seen {
	return at(t, Told, func(s *Seen) { s.State = state })
}

func toldFrom(t, start time.Duration) Seen {
	return at(t, Told, func(s *Seen) { s.State, s.Start = policy.Available, start })
}

func reached(t time.Duration, cost float64) Seen {
	return at(t, Reached, func(s *Seen) { s.Cost, s.Capacity = cost, 1 })
}

// Each rule at its edges: what just keeps it, and what just breaks it.
func TestEdges(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name string
		seen []Seen
	}{
		{"handled in time", []Seen{taken(0), sentTo(1*ms, 0, "a", 0), ranAt(2*ms, 0, "a"), over(9*ms, 0, false), answer(9*ms, Handled)}},
		{"answered within the slack", []Seen{taken(0), answer(10016*ms, BrokenOff)}},
		{"answered after the slack", []Seen{taken(0), answer(10017*ms, BrokenOff)}},
		{"never answered", []Seen{taken(0), at(11000*ms, Note, nil)}},
		{"never answered by a node that was killed", []Seen{taken(0), at(5*ms, NodeKilled, nil), at(11000*ms, Note, nil)}},
		{"never answered to a client that left", []Seen{taken(0), at(5*ms, Left, nil), at(11000*ms, Note, nil)}},
		{"answered twice", []Seen{taken(0), answer(1*ms, BrokenOff), answer(2*ms, BrokenOff)}},
		{"sent after its answer", []Seen{taken(0), answer(1*ms, BrokenOff), sentTo(2*ms, 0, "a", 0)}},
		{"sent after its client left", []Seen{taken(0), at(1*ms, Left, nil), sentTo(2*ms, 0, "a", 0)}},
		{"handled, and nothing ran", []Seen{taken(0), sentTo(1*ms, 0, "a", 0), over(9*ms, 0, false), answer(9*ms, Handled)}},
		{"three sent 0.1 s after their clients left, unheard", leftAndSent(100*ms, 3)},
		{"two sent 0.101 s after their clients left, unheard", leftAndSent(101*ms, 2)},
		{"three sent 0.101 s after their clients left, unheard", leftAndSent(101*ms, 3)},
		{"three sent 0.101 s after their clients left, by three nodes", func() []Seen {
			all := leftAndSent(101*ms, 3)
			for i := range all {
				all[i].Node = NodeID(i % 3)
			}
			return all
		}()},
		{"sent 0.299 s after its client left, unheard", []Seen{taken(0), at(1*ms, Went, nil), sentTo(300*ms, 0, "a", 0)}},
		{"sent 0.3 s after its client left, unheard", []Seen{taken(0), at(1*ms, Went, nil), sentTo(301*ms, 0, "a", 0)}},
		{"further attempts count, each: the third 0.101 s after its client left", []Seen{taken(0), at(1*ms, Went, nil), sentTo(102*ms, 0, "a", 0), over(103*ms, 0, true),
			sentTo(104*ms, 1, "a", 0), over(105*ms, 1, true), sentTo(106*ms, 2, "b", 0)}},
		{"three clients leave while their node stands still, and it sends before it looks", append(append([]Seen{at(0, StoodStill, nil)},
			leftAndSent(101*ms, 3)[:6]...), append([]Seen{at(100*ms, WentOn, nil)}, leftAndSent(101*ms, 3)[6:]...)...)},
		{"sent right before its node stood still, and its client left", []Seen{taken(0), sentTo(1*ms, 0, "a", 0), at(1*ms, StoodStill, nil), at(2*ms, Went, nil),
			at(2000*ms, WentOn, nil), over(2001*ms, 0, false)}},
		{"once-only, again 0.3 s after its client left", []Seen{taken(1), sentTo(1*ms, 0, "a", 0), at(2*ms, Went, nil), over(3*ms, 0, true), sentTo(302*ms, 1, "b", 0)}},
		{"its client left, and its id comes again", []Seen{taken(0), at(1*ms, Went, nil), at(1*ms, Left, nil), taken(0), sentTo(302*ms, 0, "a", 0)}},
		{"its id comes again once its client has left", []Seen{taken(0), sentTo(1*ms, 0, "a", 0), at(2*ms, Left, nil), taken(0), answer(3*ms, BrokenOff)}},
		{"two out at once", []Seen{taken(0), sentTo(1*ms, 0, "a", 0), sentTo(2*ms, 1, "b", 0)}},
		{"repeatable, again after a cut", []Seen{taken(0), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, false), sentTo(3*ms, 1, "b", 0)}},
		{"once-only, again after no connection", []Seen{taken(1), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, true), sentTo(3*ms, 1, "b", 0)}},
		{"once-only, again after a cut", []Seen{taken(1), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, false), sentTo(3*ms, 1, "b", 0)}},
		{"once-only, pushed back after no connection", []Seen{taken(1), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, true), answer(3*ms, PushedBack)}},
		{"once-only, pushed back after a cut", []Seen{taken(1), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, false), answer(3*ms, PushedBack)}},
		{"once-only, pushed back while it is out", []Seen{taken(1), sentTo(1*ms, 0, "a", 0), answer(3*ms, PushedBack)}},
		{"once-only, broken off after a cut", []Seen{taken(1), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, false), answer(3*ms, BrokenOff)}},
		{"once-only, ran twice whatever was said", []Seen{taken(1), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, true), ranAt(3*ms, 1, "a"), sentTo(3*ms, 1, "b", 0), ranAt(4*ms, 1, "b")}},
		{"tagged, across zones in a group of all at 7.4 s", []Seen{taken(2), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, false), sentTo(7401*ms, 1, "b", 1)}},
		{"tagged, across zones in a group of all at 7.6 s", []Seen{taken(2), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, false), sentTo(7601*ms, 1, "b", 1)}},
		{"tagged, the window counts from the first that may have run", []Seen{taken(2), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, true), sentTo(5000*ms, 1, "b", 1), over(5001*ms, 1, false), sentTo(9000*ms, 2, "c", 1)}},
		{"tagged within a zone, in it", []Seen{taken(3), sentTo(1*ms, 0, "a", 1), over(2*ms, 0, false), sentTo(3*ms, 1, "b", 1)}},
		{"tagged within a zone, out of it", []Seen{taken(3), sentTo(1*ms, 0, "a", 1), over(2*ms, 0, false), sentTo(3*ms, 1, "b", 0)}},
		{"tagged within a cell, out of it", []Seen{taken(4), sentTo(1*ms, 0, "a", 1), over(2*ms, 0, false), sentTo(3*ms, 1, "b", 0)}},
		{"tagged within a zone, out of it after no connection", []Seen{taken(3), sentTo(1*ms, 0, "a", 1), over(2*ms, 0, true), sentTo(3*ms, 1, "b", 0)}},
		{"tagged within all, pushed back after a cut", []Seen{taken(2), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, false), answer(3*ms, PushedBack)}},
		{"tagged within a zone, pushed back after a cut", []Seen{taken(3), sentTo(1*ms, 0, "a", 0), over(2*ms, 0, false), answer(3*ms, PushedBack)}},
		{"tagged, ran twice within its window", []Seen{taken(2), ranAt(1*ms, 2, "a"), ranAt(7000*ms, 2, "b")}},
		{"tagged, held up for longer than its window", []Seen{taken(2), ranAt(1*ms, 2, "a"), ranAt(7600*ms, 2, "b")}},
		{"sent within the grace of a drain", []Seen{toldOf(0, policy.Draining), taken(0), sentTo(1500*ms, 0, "a", 0)}},
		{"sent after the grace of a drain", []Seen{toldOf(0, policy.Draining), taken(0), sentTo(1501*ms, 0, "a", 0)}},
		{"the grace counts from the first word", []Seen{toldOf(0, policy.Draining), toldOf(1000*ms, policy.Removed), taken(0), sentTo(1501*ms, 0, "a", 0)}},
		{"up again after a drain", []Seen{toldOf(0, policy.Draining), toldOf(1000*ms, policy.Available), taken(0), sentTo(3000*ms, 0, "a", 0)}},
		{"a new start of the node knows of no drain", []Seen{toldOf(0, policy.Draining), at(5*ms, NodeStarted, nil), taken(0), sentTo(3000*ms, 0, "a", 0)}},
		{"cold, within its budget and the slack", []Seen{at(0, Started, nil), toldOf(0, policy.Available), reached(10*ms, 1.1), reached(20*ms, 1.1), reached(30*ms, 1.1)}},
		{"cold, over its budget", []Seen{at(0, Started, nil), toldOf(0, policy.Available), reached(10*ms, 1.1), reached(20*ms, 1.1), reached(30*ms, 1.1), reached(40*ms, 1.1)}},
		{"cold, the window has passed", []Seen{at(0, Started, nil), toldOf(0, policy.Available), reached(10*ms, 1.1), reached(20*ms, 1.1), reached(30*ms, 1.1), reached(1040*ms, 1.1)}},
		{"cold, by nodes that were not told of its start", []Seen{toldOf(0, policy.Available), at(5*ms, Started, nil), reached(10*ms, 5), reached(20*ms, 5), reached(30*ms, 5)}},
		{"cold, sent by a node before it was told of its start", []Seen{toldOf(0, policy.Available), at(5*ms, Started, nil), taken(0), sentTo(6*ms, 0, "a", 0),
			toldFrom(7*ms, 5*ms), reached(10*ms, 5), reached(20*ms, 5)}},
		{"cold, sent by a node after it was told of its start", []Seen{toldOf(0, policy.Available), at(5*ms, Started, nil), taken(0), toldFrom(6*ms, 5*ms),
			sentTo(7*ms, 0, "a", 0), reached(10*ms, 5), reached(20*ms, 5)}},
		{"warm", []Seen{at(0, Started, nil), toldOf(0, policy.Available), reached(9001*ms, 9), reached(9002*ms, 9), reached(9003*ms, 9)}},
		{"given up on, answered at once", []Seen{taken(0), at(5*ms, GaveUp, nil), answer(5*ms, PushedBack)}},
		{"given up on, answered late", []Seen{taken(0), at(5*ms, GaveUp, nil), answer(7*ms, PushedBack)}},
	} {
		ck := New(site)
		verdict := "fine"
		for _, s := range c.seen {
			if s.What == Started {
				s.Node = Nobody
			}
			for _, b := range ck.See(s) {
				if verdict == "fine" {
					verdict = ""
				}
				verdict += fmt.Sprintf("%v (%s) ", b.Rule, b.Text)
			}
		}
		if n := ck.LateTwice(); n > 0 {
			verdict += fmt.Sprintf(", %d too late to be dropped", n)
		}
		fmt.Fprintf(&out, "%s\n    -> %s\n", c.name, strings.TrimSpace(verdict))
	}
	golden.Compare(t, "edges.txt", out.String())
}

// What a broken rule shows are the lines that are about it.
func TestBrokenShowsItsLines(t *testing.T) {
	ck := New(site)
	other := taken(0)
	other.Job, other.Work = "other", "other"
	var all []Broken
	for _, s := range []Seen{taken(1), other, sentTo(1*ms, 0, "a", 0), over(2*ms, 0, false), sentTo(3*ms, 1, "b", 0)} {
		all = append(all, ck.See(s)...)
	}
	text := ""
	for _, b := range all {
		text += b.String() + "\n"
	}
	golden.Compare(t, "lines.txt", text)
}

// A line of a trace reads back as it was.
func TestLine(t *testing.T) {
	s := Seen{At: 5 * ms, What: Over, Node: 3, Job: "j", Work: "w", Track: 1, Allocation: 2, Executor: "e", Zone: 1, Cell: 4,
		State: policy.Removed, Start: -3, Limit: 7, Proof: true, Final: BrokenOff, Cost: 0.5, Capacity: 2, Text: "x"}
	line, err := s.Line()
	if err != nil {
		t.Fatal(err)
	}
	var back Seen
	if err := back.Read(line); err != nil || back != s {
		t.Errorf("%s came back as %+v, %v", line, back, err)
	}
	if err := back.Read([]byte(`{"at":1,"what":"nonsense"}`)); err == nil {
		t.Error("nonsense can be seen")
	}
}

// Where copies are allowed, a repeatable batch job may have two allocations out, and no other, and never three.
func TestCopies(t *testing.T) {
	allowed := site
	allowed.Copies = true
	for _, c := range []struct {
		name  string
		track policy.JobClassID
		seen  []Seen
		want  bool
	}{
		{"a copy", 0, []Seen{sentTo(1*ms, 0, "a", 0), sentTo(2*ms, 1, "b", 0)}, false},
		{"a copy, and one more after the first is over", 0, []Seen{sentTo(1*ms, 0, "a", 0), sentTo(2*ms, 1, "b", 0), over(3*ms, 0, false), sentTo(4*ms, 2, "c", 0)}, false},
		{"three at once", 0, []Seen{sentTo(1*ms, 0, "a", 0), sentTo(2*ms, 1, "b", 0), sentTo(3*ms, 2, "c", 0)}, true},
		{"once-only", 1, []Seen{sentTo(1*ms, 0, "a", 0), sentTo(2*ms, 1, "b", 0)}, true},
		{"tagged, in its group", 2, []Seen{sentTo(1*ms, 0, "a", 0), sentTo(2*ms, 1, "b", 0)}, true},
		{"a copy after the answer", 0, []Seen{sentTo(1*ms, 0, "a", 0), ranAt(2*ms, 0, "a"), answer(3*ms, Handled), sentTo(4*ms, 1, "b", 0)}, true},
	} {
		checker := New(allowed)
		checker.See(taken(c.track))
		for _, s := range c.seen {
			checker.See(s)
		}
		if got := len(checker.Broken()) > 0; got != c.want {
			t.Errorf("%s: broken %v: %v", c.name, got, checker.Broken())
		}
	}
	checker := New(site)
	for _, s := range []Seen{taken(0), sentTo(1*ms, 0, "a", 0), sentTo(2*ms, 1, "b", 0)} {
		checker.See(s)
	}
	if len(checker.Broken()) == 0 {
		t.Error("a copy where none is allowed is not seen")
	}
}

// The operators' bound for a cold executor: N and twice the root of N and two more batch jobs of mean work, N filling its budget. It is
// the narrower one where N is large; what is just under it is fine, the next batch job breaks the rule, whichever nodes sent them, unless
// a third came from nodes that had not been told. With a small N our own bound still holds.
func TestColdChance(t *testing.T) {
	of := site
	for _, c := range []struct {
		name  string
		mean  float64
		count int
		cost  float64
		late  int // of every so many one comes from a node that was not told of the start; 0 for none
		want  bool
	}{
		{"400 fill the budget, 442 came", 0.005, 442, 0.005, 0, false},
		{"400 fill the budget, 443 came", 0.005, 443, 0.005, 0, true},
		{"counted as work: 884 of half the mean", 0.005, 884, 0.0025, 0, false},
		{"counted as work: 885 of half the mean", 0.005, 885, 0.0025, 0, true},
		{"over it, a quarter by a node that was not told", 0.005, 460, 0.005, 4, true},
		{"over it, half by a node that was not told", 0.005, 460, 0.005, 2, false},
		{"no mean is known: our own bound alone", 0, 443, 0.005, 0, false},
		{"4 fill the budget, 5 came: under both", 0.5, 5, 0.5, 0, false},
		{"4 fill the budget, 6 came: under theirs, over our own", 0.5, 6, 0.5, 0, true},
	} {
		of.MeanWork = c.mean
		checker := New(of)
		start := at(5*ms, Started, nil)
		start.Node = Nobody
		untold, told := toldOf(0, policy.Available), toldFrom(6*ms, 5*ms)
		untold.Node = 1
		for _, s := range []Seen{untold, start, told} {
			checker.See(s)
		}
		for i := range c.count {
			s := reached(10*ms+time.Duration(i)*time.Microsecond, c.cost)
			if c.late > 0 && i%c.late == 0 {
				s.Node = 1
			}
			checker.See(s)
		}
		if got := len(checker.Broken()) > 0; got != c.want {
			t.Errorf("%s: broken %v: %v", c.name, got, checker.Broken())
		}
	}
}
