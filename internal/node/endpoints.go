package node

import (
	"strings"

	"birchstair/policy"
)

// reread takes in a configuration that was read again: the list comes from the address that it names, the tracks are
// its, and nothing in hand is touched. One that makes no sense changes nothing.
func (n *Node) reread(ev ConfigReloaded) {
	if ev.Detail != "" {
		n.figures.ReloadsRejected++
		n.say(Log{Text: "the configuration stays as it was: " + ev.Detail})
		return
	}
	n.figures.ReloadsApplied++
	n.say(Log{Text: "the configuration was read again; the list comes from " + ev.Discovery})
	if len(ev.NeedRestart) > 0 {
		n.say(Log{Text: "changed, and taken up at the next start: " + strings.Join(ev.NeedRestart, ", ")})
	}
	n.retune(ev)
	n.say(SwitchDiscovery{ev.Discovery})
}

// listed takes in news of the list. A first list makes the node ready; where none can be had, an old copy does.
func (n *Node) listed(ev EndpointsUpdated) {
	if ev.Kind == policy.CachedUpdate && n.copied {
		return // the copy that this process was started with is older than what the one before handed over
	}
	if lost := ev.Kind == policy.WatchFailed; lost != n.listLost && ev.Kind != policy.CachedUpdate {
		n.listLost = lost
		if lost {
			n.say(Log{Text: "the list could not be had: " + ev.Detail})
		} else {
			n.say(Log{Text: "the list is back"})
		}
	}
	n.lists++
	entries := make([]policy.Endpoint, len(ev.Endpoints))
	for i, in := range ev.Endpoints {
		if ev.Kind != policy.CachedUpdate {
			n.sighted(in.Endpoint)
		}
		entries[i] = n.merged(in.Endpoint)
		n.listedOne(in, entries[i])
	}
	if ev.Kind == policy.CompleteUpdate {
		n.goneUnlisted()
	}
	n.brain.UpdateEndpoints(n.now, ev.Kind, entries)
	n.live = n.live || ev.Kind == policy.CompleteUpdate
	if ev.Kind == policy.WatchFailed {
		n.losts++
	}
	// One call that is lost is no sign that discovery is down: what it has counts as told, and the copy is older.
	if !n.ready && len(n.executors) > 0 && ev.Kind != policy.CachedUpdate && (n.live || n.copied || n.losts > 1) {
		n.ready = true
		n.becomeReady()
	}
}

// listedOne takes in one entry, and as what it counts. Connections to what has moved or started anew lead nowhere: what
// was written on one would count as run.
func (n *Node) listedOne(in Endpoint, as policy.Endpoint) {
	e := n.executors[in.Executor]
	if in.State == policy.Removed {
		if e != nil {
			n.gone(e)
		}
		return
	}
	if e == nil {
		e = &executor{id: in.Executor, addr: in.Addr, started: as.StartedAt}
		n.executors[e.id] = e
	}
	anew := !as.StartedLongAgo && as.StartedAt > e.started
	if e.addr != in.Addr {
		e.moves++
	}
	if e.addr != in.Addr || anew {
		n.closeResting(e)
	}
	if anew {
		e.starts++
	}
	e.entry, e.addr, e.listed = in.Endpoint, in.Addr, n.lists
	e.up, e.started = as.State == policy.Available, as.StartedAt
}

// goneUnlisted drops what a whole list leaves out, in the order of ids: the same events give the same effects.
func (n *Node) goneUnlisted() {
	for _, e := range n.inOrder() {
		if e.listed != n.lists {
			e.entry.State = policy.Removed
			n.sighted(e.entry)
			n.gone(e)
		}
	}
}

func (n *Node) gone(e *executor) {
	e.up = false
	n.closeResting(e)
	delete(n.executors, e.id)
}
