package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestManyTenantsAndExecutors places jobs with 100,000 tenants, all without a quota, and an endpoint list of 100,000
// executors: more than any installation has. Then all executors are removed at once.
func TestManyTenantsAndExecutors(t *testing.T) {
	d := New(Settings{Nodes: 9, Node: 4, Quantum: time.Millisecond, MaxAttempts: 2, OverQuotaValue: 0.5,
		Tenants:    make([]Tenant, 100_000),
		JobClasses: []JobClass{{LatencyObjective: time.Second, Deadline: 2 * time.Second, RunTimeFactor: 2, Value: 1, Kind: AnyKind}}})
	list := make([]Endpoint, 100_000)
	for i := range list {
		list[i] = Endpoint{Executor: ExecutorID(fmt.Sprint("e", i)), State: Available, Weight: 1, StartedLongAgo: true}
	}
	d.UpdateEndpoints(0, CompleteUpdate, list)
	now := time.Duration(0)
	d.NextTask(now) // builds the subset
	for i := range 20 {
		id := JobID(fmt.Sprint(i))
		now += 300 * time.Millisecond
		d.JobArrived(now, Arrival{Job: id, Tenant: TenantID(5000 * i), Work: 100 * time.Millisecond, Budget: 2 * time.Second})
		if got := d.Place(now, id); got.Action != Send {
			t.Fatalf("job %d: decision %+v, want Send", i, got)
		}
		d.AttemptStarted(now, id, 0)
		d.AttemptEnded(now+100*time.Millisecond, id, 0, Succeeded, true)
		for due := d.NextTask(now + 100*time.Millisecond); due.Task != 0; due = d.NextTask(now + 100*time.Millisecond) {
		}
	}
	d.UpdateEndpoints(now, CompleteUpdate, nil) // removes all executors at once
	d.JobArrived(now, Arrival{Job: "late", Tenant: 1, Work: 100 * time.Millisecond, Budget: 2 * time.Second})
	if got := d.Place(now, "late"); got.Action != Enqueue {
		t.Fatalf("without executors: decision %+v, want Enqueue", got)
	}
}
