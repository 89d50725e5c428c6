package policy

import "math"

// heapKey says by what a heap orders its executors. An executor is in at most one heap for each of them.
type heapKey int

const (
	keyTokenAge  heapKey = iota // in its rate bucket: since when its oldest free token is free
	keyPaceDrift                // in its kind: the pace of the kind from which on its entry is out of date
	keyExpiry                   // until when its entry holds
	keyPace                     // in its pace bucket: its pace
	heapKeys                    // how many there are
)

// heapPosition is an executor's place in a heap; without a heap it is in none.
type heapPosition struct {
	heap  *executorHeap
	index int
	key   int64
}

// executorHeap is a binary heap of executors, the least key first. Each executor knows its position, so that it can be
// updated and removed in logarithmic time. The candidate walk relies on the layout: the children of i are 2i+1 and 2i+2.
type executorHeap struct {
	keyKind   heapKey
	executors []*executor
	bucket    *rateBucket // that this heap is the content of, for keyTokenAge
}

// floatKey makes a key of a figure that is not negative: such floats are ordered as their bits are.
func floatKey(x float64) int64 { return int64(math.Float64bits(x)) }

// min returns the executor with the least key, nil in an empty heap.
func (h *executorHeap) min() *executor {
	if len(h.executors) == 0 {
		return nil
	}
	return h.executors[0]
}

// key returns the key of the executor at index i.
func (h *executorHeap) key(i int) int64 { return h.executors[i].indexed.positions[h.keyKind].key }

// place puts an executor at index i.
func (h *executorHeap) place(i int, e *executor) {
	h.executors[i] = e
	e.indexed.positions[h.keyKind].index = i
}

func (h *executorHeap) siftUp(i int) {
	e := h.executors[i]
	key := h.key(i)
	for i > 0 {
		parent := (i - 1) / 2
		if h.key(parent) <= key {
			break
		}
		h.place(i, h.executors[parent])
		h.place(parent, e)
		i = parent
	}
}

func (h *executorHeap) siftDown(i int) {
	e := h.executors[i]
	key := h.key(i)
	for {
		child := 2*i + 1
		if child >= len(h.executors) {
			return
		}
		if child+1 < len(h.executors) && h.key(child+1) < h.key(child) {
			child++
		}
		if h.key(child) >= key {
			return
		}
		h.place(i, h.executors[child])
		h.place(child, e)
		i = child
	}
}

// update gives an executor a key in this heap. If it was in another heap for the same kind of key, it leaves that.
func (h *executorHeap) update(e *executor, key int64) {
	position := &e.indexed.positions[h.keyKind]
	if position.heap == h {
		before := position.key
		position.key = key
		if key < before {
			h.siftUp(position.index)
		} else if key > before {
			h.siftDown(position.index)
		}
		return
	}
	e.removeFrom(h.keyKind)
	*position = heapPosition{heap: h, index: len(h.executors), key: key}
	h.executors = append(h.executors, e)
	h.siftUp(position.index)
}

// removeFrom takes an executor out of its heap for that kind of key, if it is in one.
func (e *executor) removeFrom(kind heapKey) {
	position := &e.indexed.positions[kind]
	h := position.heap
	if h == nil {
		return
	}
	position.heap = nil
	hole, last := position.index, len(h.executors)-1
	moved := h.executors[last]
	h.executors[last] = nil
	h.executors = h.executors[:last]
	if hole < last {
		h.place(hole, moved)
		h.siftUp(hole)
		h.siftDown(moved.indexed.positions[kind].index)
	}
}
