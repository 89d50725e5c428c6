package policy

import (
	"testing"
	"time"
)

// TestTimerQueue checks that timers become due in the order of their times, timers of the same time in the order in which they
// were set, and that setting an attempt's timer again disables the earlier one by changing the generation.
func TestTimerQueue(t *testing.T) {
	var q timerQueue
	if q.next() != Forever {
		t.Errorf("next of an empty queue: %v, want Forever", q.next())
	}
	first, second := &job{id: "first"}, &job{id: "second"}
	a := &attempt{job: first}
	q.checkAttempt(3*time.Second, a)
	q.placeJob(2*time.Second, first)
	q.placeJob(2*time.Second, second)
	q.checkAttempt(time.Second, a)
	q.checkAll(4 * time.Second)
	if q.next() != time.Second {
		t.Errorf("next: %v, want 1s", q.next())
	}
	due, found := q.popDue(3 * time.Second)
	if !found || due.kind != checkAttemptTimer || due.generation != a.generation {
		t.Errorf("first due timer: %+v, %v, want the attempt's second timer", due, found)
	}
	for _, want := range []*job{first, second} {
		if due, found = q.popDue(3 * time.Second); !found || due.job != want {
			t.Errorf("%+v, %v, want the timer of %s", due, found, want.id)
		}
	}
	if due, found = q.popDue(3 * time.Second); !found || due.kind != checkAttemptTimer || due.generation == a.generation {
		t.Errorf("last due timer: %+v, %v, want the attempt's first timer, of an older generation", due, found)
	}
	if due, found = q.popDue(3 * time.Second); found {
		t.Errorf("timer returned before its due time: %+v", due)
	}
}
