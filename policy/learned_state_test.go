package policy

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestLearnedStateHandoff checks that what one process has learned another one of the same endpoint list knows, quotas and
// ejections too, that implausible values are passed over, and that figures of an executor in slow start are not taken.
func TestLearnedStateHandoff(t *testing.T) {
	player := newTracePlayer(t)
	last := time.Duration(0)
	for _, line := range strings.Split(strings.TrimSpace(`
0s list a b:0:1
1s job j1 work=200ms
1s started j1
1.4s ended j1 succeeded
1.5s job j2 class=1 work=100ms
1.5s started j2
1.7s ended j2 succeeded
2s job j3 work=200ms
2s ended j3 executor-error
`), "\n") {
		words := strings.Fields(line)
		now, _ := time.ParseDuration(words[0])
		player.advance(last, now)
		player.applyEvent(now, words[1], words[2:])
		player.runDueTasks(now)
		last = now
	}
	learned := player.d.ExportLearned(last)
	if len(learned.Executors) != 2 || len(learned.Kinds) != 2 || len(learned.Classes) != 2 {
		t.Fatalf("too little is known: %+v", learned)
	}
	successor := New(testSettings(t))
	list := []Endpoint{parseEndpoint(t, last, "a"), parseEndpoint(t, last, "b:0:1"), parseEndpoint(t, last, "c:0:0:1s")}
	successor.UpdateEndpoints(last, CompleteUpdate, list)
	implausible := LearnedState{
		Classes:   []LearnedClass{{ID: 9, MeanWork: 1, UnitValue: 1}, {ID: -1}, {ID: 0}},
		Kinds:     []LearnedKind{{ID: 7}, {ID: 0}},
		Executors: []LearnedExecutor{{ID: "nobody", Quota: 3}, {ID: "a"}, {ID: "b", Quota: 3, RunTime: -1}, {ID: "c", Quota: 5}},
	}
	before := successor.ExportLearned(last)
	successor.ImportLearned(last, implausible)
	if after := successor.ExportLearned(last); !reflect.DeepEqual(before, after) {
		t.Errorf("learned implausible values: %+v", after)
	}
	successor.ImportLearned(last, learned)
	got := successor.ExportLearned(last)
	for _, in := range learned.Executors { // those that are not in the subset yet have no tokens
		e := successor.endpoints.byID[in.ID]
		got.Executors = append(got.Executors, LearnedExecutor{
			ID:          e.id,
			Quota:       e.tokens.inheritedQuota,
			RunTime:     e.estimate.runTime,
			Work:        e.estimate.work,
			StartWait:   e.estimate.startWait,
			EjectedFor:  max(0, e.health.ejectedUntil-last),
			InFlightCap: e.health.inFlightCap,
			Timeouts:    e.health.timeouts,
		})
	}
	if !reflect.DeepEqual(got, learned) {
		t.Errorf("learned\n%+v\nof\n%+v", got, learned)
	}
	successor.NextTask(last)
	if quota := successor.endpoints.byID["a"].tokens.quota; quota != learned.Executors[0].Quota {
		t.Errorf("a got a quota of %d", quota)
	}
	if e := successor.endpoints.byID["c"]; e.tokens.inheritedQuota != 0 {
		t.Error("an executor in slow start took the quota of another start")
	}
}

// rest runs all tasks that are due at the start.
func rest(d *Dispatcher) {
	for d.NextTask(0).Task != Sleep {
	}
}

// threeExecutors is an endpoint list of three executors that started long ago.
func threeExecutors(t *testing.T) []Endpoint {
	t.Helper()
	return []Endpoint{parseEndpoint(t, 0, "a"), parseEndpoint(t, 0, "b"), parseEndpoint(t, 0, "c")}
}

// TestLearnedStateOtherNodeCount checks a node that goes on among five instead of alone: it keeps what it knows of executors
// and jobs, and begins its quotas anew. In its first seconds it sends no burst on the quotas of before, and nothing to the
// slow executor.
func TestLearnedStateOtherNodeCount(t *testing.T) {
	predecessor := New(testSettings(t, "polled"))
	predecessor.UpdateEndpoints(0, CompleteUpdate, threeExecutors(t))
	rest(predecessor)
	for _, e := range predecessor.quota.executors {
		e.tokens.quota = 7
	}
	slow := predecessor.endpoints.byID["b"]
	slow.estimate.runTime, slow.estimate.work, slow.estimate.startWait = 40, 10, 3*time.Second
	class := predecessor.classes.all[0]
	class.meanWork, class.requestedValue = 700*time.Millisecond, 50

	amongFive := testSettings(t, "polled")
	amongFive.Nodes = 5
	successor := New(amongFive)
	successor.UpdateEndpoints(0, CachedUpdate, threeExecutors(t))
	successor.ImportLearned(0, predecessor.ExportLearned(0))
	rest(successor)
	if b := successor.endpoints.byID["b"]; b.estimate.runTime != 40 || b.estimate.startWait != 0 || b.tokens.inheritedQuota != 0 {
		t.Errorf("of the slow executor it knows pace %v over %v, wait %v, quota %d", b.estimate.runTime, b.estimate.work, b.estimate.startWait, b.tokens.inheritedQuota)
	}
	if got := successor.classes.all[0]; got.meanWork != 700*time.Millisecond || got.requestedValue != 0 {
		t.Errorf("of the class it knows work %v and a requested value of %v", got.meanWork, got.requestedValue)
	}
	sent := map[ExecutorID]int{}
	for i := range 40 {
		now := time.Duration(i) * 50 * time.Millisecond
		successor.JobArrived(now, Arrival{Job: JobID(fmt.Sprint("j", i)), Work: 300 * time.Millisecond, Budget: 5 * time.Second})
		for due := successor.NextTask(now); due.Task != Sleep; due = successor.NextTask(now) {
			if due.Task != PlaceJob {
				continue
			}
			if decision := successor.Place(now, due.Job); decision.Action == Send {
				sent[decision.Executor]++
				successor.AttemptStarted(now, due.Job, 0)
			}
		}
	}
	// None ended in these two seconds: at most a first quota each, and a step more for each interval.
	for id, count := range sent {
		if count > initialQuota+1 {
			t.Errorf("%s got %d in its first two seconds", id, count)
		}
	}
	if sent["a"] == 0 || sent["b"] > 0 {
		t.Errorf("sent %v", sent)
	}
	amongAsMany := New(testSettings(t, "polled"))
	amongAsMany.UpdateEndpoints(0, CachedUpdate, threeExecutors(t))
	amongAsMany.ImportLearned(0, predecessor.ExportLearned(0))
	rest(amongAsMany)
	if a := amongAsMany.endpoints.byID["a"]; a.tokens.quota != 7 {
		t.Errorf("among as many nodes as before the quota is %d", a.tokens.quota)
	}
}
