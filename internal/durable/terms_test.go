package durable_test

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"birchstair/internal/durable"
	"birchstair/internal/emulator"
	"birchstair/internal/node"
	"birchstair/internal/store"
	"birchstair/internal/synctesting"
	"birchstair/policy"
)

// submitted reports whether the manager submits a job to the state machine within a second, and returns the job.
func (f *fixture) submitted() (job node.Job, ok bool) {
	time.Sleep(time.Second)
	synctest.Wait()
	for {
		select {
		case event := <-f.events:
			if arrived, ok := event.(node.JobArrived); ok {
				return arrived.Job, true
			}
		default:
			return job, false
		}
	}
}

// TestTermsAfterRestart guards against an at-most-once job that runs twice: after a restart the job took the class that has its name
// in the configuration of that time. The order of events: an attempt may have run, a reload changes the class to one that can be
// repeated, the node is killed and starts with the changed class. A job keeps the terms with which it was accepted; one that an
// earlier version accepted, without terms in its record, is at most once.
func TestTermsAfterRestart(t *testing.T) {
	const untilRestart = 2 * time.Second
	for _, c := range []struct {
		title, class  string
		before, after policy.JobClass
		earlier       bool // the records are those of an earlier version
		sentAgain     bool
	}{
		{"at most once becomes idempotent", "order", classes[1], classes[0], false, false},
		{"at most once stays", "order", classes[1], classes[1], false, false},
		{"idempotent stays", "page", classes[0], classes[0], false, true},
		{"idempotent becomes at most once", "page", classes[0], classes[1], false, true},
		{"the window becomes longer", "bill", keyedFor(time.Second), keyedFor(time.Hour), false, false},
		{"the window becomes shorter", "bill", keyedFor(time.Hour), keyedFor(time.Second), false, true},
		{"without terms, idempotent now", "page", classes[0], classes[0], true, false},
	} {
		t.Run(c.title, func(t *testing.T) {
			synctesting.Test(t, func(t *testing.T) {
				disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
				if c.earlier {
					writeEarlierJob(t, disk, c.class)
				} else {
					f := newFixtureWithClasses(t, disk, 10<<20, restartOptions, withClass(c.class, c.before))
					f.front.SetReady(true)
					header := http.Header{"X-Call-Class": {c.class}, "X-Budget-Ms": {"600000"}, "Idempotency-Key": {"k"}}
					if answer := f.put("/-/jobs/a", header); answer.Code != http.StatusCreated {
						t.Fatalf("submission: %d %s", answer.Code, answer.Body)
					}
					request := f.nextRequest()
					f.up.Dial(1, "e:1")
					f.up.Write(1, node.Attempt{Request: &request, Budget: time.Minute})
					time.Sleep(untilRestart)
					synctest.Wait()
					disk.Crash()
					f.durable.Close() //nolint:errcheck // the disk has crashed
				}
				f := newFixtureWithClasses(t, disk, 10<<20, restartOptions, withClass(c.class, c.after))
				f.front.SetReady(true)
				if _, again := f.submitted(); again != c.sentAgain {
					t.Errorf("submitted again: %v, want %v", again, c.sentAgain)
				}
				if final := f.final(); !c.sentAgain && !strings.Contains(final, "broken off") {
					t.Errorf("answer: %s, want broken off", final)
				}
				if err := f.durable.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// keyedFor returns a class that is idempotent with a key for this time.
func keyedFor(window time.Duration) policy.JobClass {
	class := fixtureClasses()[2]
	class.DedupWindow = window
	return class
}

// withClass returns the classes of a fixture, with one of them replaced.
func withClass(name string, class policy.JobClass) []policy.JobClass {
	all := fixtureClasses()
	all[map[string]int{"page": 0, "order": 1, "bill": 2}[name]] = class
	return all
}

// writeEarlierJob writes the records of job a, with an attempt that may have run, as versions without terms in their records did.
func writeEarlierJob(t *testing.T, disk *emulator.Disk, class string) {
	t.Helper()
	writeRecords(t, disk, []store.Record{
		{Kind: store.Accepted, ID: "a", At: time.Now(), JobClass: class, Deadline: time.Now().Add(time.Hour), URI: "/"},
		{Kind: store.AttemptStarted, ID: "a", At: time.Now(), Epoch: 1, Executor: "e"},
	})
}

// writeRecords writes records to a store on a disk.
func writeRecords(t *testing.T, disk *emulator.Disk, records []store.Record) {
	t.Helper()
	s, err := store.Open(disk, store.Options{SegmentBytes: 20000})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		done := make(chan error, 1)
		s.Append(r, func(err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestTermsForbidAttempt guards against a second run by the policy itself: after a restart it treats an at-most-once job by a class
// that is idempotent now. Its first attempt may have run, so the second one is not sent, the job fails, and the policy is told to
// give it up.
func TestTermsForbidAttempt(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
		f := newFixture(t, disk, 10<<20, restartOptions)
		f.front.SetReady(true)
		if answer := f.put("/-/jobs/a", http.Header{"X-Call-Class": {"order"}, "X-Budget-Ms": {"600000"}}); answer.Code != http.StatusCreated {
			t.Fatalf("submission: %d %s", answer.Code, answer.Body)
		}
		f.nextRequest()
		disk.Crash()
		f.durable.Close() //nolint:errcheck // the disk has crashed
		f = newFixtureWithClasses(t, disk, 10<<20, restartOptions, withClass("order", classes[0]))
		f.front.SetReady(true)
		job, ok := f.submitted()
		if !ok {
			t.Fatal("the job was not submitted, although it was never sent")
		}
		for conn := range node.ConnID(2) {
			f.up.Dial(conn+1, "e:1")
			f.up.Write(conn+1, node.Attempt{Request: &job.Request, Budget: time.Minute})
			time.Sleep(time.Second)
			synctest.Wait()
			f.durable.Observe(0, node.AttemptEnded{Conn: conn + 1, Outcome: policy.ConnectionLost}, nil)
		}
		if out := f.out.String(); strings.Count(out, "durable-a") != 1 || !strings.Contains(out, "close 2") {
			t.Errorf("sent: %s, want one attempt, and the second connection closed", out)
		}
		if left, ok := (<-f.events).(node.ClientLeft); !ok || left.Job != f.durable.StateMachineID("a") {
			t.Errorf("the state machine gets %+v, want that the client of job a has left", left)
		}
		if final := f.final(); !strings.Contains(final, "broken off") {
			t.Errorf("answer: %s, want broken off", final)
		}
		if err := f.durable.Close(); err != nil {
			t.Error(err)
		}
	})
}

// TestClassOfWaitingJob guards against a job that gets the class of a reload while it waits for a place among those that the policy
// has. It must be submitted with the class with which it was accepted.
func TestClassOfWaitingJob(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		options := restartOptions
		options.Leases.MaxDispatched = 1
		f := newFixture(t, emulator.NewDisk(rand.New(rand.NewPCG(1, 3))), 10<<20, options)
		f.front.SetReady(true)
		for _, id := range []string{"a", "b"} {
			f.put("/-/jobs/"+id, http.Header{"X-Call-Class": {"order"}, "X-Budget-Ms": {"60000"}})
			time.Sleep(time.Second)
		}
		first, _ := f.submitted()
		f.front.UpdateJobClasses([]node.NumberedClass{{ID: 7, JobClass: node.JobClass{Name: durable.ClassPrefix + "order", JobClass: classes[0]}}})
		f.front.Answer(node.Answer{Job: first.ID, Final: node.Succeeded})
		if second, ok := f.submitted(); !ok || second.Class != first.Class {
			t.Errorf("the job that waited has class %d, want %d", second.Class, first.Class)
		}
		if err := f.durable.Close(); err != nil {
			t.Error(err)
		}
	})
}
