package simulation

import (
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

const (
	clientsStartAfter = 200 * time.Millisecond // time from the start of the simulation until clients start; nodes get ready in this time
	loopStagger       = time.Millisecond       // time between the starts of two closed-loop clients
	unreachedDelay    = time.Millisecond       // time until a client notices that no node can be reached
	openLoop          = -1                     // client number of the work items of the open loop, which belong to no closed-loop client
)

// zoneClients models the clients of a zone and the front layer, which spreads the clients' requests over nodes.
type zoneClients struct {
	*emulator.Clients
	sim        *Simulation
	zone       policy.ZoneID
	roundRobin int
}

// buildClients creates the clients of each zone and schedules their first work items.
func (sim *Simulation) buildClients() {
	fleet, load := &sim.scenario.Fleet, &sim.scenario.Load
	capacity := 0.0
	for _, x := range sim.executors {
		capacity += x.Capacity(0)
	}
	rates := sim.scenario.Rates(capacity)
	for i, zone := range fleet.Zones {
		behavior := emulator.Behavior{
			Rate:              rates[i],
			Loops:             load.Loops,
			ThinkTime:         time.Duration(load.ThinkTime),
			Retries:           load.Retries,
			Backoff:           time.Duration(load.RetryWait),
			MaxBackoff:        time.Duration(load.MaxRetryWait),
			FollowsRetryAfter: load.RespectsRetryAfter,
			LeaveFraction:     load.LeaveRate,
			RepeatIDFraction:  load.RepeatIDRate,
			HintNoise:         load.HintNoise,
		}
		c := &zoneClients{sim: sim, zone: policy.ZoneID(i)}
		c.Clients = emulator.NewClients(zone+"-", sim.classes, behavior, fleet.ValuePerWork, stream(sim.seed, clientStream+zone))
		sim.clients = append(sim.clients, c)
		sim.at(clientsStartAfter+c.Gap()/2, c.arrivals)
		for client := range load.Loops {
			sim.at(clientsStartAfter+time.Duration(client)*loopStagger, func() { c.submitNext(client) })
		}
	}
}

// arrivals submits a work item of the open loop and schedules the next one.
func (c *zoneClients) arrivals() {
	gap := c.Gap()
	if gap == emulator.Never || c.sim.now >= time.Duration(c.sim.scenario.Length) {
		return
	}
	c.submitNew(openLoop)
	c.sim.after(gap, c.arrivals)
}

// submitNext submits the next work item of a closed loop.
func (c *zoneClients) submitNext(client int) {
	if c.sim.now < time.Duration(c.sim.scenario.Length) {
		c.submitNew(client)
	}
}

func (c *zoneClients) submitNew(client int) {
	work := c.New(c.sim.now, client)
	c.sim.result.recordWork(work)
	c.sim.worksInFlight++
	c.submit(work)
}

// pickNode returns the node to which the front layer sends the next request. It prefers ready nodes of the client's
// zone, and uses ready nodes of other zones only if that zone has none. A node that has died still counts as ready for
// Load.DeadNodeTime, because the front layer does not notice the death earlier. pickNode returns nil if there is no
// candidate.
func (c *zoneClients) pickNode() *simNode {
	c.roundRobin++
	load := &c.sim.scenario.Load
	var candidates []*simNode
	for _, sameZone := range [...]bool{true, false} {
		for _, n := range c.sim.nodes {
			justDied := !n.up && c.sim.now-n.diedAt < time.Duration(load.DeadNodeTime)
			if (n.zone == c.zone) == sameZone && (n.up && n.ready || justDied) {
				candidates = append(candidates, n)
			}
		}
		if len(candidates) > 0 && load.NodeSkew > 0 {
			return nodeByShare(candidates, c.sim.frontLayerRand.Float64())
		}
		if len(candidates) > 0 {
			return candidates[c.roundRobin%len(candidates)]
		}
	}
	return nil
}

// nodeByShare picks a node with a probability in proportion to its trafficShare. number is a random number from 0 to 1.
func nodeByShare(nodes []*simNode, number float64) *simNode {
	sum := 0.0
	for _, n := range nodes {
		sum += n.trafficShare
	}
	left := number * sum
	for _, n := range nodes {
		if left -= n.trafficShare; left < 0 {
			return n
		}
	}
	return nodes[len(nodes)-1]
}

// submit sends a request for a work item to a node.
func (c *zoneClients) submit(work *emulator.Work) {
	sim, n := c.sim, c.pickNode()
	request := &clientRequest{clients: c, work: work, job: work.Job(), node: n}
	sim.account.recordSubmit(work, n)
	if n == nil {
		sim.after(unreachedDelay, func() { request.finishUnsent(emulator.EndUnreached, 0) })
		return
	}
	request.incarnation = n.incarnation
	if sim.networked != nil {
		sim.networked.submit(request)
		return
	}
	delay := sim.randomDelay(c.zone, n.zone) / 2
	sim.after(delay, func() {
		switch {
		case !n.up || n.incarnation != request.incarnation || n.frontendClosed:
			sim.after(delay, func() { request.finishUnsent(emulator.EndUnreached, 0) })
		case sim.now >= work.Deadline-time.Millisecond: // the client has given up
			request.finishUnsent(emulator.EndFailed, 0)
		default:
			n.receive(request)
		}
	})
}
