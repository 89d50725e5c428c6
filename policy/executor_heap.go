package policy

import "math"

// heapKey is the kind of key by which a heap orders its executors. An executor is in at most one heap per kind of key.
type heapKey int

const (
	keyTokenAge  heapKey = iota // in rate buckets: time since which the executor's oldest token has been free
	keyPaceDrift                // in paceFloors and paceCeilings of kindIndex: the entry's paceLimit, negated in paceFloors
	keyExpiry                   // in candidateIndex.expiries: time until which the entry is valid
	keyPace                     // in pace buckets: the executor's own pace; without observed work its running time
	heapKeys                    // number of kinds of keys
)

// heapPosition is an executor's position in a heap, and its key there. The heap is nil if the executor is in none.
type heapPosition struct {
	heap  *executorHeap
	index int
	key   int64
}

// executorHeap is a binary min-heap of executors. Each executor stores its position, so that it can be updated and removed in
// logarithmic time. walkBucket and searchLowestPace rely on the layout: the children of index i are at 2i+1 and 2i+2.
type executorHeap struct {
	keyKind   heapKey
	executors []*executor
	bucket    *rateBucket // bucket that embeds this heap; nil except for keyTokenAge
}

// floatKey returns the key for a non-negative float. The bits of such floats have the same order as the floats.
func floatKey(x float64) int64 { return int64(math.Float64bits(x)) }

// min returns the executor with the smallest key, or nil if the heap is empty.
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

// update inserts an executor with the given key into this heap, or changes its key. If the executor is in another heap for
// the same kind of key, it is removed from that heap.
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

// removeFrom removes an executor from its heap for the given kind of key, if it is in one.
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
