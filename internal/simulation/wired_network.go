package simulation

import (
	"time"

	"birchstair/internal/memnet"
	"birchstair/policy"
)

// path is what lies between two hosts now. Discovery is in no zone; a partition keeps it from a zone that nothing gets into.
func (v *wiredWorld) path(from, to string) memnet.Path {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	fleet := &v.world.scenario.Fleet
	fromZone, fromInZone := v.zoneOfHost[from]
	toZone, toInZone := v.zoneOfHost[to]
	path := memnet.Path{Delay: time.Duration(fleet.Near), PerByte: timePerByte}
	blockedUntil := time.Duration(0)
	switch {
	case v.unreachable[from] || v.unreachable[to]:
		return memnet.Path{Lost: true}
	case toInZone && !fromInZone:
		blockedUntil = v.partitions[toZone].inboundUntil
	case fromInZone && toInZone && fromZone != toZone:
		path.Delay = time.Duration(fleet.Far)
		blockedUntil = max(v.partitions[fromZone].outboundUntil, v.partitions[toZone].inboundUntil)
	}
	if now := time.Since(v.start); blockedUntil > now {
		path.Hold = blockedUntil - now
	}
	return path
}

// setZone puts a host into a zone.
func (v *wiredWorld) setZone(host string, zone policy.ZoneID) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	v.zoneOfHost[host] = zone
}

// setPartitions copies the world's partitions for the network.
func (v *wiredWorld) setPartitions(partitions []partition) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	copy(v.partitions, partitions)
}

// setUnreachable makes an address unreachable, or reachable again.
func (v *wiredWorld) setUnreachable(addr string, unreachable bool) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	v.unreachable[addr] = unreachable
}

// listen accepts connections on an address of its own and serves each in a goroutine, until the host ends.
func (v *wiredWorld) listen(host, addr string, serve func(*memnet.Conn)) {
	listener, err := v.net.Listen(host, addr)
	if err != nil {
		panic(err) // no two processes that run have one address
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
