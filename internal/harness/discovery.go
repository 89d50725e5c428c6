package harness

import (
	"bufio"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/invariants"
	"birchstair/policy"
)

// changeEndpoint changes an entry of the endpoint list, and wakes the nodes' watches when the change is published after
// the discovery lag. It is called with r.mu held.
func (r *cluster) changeEndpoint(e emulator.Entry) {
	at := r.discovery.Change(r.now(), e)
	r.checker.EndpointPublished(at, e.Executor, e.State)
	r.after(at-r.now()+time.Millisecond, r.wakeWatches)
}

// wakeWatches makes all waiting watches check for an update. It is called with r.mu held.
func (r *cluster) wakeWatches() {
	close(r.listChanged)
	r.listChanged = make(chan struct{})
}

// serveDiscovery answers the watches on the node's connections to discovery.
func (p *nodeProcess) serveDiscovery() {
	for {
		c, err := p.discoveryListener.Accept()
		if err != nil {
			return
		}
		p.cluster.goroutines.Go(func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				c.SetReadDeadline(time.Now().Add(2 * time.Minute))
				watch, err := platform.ReadWatch(in)
				if err != nil {
					return
				}
				answer := p.awaitUpdate(watch)
				if answer == nil {
					return
				}
				if _, err := c.Write(answer); err != nil {
					return
				}
			}
		})
	}
}

// awaitUpdate returns the answer to a watch: once there is an update, or when the time that the watch may be held is
// over. While discovery does not answer this node, it waits longer. It returns nil at the end of the run.
func (p *nodeProcess) awaitUpdate(watch platform.Watch) []byte {
	r := p.cluster
	until := time.Now().Add(watch.Hold)
	for {
		r.mu.Lock()
		if r.stopped {
			r.mu.Unlock()
			return nil
		}
		changed := r.listChanged
		if !p.discoveryUnreachable && !r.discovery.Stopped() {
			version, entries := r.discovery.Since(r.now(), watch.From)
			if watch.Complete {
				entries = r.discovery.Complete(r.now())
			}
			if watch.Complete || len(entries) > 0 || !time.Now().Before(until) {
				answer := p.update(version, watch.Complete, entries)
				r.mu.Unlock()
				return answer
			}
		}
		r.mu.Unlock()
		var expired <-chan time.Time
		if left := time.Until(until); left > 0 {
			expired = time.After(left)
		}
		select {
		case <-changed:
		case <-expired:
		}
	}
}

// update encodes an update with the addresses at which this node reaches executors, and records that the node has been
// notified of its entries. It is called with cluster.mu held.
func (p *nodeProcess) update(version int, complete bool, entries []emulator.Entry) []byte {
	r := p.cluster
	named := map[policy.ExecutorID]bool{}
	ownEntries := make([]emulator.Entry, 0, len(entries))
	for _, e := range entries {
		named[e.Executor] = true
		l := p.executorListeners[e.Executor]
		if l == nil {
			continue
		}
		e.Addr = l.Addr().String()
		ownEntries = append(ownEntries, e)
		start := e.StartedAt
		if e.StartedLongAgo {
			start = -time.Hour
		}
		p.recordEndpoint(invariants.Event{Executor: e.Executor, State: e.State, Start: start})
	}
	if complete {
		for id, previous := range p.known {
			if !named[id] && previous.State != policy.Removed {
				p.recordEndpoint(invariants.Event{Executor: id, State: policy.Removed, Start: previous.Start})
			}
		}
	}
	return platform.AppendList(nil, version, complete, ownEntries, r.scenario.Fleet.Zones, r.start)
}

// recordEndpoint records that the node has been notified of an endpoint's state. A change from draining to removed
// keeps the time of the first notification. It is called with cluster.mu held.
func (p *nodeProcess) recordEndpoint(event invariants.Event) {
	event.Kind, event.Node, event.At = invariants.EndpointNotified, p.id, p.cluster.now()
	previous, ok := p.known[event.Executor]
	if ok && previous.State == event.State && previous.Start == event.Start {
		return
	}
	if ok && previous.State != policy.Available && event.State != policy.Available {
		event.At = previous.At
	}
	p.known[event.Executor] = event
	if event.State != policy.Available {
		if _, ok := p.cluster.drainKnownAt[event.Executor]; !ok {
			p.cluster.drainKnownAt[event.Executor] = p.cluster.now()
		}
	}
	p.cluster.observe(event)
}
