package harness

import (
	"bufio"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/invariants"
	"birchstair/policy"
)

// changeEndpoint changes the endpoint list, and notifies nodes when it is published. It is called with r.mu held.
func (r *cluster) changeEndpoint(e emulator.Entry) {
	at := r.discovery.Change(r.now(), e)
	r.checker.EndpointPublished(at, e.Executor, e.State)
	r.after(at-r.now()+time.Millisecond, r.wakeWatches)
}

// wakeWatches lets all watches check for an update. It is called with r.mu held.
func (r *cluster) wakeWatches() {
	close(r.listChanged)
	r.listChanged = make(chan struct{})
}

// serveDiscovery serves the node's connections to discovery.
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
				ask, err := platform.ReadWatch(in)
				if err != nil {
					return
				}
				answer := p.awaitUpdate(ask)
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

// awaitUpdate waits for the answer to a watch. There is none while discovery does not answer this node; nil at the end of the run.
func (p *nodeProcess) awaitUpdate(watch platform.Watch) []byte {
	r := p.cluster
	until := time.Now().Add(watch.Hold)
	for {
		r.mu.Lock()
		if r.over {
			r.mu.Unlock()
			return nil
		}
		news := r.listChanged
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
		var over <-chan time.Time
		if left := time.Until(until); left > 0 {
			over = time.After(left)
		}
		select {
		case <-news:
		case <-over:
		}
	}
}

// update returns an update with the addresses at which this node reaches executors, and records what the node learns by it.
func (p *nodeProcess) update(version int, complete bool, entries []emulator.Entry) []byte {
	r := p.cluster
	named := map[policy.ExecutorID]bool{}
	own := make([]emulator.Entry, 0, len(entries))
	for _, e := range entries {
		named[e.Executor] = true
		l := p.executorListeners[e.Executor]
		if l == nil {
			continue
		}
		e.Addr = l.Addr().String()
		own = append(own, e)
		start := e.StartedAt
		if e.StartedLongAgo {
			start = -time.Hour
		}
		p.recordEndpoint(invariants.Event{Executor: e.Executor, State: e.State, Start: start})
	}
	if complete {
		for id, was := range p.known {
			if !named[id] && was.State != policy.Removed {
				p.recordEndpoint(invariants.Event{Executor: id, State: policy.Removed, Start: was.Start})
			}
		}
	}
	return platform.AppendList(nil, version, complete, own, r.scenario.Fleet.Zones, r.start)
}

// recordEndpoint records that the node has been notified of an endpoint.
func (p *nodeProcess) recordEndpoint(s invariants.Event) {
	s.Kind, s.Node, s.At = invariants.EndpointNotified, p.id, p.cluster.now()
	was, ok := p.known[s.Executor]
	if ok && was.State == s.State && was.Start == s.Start {
		return
	}
	if ok && was.State != policy.Available && s.State != policy.Available {
		s.At = was.At
	}
	p.known[s.Executor] = s
	if s.State != policy.Available {
		if _, ok := p.cluster.drainKnownAt[s.Executor]; !ok {
			p.cluster.drainKnownAt[s.Executor] = p.cluster.now()
		}
	}
	p.cluster.observe(s)
}
