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

// awaitUpdate waits until a watch is to be answered, and returns the answer. A watch for the complete list is answered
// at once, any other when there is an update or its hold time is over. While discovery is stopped or does not answer
// this node, awaitUpdate keeps waiting. It returns nil at the end of the run.
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

// update encodes the entries as an update for this node, with the addresses at which this node reaches the executors.
// It records that the node has been notified of the entries, and of the removal of executors that a complete list lacks.
// It is called with cluster.mu held.
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

// recordEndpoint records that the node has been notified of an endpoint's state. If a draining endpoint is removed, the
// time of the first notification stays, since the grace period for attempts starts there. It is called with cluster.mu
// held.
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
