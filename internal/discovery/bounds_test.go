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

// defaults are the timings that the tests wait for.
var defaults = defaultTiming()

// faultOrders are sequences of faults, during which discovery gets a change. Each returns when discovery had the change and could be
// reached.
var faultOrders = []struct {
	name string
	do   func(d *fakeDiscovery, w *Watcher) (reached time.Time)
}{
	{"half-open", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		return time.Now()
	}},
	{"half-open, the next call is reset", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []fault{resetByPeer} })
		return time.Now()
	}},
	{"half-open, the next call gets no answer", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []fault{unanswered} })
		return time.Now()
	}},
	{"half-open, the next answer trickles", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []fault{endlessAnswer} })
		return time.Now()
	}},
	{"half-open, the next answer is odd", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []fault{malformed} })
		return time.Now()
	}},
	{"cut off for 7 s", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.lost = true })
		time.Sleep(7 * time.Second)
		d.locked(func() { d.lost = false })
		return time.Now()
	}},
	{"silent for 7 s", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.silent = true })
		time.Sleep(7 * time.Second)
		d.locked(func() { d.silent = false })
		return time.Now()
	}},
	{"down for 7 s", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.down()
		time.Sleep(7 * time.Second)
		d.up()
		return time.Now()
	}},
	{"half-open, moved to where nobody is", func(d *fakeDiscovery, w *Watcher) time.Time {
		d.halfOpen()
		w.SwitchDiscovery("nowhere:1")
		return time.Now()
	}},
	{"half-open, moved there and back", func(d *fakeDiscovery, w *Watcher) time.Time {
		d.halfOpen()
		w.SwitchDiscovery("nowhere:1")
		time.Sleep(time.Second)
		w.SwitchDiscovery(fakeAddr)
		return time.Now().Add(-time.Second)
	}},
	{"half-open, moved to where it comes up 15 s later", func(d *fakeDiscovery, w *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.lost = true })
		w.SwitchDiscovery("127.0.0.1:8501")
		time.Sleep(15 * time.Second)
		d.locked(func() { d.lost, d.moved = false, true })
		return time.Now()
	}},
	{"moved there, back while it is cut off", func(d *fakeDiscovery, w *Watcher) time.Time {
		w.SwitchDiscovery("nowhere:1")
		d.halfOpen()
		d.locked(func() { d.lost = true })
		time.Sleep(time.Second)
		w.SwitchDiscovery(fakeAddr)
		time.Sleep(time.Second)
		d.locked(func() { d.lost = false })
		return time.Now()
	}},
}

// maxUpdateDelay is the longest time from when discovery has a change and can be reached until the node is notified, over several
// moments at which the faults begin, and the largest number of connections that were open or being dialed.
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
			var reached time.Time
			added := make(chan struct{})
			go func() { // discovery gets the change as the faults begin
				time.Sleep(time.Nanosecond)
				d.addExecutor()
				close(added)
			}()
			reached = do(d, w)
			<-added
			time.Sleep(20 * time.Second)
			d.close()
			seen.mu.Lock()
			defer seen.mu.Unlock()
			took := seen.firstSeen[2].Sub(reached)
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

// TestNewsInTime checks the bound on update delays: whatever failed before, the node is notified of a change within 6 s less the drain
// grace (up to 2 s) after discovery had it and could be reached, also where discovery takes 1.5 s to answer.
func TestNewsInTime(t *testing.T) {
	var out strings.Builder
	for _, grace := range []time.Duration{50, 150, 400, 1000, 1500, 2000, 10000} {
		grace *= time.Millisecond
		for _, pushed := range []bool{true, false} {
			timing := NewTiming(grace, pushed)
			budget := defaults.UpdateDeadline - min(grace, defaults.MaxDrainGrace)
			fmt.Fprintf(&out, "grace %v pushed %v: hold %v, answer %v, backoffs up to %v, sum %v of %v\n", grace, pushed, timing.LongPoll, timing.HedgeDelay, timing.MaxBackoff, timing.MaxUpdateDelay(), budget)
			if timing.MaxUpdateDelay() > budget {
				t.Errorf("grace %v, pushed %v: the sum is %v", grace, pushed, timing.MaxUpdateDelay())
			}
			if grace != time.Second && grace != 150*time.Millisecond && grace != 2*time.Second {
				continue // the sum says it all
			}
			for _, order := range faultOrders {
				for _, slow := range []time.Duration{0, defaults.SlowResponse} {
					synctesting.Test(t, func(t *testing.T) {
						delay, most := maxUpdateDelay(timing, slow, order.do)
						if delay > min(budget, timing.MaxUpdateDelay()+50*time.Millisecond) || most > config.MaxDiscoveryConns {
							t.Errorf("grace %v, pushed %v, answers in %v, %s: told after %v, %d connections", grace, pushed, slow, order.name, delay, most)
						}
						t.Logf("grace %v, pushed %v, answers in %v, %s: told after %v, %d connections", grace, pushed, slow, order.name, delay, most)
					})
				}
			}
		}
	}
	golden.Compare(t, "sums.txt", out.String())
}

// TestSlowForGood checks a discovery that takes 1.5 s for each answer: once that was seen, no request exceeds its hedge delay.
func TestSlowForGood(t *testing.T) {
	for _, grace := range []time.Duration{150 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, pushed := range []bool{true, false} {
			synctesting.Test(t, func(t *testing.T) {
				d := newFakeDiscovery(defaults.SlowResponse)
				d.up()
				var mu sync.Mutex
				late, whole := 0, false
				w := New(Names{}, NewTiming(grace, pushed), d.dial(), func(ev node.Event) {
					mu.Lock()
					defer mu.Unlock()
					if l := ev.(node.EndpointsUpdated); l.Kind != policy.WatchFailed {
						whole = true
					} else if whole {
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
				if !whole || late > 0 {
					t.Errorf("grace %v, pushed %v: the list came: %v; then %d calls were late", grace, pushed, whole, late)
				}
				d.locked(func() { t.Logf("grace %v, pushed %v: %d calls in a minute", grace, pushed, d.requests) })
			})
		}
	}
}

// TestVersionsAnew checks a discovery that takes 1.5 s to answer that a version is malformed, after the hedge delay of that request: the
// complete list is requested at once, and the node is notified within 6 s.
func TestVersionsAnew(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		synctesting.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			var all []*fakeDiscovery
			span, _ := maxUpdateDelay(NewTiming(time.Second, pushed), defaults.SlowResponse, func(d *fakeDiscovery, _ *Watcher) time.Time {
				d.halfOpen()
				d.locked(func() { d.versionsRestarted = true })
				mu.Lock()
				defer mu.Unlock()
				all = append(all, d)
				return time.Now()
			})
			if t.Logf("pushed %v: told after %v", pushed, span); span > defaults.UpdateDeadline {
				t.Errorf("pushed %v: told after %v", pushed, span)
			}
			for _, d := range all {
				// A new connection, there and back, and nothing else in between.
				d.locked(func() {
					if gap := d.completeRequestAt.Sub(d.malformedAt); gap > 10*time.Millisecond {
						t.Errorf("pushed %v: the whole list is asked for %v after the odd answer", pushed, gap)
					}
				})
			}
		})
	}
}

// TestReadyInTime starts nodes together while discovery is down for 8 s and slow: nine in ten have the list within 10 s. Where nodes
// poll, they share a service that serves three requests a second for each node, and still serves those that were canceled.
func TestReadyInTime(t *testing.T) {
	for _, down := range []string{"is up", "refuses", "is cut off", "is silent"} {
		for _, pushed := range []bool{true, false} {
			synctesting.Test(t, func(t *testing.T) {
				nodes, each := 50, time.Duration(0) // each has an agent of its own
				if !pushed {
					nodes = 300
					each = time.Second / time.Duration(3*nodes)
				}
				span, calls := readyAfter(nodes, down, NewTiming(time.Second, pushed), each, 12*time.Second)
				text := fmt.Sprintf("discovery %s, pushed %v: nine in ten of %d have the list after %v, %.1f calls each in 12 s", down, pushed, nodes, span, calls)
				if t.Log(text); span > 10*time.Second {
					t.Error(text)
				}
			})
		}
	}
}

// TestReadyFromSlowService checks a shared service that serves one request a second for each node, too few for the retries of all: it is
// not kept slow by the requests that were canceled.
func TestReadyFromSlowService(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		const nodes = 100
		span, calls := readyAfter(nodes, "is silent", NewTiming(time.Second, false), time.Second/nodes, 40*time.Second)
		text := fmt.Sprintf("nine in ten have the list after %v, %.1f calls each in 40 s", span, calls)
		if t.Log(text); span > 30*time.Second {
			t.Error(text)
		}
	})
}

// TestServiceThatTurnsAway starts 32 nodes together on a shared service that takes 8 s to serve one request of each, and rejects what
// would be queued for over 2 s. Each node has a watch soon after those 8 s, and is notified of a change within 6 s; none is rejected for
// good. The figures are those of docs/incidents/one-quay.md.
func TestServiceThatTurnsAway(t *testing.T) {
	for _, grace := range []time.Duration{150 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
		synctesting.Test(t, func(t *testing.T) {
			const nodes = 32
			shared := &queue{serviceTime: 8 * time.Second / nodes}
			ctx, cancel := context.WithCancel(context.Background())
			began := time.Now()
			var services []*fakeDiscovery
			var hearers []*notifications
			for i := range nodes {
				d, h := newFakeDiscovery(0), &notifications{firstSeen: map[int]time.Time{}}
				d.agent = &agent{queue: shared, maxQueueTime: 2 * time.Second, refusal: shared.serviceTime / 20}
				d.up()
				p := NewTiming(grace, false)
				p.Seed = uint64(i)
				go New(Names{}, p, d.dial(), h.notify).Run(ctx, fakeAddr)
				services, hearers = append(services, d), append(hearers, h)
			}
			time.Sleep(10 * time.Second)
			for _, d := range services {
				d.addExecutor()
			}
			time.Sleep(20 * time.Second)
			var last time.Duration
			away, heardIn := 0, 0
			for i, d := range services {
				d.agent.mu.Lock()
				away += d.agent.rejected
				d.agent.mu.Unlock()
				hearers[i].mu.Lock()
				if news := hearers[i].firstSeen[2]; !news.IsZero() {
					heardIn++
					last = max(last, news.Sub(began)-10*time.Second)
				}
				hearers[i].mu.Unlock()
			}
			text := fmt.Sprintf("grace %v: %d of %d nodes heard of the change, the last after %v; %d calls were turned away in 30 s",
				grace, heardIn, nodes, last, away)
			if t.Log(text); heardIn < nodes || last > 6*time.Second || away > 10*nodes {
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

// readyAfter is when nine in ten nodes have the list, and how many requests each sent. serviceTime is what a request takes of a shared
// service, or 0.
func readyAfter(nodes int, down string, timing Timing, serviceTime, length time.Duration) (span time.Duration, calls float64) {
	var all sync.WaitGroup
	var mu sync.Mutex
	var spans []time.Duration
	shared := &queue{serviceTime: serviceTime}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range nodes {
		all.Go(func() {
			d, seen := newFakeDiscovery(defaults.SlowResponse), &notifications{firstSeen: map[int]time.Time{}}
			d.queue = shared
			d.lost, d.silent = down == "is cut off", down == "is silent"
			if down != "refuses" {
				d.up()
			}
			timing := timing
			timing.Seed = uint64(i)
			w := New(Names{}, timing, d.dial(), seen.notify)
			began := time.Now()
			go w.Run(ctx, fakeAddr)
			time.Sleep(8 * time.Second)
			d.locked(func() { d.lost, d.silent = false, false })
			if down == "refuses" {
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
			spans = append(spans, took)
			d.locked(func() { calls += float64(d.requests) / float64(nodes) })
		})
	}
	all.Wait()
	cancel()
	time.Sleep(time.Minute)
	slices.Sort(spans)
	return spans[nodes*9/10-1], calls
}
