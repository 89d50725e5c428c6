package policy

import (
	"testing"
	"time"
)

// TestTimerQueue checks that timers fall due in the order of their times, those of the same time in the order in which they
// were set, and that an attempt's later timer makes the earlier one void.
func TestTimerQueue(t *testing.T) {
	var q timerQueue
	if q.next() != Forever {
		t.Errorf("next of an empty queue: %v", q.next())
	}
	first, second := &job{id: "first"}, &job{id: "second"}
	a := &attempt{job: first}
	q.checkAttempt(3*time.Second, a)
	q.placeJob(2*time.Second, first)
	q.placeJob(2*time.Second, second)
	q.checkAttempt(time.Second, a)
	q.checkAll(4 * time.Second)
	if q.next() != time.Second {
		t.Errorf("next: %v", q.next())
	}
	due, found := q.popDue(3 * time.Second)
	if !found || due.kind != checkAttemptTimer || due.generation != a.generation {
		t.Errorf("the attempt's second timer: %+v, %v", due, found)
	}
	for _, want := range []*job{first, second} {
		if due, found = q.popDue(3 * time.Second); !found || due.job != want {
			t.Errorf("%+v, %v, want the timer of %s", due, found, want.id)
		}
	}
	if due, found = q.popDue(3 * time.Second); !found || due.kind != checkAttemptTimer || due.generation == a.generation {
		t.Errorf("the attempt's first timer is not void: %+v, %v", due, found)
	}
	if due, found = q.popDue(3 * time.Second); found {
		t.Errorf("due before its time: %+v", due)
	}
}
