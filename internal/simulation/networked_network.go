package simulation

import (
	"time"

	"birchstair/internal/memnet"
	"birchstair/policy"
)

// path returns the present network path between two hosts. Discovery belongs to no zone, but a zone with blocked
// inbound traffic receives nothing from discovery either.
func (ns *networkedSimulation) path(from, to string) memnet.Path {
	ns.pathMu.Lock()
	defer ns.pathMu.Unlock()
	fleet := &ns.sim.scenario.Fleet
	fromZone, fromInZone := ns.zoneOfHost[from]
	toZone, toInZone := ns.zoneOfHost[to]
	path := memnet.Path{Delay: time.Duration(fleet.Near), PerByte: timePerByte}
	blockedUntil := time.Duration(0)
	switch {
	case ns.unreachable[from] || ns.unreachable[to]:
		return memnet.Path{Lost: true}
	case toInZone && !fromInZone:
		blockedUntil = ns.partitions[toZone].inboundUntil
	case fromInZone && toInZone && fromZone != toZone:
		path.Delay = time.Duration(fleet.Far)
		blockedUntil = max(ns.partitions[fromZone].outboundUntil, ns.partitions[toZone].inboundUntil)
	}
	if now := time.Since(ns.start); blockedUntil > now {
		path.Hold = blockedUntil - now
	}
	return path
}

// setZone assigns a host to a zone.
func (ns *networkedSimulation) setZone(host string, zone policy.ZoneID) {
	ns.pathMu.Lock()
	defer ns.pathMu.Unlock()
	ns.zoneOfHost[host] = zone
}

// setPartitions copies the simulation's partitions for path, which does not hold the simulation's lock.
func (ns *networkedSimulation) setPartitions(partitions []partition) {
	ns.pathMu.Lock()
	defer ns.pathMu.Unlock()
	copy(ns.partitions, partitions)
}

// setUnreachable sets whether an address is unreachable.
func (ns *networkedSimulation) setUnreachable(addr string, unreachable bool) {
	ns.pathMu.Lock()
	defer ns.pathMu.Unlock()
	ns.unreachable[addr] = unreachable
}

// listen accepts connections on the address and serves each in a goroutine, until the host ends.
func (ns *networkedSimulation) listen(host, addr string, serve func(*memnet.Conn)) {
	listener, err := ns.net.Listen(host, addr)
	if err != nil {
		panic(err) // running processes have different addresses
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*memnet.Conn))
		}
	}()
}
