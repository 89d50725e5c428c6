package policy

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestLearnedStateHandoff checks that a successor with the same endpoint list imports all that its predecessor has learned,
// quotas and ejections included. Implausible values and values for an executor in slow start must be ignored.
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
		t.Fatalf("exported %+v, want 2 executors, kinds and classes", learned)
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
		t.Errorf("implausible values were imported: %+v", after)
	}
	successor.ImportLearned(last, learned)
	got := successor.ExportLearned(last)
	for _, in := range learned.Executors { // ExportLearned omits executors that have not been in the subset yet
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
		t.Errorf("imported\n%+v\nwant\n%+v", got, learned)
	}
	successor.NextTask(last)
	if quota := successor.endpoints.byID["a"].tokens.quota; quota != learned.Executors[0].Quota {
		t.Errorf("the quota of a is %d, want %d", quota, learned.Executors[0].Quota)
	}
	if e := successor.endpoints.byID["c"]; e.tokens.inheritedQuota != 0 {
		t.Error("the quota of an executor in slow start was imported")
	}
}

// runDueTasks drops all tasks that are due at the start. The first one has the subset picked.
func runDueTasks(d *Dispatcher) {
	for d.NextTask(0).Task != Sleep {
	}
}

// threeExecutors returns an endpoint list of three executors that started long ago.
func threeExecutors(t *testing.T) []Endpoint {
	t.Helper()
	return []Endpoint{parseEndpoint(t, 0, "a"), parseEndpoint(t, 0, "b"), parseEndpoint(t, 0, "c")}
}

// TestLearnedStateOtherNodeCount checks a hot restart that changes the number of nodes from one to five. The successor keeps
// what was learned of executors and jobs, and starts with new quotas. In its first seconds it must not send a burst that the
// old quotas would allow, and must send nothing to the slow executor.
func TestLearnedStateOtherNodeCount(t *testing.T) {
	predecessor := New(testSettings(t, "polled"))
	predecessor.UpdateEndpoints(0, CompleteUpdate, threeExecutors(t))
	runDueTasks(predecessor)
	for _, e := range predecessor.quota.executors {
		e.tokens.quota = 7
	}
	slow := predecessor.endpoints.byID["b"]
	slow.estimate.runTime, slow.estimate.work, slow.estimate.startWait = 40, 10, 3*time.Second
	class := predecessor.classes.all[0]
	class.meanWork, class.requestedValue = 700*time.Millisecond, 50

	fiveNodes := testSettings(t, "polled")
	fiveNodes.Nodes = 5
	successor := New(fiveNodes)
	successor.UpdateEndpoints(0, CachedUpdate, threeExecutors(t))
	successor.ImportLearned(0, predecessor.ExportLearned(0))
	runDueTasks(successor)
	if b := successor.endpoints.byID["b"]; b.estimate.runTime != 40 || b.estimate.startWait != 0 || b.tokens.inheritedQuota != 0 {
		t.Errorf("slow executor: running time %v for work %v, start wait %v, inherited quota %d", b.estimate.runTime, b.estimate.work, b.estimate.startWait, b.tokens.inheritedQuota)
	}
	if got := successor.classes.all[0]; got.meanWork != 700*time.Millisecond || got.requestedValue != 0 {
		t.Errorf("class: mean work %v and requested value %v, want 700ms and 0", got.meanWork, got.requestedValue)
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
	// No attempt ended in these two seconds, and the quota interval is 2 s: each executor gets at most its initial
	// quota, raised by one.
	for id, count := range sent {
		if count > initialQuota+1 {
			t.Errorf("%s got %d attempts in the first two seconds, want at most %d", id, count, initialQuota+1)
		}
	}
	if sent["a"] == 0 || sent["b"] > 0 {
		t.Errorf("sent %v, want some attempts at a and none at b", sent)
	}
	sameCount := New(testSettings(t, "polled"))
	sameCount.UpdateEndpoints(0, CachedUpdate, threeExecutors(t))
	sameCount.ImportLearned(0, predecessor.ExportLearned(0))
	runDueTasks(sameCount)
	if a := sameCount.endpoints.byID["a"]; a.tokens.quota != 7 {
		t.Errorf("with the same number of nodes the quota of a is %d, want 7", a.tokens.quota)
	}
}
