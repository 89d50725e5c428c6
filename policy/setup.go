package policy

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// New turns settings into the figures that decisions use.
func New(s Settings) (*Dispatcher, error) {
	switch {
	case s.Nodes < 1:
		return nil, errors.New("settings: fewer than one node")
	case s.Node < 0 || s.Node >= s.Nodes:
		return nil, fmt.Errorf("settings: node %d is not one of %d", s.Node, s.Nodes)
	case len(s.Tracks) == 0:
		return nil, errors.New("settings: no tracks")
	case s.MaxAllocations < 1:
		return nil, errors.New("settings: no allocation allowed")
	case s.ColdShare < 0 || s.ColdShare > 1:
		return nil, errors.New("settings: the cold share is not between 0 and 1")
	}
	d := &Dispatcher{
		seed: s.Seed, node: NodeID(s.Node), nodes: s.Nodes, zone: s.Zone,
		kinds: map[KindID]*kind{}, byID: map[ExecutorID]*executor{}, jobs: map[JobID]*job{},
		bySum: map[Sum]*executor{}, kept: map[Sum]*keep{}, mayTell: s.MayTell,
		perWork: s.EarnPerWork, overage: s.OverageEarnings, crossPrice: s.CrossZonePrice,
		wholeWeight: s.WholeWeight, trackWeight: s.TrackWeight,
		maxAllocations: s.MaxAllocations, mayCancel: s.MayCancel, comeBack: s.MaxComeBack,
		quantum: max(s.Quantum, time.Millisecond), tellsStart: s.TellsStart, mustAsk: s.MustAsk,
		liveWeights: s.LiveWeights,
		coldShare:   s.ColdShare, warmWithin: s.WarmWithin, fallWindow: s.FallWindow,
	}
	for i, t := range s.Tracks {
		if t.OuterLimit <= 0 || t.Quoted <= 0 {
			return nil, fmt.Errorf("settings: track %d has no quoted time or no outer limit", i)
		}
		if !slices.Contains(d.needs, t.Kind) {
			d.needs = append(d.needs, t.Kind)
		}
		d.tracks = append(d.tracks, track{repeat: t.Repeat, group: t.Group, groupWindow: t.GroupWindow,
			quoted: t.Quoted, outerLimit: t.OuterLimit, stretch: t.Stretch, earnings: t.Earnings,
			late: t.LateEarnings, kind: t.Kind, meanWork: t.Quoted, unit: t.Earnings})
		if by := times(t.OuterLimit, intervals); d.interval == 0 || by < d.interval {
			d.interval, d.tick = by, by
		}
		if d.shortestQuoted == 0 || t.Quoted < d.shortestQuoted {
			d.shortestQuoted = t.Quoted
		}
	}
	d.lookAfter = max(d.shortestQuoted/8, d.quantum)
	d.shareCold(s.FallMultiple)
	d.spreadAsks(s.AskWithin)
	for _, t := range s.Tenant {
		d.tenants = append(d.tenants, tenant{perS: t.QuotaPerS / float64(s.Nodes)})
	}
	return d, nil
}
