package simulation

import (
	"math/rand/v2"
	"time"
)

// scheduledEvent is something that is to happen. Those of one instant go in an order that only the seed decides.
type scheduledEvent struct {
	at       time.Duration
	tieBreak uint64
	run      func()
}

func (a *scheduledEvent) before(b *scheduledEvent) bool {
	return a.at < b.at || a.at == b.at && a.tieBreak < b.tieBreak
}

// eventHeap is a binary heap, the next item first. It is not container/heap: that makes a value of each item and calls by interface,
// which costs a large part of a world.
type eventHeap []scheduledEvent

func (h *eventHeap) push(x scheduledEvent) {
	all := append(*h, x)
	i := len(all) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !x.before(&all[up]) {
			break
		}
		all[i], i = all[up], up
	}
	all[i] = x
	*h = all
}

func (h *eventHeap) pop() scheduledEvent {
	all := *h
	first, end := all[0], len(all)-1
	x := all[end]
	all[end] = scheduledEvent{}
	all = all[:end]
	*h = all
	if end == 0 {
		return first
	}
	i := 0
	for {
		next := 2*i + 1
		if next >= end {
			break
		}
		if next+1 < end && all[next+1].before(&all[next]) {
			next++
		}
		if !all[next].before(&x) {
			break
		}
		all[i], i = all[next], next
	}
	all[i] = x
	return first
}

func (w *World) at(at time.Duration, what func()) {
	w.scheduled++
	w.events.push(scheduledEvent{max(at, w.now), permute(w.seed ^ w.scheduled*0x9e3779b97f4a7c15), what})
	if w.wired != nil {
		w.wired.eventScheduled()
	}
}

func (w *World) after(span time.Duration, what func()) { w.at(w.now+span, what) }

// stream is a source of chance of its own for each use, so that a fault taken out changes as little else as can be.
func stream(seed uint64, use string) *rand.Rand {
	h := uint64(14695981039346656037)
	for i := range len(use) {
		h = (h ^ uint64(use[i])) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, h))
}

// permute is a permutation of all numbers that looks like chance.
func permute(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
