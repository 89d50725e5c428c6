package policy

import "math"

// The keys by which the index has executors in heaps; an executor is in one heap of each at most.
const (
	keyTokenAge  = iota // in its rate bucket: since when its oldest free token is free
	keyPaceDrift        // in its kind: the pace of the kind from which on its rate no longer holds
	keyExpiry           // until when its entry holds
	keyPace             // in its pace bucket: its pace
	keyKinds
)

// heapPosition is an executor's place in a pile.
type heapPosition struct {
	heap  *executorHeap
	index int
	key   int64
}

// executorHeap is a heap of executors, the least key first; each knows its place in it.
type executorHeap struct {
	keyKind   int
	executors []*executor
	bucket    *rateBucket // that it is of, where it is by age
}

// floatKey makes keys of figures that are not under 0.
func floatKey(x float64) int64 { return int64(math.Float64bits(x)) }

func (p *executorHeap) min() *executor {
	if len(p.executors) == 0 {
		return nil
	}
	return p.executors[0]
}

func (p *executorHeap) place(i int, e *executor) {
	p.executors[i], e.indexed.positions[p.keyKind].index = e, i
}

func (p *executorHeap) key(i int) int64 { return p.executors[i].indexed.positions[p.keyKind].key }

func (p *executorHeap) siftUp(i int) {
	for e := p.executors[i]; i > 0; {
		parent := (i - 1) / 2
		if p.key(parent) <= e.indexed.positions[p.keyKind].key {
			break
		}
		p.place(i, p.executors[parent])
		p.place(parent, e)
		i = parent
	}
}

func (p *executorHeap) siftDown(i int) {
	for e := p.executors[i]; ; {
		child := 2*i + 1
		if child >= len(p.executors) {
			return
		}
		if child+1 < len(p.executors) && p.key(child+1) < p.key(child) {
			child++
		}
		if p.key(child) >= e.indexed.positions[p.keyKind].key {
			return
		}
		p.place(i, p.executors[child])
		p.place(child, e)
		i = child
	}
}

// update puts an executor into a pile of its sort, and out of the one that it was in.
func (p *executorHeap) update(e *executor, key int64) {
	at := &e.indexed.positions[p.keyKind]
	if at.heap == p {
		was := at.key
		if at.key = key; key < was {
			p.siftUp(at.index)
		} else if key > was {
			p.siftDown(at.index)
		}
		return
	}
	e.removeFrom(p.keyKind)
	*at = heapPosition{p, len(p.executors), key}
	p.executors = append(p.executors, e)
	p.siftUp(at.index)
}

// removeFrom takes an executor out of its pile of that sort.
func (e *executor) removeFrom(by int) {
	p, at := e.indexed.positions[by].heap, e.indexed.positions[by].index
	if p == nil {
		return
	}
	e.indexed.positions[by].heap = nil
	last := len(p.executors) - 1
	moved := p.executors[last]
	p.executors[last], p.executors = nil, p.executors[:last]
	if at < last {
		p.place(at, moved)
		p.siftUp(at)
		p.siftDown(moved.indexed.positions[by].index)
	}
}
