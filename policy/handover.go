package policy

import (
	"cmp"
	"slices"
	"time"
)

// What one process of a node tells the next, so that an upgrade does not begin blind. Spans are left over, not times.

// Knowledge is what was learnt.
type Knowledge struct {
	Nodes       int // among so many; 0: as many as there are now
	Classes     []LearnedClass
	Kinds       []KnownKind
	Executors   []KnownExecutor
	MeanValue   float64
	MeanDensity float64
}

// LearnedClass is what was learnt of a current track.
type LearnedClass struct {
	ID           JobClassID
	MeanWork     time.Duration
	Learnt       int
	FullBudget   time.Duration
	Asked, Given float64
	Unit         float64
}

// KnownKind is what warm executors of a kind take.
type KnownKind struct {
	ID                 KindID
	Pace, Size, Places float64
	Parallel           int
}

// KnownExecutor is what was learnt of one start of an executor.
type KnownExecutor struct {
	ID          ExecutorID
	Quota       int
	Runs, Works float64
	StartWait   time.Duration
	HeldFor     time.Duration // its tokens are held back so long still
	InCap       int
	Silences    int
}

// Knows gives what was learnt, in the order of ids.
func (d *Dispatcher) Knows(now time.Duration) (k Knowledge) {
	k.Nodes, k.MeanValue, k.MeanDensity = d.nodes, d.meanEarnings, d.meanDensity
	for id, t := range d.tracks {
		if slices.Contains(d.current, t) {
			k.Classes = append(k.Classes, LearnedClass{JobClassID(id), t.meanWork, t.learnt, t.fullBudget, t.asked, t.given, t.unit})
		}
	}
	for id, kind := range d.kinds {
		k.Kinds = append(k.Kinds, KnownKind{id, kind.pace, kind.size, kind.places, kind.parallel})
	}
	slices.SortFunc(k.Kinds, func(a, b KnownKind) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range d.met {
		if !e.gone {
			k.Executors = append(k.Executors, KnownExecutor{e.id, e.quota, e.runs, e.works, e.startWait, max(0, e.held-now), e.inCap, e.silences})
		}
	}
	slices.SortFunc(k.Executors, func(a, b KnownExecutor) int { return cmp.Compare(a.ID, b.ID) })
	return k
}

// Learn takes over what another process of this node has learnt, of tracks by this one's numbers. What makes no sense is
// passed over; executors that are not on the list, or have started since by this one's list, are too. What was learnt
// among another number of nodes holds where it is of executors and batch jobs: paces, places, work, hold-backs. Quotas,
// waits and how the tracks fare are of the nodes together, and begin afresh: carried over, each of many nodes would send
// what one of a few did.
func (d *Dispatcher) Learn(now time.Duration, k Knowledge) {
	among := k.Nodes == 0 || k.Nodes == d.nodes
	if k.MeanValue > 0 && k.MeanDensity > 0 {
		d.meanEarnings, d.meanDensity = k.MeanValue, k.MeanDensity
	}
	for _, in := range k.Classes {
		if in.ID < 0 || int(in.ID) >= len(d.tracks) || in.MeanWork <= 0 || in.Unit <= 0 {
			continue
		}
		t := d.tracks[in.ID]
		t.meanWork, t.learnt, t.fullBudget = in.MeanWork, in.Learnt, min(in.FullBudget, t.outerLimit)
		t.unit = in.Unit
		if among {
			t.asked, t.given = max(0, in.Asked), max(0, in.Given)
		}
	}
	for _, in := range k.Kinds {
		if kind := d.kinds[in.ID]; kind != nil && in.Pace > 0 && in.Parallel > 0 && in.Size > 0 {
			kind.pace, kind.size, kind.places, kind.parallel = in.Pace, in.Size, max(0, in.Places), in.Parallel
		}
	}
	for _, in := range k.Executors {
		e := d.byID[in.ID]
		if e == nil || now < e.coldUntil || in.Quota < 1 || in.Runs < 0 || in.Works < 0 {
			continue
		}
		e.runs, e.works, e.silences = in.Runs, in.Works, in.Silences
		d.touch(e)
		if in.HeldFor > 0 || in.InCap > 0 {
			e.held, e.inCap = now+in.HeldFor, max(1, in.InCap)
			d.at(e.held, nil, nil)
		}
		if !among {
			continue
		}
		e.startWait, e.known = max(0, in.StartWait), min(in.Quota, quotaCap)
		for e.quota > 0 && e.quota < e.known {
			d.step(e, 1, now)
		}
	}
	d.stale, d.moved, d.freed = true, true, true
}
