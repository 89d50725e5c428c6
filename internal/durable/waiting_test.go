package durable_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/node"
	"birchstair/internal/synctesting"
)

// startAndCrash submits job a with these headers, starts an attempt of it if the state machine is to send one, and crashes the node
// a second later. It returns the fixture of the next process, which has no endpoint list yet.
func startAndCrash(t *testing.T, withAttempt bool, header http.Header) *fixture {
	t.Helper()
	disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
	f := newFixture(t, disk, 10<<20, restartOptions)
	f.front.SetReady(true)
	if answer := f.put("/-/jobs/a", header); answer.Code != http.StatusCreated {
		t.Fatalf("submission: %d %s", answer.Code, answer.Body)
	}
	request := f.nextRequest()
	if withAttempt {
		f.up.Dial(1, "e:1")
		f.up.Write(1, node.Attempt{Request: &request, Budget: time.Minute})
	}
	time.Sleep(time.Second)
	synctest.Wait()
	disk.Crash()
	f.durable.Close() //nolint:errcheck // the disk has crashed
	return newFixture(t, disk, 10<<20, restartOptions)
}

// final returns the response to a request for the state of job a.
func (f *fixture) final() string {
	f.out.Reset()
	f.call("", http.MethodGet, "/-/jobs/a", "")
	return f.out.String()
}

// TestWaitForEndpoints guards against a job that is sent after its dedup window or its deadline: the time until then was turned
// into a length at the recovery, and counted from when the node had an endpoint list. The order of events: an attempt may have run,
// the node is killed, and discovery is down when it starts again. The window of the class bill is one minute.
func TestWaitForEndpoints(t *testing.T) {
	keyed := http.Header{"X-Call-Class": {"bill"}, "X-Budget-Ms": {"600000"}, "Idempotency-Key": {"k"}}
	short := http.Header{"X-Call-Class": {"page"}, "X-Budget-Ms": {"5000"}}
	for _, c := range []struct {
		title       string
		header      http.Header
		withAttempt bool
		wait        time.Duration // from the restart until the endpoint list arrives
		maxBudget   time.Duration // longest budget with which the job is submitted; 0 if it must not be submitted
		final       string        // final answer at the end of the wait
	}{
		{"inside the window", keyed, true, 30 * time.Second, 29 * time.Second, ""},
		{"after the window", keyed, true, 61 * time.Second, 0, "broken off"},
		{"never sent, after the window", keyed, false, 61 * time.Second, 539 * time.Second, ""},
		{"before the deadline", short, true, 2 * time.Second, 2 * time.Second, ""},
		{"after the deadline", short, true, 5 * time.Second, 0, "pushed back"},
	} {
		t.Run(c.title, func(t *testing.T) {
			synctesting.Test(t, func(t *testing.T) {
				f := startAndCrash(t, c.withAttempt, c.header)
				time.Sleep(c.wait)
				synctest.Wait()
				if c.header.Get("X-Call-Class") == "page" && c.final != "" && !strings.Contains(f.final(), c.final) {
					t.Errorf("at the deadline, before the endpoint list: %s, want %q", f.final(), c.final)
				}
				f.front.SetReady(true)
				time.Sleep(time.Second)
				synctest.Wait()
				select {
				case event := <-f.events:
					if budget := event.(node.JobArrived).Job.Budget; budget > c.maxBudget {
						t.Errorf("submitted with a budget of %v, want at most %v", budget, c.maxBudget)
					}
				default:
					if c.maxBudget > 0 {
						t.Error("the job was not submitted")
					}
				}
				if c.final != "" && !strings.Contains(f.final(), c.final) {
					t.Errorf("answer: %s, want %q", f.final(), c.final)
				}
				if err := f.durable.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestSlowRecordOfAttempt guards against an attempt that is sent after its job's deadline, or that tells its executor more time than
// is left: writing its record can take long, and nothing was checked after that.
func TestSlowRecordOfAttempt(t *testing.T) {
	for _, c := range []struct {
		title    string
		syncTime time.Duration
		sent     bool
	}{
		{"a usual disk", 0, true},
		{"a slow disk", 2 * time.Second, true},
		{"a disk that takes until the deadline", 5 * time.Second, false},
	} {
		t.Run(c.title, func(t *testing.T) {
			synctesting.Test(t, func(t *testing.T) {
				disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
				f := newFixture(t, disk, 10<<20, restartOptions)
				f.front.SetReady(true)
				header := http.Header{"X-Call-Class": {"page"}, "X-Budget-Ms": {"5000"}}
				if answer := f.put("/-/jobs/a", header); answer.Code != http.StatusCreated {
					t.Fatalf("submission: %d %s", answer.Code, answer.Body)
				}
				request := f.nextRequest()
				disk.SetSyncDelay(c.syncTime)
				f.up.Dial(1, "e:1")
				f.up.Write(1, node.Attempt{Request: &request, Budget: 5 * time.Second})
				time.Sleep(10 * time.Second)
				synctest.Wait()
				out := f.out.String()
				if sent := strings.Contains(out, "on 1, durable-a"); sent != c.sent || sent == strings.Contains(out, "close 1") {
					t.Errorf("sent: %v, want %v, and else the connection closed: %s", sent, c.sent, out)
				}
				if want := 5*time.Second - c.syncTime; c.sent && !slices.Equal(f.budgets, []time.Duration{want}) {
					t.Errorf("budgets of the attempts: %v, want %v", f.budgets, want)
				}
				if err := f.durable.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
