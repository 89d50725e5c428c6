package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ---- The scan that the index stands for ----

// scanned is pick as a pass over all candidates.
func (d *Dispatcher) scanned(j *job, now time.Duration, asking bool) *executor {
	late, crosses, home := d.isLate(j, now), d.crossesNow(j), false
	var best *executor
	bestSide, bestAge := 0, 0.0
	for i, e := range d.eligibleExecutors(j) {
		if !d.isUsable(e, now) || !d.isEligible(e, j, now) {
			continue
		}
		side := d.remoteSide(e)
		if crosses {
			side = 1 - side
		}
		home = home || side == 0
		if late && (len(e.attempts) > 0 || i >= d.subset.lateSize && j.class.lateValue > 0) {
			continue
		}
		taken := len(j.attempts) > 0 && j.attempts[0].executor == e || best != nil && side > bestSide
		if taken || !d.leaseAllows(e, now, asking) || !d.canAccept(e, j, now) {
			continue
		}
		pace := d.pace(e, now)
		wait := d.expectedWait(e, pace, now)
		queue := wait
		if j.class.idempotency == AtMostOnce {
			queue = max(wait, scaled(j.class.meanWork, (e.listedLoad-1)*pace))
		}
		if !late && now+scaled(queue+scaled(j.work, pace), j.predictionMargin) > j.objectiveAt {
			continue
		}
		age := e.weight * float64(now-e.tokens.free[0]) / (pace * (d.classes.shortestObjective + wait).Seconds())
		if best == nil || side < bestSide || age > bestAge {
			best, bestSide, bestAge = e, side, age
		}
	}
	if bestSide > 0 && home && !crosses && now-j.queuedAt < d.crossZoneDelay(j) {
		return nil
	}
	return best
}

// scannedPace is bestPace as a pass over all candidates.
func (d *Dispatcher) scannedPace(j *job, now time.Duration) float64 {
	best := math.Inf(1)
	for _, e := range d.eligibleExecutors(j) {
		if e.available && d.isEligible(e, j, now) {
			best = min(best, d.pace(e, now))
		}
	}
	if math.IsInf(best, 1) {
		return 1
	}
	return best
}

// scannedSlice is the slice as reslice picks it, without its tokens.
func (d *Dispatcher) scannedSlice(now time.Duration) (slice []*executor) {
	size := len(d.endpoints.ranked)
	if d.usesSubset() {
		size = max(minSubsetSize, (subsetSharers*size+d.config.nodeCount-1)/d.config.nodeCount)
		if d.config.canLease {
			size = max(size, 2*minSubsetSize)
		}
	}
	for _, e := range d.slowStart.executors {
		if !e.removed && now < e.slowStart.until && d.isUsable(e, now) {
			slice = append(slice, e)
		}
	}
	counts := make([]int, 2*len(d.classes.requiredKinds))
	for _, e := range d.endpoints.ranked {
		near := false
		for i, need := range d.classes.requiredKinds {
			n := &counts[d.remoteSide(e)*len(d.classes.requiredKinds)+i]
			if now >= e.slowStart.until && d.isUsable(e, now) && (need == AnyKind || need == e.kind) && *n < size {
				near = true
				*n++
			}
		}
		if near {
			slice = append(slice, e)
		}
	}
	return slice
}

// ---- Drawn worlds ----

// drawn is a dispatcher to which chance happens.
type drawn struct {
	*Dispatcher
	t     *testing.T
	r     *rand.Rand
	seed  uint64
	now   time.Duration
	ids   []ExecutorID
	kinds map[ExecutorID]KindID
	jobs  int
	check int // comparisons
	found map[string]int
}

func drawWorld(t *testing.T, seed uint64) *drawn {
	r := rand.New(rand.NewPCG(seed, 7))
	s := base
	s.Seed, s.Nodes = uint32(seed), [...]int{1, 3, 8, 30}[r.IntN(4)]
	s.Node = r.IntN(s.Nodes)
	yes := func() bool { return r.IntN(2) == 0 }
	s.MayLease, s.MayHedge, s.MayProbe, s.LoadAdjustedWeights, s.StartNotices = yes(), yes(), yes(), yes(), r.IntN(4) > 0
	s.ValuePerWork, s.ClientsMarkRetries = yes(), yes()
	if yes() {
		s.CrossZoneCost = 0.5 * r.Float64()
	}
	if yes() {
		s.ProgressInterval = time.Second
	}
	s.JobClasses = nil
	for range 1 + r.IntN(3) {
		t := JobClass{Idempotency: Idempotency(r.IntN(3)), DedupGroup: DedupGroup(r.IntN(3)), DedupWindow: time.Duration(r.IntN(4000)) * time.Millisecond,
			LatencyObjective: time.Duration(50+r.IntN(900)) * time.Millisecond, RunTimeFactor: float64(r.IntN(3)), Deadline: time.Duration(1+r.IntN(8)) * time.Second,
			Value: 1 + 4*r.Float64(), Kind: KindID(r.IntN(3) - 1)}
		if yes() {
			t.LateValue = r.Float64()
		}
		s.JobClasses = append(s.JobClasses, t)
	}
	w := &drawn{Dispatcher: New(s), t: t, r: r, seed: seed, kinds: map[ExecutorID]KindID{}, found: map[string]int{}}
	var entries []Endpoint
	for i := range 2 + r.IntN(50) {
		w.ids = append(w.ids, ExecutorID(fmt.Sprint("e", i)))
		entries = append(entries, w.entry(w.ids[i], true))
	}
	w.UpdateEndpoints(0, CompleteUpdate, entries)
	return w
}

func (w *drawn) entry(id ExecutorID, calm bool) Endpoint {
	if _, ok := w.kinds[id]; !ok || w.r.IntN(30) == 0 {
		w.kinds[id] = KindID(w.r.IntN(2))
	}
	sum := len(id) + int(id[len(id)-1])
	n := Endpoint{Executor: id, Zone: ZoneID(sum % 3), Kind: w.kinds[id], Cell: CellID(sum % 5), StartedLongAgo: true, Weight: 1}
	if w.r.IntN(3) > 0 {
		n.Weight = [...]float64{0.5, 1, 2, 3 * w.r.Float64()}[w.r.IntN(4)]
	}
	if !calm {
		n.State = [...]EndpointState{Available, Available, Available, Draining, Removed}[w.r.IntN(5)]
		if w.r.IntN(3) == 0 {
			n.StartedLongAgo, n.StartedAt = false, w.now-time.Duration(w.r.IntN(9000))*time.Millisecond
		}
		if w.r.IntN(4) == 0 {
			n.Zone = ZoneID(w.r.IntN(3))
		}
	}
	return n
}

// compareTakers looks for batch jobs that could go and that takers leave out, however few are held.
func (w *drawn) compareTakers() {
	d := w.Dispatcher
	for _, list := range [...][]*job{d.queue.onTime, d.queue.late, d.queue.hedges} {
		d.index.classCandidates = d.index.classCandidates[:0]
		d.groupByClass(list, w.now)
		for _, j := range list {
			to := d.scanned(j, w.now, false)
			switch may := d.mayBePlaced(j, w.now); {
			case to != nil && !may:
				w.t.Fatalf("seed %d, %v: %s may go to %s, and is left out", w.seed, w.now, j.id, to.id)
			case to != nil:
				w.found["held that may go"]++
			case !may:
				w.found["held and left out"]++
			}
		}
		d.index.classCandidates = d.index.classCandidates[:0]
	}
}

// compare holds every answer of the index against the scan's.
func (w *drawn) compare() {
	d, ids := w.Dispatcher, []JobID{}
	w.compareTakers()
	for id := range d.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := d.jobs[id]
		w.compareJob(j, "")
		if j.mayHaveRun == nil && len(j.attempts) > 0 { // as elsewhere asks
			j.mayHaveRun = j.attempts[0]
			w.compareJob(j, "moved ")
			j.mayHaveRun = nil
		}
	}
	for _, e := range d.subset.members {
		if e.lease.requested && !slices.Contains(d.leases.requests, e) {
			w.t.Fatalf("seed %d, %v: a place of %s was asked for and is not awaited", w.seed, w.now, e.id)
		}
	}
	for _, e := range d.quota.executors {
		if (e.health.probeOut || e.health.unresponsive) && !slices.Contains(d.health.awaitingReply, e) {
			w.t.Fatalf("seed %d, %v: %s is asked for a sign of life and not watched", w.seed, w.now, e.id)
		}
	}
}

func (w *drawn) compareJob(j *job, as string) {
	d := w.Dispatcher
	for _, asks := range [...]bool{false, true} {
		if asks && !(d.config.canLease && d.usesSubset()) {
			continue
		}
		got, want := d.pickExecutor(j, w.now, asks), d.scanned(j, w.now, asks)
		w.check++
		if got != want {
			w.t.Fatalf("seed %d, %v: %s%s asking=%v: the index gives %v, the scan %v", w.seed, w.now, as, j.id, asks, name(got), name(want))
		}
		if want != nil && !asks && !d.anyTokenOpen(w.now) {
			w.t.Fatalf("seed %d, %v: %s%s may go to %s, and no token is said to be open", w.seed, w.now, as, j.id, want.id)
		}
		if want != nil {
			w.found[w.sort(j, want, as, asks)]++
		}
	}
	if got, want := d.bestPaceFor(j, w.now), d.scannedPace(j, w.now); got != want {
		w.t.Fatalf("seed %d, %v: %s%s: the index gives a pace of %v, the scan %v", w.seed, w.now, as, j.id, got, want)
	}
}

func (w *drawn) sort(j *job, e *executor, as string, asks bool) string {
	switch d := w.Dispatcher; {
	case asks:
		return "of a keeper"
	case d.boundToDedupGroup(j):
		return "in a dedup group"
	case w.now < e.slowStart.until:
		return "cold"
	case d.crossesNow(j) && d.remoteSide(e) > 0:
		return "crossing"
	case d.isLate(j, w.now):
		return "late"
	case len(j.attempts) > 0 && as == "":
		return "a copy"
	case d.config.canLease && d.usesSubset():
		return "with a place"
	case e.health.inFlightCap > 0:
		return "under a cap"
	case len(e.attempts) >= d.endpoints.kinds[e.kind].concurrency:
		return "full of ours"
	}
	return "plain"
}

func name(e *executor) ExecutorID {
	if e == nil {
		return "none"
	}
	return e.id
}

// run does what is due, and compares before and after some of it.
func (w *drawn) run() {
	for range 2000 {
		if w.r.IntN(3) == 0 {
			w.compare()
		}
		due := w.NextTask(w.now)
		switch due.Task {
		case PlaceJob:
			w.Place(w.now, due.Job)
		case CancelAttempt:
			w.AttemptEnded(w.now, due.Job, due.Attempt, [...]Outcome{Canceled, NotSent, Succeeded}[w.r.IntN(3)], false)
		case SendLeaseMessage:
			if w.r.IntN(3) > 0 {
				w.ReceiveLeaseMessage(w.now, due.Node, [...]LeaseMessage{LeaseGrant, LeaseGrant, LeaseWait}[w.r.IntN(3)], due.Hash)
			}
		case ProbeExecutor:
			if w.r.IntN(3) > 0 {
				w.ProbeEnded(w.now, due.Executor, w.r.IntN(4) > 0, Load{InFlight: 1, FreeSlots: float64(w.r.IntN(3))})
			}
		case Sleep:
			if w.r.IntN(4) == 0 { // picked anew, or found to be as it was
				w.rebuildSubset(w.now)
				if want := w.scannedSlice(w.now); !slices.Equal(w.subset.members, want) {
					w.t.Fatalf("seed %d, %v: a slice of %d, picked anew it has %d", w.seed, w.now, len(w.subset.members), len(want))
				}
			}
			return
		}
	}
	w.t.Fatalf("seed %d: it never sleeps", w.seed)
}

// happen lets something happen.
func (w *drawn) happen() {
	var shots []*attempt
	for _, e := range w.quota.executors {
		shots = append(shots, e.attempts...)
	}
	var s *attempt
	if len(shots) > 0 {
		s = shots[w.r.IntN(len(shots))]
	}
	switch what := w.r.IntN(20); {
	case what < 8:
		w.jobs++
		in := Arrival{Job: JobID(fmt.Sprint("j", w.jobs)), Class: JobClassID(w.r.IntN(len(w.classes.all))), Tenant: -1,
			Budget: time.Duration(w.r.IntN(8000)) * time.Millisecond, ClientRetry: w.r.IntN(4) == 0}
		if w.r.IntN(4) > 0 {
			in.Work = time.Duration(1+w.r.IntN(600)) * time.Millisecond
		}
		w.JobArrived(w.now, in)
	case what < 11 && s != nil:
		w.AttemptStarted(w.now, s.id, s.number)
	case what < 15 && s != nil:
		how := [...]Outcome{Succeeded, Succeeded, Succeeded, Succeeded, Succeeded, Succeeded, ExecutorError, ExecutorFull, TimedOut, ConnectFailed, ConnectionLost, NotSent}[w.r.IntN(12)]
		w.AttemptEnded(w.now, s.id, s.number, how, how == Succeeded)
	case what == 15 && s != nil:
		w.AttemptProgressed(w.now, s.id, s.number, w.r.Float64())
	case what == 16 && s != nil:
		w.LoadReported(s.executor.id, Load{InFlight: float64(w.r.IntN(4)), FreeSlots: float64(w.r.IntN(4))})
	case what == 17:
		var entries []Endpoint
		for range 1 + w.r.IntN(4) {
			id := w.ids[w.r.IntN(len(w.ids))]
			if w.r.IntN(10) == 0 {
				id = ExecutorID(fmt.Sprint("f", w.r.IntN(20)))
				w.ids = append(w.ids, id)
			}
			entries = append(entries, w.entry(id, w.r.IntN(2) == 0))
		}
		w.UpdateEndpoints(w.now, IncrementalUpdate, entries)
	case what == 18 && s != nil && w.r.IntN(4) == 0:
		w.ClientLeft(w.now, s.id)
	case what == 19:
		w.rare()
	}
}

// rare does what seldom happens, and makes ages that tie.
func (w *drawn) rare() {
	switch w.r.IntN(6) {
	case 0:
		w.ReserveSlowStartUntil(w.now, w.now+time.Duration(w.r.IntN(2000))*time.Millisecond)
	case 1:
		w.SetAdmissionThreshold(AdmissionThreshold{Level: w.r.IntN(3) * 16, AdmitFraction: w.r.Float64(), MigrationDelay: w.r.Float64()})
	case 2:
		if w.r.IntN(10) == 0 {
			w.UpdateEndpoints(w.now, CompleteUpdate, []Endpoint{w.entry(w.ids[0], true), w.entry(w.ids[len(w.ids)-1], true)})
		}
	case 3: // as another process of this node may tell
		for _, s := range w.index.kinds {
			s.stats.pace *= 0.6 + 0.8*w.r.Float64()
		}
	default:
		for _, e := range w.quota.executors {
			for i := range e.tokens.free {
				e.tokens.free[i] = w.now / 2
			}
			if w.r.IntN(2) == 0 {
				e.estimate.runTime, e.estimate.work, e.estimate.startWait = 0, 0, 0
			}
			w.markDirty(e)
		}
	}
}

// The index gives what a scan of all candidates does, in drawn worlds at moments between all that happens.
func TestIndexGivesWhatScanDoes(t *testing.T) {
	checks, found := 0, map[string]int{}
	for seed := range uint64(60) {
		w := drawWorld(t, seed)
		for range 250 {
			if w.r.IntN(4) > 0 {
				w.now += time.Duration(w.r.IntN(60)) * time.Millisecond
			}
			if w.r.IntN(60) == 0 {
				w.now += 2 * time.Second
			}
			w.happen()
			if w.r.IntN(3) == 0 {
				w.compare()
			}
			w.run()
		}
		checks += w.check
		for what, n := range w.found {
			found[what] += n
		}
	}
	t.Log(checks, "comparisons; found:", found)
	for _, what := range [...]string{"of a keeper", "in a dedup group", "cold", "crossing", "late", "a copy", "with a place", "under a cap", "full of ours", "plain",
		"held that may go", "held and left out"} {
		if found[what] < 20 {
			t.Errorf("%s: compared only %d times", what, found[what])
		}
	}
}

// An executor that the list has moved to the own zone counts as there before the slice is picked anew.
func TestMovedHome(t *testing.T) {
	s := base
	s.CrossZoneCost = 0.25
	d := New(s)
	d.UpdateEndpoints(0, CompleteUpdate, []Endpoint{{Executor: "far", Zone: 1, StartedLongAgo: true, Weight: 1}, {Executor: "moves", Zone: 1, StartedLongAgo: true, Weight: 1}})
	now := time.Second
	for d.NextTask(now).Task != Sleep {
	}
	e := d.endpoints.byID["moves"]
	e.tokens.free = nil
	d.markDirty(e)
	d.JobArrived(now, Arrival{Job: "j", Tenant: -1, Work: 100 * time.Millisecond, Budget: 5 * time.Second})
	if got := d.pickExecutor(d.jobs["j"], now, false); got == nil || got.id != "far" {
		t.Fatal("with both in another zone: ", name(got))
	}
	d.UpdateEndpoints(now, IncrementalUpdate, []Endpoint{{Executor: "moves", Zone: 0, StartedLongAgo: true, Weight: 1}})
	if got, want := d.pickExecutor(d.jobs["j"], now, false), d.scanned(d.jobs["j"], now, false); got != want || want != nil {
		t.Fatalf("with one at home: %s, the scan %s", name(got), name(want))
	}
}

// ---- Steady load ----

// steady is a dispatcher under steady load, with executors that do as foretold, nearly.
type steady struct {
	*Dispatcher
	r      *rand.Rand
	now    time.Duration
	queue  steadyHeap
	gap    time.Duration
	starts int
	jobs   int
	order  int
	paces  map[ExecutorID]float64
}

type steadyItem struct {
	at    time.Duration
	order int
	what  int // 0: a batch job comes; 1: one has begun; 2: one is done; 3: what is due
	job   JobID
	n     AttemptID
}

type steadyHeap []steadyItem

func (h steadyHeap) Len() int { return len(h) }
func (h steadyHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h steadyHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *steadyHeap) Push(x any)   { *h = append(*h, x.(steadyItem)) }
func (h *steadyHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// newSteady loads executors of two places each to that part, or with so many batch jobs a second.
func newSteady(executors int, load, perS float64) *steady {
	s := base
	s.LoadAdjustedWeights = false
	s.JobClasses = slices.Clone(base.JobClasses)
	s.JobClasses[1].Kind = AnyKind
	w := &steady{Dispatcher: New(s), r: rand.New(rand.NewPCG(1, uint64(executors))), paces: map[ExecutorID]float64{}}
	var entries []Endpoint
	for i := range executors {
		id := ExecutorID(fmt.Sprint("e", i))
		w.paces[id] = 0.8 + 0.4*w.r.Float64()
		entries = append(entries, Endpoint{Executor: id, Zone: ZoneID(i % 4), StartedLongAgo: true, Weight: 1})
	}
	w.UpdateEndpoints(0, CompleteUpdate, entries)
	if perS == 0 {
		perS = load * float64(executors) * 2 / 0.3
	}
	w.gap = time.Duration(1e9 / perS)
	w.push(steadyItem{at: time.Millisecond})
	return w
}

func (w *steady) push(it steadyItem) {
	w.order++
	it.order = w.order
	heap.Push(&w.queue, it)
}

func (w *steady) work(id JobID) time.Duration {
	h := uint64(14695981039346656037)
	for _, c := range []byte(id) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return 100*time.Millisecond + time.Duration(h>>8%400)*time.Millisecond
}

func (w *steady) decided(id JobID, what Decision) {
	if what.Action != Send {
		return
	}
	w.starts++
	n := AttemptID(w.Dispatcher.jobs[id].attemptCount - 1)
	w.push(steadyItem{at: w.now + time.Millisecond, what: 1, job: id, n: n})
	ran := time.Duration(float64(w.work(id)) * w.paces[what.Executor] * (0.6 + 0.8*w.r.Float64()))
	w.push(steadyItem{at: w.now + 2*time.Millisecond + ran, what: 2, job: id, n: n})
}

// run goes on until so many more have been started.
func (w *steady) run(starts int) {
	for most := w.starts + starts; w.starts < most; {
		it := heap.Pop(&w.queue).(steadyItem)
		w.now = it.at
		switch it.what {
		case 0:
			w.jobs++
			id := JobID(fmt.Sprint("j", w.jobs))
			w.JobArrived(w.now, Arrival{Job: id, Class: JobClassID(w.jobs % 2), Tenant: -1, Work: w.work(id), Budget: 5 * time.Second})
			w.push(steadyItem{at: w.now + w.gap})
		case 1:
			w.AttemptStarted(w.now, it.job, it.n)
		case 2:
			w.decided(it.job, w.AttemptEnded(w.now, it.job, it.n, Succeeded, true))
		}
		for {
			due := w.NextTask(w.now)
			if due.Task == Sleep {
				if due.At < w.queue[0].at {
					w.push(steadyItem{at: due.At, what: 3})
				}
				break
			}
			if due.Task == PlaceJob {
				w.decided(due.Job, w.Place(w.now, due.Job))
			}
		}
	}
}

// What is looked at for a start does not grow with the slice: a scan looks at each of its executors for every pick.
func TestLooksDoNotGrowWithSlice(t *testing.T) {
	for _, c := range [...]struct {
		name       string
		load, perS float64
	}{{"load 0.6", 0.6, 0}, {"load 0.95", 0.95, 0}, {"30 a second", 0, 30}} {
		per, steps := map[int]float64{}, 0.0
		for _, n := range [...]int{12, 3200} {
			w := newSteady(n, c.load, c.perS)
			w.run(2 * n)
			looks, bounds, weighed, filed, from := w.index.visited, w.index.bounded, w.index.evaluated, w.index.reindexed, w.starts
			w.run(2000)
			starts := float64(w.starts - from)
			per[n], steps = float64(w.index.visited-looks)/starts, float64(w.index.bounded-bounds)/starts
			t.Logf("%s, %d executors: %.1f looks for a start, %.1f of them in full, %.1f bounds of steps, %.1f filings", c.name, n, per[n],
				float64(w.index.evaluated-weighed)/starts, float64(w.index.bounded-bounds)/starts, float64(w.index.reindexed-filed)/starts)
		}
		if per[3200] > 1.3*per[12]+96 || steps > 256 {
			t.Errorf("%s: %.1f looks for a start at 12 executors, %.1f at 3200, and %.1f at steps", c.name, per[12], per[3200], steps)
		}
	}
}

// Where all executors are full and their further tokens are of no use yet, as many batch jobs are held: what is weighed in full when one is
// done grows with the slice. Each held one would look at each open token else, which is the square of it.
func TestLooksWhereHeld(t *testing.T) {
	per := map[int]int{}
	for _, n := range [...]int{100, 400} {
		s := base
		s.JobClasses = []JobClass{{LatencyObjective: 300 * time.Millisecond, RunTimeFactor: 1.2, Deadline: 60 * time.Second, Value: 1, Kind: AnyKind}}
		d, now := New(s), time.Second
		var entries []Endpoint
		for i := range n {
			entries = append(entries, Endpoint{Executor: ExecutorID(fmt.Sprint("e", i)), StartedLongAgo: true, Weight: 1})
		}
		d.UpdateEndpoints(0, CompleteUpdate, entries)
		for _, e := range entries {
			d.LoadReported(e.Executor, Load{InFlight: 1}) // one place
		}
		sent := []JobID{}
		settle := func() {
			for due := d.NextTask(now); due.Task != Sleep; due = d.NextTask(now) {
				if due.Task != PlaceJob {
					continue
				}
				if to := d.Place(now, due.Job); to.Action == Send {
					sent = append(sent, due.Job)
					if len(d.endpoints.byID[to.Executor].attempts) == 1 { // it has a place only
						d.AttemptStarted(now, due.Job, 0)
					}
				}
			}
		}
		for i := range 2 * n {
			d.JobArrived(now, Arrival{Job: JobID(fmt.Sprint("j", i)), Tenant: -1, Work: 4 * time.Second, Budget: 60 * time.Second})
			settle()
		}
		if len(sent) != n || len(d.queue.onTime) != n {
			t.Fatalf("%d executors: %d are out, %d held", n, len(sent), len(d.queue.onTime))
		}
		now += time.Millisecond
		weighed := d.index.evaluated
		d.AttemptEnded(now, sent[n/2], 0, Succeeded, true)
		settle()
		per[n] = d.index.evaluated - weighed
		if t.Logf("%d executors: %d weighed when one is done", n, per[n]); len(sent) == n || len(sent) > n+2 {
			t.Errorf("%d executors: %d were sent then", n, len(sent)-n)
		}
	}
	if per[400] > 5*per[100] || per[400] > 8*400 {
		t.Errorf("weighed when one is done: %v", per)
	}
}

func BenchmarkStart(b *testing.B) {
	for _, load := range [...]float64{0, 0.6, 0.95} {
		for _, n := range [...]int{12, 200, 800, 3200} {
			b.Run(fmt.Sprintf("load=%v/executors=%d", load, n), func(b *testing.B) {
				w := newSteady(n, load, 30*(1-math.Ceil(load)))
				w.run(3 * n)
				b.ResetTimer()
				w.run(b.N)
			})
		}
	}
}
