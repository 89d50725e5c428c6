// Package leases decides what becomes of durable batch jobs: what is recorded before what is done, which allocations may be out and under which
// epoch, and what a crash leaves to be done. It reads no clock and does no input or output: what happened goes in with its time, what to do comes
// out. The decision module still says where a batch job goes and whether to try again; this package says what it may be asked.
//
// A batch job passes through these states:
//
//	keeping   it was handed in, and its record is on its way to the disk
//	waiting   it stands on the disk, and waits for room at the module
//	in hand   the module has it
//	asking    a node has died with an allocation of it out, and the executor is asked what became of it
//	closing   its final answer is on its way to the disk
//	done      its final answer stands there
package leases

import (
	"container/heap"
	"time"

	"birchstair/policy"
)

// ID is a client's id of a durable batch job.
type ID string

// Epoch numbers the allocations of a batch job, over all lives of its node. An executor that has heard of one refuses older ones.
type Epoch uint32

// State is where a batch job stands.
type State int

const (
	Keeping State = iota
	Waiting
	InHand
	Asking
	Closing
	Done
)

var stateNames = [...]string{"keeping", "waiting", "in hand", "asking", "closing", "done"}

func (s State) String() string { return stateNames[s] }

// Final is the kind of a final answer, as package node counts them.
type Final int

const (
	Succeeded Final = iota
	Rejected
	Failed
)

// JobClass is what a track allows after an allocation that may have run.
type JobClass struct {
	Idempotency policy.Idempotency
	DedupGroup  policy.DedupGroup
	DedupWindow time.Duration // of a tagged one, less what a connection takes to come up
}

// Job is a batch job as it is handed in. Times are times of day, as spans since 1970.
type Job struct {
	ID    ID
	Track JobClass
	Limit time.Duration // the outer limit
}

// Send is an allocation that stands on the disk.
type Send struct {
	Epoch    Epoch
	Executor policy.ExecutorID
	At       time.Duration
	NeverRan bool // it is over, and provably never ran
}

// Found is what an executor says of an epoch that it is asked about.
type Found int

const (
	FoundNothing  Found = iota // it can't be reached, or says what makes no sense
	FoundMute                  // it does not speak of such things
	FoundNever                 // it has not begun it, and refuses it from now on
	FoundRunning               // it has it
	FoundFinished              // it has done it: here is the result
	FoundLost                  // it may have begun it, and knows nothing more: it has started anew since
)

// Effect is what is to be done: one of the types below.
type Effect interface{ effect() }

type (
	// Keep puts a record on the disk: the batch job (Epoch 0), an allocation, or its end.
	KeepJob  struct{ ID ID }
	KeepSend struct {
		ID   ID
		Send Send
	}
	KeepOver struct {
		ID    ID
		Epoch Epoch
	}
	KeepFinal struct {
		ID     ID
		Final  Final
		Result []byte
	}
	KeepLetGo struct{ ID ID }
	// Acknowledge tells the client that it stands on the disk.
	Acknowledge struct{ ID ID }
	// Arrive hands it to the module, for so long.
	Arrive struct {
		ID     ID
		Budget time.Duration
	}
	// LetOut lets an allocation go out: its record stands on the disk.
	LetOut struct {
		ID    ID
		Epoch Epoch
	}
	// Ask asks an executor what became of an epoch.
	Ask struct {
		ID       ID
		Epoch    Epoch
		Executor policy.ExecutorID
	}
	// Publish gives the final answer to all who ask for it.
	Publish struct {
		ID     ID
		Final  Final
		Result []byte
	}
	// Wake asks for a call of Wake then; a later one takes its place.
	Wake struct{ At time.Duration }
)

func (KeepJob) effect()     {}
func (KeepSend) effect()    {}
func (KeepOver) effect()    {}
func (KeepFinal) effect()   {}
func (KeepLetGo) effect()   {}
func (Acknowledge) effect() {}
func (Arrive) effect()      {}
func (LetOut) effect()      {}
func (Ask) effect()         {}
func (Publish) effect()     {}
func (Wake) effect()        {}

// Settings are what the operator has set.
type Settings struct {
	Room     int           // in hand at a time
	Keep     time.Duration // of a final answer
	Leases   bool          // executors can be asked
	AskEvery time.Duration
}

// Book is all that a node knows of its durable batch jobs.
type Book struct {
	settings Settings
	jobs     map[ID]*job
	waiting  []*job // that wait, in the order of their outer limits
	inHand   int
	stopped  bool // the node ends: what is answered now for that reason is no final answer
	timers   timerHeap
	sequence int
	wakeAt   time.Duration
	effects  []Effect
}

type job struct {
	Job
	state           State
	sends           []Send
	queryInFlight   bool // an answer to Ask is awaited
	until           time.Duration
	final           Final
	result          []byte
	sequence        int
	timerGeneration int
	heapIndex       int // in the queue
}

// NewBook makes an empty book.
func NewBook(s Settings) *Book { return &Book{settings: s, jobs: map[ID]*job{}, wakeAt: -1} }

// State is where a batch job stands, and whether there is one.
func (b *Book) State(id ID) (State, bool) {
	j := b.jobs[id]
	if j == nil {
		return 0, false
	}
	return j.state, true
}

// Answer is the final answer of one that is done.
func (b *Book) Answer(id ID) (Final, []byte) {
	j := b.jobs[id]
	return j.final, j.result
}

// Counts is how many there are in each state.
func (b *Book) Counts() (n [len(stateNames)]int) {
	for _, j := range b.jobs {
		n[j.state]++
	}
	return n
}

func (b *Book) emit(e Effect) { b.effects = append(b.effects, e) }

// finish ends a call: it fills the room at the module, arms the timer and gives the effects, good until the next call.
func (b *Book) finish(now time.Duration) []Effect {
	b.submitWaiting(now)
	if len(b.timers) > 0 && b.timers[0].at != b.wakeAt {
		b.wakeAt = b.timers[0].at
		b.emit(Wake{b.wakeAt})
	}
	out := b.effects
	b.effects = nil
	return out
}

// HandIn takes a new batch job in; it says false where there is one of that id.
func (b *Book) HandIn(now time.Duration, in Job) ([]Effect, bool) {
	if b.jobs[in.ID] != nil {
		return nil, false
	}
	b.add(in)
	b.emit(KeepJob{in.ID})
	return b.finish(now), true
}

func (b *Book) add(in Job) *job {
	b.sequence++
	j := &job{Job: in, sequence: b.sequence, heapIndex: -1}
	b.jobs[in.ID] = j
	b.schedule(in.Limit, j)
	return j
}

// NotKept: the record could not be written; the client is told so by whoever carries effects out, and nothing is left of it here.
func (b *Book) NotKept(now time.Duration, id ID) []Effect {
	if j := b.jobs[id]; j != nil && j.state == Keeping {
		delete(b.jobs, id)
		j.timerGeneration++
	}
	return b.finish(now)
}

// Kept: the batch job stands on the disk. Only now it is acknowledged, and only now the module may have it.
func (b *Book) Kept(now time.Duration, id ID) []Effect {
	if j := b.jobs[id]; j != nil && j.state == Keeping {
		b.emit(Acknowledge{id})
		b.enqueue(j)
	}
	return b.finish(now)
}

func (b *Book) enqueue(j *job) {
	j.state = Waiting
	heap.Push((*waitHeap)(&b.waiting), j)
}

// submitWaiting hands as many to the module as there is room for, those with the nearest outer limits first.
func (b *Book) submitWaiting(now time.Duration) {
	for !b.stopped && b.inHand < b.settings.Room && len(b.waiting) > 0 {
		j := heap.Pop((*waitHeap)(&b.waiting)).(*job)
		until := min(j.Limit, b.retryUntil(j))
		if now >= until {
			b.expire(now, j)
			continue
		}
		j.state = InHand
		b.inHand++
		b.emit(Arrive{j.ID, until - now})
	}
}

// retryUntil is until when a batch job of which an allocation may have run may be sent again: the module knows nothing of what an earlier life of its
// node has sent, so it is given that much time only.
func (b *Book) retryUntil(j *job) time.Duration {
	first := j.firstPossibleRun()
	if first == nil || j.Track.Idempotency == policy.Idempotent {
		return forever
	}
	if j.Track.Idempotency == policy.IdempotentWithKey && j.Track.DedupGroup == policy.DedupAllExecutors {
		return first.At + j.Track.DedupWindow
	}
	return 0
}

const forever = time.Duration(1<<63 - 1)

// firstPossibleRun is the first allocation that may have run, if there is one.
func (j *job) firstPossibleRun() *Send {
	for i := range j.sends {
		if !j.sends[i].NeverRan {
			return &j.sends[i]
		}
	}
	return nil
}

// Send: the module sends it to an executor. It goes out under a new epoch, once that stands on the disk.
func (b *Book) Send(now time.Duration, id ID, to policy.ExecutorID) (Epoch, []Effect) {
	j := b.jobs[id]
	if j == nil || j.state != InHand {
		return 0, b.finish(now)
	}
	s := Send{Epoch: Epoch(len(j.sends) + 1), Executor: to, At: now}
	j.sends = append(j.sends, s)
	b.emit(KeepSend{id, s})
	return s.Epoch, b.finish(now)
}

// SendKept: an allocation's record stands on the disk: it may go out, unless the batch job is over by now.
func (b *Book) SendKept(now time.Duration, id ID, e Epoch) []Effect {
	if j := b.jobs[id]; j != nil && j.state == InHand && int(e) == len(j.sends) {
		b.emit(LetOut{id, e})
	}
	return b.finish(now)
}

// Over: an allocation is over. What provably never ran is recorded as such, or a crash would leave it in doubt.
func (b *Book) Over(now time.Duration, id ID, e Epoch, neverRan bool) []Effect {
	if j := b.jobs[id]; j != nil && neverRan && e >= 1 && int(e) <= len(j.sends) && !j.sends[e-1].NeverRan {
		j.sends[e-1].NeverRan = true
		b.emit(KeepOver{id, e})
	}
	return b.finish(now)
}

// Answered: the module has given its answer. It is final, unless the node ends: then what is pushed back stays on the disk for the next life, and what is
// broken off is asked about there.
func (b *Book) Answered(now time.Duration, id ID, how Final, result []byte) []Effect {
	j := b.jobs[id]
	if j == nil || j.state != InHand {
		return b.finish(now)
	}
	b.inHand--
	if how == Rejected && j.Track.Idempotency != policy.Idempotent && j.firstPossibleRun() != nil {
		how = Failed // the module knows nothing of what an earlier life has sent
	}
	if b.stopped && how != Succeeded {
		b.enqueue(j)
		return b.finish(now)
	}
	b.finalize(j, how, result)
	return b.finish(now)
}

func (b *Book) finalize(j *job, how Final, result []byte) {
	j.state, j.final, j.result = Closing, how, result
	j.timerGeneration++
	b.emit(KeepFinal{j.ID, how, result})
}

// expire answers what nothing was handled of by its outer limit. A pushback promises that it did not run.
func (b *Book) expire(now time.Duration, j *job) {
	how := Failed
	if j.firstPossibleRun() == nil || j.Track.Idempotency == policy.Idempotent {
		how = Rejected
	}
	b.finalize(j, how, nil)
}

// FinalKept: the final answer stands on the disk, and is given to whoever asks for as long as it is kept.
func (b *Book) FinalKept(now time.Duration, id ID) []Effect {
	if j := b.jobs[id]; j != nil && j.state == Closing {
		b.retain(now, j)
		b.emit(Publish{id, j.final, j.result})
	}
	return b.finish(now)
}

func (b *Book) retain(now time.Duration, j *job) {
	j.state = Done
	j.timerGeneration++
	b.schedule(now+b.settings.Keep, j)
}

// LetGo: nothing of it is wanted any more. Only one that is done can go.
func (b *Book) LetGo(now time.Duration, id ID) ([]Effect, bool) {
	j := b.jobs[id]
	if j == nil || j.state != Done {
		return nil, false
	}
	b.forget(j)
	return b.finish(now), true
}

func (b *Book) forget(j *job) {
	j.timerGeneration++
	delete(b.jobs, j.ID)
	b.emit(KeepLetGo{j.ID})
}

// Stop: the node ends. Nothing more goes to the module.
func (b *Book) Stop(now time.Duration) []Effect {
	b.stopped = true
	return b.finish(now)
}

// Recover takes in what the disk says of a batch job at a start. last is the latest time that stands on the disk: a clock that is behind it was set back,
// and no window is counted on it.
func (b *Book) Recover(now, last time.Duration, in Job, sends []Send, final *Final, result []byte, finalAt time.Duration) []Effect {
	j := b.add(in)
	j.sends = sends
	if final != nil {
		j.state, j.final, j.result = Done, *final, result
		j.timerGeneration++
		b.schedule(max(now, finalAt+b.settings.Keep), j)
		return b.finish(now)
	}
	if now < last && j.Track.Idempotency == policy.IdempotentWithKey {
		j.Track.DedupWindow = 0
	}
	switch {
	case now >= j.Limit && (!b.settings.Leases || j.firstPossibleRun() == nil):
		b.expire(now, j)
	case b.retryUntil(j) > now:
		b.enqueue(j)
	default:
		b.query(now, j)
	}
	return b.finish(now)
}

// query finds out what became of an allocation that was out when the node died. Where executors can't be asked that is never known: it is broken off.
func (b *Book) query(now time.Duration, j *job) {
	first := j.firstPossibleRun()
	if !b.settings.Leases {
		b.finalize(j, Failed, nil)
		return
	}
	j.state, j.queryInFlight = Asking, true
	j.timerGeneration++
	b.schedule(max(j.Limit, now+b.settings.AskEvery), j) // one that comes back late is asked once all the same
	b.emit(Ask{j.ID, first.Epoch, first.Executor})
}

// Told: an executor was asked.
func (b *Book) Told(now time.Duration, id ID, e Epoch, what Found, result []byte) []Effect {
	j := b.jobs[id]
	if j == nil || j.state != Asking || !j.queryInFlight {
		return b.finish(now)
	}
	j.queryInFlight = false
	switch what {
	case FoundFinished:
		b.finalize(j, Succeeded, result)
	case FoundNever:
		j.sends[e-1].NeverRan = true
		b.emit(KeepOver{id, e})
		switch {
		case now >= j.Limit:
			b.expire(now, j)
		case b.retryUntil(j) > now:
			b.enqueue(j)
		default:
			b.query(now, j)
		}
	case FoundMute, FoundLost:
		b.finalize(j, Failed, nil)
	case FoundNothing, FoundRunning:
		if now >= j.Limit {
			b.finalize(j, Failed, nil)
			break
		}
		j.timerGeneration++
		b.schedule(min(j.Limit, now+b.settings.AskEvery), j)
	}
	return b.finish(now)
}

// Wake does what is due: outer limits that have passed, executors that are to be asked again, answers that nobody is kept for any more.
func (b *Book) Wake(now time.Duration) []Effect {
	b.wakeAt = -1
	for len(b.timers) > 0 && b.timers[0].at <= now {
		d := heap.Pop(&b.timers).(timer)
		j := d.job
		if d.generation != j.timerGeneration {
			continue
		}
		switch j.state {
		case Waiting:
			heap.Remove((*waitHeap)(&b.waiting), j.heapIndex)
			b.expire(now, j)
		case Asking:
			if now >= j.Limit {
				b.finalize(j, Failed, nil)
			} else {
				b.query(now, j)
			}
		case Done:
			b.forget(j)
		}
	}
	return b.finish(now)
}

func (b *Book) schedule(at time.Duration, j *job) {
	b.sequence++
	heap.Push(&b.timers, timer{at, b.sequence, j.timerGeneration, j})
}

type timer struct {
	at         time.Duration
	sequence   int
	generation int
	job        *job
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return d
}

// waitHeap orders those that wait by their outer limits; each knows its place in it.
type waitHeap []*job

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	return h[i].Limit < h[j].Limit || h[i].Limit == h[j].Limit && h[i].sequence < h[j].sequence
}
func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *waitHeap) Push(x any) {
	x.(*job).heapIndex = len(*h)
	*h = append(*h, x.(*job))
}
func (h *waitHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
