package discovery

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"birchstair/internal/config"
	"birchstair/internal/golden"
	"birchstair/internal/node"
	"birchstair/internal/synctesting"
	"birchstair/policy"
)

// defaults are the default timings that the tests refer to.
var defaults = defaultTiming()

// faultSequences are sequences of faults, which begin when discovery gets a change. Each returns the time from which
// discovery had the change and was reachable.
var faultSequences = []struct {
	name string
	do   func(d *fakeDiscovery, w *Watcher) (reachableAt time.Time)
}{
	{"half-open", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		return time.Now()
	}},
	{"half-open, next request reset", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []fault{resetByPeer} })
		return time.Now()
	}},
	{"half-open, next request unanswered", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []fault{unanswered} })
		return time.Now()
	}},
	{"half-open, next response endless", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []fault{endlessAnswer} })
		return time.Now()
	}},
	{"half-open, next response malformed", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []fault{malformed} })
		return time.Now()
	}},
	{"partitioned for 7 s", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.partitioned = true })
		time.Sleep(7 * time.Second)
		d.locked(func() { d.partitioned = false })
		return time.Now()
	}},
	{"unresponsive for 7 s", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.unresponsive = true })
		time.Sleep(7 * time.Second)
		d.locked(func() { d.unresponsive = false })
		return time.Now()
	}},
	{"down for 7 s", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.down()
		time.Sleep(7 * time.Second)
		d.up()
		return time.Now()
	}},
	{"half-open, switched to an unreachable address", func(d *fakeDiscovery, w *Watcher) time.Time {
		d.halfOpen()
		w.SwitchDiscovery("nowhere:1")
		return time.Now()
	}},
	{"half-open, switched to an unreachable address and back", func(d *fakeDiscovery, w *Watcher) time.Time {
		d.halfOpen()
		w.SwitchDiscovery("nowhere:1")
		time.Sleep(time.Second)
		w.SwitchDiscovery(fakeAddr)
		return time.Now().Add(-time.Second)
	}},
	{"half-open, switched to an address that is reachable 15 s later", func(d *fakeDiscovery, w *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.partitioned = true })
		w.SwitchDiscovery("127.0.0.1:8501")
		time.Sleep(15 * time.Second)
		d.locked(func() { d.partitioned, d.moved = false, true })
		return time.Now()
	}},
	{"switched to an unreachable address, and back during a partition", func(d *fakeDiscovery, w *Watcher) time.Time {
		w.SwitchDiscovery("nowhere:1")
		d.halfOpen()
		d.locked(func() { d.partitioned = true })
		time.Sleep(time.Second)
		w.SwitchDiscovery(fakeAddr)
		time.Sleep(time.Second)
		d.locked(func() { d.partitioned = false })
		return time.Now()
	}},
}

// maxUpdateDelay measures the longest time from when discovery has a change and is reachable until the node is notified
// of the change, over runs in which the faults begin at different times. It also returns the maximum number of
// connections that were open or being dialed.
func maxUpdateDelay(timing Timing, responseTime time.Duration, do func(*fakeDiscovery, *Watcher) time.Time) (longest time.Duration, connections int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for i := range 5 {
		all.Go(func() {
			d, seen := newFakeDiscovery(responseTime), &notifications{firstSeen: map[int]time.Time{}}
			d.up()
			timing := timing
			timing.Seed = uint64(i)
			w := New(Names{}, timing, d.dial(), seen.notify)
			go w.Run(ctx, fakeAddr)
			time.Sleep(5*time.Second + time.Duration(i)*537*time.Millisecond)
			var reachableAt time.Time
			added := make(chan struct{})
			go func() { // discovery gets the change when the faults begin
				time.Sleep(time.Nanosecond)
				d.addExecutor()
				close(added)
			}()
			reachableAt = do(d, w)
			<-added
			time.Sleep(20 * time.Second)
			d.close()
			seen.mu.Lock()
			defer seen.mu.Unlock()
			took := seen.firstSeen[2].Sub(reachableAt)
			if seen.firstSeen[2].IsZero() {
				took = time.Hour
			}
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, took)
			d.locked(func() { connections = max(connections, d.maxOpen) })
		})
	}
	all.Wait()
	cancel()
	time.Sleep(time.Minute)
	return longest, connections
}

// TestMaxUpdateDelay checks the bound on update delays: whatever failed before, the node is notified of a change within
// 6 s minus the drain grace (at most 2 s) after discovery has the change and is reachable, even if discovery takes 1.5
// s to answer.
func TestMaxUpdateDelay(t *testing.T) {
	var out strings.Builder
	for _, grace := range []time.Duration{50, 150, 400, 1000, 1500, 2000, 10000} {
		grace *= time.Millisecond
		for _, pushed := range []bool{true, false} {
			timing := NewTiming(grace, pushed)
			budget := defaults.UpdateDeadline - min(grace, defaults.MaxDrainGrace)
			fmt.Fprintf(&out, "grace %v pushed %v: long poll %v, hedge delay %v, backoffs up to %v, max update delay %v of %v\n",
				grace, pushed, timing.LongPoll, timing.HedgeDelay, timing.MaxBackoff, timing.MaxUpdateDelay(), budget)
			if timing.MaxUpdateDelay() > budget {
				t.Errorf("grace %v, pushed %v: the maximum update delay is %v, over %v", grace, pushed, timing.MaxUpdateDelay(), budget)
			}
			if grace != time.Second && grace != 150*time.Millisecond && grace != 2*time.Second {
				continue // for other values the check of the sum is enough
			}
			for _, sequence := range faultSequences {
				for _, slow := range []time.Duration{0, defaults.SlowResponse} {
					synctesting.Test(t, func(t *testing.T) {
						delay, connections := maxUpdateDelay(timing, slow, sequence.do)
						text := fmt.Sprintf("grace %v, pushed %v, answers in %v, %s: notified after %v, %d connections",
							grace, pushed, slow, sequence.name, delay, connections)
						if delay > min(budget, timing.MaxUpdateDelay()+50*time.Millisecond) || connections > config.MaxDiscoveryConns {
							t.Error(text)
						}
						t.Log(text)
					})
				}
			}
		}
	}
	golden.Compare(t, "max_update_delay.txt", out.String())
}

// TestPermanentlySlowDiscovery checks that no request to a discovery service that always takes 1.5 s to answer exceeds
// its hedge delay after the first response has shown how slow it is.
func TestPermanentlySlowDiscovery(t *testing.T) {
	for _, grace := range []time.Duration{150 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, pushed := range []bool{true, false} {
			synctesting.Test(t, func(t *testing.T) {
				d := newFakeDiscovery(defaults.SlowResponse)
				d.up()
				var mu sync.Mutex
				late, complete := 0, false
				w := New(Names{}, NewTiming(grace, pushed), d.dial(), func(ev node.Event) {
					mu.Lock()
					defer mu.Unlock()
					if updated := ev.(node.EndpointsUpdated); updated.Kind != policy.WatchFailed {
						complete = true
					} else if complete {
						late++
					}
				})
				ctx, cancel := context.WithCancel(context.Background())
				go w.Run(ctx, fakeAddr)
				time.Sleep(time.Minute)
				cancel()
				d.close()
				time.Sleep(time.Minute)
				mu.Lock()
				defer mu.Unlock()
				if !complete || late > 0 {
					t.Errorf("grace %v, pushed %v: list received: %v; then %d requests failed", grace, pushed, complete, late)
				}
				d.locked(func() { t.Logf("grace %v, pushed %v: %d requests in a minute", grace, pushed, d.requests) })
			})
		}
	}
}

// TestVersionsRestart checks a discovery service whose versions have restarted. It takes 1.5 s, which is longer than
// the hedge delay, to answer a request with an old version by an error. The complete list must be requested at once
// after that error, and the node must be notified within 6 s.
func TestVersionsRestart(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		synctesting.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			var all []*fakeDiscovery
			delay, _ := maxUpdateDelay(NewTiming(time.Second, pushed), defaults.SlowResponse, func(d *fakeDiscovery, _ *Watcher) time.Time {
				d.halfOpen()
				d.locked(func() { d.versionsRestarted = true })
				mu.Lock()
				defer mu.Unlock()
				all = append(all, d)
				return time.Now()
			})
			if t.Logf("pushed %v: notified after %v", pushed, delay); delay > defaults.UpdateDeadline {
				t.Errorf("pushed %v: notified after %v", pushed, delay)
			}
			for _, d := range all {
				// The time is enough for a new connection with one round trip, but not for a backoff.
				d.locked(func() {
					if gap := d.completeRequestAt.Sub(d.malformedAt); gap > 10*time.Millisecond {
						t.Errorf("pushed %v: the complete list is requested %v after the error response", pushed, gap)
					}
				})
			}
		})
	}
}

// TestReadyInTime starts many nodes at the same time, with a discovery service that takes 1.5 s to answer and is up, or
// down in one of three ways for the first 8 s. Nine in ten nodes must have the list within 10 s. Where nodes poll, they
// share a service that serves three requests per second and node, including requests that were canceled.
func TestReadyInTime(t *testing.T) {
	for _, down := range []string{"is up", "refuses connections", "is partitioned", "is unresponsive"} {
		for _, pushed := range []bool{true, false} {
			synctesting.Test(t, func(t *testing.T) {
				nodes, serviceTime := 50, time.Duration(0) // each node has an agent of its own
				if !pushed {
					nodes = 300
					serviceTime = time.Second / time.Duration(3*nodes)
				}
				took, requests := readyAfter(nodes, down, NewTiming(time.Second, pushed), serviceTime, 12*time.Second)
				text := fmt.Sprintf("discovery %s, pushed %v: nine in ten of %d nodes have the list after %v, %.1f requests each in 12 s",
					down, pushed, nodes, took, requests)
				if t.Log(text); took > 10*time.Second {
					t.Error(text)
				}
			})
		}
	}
}

// TestReadyFromSlowService checks a shared service that serves one request per second and node, which is too few for
// the retries of all nodes. The nodes must limit their retries so that canceled requests do not keep the service slow.
func TestReadyFromSlowService(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		const nodes = 100
		took, requests := readyAfter(nodes, "is unresponsive", NewTiming(time.Second, false), time.Second/nodes, 40*time.Second)
		text := fmt.Sprintf("nine in ten nodes have the list after %v, %.1f requests each in 40 s", took, requests)
		if t.Log(text); took > 30*time.Second {
			t.Error(text)
		}
	})
}

// TestOverloadedService starts 32 nodes at the same time on a shared service that takes 8 s to serve one request of
// each, and rejects requests that would be queued for over 2 s. Each node must have an open watch soon after these 8 s
// and be notified of a change within 6 s, and no node may be rejected forever. The numbers are those of
// docs/incidents/one-quay.md.
func TestOverloadedService(t *testing.T) {
	for _, grace := range []time.Duration{150 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
		synctesting.Test(t, func(t *testing.T) {
			const nodes = 32
			shared := &queue{serviceTime: 8 * time.Second / nodes}
			ctx, cancel := context.WithCancel(context.Background())
			began := time.Now()
			var services []*fakeDiscovery
			var notified []*notifications
			for i := range nodes {
				d, seen := newFakeDiscovery(0), &notifications{firstSeen: map[int]time.Time{}}
				d.agent = &agent{queue: shared, maxQueueTime: 2 * time.Second, rejectTime: shared.serviceTime / 20}
				d.up()
				timing := NewTiming(grace, false)
				timing.Seed = uint64(i)
				go New(Names{}, timing, d.dial(), seen.notify).Run(ctx, fakeAddr)
				services, notified = append(services, d), append(notified, seen)
			}
			time.Sleep(10 * time.Second)
			for _, d := range services {
				d.addExecutor()
			}
			time.Sleep(20 * time.Second)
			var last time.Duration
			rejected, nodesNotified := 0, 0
			for i, d := range services {
				d.agent.mu.Lock()
				rejected += d.agent.rejected
				d.agent.mu.Unlock()
				notified[i].mu.Lock()
				if at := notified[i].firstSeen[2]; !at.IsZero() {
					nodesNotified++
					last = max(last, at.Sub(began)-10*time.Second)
				}
				notified[i].mu.Unlock()
			}
			text := fmt.Sprintf("grace %v: %d of %d nodes were notified of the change, the last after %v; %d requests were rejected in 30 s",
				grace, nodesNotified, nodes, last, rejected)
			if t.Log(text); nodesNotified < nodes || last > 6*time.Second || rejected > 10*nodes {
				t.Error(text)
			}
			cancel()
			for _, d := range services {
				d.close()
			}
			time.Sleep(time.Minute)
		})
	}
}

// readyAfter starts nodes, with discovery down in the given way for the first 8 s, and runs them for length. It returns
// the time after which nine in ten nodes have the list, and the average number of requests per node. serviceTime is the
// time that a shared service takes for a request, or 0 if there is none.
func readyAfter(nodes int, down string, timing Timing, serviceTime, length time.Duration) (took time.Duration, requests float64) {
	var all sync.WaitGroup
	var mu sync.Mutex
	var times []time.Duration
	shared := &queue{serviceTime: serviceTime}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range nodes {
		all.Go(func() {
			d, seen := newFakeDiscovery(defaults.SlowResponse), &notifications{firstSeen: map[int]time.Time{}}
			d.queue = shared
			d.partitioned, d.unresponsive = down == "is partitioned", down == "is unresponsive"
			if down != "refuses connections" {
				d.up()
			}
			timing := timing
			timing.Seed = uint64(i)
			w := New(Names{}, timing, d.dial(), seen.notify)
			began := time.Now()
			go w.Run(ctx, fakeAddr)
			time.Sleep(8 * time.Second)
			d.locked(func() { d.partitioned, d.unresponsive = false, false })
			if down == "refuses connections" {
				d.up()
			}
			time.Sleep(length - 8*time.Second)
			d.close()
			seen.mu.Lock()
			defer seen.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			took := seen.firstSeen[1].Sub(began)
			if seen.firstSeen[1].IsZero() {
				took = time.Hour
			}
			times = append(times, took)
			d.locked(func() { requests += float64(d.requests) / float64(nodes) })
		})
	}
	all.Wait()
	cancel()
	time.Sleep(time.Minute)
	slices.Sort(times)
	return times[nodes*9/10-1], requests
}
