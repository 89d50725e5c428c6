package policy

import "math"

// heapKey is a kind of key by which a heap orders its executors. An executor is in at most one heap for each kind of
// key.
type heapKey int

const (
	// keyTokenAge orders the executors of a rate bucket by the age of their oldest free token, oldest first. The key is
	// the time since which that token has been free.
	keyTokenAge heapKey = iota
	// keyPaceDrift finds the entries that a drift of a kind's pace has made invalid. It is used in paceFloors and
	// paceCeilings of kindIndex. The key is the paceLimit of the executor's index entry, negated in paceFloors.
	keyPaceDrift
	// keyExpiry finds the entries that have expired. It is used in candidateIndex.expiries. The key is the time until
	// which the executor's index entry is valid.
	keyExpiry
	// keyPace orders the executors of a pace bucket by their own paces, lowest first. The key is the observed running
	// time divided by the observed work. For an executor without observed work, the key is the running time.
	keyPace

	heapKeys // number of kinds of keys
)

// heapPosition is an executor's position and key in a heap. If the executor is in no heap, the field heap is nil.
type heapPosition struct {
	heap  *executorHeap
	index int
	key   int64
}

// executorHeap is a binary min-heap of executors. Each executor stores its own position in the heap, so updates and
// removals take logarithmic time. The children of index i are at 2i+1 and 2i+2; walkBucket and searchLowestPace rely on
// this layout.
type executorHeap struct {
	keyKind   heapKey
	executors []*executor
	bucket    *rateBucket // rate bucket that embeds this heap; nil if the heap is not part of a rate bucket
}

// floatKey returns the key for a non-negative float: its bits. The bits of non-negative floats, read as integers, have
// the same order as the floats.
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

// place puts an executor at index i of the heap, and records the index in the executor.
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

// update inserts an executor with the given key into this heap, or changes the executor's key if it is in this heap
// already. If the executor is in another heap for the same kind of key, update first removes it from that heap.
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

// removeFrom removes an executor from the heap for the given kind of key. It does nothing if the executor is in no such
// heap.
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
