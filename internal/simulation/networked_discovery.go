package simulation

import (
	"bufio"
	"time"

	"birchstair/internal/emulator/platform"
	"birchstair/internal/memnet"
)

const (
	discoveryHost    = "discovery"
	discoveryAddress = "127.0.0.1:8500"
)

// serveDiscovery starts serving discovery.
func (ns *networkedSimulation) serveDiscovery() {
	ns.listen(discoveryHost, discoveryAddress, ns.serveWatch)
}

// serveWatch answers watch requests on a connection until the connection ends.
func (ns *networkedSimulation) serveWatch(conn *memnet.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := platform.ReadWatch(reader)
		if err != nil {
			return
		}
		answer := ns.awaitUpdate(request)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// awaitUpdate waits for the answer to a watch request and returns it. A request for the complete list is answered at
// once. Any other request is answered with the next updates, or with an empty list once the request's hold time is
// over. While discovery is unresponsive, there is no answer. awaitUpdate returns nil when the simulation ends.
func (ns *networkedSimulation) awaitUpdate(request platform.Watch) []byte {
	until := time.Now().Add(request.Hold)
	for {
		answer, changed := ns.answerWatch(request, until)
		if answer != nil {
			return answer
		}
		var holdOver <-chan time.Time // nil once the hold time is over: from then on only a change can lead to an answer
		if left := time.Until(until); left > 0 {
			holdOver = time.After(left)
		}
		select {
		case <-changed:
		case <-holdOver:
		case <-ns.done:
			return nil
		}
	}
}

// answerWatch returns the present answer to a watch request, or nil if there is no answer yet. It also returns a
// channel that is closed at the next change.
func (ns *networkedSimulation) answerWatch(request platform.Watch, until time.Time) (answer []byte, changed chan struct{}) {
	ns.locked(func() {
		changed = ns.endpointsChanged
		discovery := ns.sim.discovery
		if discovery.Stopped() {
			return
		}
		version, entries := discovery.Since(ns.sim.now, request.From)
		if request.Complete {
			entries = discovery.Complete(ns.sim.now)
		}
		if request.Complete || len(entries) > 0 || !time.Now().Before(until) {
			answer = platform.AppendList(nil, version, request.Complete, entries, ns.sim.scenario.Fleet.Zones, ns.start)
		}
	})
	return answer, changed
}

// notifyWatches lets all waiting watch requests check for updates.
func (ns *networkedSimulation) notifyWatches() {
	close(ns.endpointsChanged)
	ns.endpointsChanged = make(chan struct{})
}
