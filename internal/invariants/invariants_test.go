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

// testSettings has job classes 0 to 4: idempotent, at most once, and idempotent with a key within all executors, a zone
// and a cell.
var testSettings = Settings{AnswerSlack: 16 * ms, DrainGrace: 1500 * ms, PromptWithin: ms, SlowStart: 9000 * ms, SlowStartMultiple: 2, SlowStartWindow: 1000 * ms,
	Classes: []policy.JobClass{{}, {Idempotency: policy.AtMostOnce}, {Idempotency: policy.IdempotentWithKey, DedupWindow: 7500 * ms},
		{Idempotency: policy.IdempotentWithKey, DedupGroup: policy.DedupZone, DedupWindow: 7500 * ms},
		{Idempotency: policy.IdempotentWithKey, DedupGroup: policy.DedupCell, DedupWindow: 7500 * ms}}}

func eventAt(t time.Duration, kind EventKind, with func(*Event)) Event {
	s := Event{At: t, Kind: kind, Job: "j", Work: "w", Executor: "a"}
	if with != nil {
		with(&s)
	}
	return s
}

func accepted(class policy.JobClassID) Event {
	return eventAt(0, JobAccepted, func(s *Event) { s.Class, s.Deadline = class, 10000*ms })
}

func sentAt(t time.Duration, n policy.AttemptID, e policy.ExecutorID, zone policy.ZoneID) Event {
	return eventAt(t, AttemptFirstByte, func(s *Event) { s.Attempt, s.Executor, s.Zone, s.Cell = n, e, zone, policy.CellID(zone) })
}

func ended(t time.Duration, n policy.AttemptID, neverRan bool) Event {
	return eventAt(t, AttemptEnded, func(s *Event) { s.Attempt, s.NeverRan = n, neverRan })
}

func effectAt(t time.Duration, class policy.JobClassID, e policy.ExecutorID) Event {
	return eventAt(t, EffectStarted, func(s *Event) { s.Class, s.Executor = class, e })
}

// sentAfterClientsLeft returns the events of a number of clients that all leave at time 0, and of the first attempts of
// their batch jobs, which are sent at the given time.
func sentAfterClientsLeft(after time.Duration, count int) (all []Event) {
	for _, s := range []Event{accepted(0), eventAt(0, ClientLeft, nil), sentAt(after, 0, "a", 0)} {
		for i := range count {
			s.Job, s.Work = policy.JobID(fmt.Sprint("j", i)), WorkID(fmt.Sprint("w", i))
			all = append(all, s)
		}
	}
	return all
}

func answeredAt(t time.Duration, f Final) Event {
	return eventAt(t, JobAnswered, func(s *Event) { s.Final = f })
}

func notifiedAt(t time.Duration, state policy.EndpointState) Event {
	return eventAt(t, EndpointNotified, func(s *Event) { s.State = state })
}

func notifiedOfStart(t, start time.Duration) Event {
	return eventAt(t, EndpointNotified, func(s *Event) { s.State, s.Start = policy.Available, start })
}

func arrivedAt(t time.Duration, cost float64) Event {
	return eventAt(t, AttemptReached, func(s *Event) { s.Cost, s.Capacity = cost, 1 })
}

// TestRuleBounds checks each rule at its bounds: with events that just keep it, and with events that just violate it.
func TestRuleBounds(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name   string
		events []Event
	}{
		{"succeeded in time", []Event{accepted(0), sentAt(1*ms, 0, "a", 0), effectAt(2*ms, 0, "a"), ended(9*ms, 0, false), answeredAt(9*ms, Succeeded)}},
		{"answered within the slack", []Event{accepted(0), answeredAt(10016*ms, Failed)}},
		{"answered after the slack", []Event{accepted(0), answeredAt(10017*ms, Failed)}},
		{"never answered", []Event{accepted(0), eventAt(11000*ms, Note, nil)}},
		{"never answered by a node that was killed", []Event{accepted(0), eventAt(5*ms, NodeKilled, nil), eventAt(11000*ms, Note, nil)}},
		{"never answered to a client that left", []Event{accepted(0), eventAt(5*ms, ClientKnownLeft, nil), eventAt(11000*ms, Note, nil)}},
		{"answered twice", []Event{accepted(0), answeredAt(1*ms, Failed), answeredAt(2*ms, Failed)}},
		{"sent after its answer", []Event{accepted(0), answeredAt(1*ms, Failed), sentAt(2*ms, 0, "a", 0)}},
		{"sent after its client left", []Event{accepted(0), eventAt(1*ms, ClientKnownLeft, nil), sentAt(2*ms, 0, "a", 0)}},
		{"answered as succeeded, but nothing ran", []Event{accepted(0), sentAt(1*ms, 0, "a", 0), ended(9*ms, 0, false), answeredAt(9*ms, Succeeded)}},
		{"three sent 0.1 s after their clients left without the node knowing", sentAfterClientsLeft(100*ms, 3)},
		{"two sent 0.101 s after their clients left without the node knowing", sentAfterClientsLeft(101*ms, 2)},
		{"three sent 0.101 s after their clients left without the node knowing", sentAfterClientsLeft(101*ms, 3)},
		{"three sent 0.101 s after their clients left, by three nodes", func() []Event {
			all := sentAfterClientsLeft(101*ms, 3)
			for i := range all {
				all[i].Node = NodeID(i % 3)
			}
			return all
		}()},
		{"sent 0.299 s after its client left without the node knowing", []Event{accepted(0), eventAt(1*ms, ClientLeft, nil), sentAt(300*ms, 0, "a", 0)}},
		{"sent 0.3 s after its client left without the node knowing", []Event{accepted(0), eventAt(1*ms, ClientLeft, nil), sentAt(301*ms, 0, "a", 0)}},
		{"each further attempt counts, the first 0.101 s after its client left", []Event{accepted(0), eventAt(1*ms, ClientLeft, nil), sentAt(102*ms, 0, "a", 0), ended(103*ms, 0, true),
			sentAt(104*ms, 1, "a", 0), ended(105*ms, 1, true), sentAt(106*ms, 2, "b", 0)}},
		{"three clients leave while their node is paused, and it sends before it checks the connections", append(append([]Event{eventAt(0, NodePaused, nil)},
			sentAfterClientsLeft(101*ms, 3)[:6]...), append([]Event{eventAt(100*ms, NodeResumed, nil)}, sentAfterClientsLeft(101*ms, 3)[6:]...)...)},
		{"sent right before its node was paused, and its client left", []Event{accepted(0), sentAt(1*ms, 0, "a", 0), eventAt(1*ms, NodePaused, nil), eventAt(2*ms, ClientLeft, nil),
			eventAt(2000*ms, NodeResumed, nil), ended(2001*ms, 0, false)}},
		{"at most once, retried 0.3 s after its client left", []Event{accepted(1), sentAt(1*ms, 0, "a", 0), eventAt(2*ms, ClientLeft, nil), ended(3*ms, 0, true), sentAt(302*ms, 1, "b", 0)}},
		{"its client left, and its id arrives again", []Event{accepted(0), eventAt(1*ms, ClientLeft, nil), eventAt(1*ms, ClientKnownLeft, nil), accepted(0), sentAt(302*ms, 0, "a", 0)}},
		{"its client left, and its id arrives again while an attempt is in flight", []Event{accepted(0), sentAt(1*ms, 0, "a", 0), eventAt(2*ms, ClientKnownLeft, nil), accepted(0), answeredAt(3*ms, Failed)}},
		{"two attempts in flight", []Event{accepted(0), sentAt(1*ms, 0, "a", 0), sentAt(2*ms, 1, "b", 0)}},
		{"idempotent, retried after a lost connection", []Event{accepted(0), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, false), sentAt(3*ms, 1, "b", 0)}},
		{"at most once, retried after a failed connection", []Event{accepted(1), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, true), sentAt(3*ms, 1, "b", 0)}},
		{"at most once, retried after a lost connection", []Event{accepted(1), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, false), sentAt(3*ms, 1, "b", 0)}},
		{"at most once, rejected after a failed connection", []Event{accepted(1), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, true), answeredAt(3*ms, Rejected)}},
		{"at most once, rejected after a lost connection", []Event{accepted(1), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, false), answeredAt(3*ms, Rejected)}},
		{"at most once, rejected while an attempt is in flight", []Event{accepted(1), sentAt(1*ms, 0, "a", 0), answeredAt(3*ms, Rejected)}},
		{"at most once, failed after a lost connection", []Event{accepted(1), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, false), answeredAt(3*ms, Failed)}},
		{"at most once, ran twice although the first attempt was reported as never run", []Event{accepted(1), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, true), effectAt(3*ms, 1, "a"), sentAt(3*ms, 1, "b", 0), effectAt(4*ms, 1, "b")}},
		{"with a key, dedup group of all executors: retried in another zone after 7.4 s", []Event{accepted(2), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, false), sentAt(7401*ms, 1, "b", 1)}},
		{"with a key, dedup group of all executors: retried in another zone after 7.6 s", []Event{accepted(2), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, false), sentAt(7601*ms, 1, "b", 1)}},
		{"with a key, the dedup window counts from the first attempt that may have run", []Event{accepted(2), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, true), sentAt(5000*ms, 1, "b", 1), ended(5001*ms, 1, false), sentAt(9000*ms, 2, "c", 1)}},
		{"with a key, dedup group of a zone: retried in the zone", []Event{accepted(3), sentAt(1*ms, 0, "a", 1), ended(2*ms, 0, false), sentAt(3*ms, 1, "b", 1)}},
		{"with a key, dedup group of a zone: retried in another zone", []Event{accepted(3), sentAt(1*ms, 0, "a", 1), ended(2*ms, 0, false), sentAt(3*ms, 1, "b", 0)}},
		{"with a key, dedup group of a cell: retried in another cell", []Event{accepted(4), sentAt(1*ms, 0, "a", 1), ended(2*ms, 0, false), sentAt(3*ms, 1, "b", 0)}},
		{"with a key, dedup group of a zone: retried in another zone after a failed connection", []Event{accepted(3), sentAt(1*ms, 0, "a", 1), ended(2*ms, 0, true), sentAt(3*ms, 1, "b", 0)}},
		{"with a key, dedup group of all executors: rejected after a lost connection", []Event{accepted(2), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, false), answeredAt(3*ms, Rejected)}},
		{"with a key, dedup group of a zone: rejected after a lost connection", []Event{accepted(3), sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, false), answeredAt(3*ms, Rejected)}},
		{"with a key, ran twice within its dedup window", []Event{accepted(2), effectAt(1*ms, 2, "a"), effectAt(7000*ms, 2, "b")}},
		{"with a key, ran again after its dedup window", []Event{accepted(2), effectAt(1*ms, 2, "a"), effectAt(7600*ms, 2, "b")}},
		{"sent within the drain grace", []Event{notifiedAt(0, policy.Draining), accepted(0), sentAt(1500*ms, 0, "a", 0)}},
		{"sent after the drain grace", []Event{notifiedAt(0, policy.Draining), accepted(0), sentAt(1501*ms, 0, "a", 0)}},
		{"the drain grace counts from the first notification", []Event{notifiedAt(0, policy.Draining), notifiedAt(1000*ms, policy.Removed), accepted(0), sentAt(1501*ms, 0, "a", 0)}},
		{"available again after a drain", []Event{notifiedAt(0, policy.Draining), notifiedAt(1000*ms, policy.Available), accepted(0), sentAt(3000*ms, 0, "a", 0)}},
		{"a node that has restarted does not know of the drain", []Event{notifiedAt(0, policy.Draining), eventAt(5*ms, NodeStarted, nil), accepted(0), sentAt(3000*ms, 0, "a", 0)}},
		{"slow start, within the budget and the slack", []Event{eventAt(0, ExecutorStarted, nil), notifiedAt(0, policy.Available), arrivedAt(10*ms, 1.1), arrivedAt(20*ms, 1.1), arrivedAt(30*ms, 1.1)}},
		{"slow start, over the budget", []Event{eventAt(0, ExecutorStarted, nil), notifiedAt(0, policy.Available), arrivedAt(10*ms, 1.1), arrivedAt(20*ms, 1.1), arrivedAt(30*ms, 1.1), arrivedAt(40*ms, 1.1)}},
		{"slow start, the window has passed", []Event{eventAt(0, ExecutorStarted, nil), notifiedAt(0, policy.Available), arrivedAt(10*ms, 1.1), arrivedAt(20*ms, 1.1), arrivedAt(30*ms, 1.1), arrivedAt(1040*ms, 1.1)}},
		{"slow start, sent by nodes that were not notified of the start", []Event{notifiedAt(0, policy.Available), eventAt(5*ms, ExecutorStarted, nil), arrivedAt(10*ms, 5), arrivedAt(20*ms, 5), arrivedAt(30*ms, 5)}},
		{"slow start, sent by a node before it was notified of the start", []Event{notifiedAt(0, policy.Available), eventAt(5*ms, ExecutorStarted, nil), accepted(0), sentAt(6*ms, 0, "a", 0),
			notifiedOfStart(7*ms, 5*ms), arrivedAt(10*ms, 5), arrivedAt(20*ms, 5)}},
		{"slow start, sent by a node after it was notified of the start", []Event{notifiedAt(0, policy.Available), eventAt(5*ms, ExecutorStarted, nil), accepted(0), notifiedOfStart(6*ms, 5*ms),
			sentAt(7*ms, 0, "a", 0), arrivedAt(10*ms, 5), arrivedAt(20*ms, 5)}},
		{"after the slow start", []Event{eventAt(0, ExecutorStarted, nil), notifiedAt(0, policy.Available), arrivedAt(9001*ms, 9), arrivedAt(9002*ms, 9), arrivedAt(9003*ms, 9)}},
		{"given up on, answered without delay", []Event{accepted(0), eventAt(5*ms, JobGivenUp, nil), answeredAt(5*ms, Rejected)}},
		{"given up on, answered late", []Event{accepted(0), eventAt(5*ms, JobGivenUp, nil), answeredAt(7*ms, Rejected)}},
	} {
		checker := New(testSettings)
		verdict := "fine"
		for _, s := range c.events {
			if s.Kind == ExecutorStarted {
				s.Node = NoNode
			}
			for _, b := range checker.Observe(s) {
				if verdict == "fine" {
					verdict = ""
				}
				verdict += fmt.Sprintf("%v (%s) ", b.Rule, b.Text)
			}
		}
		if n := checker.LateReruns(); n > 0 {
			verdict += fmt.Sprintf(", %d late reruns", n)
		}
		fmt.Fprintf(&out, "%s\n    -> %s\n", c.name, strings.TrimSpace(verdict))
	}
	golden.Compare(t, "rule-bounds.txt", out.String())
}

// TestViolationEvents checks that a violation shows the events about its job, and no others.
func TestViolationEvents(t *testing.T) {
	checker := New(testSettings)
	other := accepted(0)
	other.Job, other.Work = "other", "other"
	var all []Violation
	for _, s := range []Event{accepted(1), other, sentAt(1*ms, 0, "a", 0), ended(2*ms, 0, false), sentAt(3*ms, 1, "b", 0)} {
		all = append(all, checker.Observe(s)...)
	}
	text := ""
	for _, b := range all {
		text += b.String() + "\n"
	}
	golden.Compare(t, "violation-events.txt", text)
}

// TestLine checks that a line of a trace parses into the event that it was written for, and that an unknown kind of
// event is an error.
func TestLine(t *testing.T) {
	s := Event{At: 5 * ms, Kind: AttemptEnded, Node: 3, Job: "j", Work: "w", Class: 1, Attempt: 2, Executor: "e", Zone: 1, Cell: 4,
		State: policy.Removed, Start: -3, Deadline: 7, NeverRan: true, Final: Failed, Cost: 0.5, Capacity: 2, Text: "x"}
	line, err := s.Line()
	if err != nil {
		t.Fatal(err)
	}
	var back Event
	if err := back.Parse(line); err != nil || back != s {
		t.Errorf("%s came back as %+v, %v", line, back, err)
	}
	if err := back.Parse([]byte(`{"at":1,"what":"nonsense"}`)); err == nil {
		t.Error("an unknown kind of event is not an error")
	}
}

// TestHedging checks that where hedging is allowed, an idempotent batch job may have two attempts in flight, no other
// class may, and none may have three.
func TestHedging(t *testing.T) {
	allowed := testSettings
	allowed.Hedging = true
	for _, c := range []struct {
		name   string
		class  policy.JobClassID
		events []Event
		want   bool
	}{
		{"a hedge", 0, []Event{sentAt(1*ms, 0, "a", 0), sentAt(2*ms, 1, "b", 0)}, false},
		{"a hedge, and a third attempt after the first has ended", 0, []Event{sentAt(1*ms, 0, "a", 0), sentAt(2*ms, 1, "b", 0), ended(3*ms, 0, false), sentAt(4*ms, 2, "c", 0)}, false},
		{"three attempts in flight", 0, []Event{sentAt(1*ms, 0, "a", 0), sentAt(2*ms, 1, "b", 0), sentAt(3*ms, 2, "c", 0)}, true},
		{"at most once", 1, []Event{sentAt(1*ms, 0, "a", 0), sentAt(2*ms, 1, "b", 0)}, true},
		{"with a key, in its dedup group", 2, []Event{sentAt(1*ms, 0, "a", 0), sentAt(2*ms, 1, "b", 0)}, true},
		{"a hedge after the answer", 0, []Event{sentAt(1*ms, 0, "a", 0), effectAt(2*ms, 0, "a"), answeredAt(3*ms, Succeeded), sentAt(4*ms, 1, "b", 0)}, true},
	} {
		checker := New(allowed)
		checker.Observe(accepted(c.class))
		for _, s := range c.events {
			checker.Observe(s)
		}
		if got := len(checker.Violations()) > 0; got != c.want {
			t.Errorf("%s: violated %v: %v", c.name, got, checker.Violations())
		}
	}
	checker := New(testSettings)
	for _, s := range []Event{accepted(0), sentAt(1*ms, 0, "a", 0), sentAt(2*ms, 1, "b", 0)} {
		checker.Observe(s)
	}
	if len(checker.Violations()) == 0 {
		t.Error("a hedge is no violation although hedging is not allowed")
	}
}

// TestSlowStartOperatorsBound checks the operators' bound on an executor in slow start. If N batch jobs of mean work
// fill the budget, the bound is N plus twice the square root of N plus 2. It is the narrower bound if N is large. Work
// just under it is not a violation and the next batch job is one, whichever nodes sent them, unless over a third came
// from nodes that had not been notified of the start. With a small N our own bound still applies.
func TestSlowStartOperatorsBound(t *testing.T) {
	settings := testSettings
	for _, c := range []struct {
		name  string
		mean  float64
		count int
		cost  float64
		late  int // one arrival in so many comes from a node that was not notified of the start; 0 for none
		want  bool
	}{
		{"400 jobs fill the budget, 442 arrived", 0.005, 442, 0.005, 0, false},
		{"400 jobs fill the budget, 443 arrived", 0.005, 443, 0.005, 0, true},
		{"counted as work: 884 jobs of half the mean", 0.005, 884, 0.0025, 0, false},
		{"counted as work: 885 jobs of half the mean", 0.005, 885, 0.0025, 0, true},
		{"over the bound, a quarter by a node that was not notified", 0.005, 460, 0.005, 4, true},
		{"over the bound, half by a node that was not notified", 0.005, 460, 0.005, 2, false},
		{"the mean is unknown: only our bound applies", 0, 443, 0.005, 0, false},
		{"4 jobs fill the budget, 5 arrived: within both bounds", 0.5, 5, 0.5, 0, false},
		{"4 jobs fill the budget, 6 arrived: within the operators' bound, over ours", 0.5, 6, 0.5, 0, true},
	} {
		settings.MeanWork = c.mean
		checker := New(settings)
		start := eventAt(5*ms, ExecutorStarted, nil)
		start.Node = NoNode
		notNotified, notified := notifiedAt(0, policy.Available), notifiedOfStart(6*ms, 5*ms)
		notNotified.Node = 1
		for _, s := range []Event{notNotified, start, notified} {
			checker.Observe(s)
		}
		for i := range c.count {
			s := arrivedAt(10*ms+time.Duration(i)*time.Microsecond, c.cost)
			if c.late > 0 && i%c.late == 0 {
				s.Node = 1
			}
			checker.Observe(s)
		}
		if got := len(checker.Violations()) > 0; got != c.want {
			t.Errorf("%s: violated %v: %v", c.name, got, checker.Violations())
		}
	}
}
