package simulation

import (
	"time"

	"birchstair/internal/memnet"
	"birchstair/policy"
)

func (v *wiredWorld) path(from, to string) memnet.Path {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	f := &v.world.scenario.Fleet
	a, known := v.zoneOfHost[from]
	b, known2 := v.zoneOfHost[to]
	if v.unreachable[from] || v.unreachable[to] {
		return memnet.Path{Lost: true}
	}
	p := memnet.Path{Delay: time.Duration(f.Near), PerByte: timePerByte}
	if !known || !known2 || a == b {
		if known != known2 { // discovery, which a zone that is cut off does not hear
			zone := max(a, b)
			if until := v.partitions[zone].inboundUntil; known2 && until > time.Since(v.start) {
				p.Hold = until - time.Since(v.start)
			}
		}
		return p
	}
	p.Delay = time.Duration(f.Far)
	if until := max(v.partitions[a].outboundUntil, v.partitions[b].inboundUntil); until > time.Since(v.start) {
		p.Hold = until - time.Since(v.start)
	}
	return p
}

// setZone says where a host is.
func (v *wiredWorld) setZone(host string, zone policy.ZoneID) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	v.zoneOfHost[host] = zone
}

func (v *wiredWorld) setPartitions(cuts []partition) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	copy(v.partitions, cuts)
}

func (v *wiredWorld) setUnreachable(addr string, yes bool) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	v.unreachable[addr] = yes
}
