package policy

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

// What one process has learnt, another of the same list knows, quotas and hold-backs too; what makes no sense is passed
// over, and a cold executor's figures are not taken.
func TestHandover(t *testing.T) {
	player := &player{t: t, d: New(settings(nil)), shot: map[JobID]AttemptID{}, on: map[JobID][]ExecutorID{}, names: map[ExecutorHash]ExecutorID{}}
	last := time.Duration(0)
	for _, line := range strings.Split(strings.TrimSpace(`
0s list a b:0:1
1s job j1 work=200ms
1s started j1
1.4s ended j1 handled
1.5s job j2 track=1 work=100ms
1.5s started j2
1.7s ended j2 handled
2s job j3 work=200ms
2s ended j3 errored
`), "\n") {
		words := strings.Fields(line)
		now, _ := time.ParseDuration(words[0])
		player.pass(last, now)
		player.tell(now, words[1], words[2:])
		player.run(now)
		last = now
	}
	k := player.d.ExportLearned(last)
	if len(k.Executors) != 2 || len(k.Kinds) != 2 || len(k.Classes) != 2 {
		t.Fatalf("too little is known: %+v", k)
	}
	next := New(settings(nil))
	list := []Endpoint{entry(t, last, "a"), entry(t, last, "b:0:1"), entry(t, last, "c:0:0:1s")}
	next.UpdateEndpoints(last, CompleteUpdate, list)
	odd := LearnedState{Classes: []LearnedClass{{ID: 9, MeanWork: 1, UnitValue: 1}, {ID: -1}, {ID: 0}}, Kinds: []LearnedKind{{ID: 7}, {ID: 0}},
		Executors: []LearnedExecutor{{ID: "nobody", Quota: 3}, {ID: "a"}, {ID: "b", Quota: 3, RunTime: -1}, {ID: "c", Quota: 5}}}
	before := next.ExportLearned(last)
	next.ImportLearned(last, odd)
	if after := next.ExportLearned(last); !reflect.DeepEqual(before, after) {
		t.Errorf("learnt what makes no sense: %+v", after)
	}
	next.ImportLearned(last, k)
	got := next.ExportLearned(last)
	for _, in := range k.Executors { // those that are held back have no tokens yet
		e := next.endpoints.byID[in.ID]
		got.Executors = append(got.Executors, LearnedExecutor{e.id, e.tokens.inheritedQuota, e.estimate.runTime, e.estimate.work, e.estimate.startWait, max(0, e.health.ejectedUntil-last), e.health.inFlightCap, e.health.timeouts})
	}
	if !reflect.DeepEqual(got, k) {
		t.Errorf("learnt\n%+v\nof\n%+v", got, k)
	}
	if next.NextTask(last); next.endpoints.byID["a"].tokens.quota != k.Executors[0].Quota {
		t.Errorf("a got a quota of %d", next.endpoints.byID["a"].tokens.quota)
	}
	if e := next.endpoints.byID["c"]; e.tokens.inheritedQuota != 0 {
		t.Error("a cold executor took another start's quota")
	}
}

// A node that goes on among five instead of alone keeps what it knows of executors and batch jobs, and begins its quotas
// afresh: in its first seconds it sends no burst on what it took for its own, and nothing to the one that crawls.
func TestMove(t *testing.T) {
	old := New(settings([]string{"ask"}))
	old.UpdateEndpoints(0, CompleteUpdate, []Endpoint{entry(t, 0, "a"), entry(t, 0, "b"), entry(t, 0, "c")})
	rest := func(d *Dispatcher) {
		for d.NextTask(0).Task != Sleep {
		}
	}
	rest(old)
	for _, e := range old.quota.executors {
		e.tokens.quota = 7
	}
	crawls := old.endpoints.byID["b"]
	crawls.estimate.runTime, crawls.estimate.work, crawls.estimate.startWait = 40, 10, 3*time.Second
	old.classes.all[0].meanWork, old.classes.all[0].requestedValue = 700*time.Millisecond, 50

	among := settings([]string{"ask"})
	among.Nodes = 5
	next := New(among)
	next.UpdateEndpoints(0, CachedUpdate, []Endpoint{entry(t, 0, "a"), entry(t, 0, "b"), entry(t, 0, "c")})
	next.ImportLearned(0, old.ExportLearned(0))
	rest(next)
	if b := next.endpoints.byID["b"]; b.estimate.runTime != 40 || b.estimate.startWait != 0 || b.tokens.inheritedQuota != 0 {
		t.Errorf("of the executor that crawls it knows pace %v over %v, wait %v, quota %d", b.estimate.runTime, b.estimate.work, b.estimate.startWait, b.tokens.inheritedQuota)
	}
	if got := next.classes.all[0]; got.meanWork != 700*time.Millisecond || got.requestedValue != 0 {
		t.Errorf("of the track it knows work %v and %v asked for", got.meanWork, got.requestedValue)
	}
	sent := map[ExecutorID]int{}
	for i := range 40 {
		now := time.Duration(i) * 50 * time.Millisecond
		next.JobArrived(now, Arrival{Job: JobID(fmt.Sprint("j", i)), Work: 300 * time.Millisecond, Budget: 5 * time.Second})
		for due := next.NextTask(now); due.Task != Sleep; due = next.NextTask(now) {
			if due.Task != PlaceJob {
				continue
			}
			if what := next.Place(now, due.Job); what.Action == Send {
				sent[what.Executor]++
				next.AttemptStarted(now, due.Job, 0)
			}
		}
	}
	// None ended in these two seconds: at most a first quota each, and a step more for each interval.
	for id, n := range sent {
		if n > initialQuota+1 {
			t.Errorf("%s got %d in its first two seconds", id, n)
		}
	}
	if sent["a"] == 0 || sent["b"] > 0 {
		t.Errorf("sent %v", sent)
	}
	again := New(settings([]string{"ask"}))
	again.UpdateEndpoints(0, CachedUpdate, []Endpoint{entry(t, 0, "a"), entry(t, 0, "b"), entry(t, 0, "c")})
	again.ImportLearned(0, old.ExportLearned(0))
	rest(again)
	if a := again.endpoints.byID["a"]; a.tokens.quota != 7 {
		t.Errorf("among as many nodes as before the quota is %d", a.tokens.quota)
	}
}
