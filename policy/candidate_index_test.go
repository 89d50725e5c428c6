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

// ---- The reference: a scan of all executors ----

// scanned is pickExecutor as a scan of all eligible executors.
func (d *Dispatcher) scanned(j *job, now time.Duration, forLease bool) *executor {
	late, crosses, localUsable := d.isLate(j, now), d.crossesNow(j), false
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
		localUsable = localUsable || side == 0
		if late && (len(e.attempts) > 0 || i >= d.subset.lateSize && j.class.lateValue > 0) {
			continue
		}
		taken := len(j.attempts) > 0 && j.attempts[0].executor == e || best != nil && side > bestSide
		if taken || !d.leaseAllows(e, now, forLease) || !d.canAccept(e, j, now) {
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
	if bestSide > 0 && localUsable && !crosses && now-j.queuedAt < d.crossZoneDelay(j) {
		return nil
	}
	return best
}

// scannedPace is bestPaceFor as a scan of all eligible executors.
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

// scannedSubset is the subset as rebuildSubset picks it, without its tokens.
func (d *Dispatcher) scannedSubset(now time.Duration) (members []*executor) {
	size := len(d.endpoints.ranked)
	if d.usesSubset() {
		size = max(minSubsetSize, (nodesPerExecutor*size+d.config.nodeCount-1)/d.config.nodeCount)
		if d.config.canLease {
			size = max(size, 2*minSubsetSize)
		}
	}
	for _, e := range d.slowStart.executors {
		if !e.removed && now < e.slowStart.until && d.isUsable(e, now) {
			members = append(members, e)
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
			members = append(members, e)
		}
	}
	return members
}

// ---- Random worlds ----

// randomWorld is a dispatcher that random events happen to.
type randomWorld struct {
	*Dispatcher
	t           *testing.T
	random      *rand.Rand
	seed        uint64
	now         time.Duration
	ids         []ExecutorID
	kinds       map[ExecutorID]KindID
	jobs        int
	comparisons int // comparisons
	found       map[string]int
}

func newRandomWorld(t *testing.T, seed uint64) *randomWorld {
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
	w := &randomWorld{Dispatcher: New(s), t: t, random: r, seed: seed, kinds: map[ExecutorID]KindID{}, found: map[string]int{}}
	var entries []Endpoint
	for i := range 2 + r.IntN(50) {
		w.ids = append(w.ids, ExecutorID(fmt.Sprint("e", i)))
		entries = append(entries, w.entry(w.ids[i], true))
	}
	w.UpdateEndpoints(0, CompleteUpdate, entries)
	return w
}

func (w *randomWorld) entry(id ExecutorID, calm bool) Endpoint {
	if _, ok := w.kinds[id]; !ok || w.random.IntN(30) == 0 {
		w.kinds[id] = KindID(w.random.IntN(2))
	}
	sum := len(id) + int(id[len(id)-1])
	n := Endpoint{Executor: id, Zone: ZoneID(sum % 3), Kind: w.kinds[id], Cell: CellID(sum % 5), StartedLongAgo: true, Weight: 1}
	if w.random.IntN(3) > 0 {
		n.Weight = [...]float64{0.5, 1, 2, 3 * w.random.Float64()}[w.random.IntN(4)]
	}
	if !calm {
		n.State = [...]EndpointState{Available, Available, Available, Draining, Removed}[w.random.IntN(5)]
		if w.random.IntN(3) == 0 {
			n.StartedLongAgo, n.StartedAt = false, w.now-time.Duration(w.random.IntN(9000))*time.Millisecond
		}
		if w.random.IntN(4) == 0 {
			n.Zone = ZoneID(w.random.IntN(3))
		}
	}
	return n
}

// compareClassCandidates looks for jobs that could be placed and that classCandidates leave out, however few are queued.
func (w *randomWorld) compareClassCandidates() {
	d := w.Dispatcher
	for _, list := range [...][]*job{d.queue.onTime, d.queue.late, d.queue.hedges} {
		d.index.classCandidates = d.index.classCandidates[:0]
		d.findByClass(list, w.now)
		for _, j := range list {
			to := d.scanned(j, w.now, false)
			switch may := d.mayBePlaced(j, w.now); {
			case to != nil && !may:
				w.t.Fatalf("seed %d, %v: %s could be placed on %s, and is left out", w.seed, w.now, j.id, to.id)
			case to != nil:
				w.found["queued, may be placed"]++
			case !may:
				w.found["queued, left out"]++
			}
		}
		d.index.classCandidates = d.index.classCandidates[:0]
	}
}

// compare checks every answer of the index against the scan's.
func (w *randomWorld) compare() {
	d, ids := w.Dispatcher, []JobID{}
	w.compareClassCandidates()
	for id := range d.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := d.jobs[id]
		w.compareJob(j, "")
		if j.mayHaveRun == nil && len(j.attempts) > 0 { // as migrationTarget asks
			j.mayHaveRun = j.attempts[0]
			w.compareJob(j, "moved ")
			j.mayHaveRun = nil
		}
	}
	for _, e := range d.subset.members {
		if e.lease.requested && !slices.Contains(d.leases.requests, e) {
			w.t.Fatalf("seed %d, %v: a lease of %s was requested and is not listed", w.seed, w.now, e.id)
		}
	}
	for _, e := range d.quota.executors {
		if (e.health.checkInFlight || e.health.unresponsive) && !slices.Contains(d.healthChecks.awaitingReply, e) {
			w.t.Fatalf("seed %d, %v: %s owes a reply and is not awaited", w.seed, w.now, e.id)
		}
	}
}

func (w *randomWorld) compareJob(j *job, prefix string) {
	d := w.Dispatcher
	for _, forLease := range [...]bool{false, true} {
		if forLease && (!d.config.canLease || !d.usesSubset()) {
			continue
		}
		got, want := d.pickExecutor(j, w.now, forLease), d.scanned(j, w.now, forLease)
		w.comparisons++
		if got != want {
			w.t.Fatalf("seed %d, %v: %s%s forLease=%v: the index gives %v, the scan %v", w.seed, w.now, prefix, j.id, forLease, name(got), name(want))
		}
		if want != nil && !forLease && !d.anyTokenUsable(w.now) {
			w.t.Fatalf("seed %d, %v: %s%s could be placed on %s, and anyTokenUsable returns false", w.seed, w.now, prefix, j.id, want.id)
		}
		if want != nil {
			w.found[w.situation(j, want, prefix, forLease)]++
		}
	}
	if got, want := d.bestPaceFor(j, w.now), d.scannedPace(j, w.now); got != want {
		w.t.Fatalf("seed %d, %v: %s%s: the index gives a pace of %v, the scan %v", w.seed, w.now, prefix, j.id, got, want)
	}
}

func (w *randomWorld) situation(j *job, e *executor, prefix string, forLease bool) string {
	switch d := w.Dispatcher; {
	case forLease:
		return "for a lease"
	case d.boundToDedupGroup(j):
		return "in a dedup group"
	case w.now < e.slowStart.until:
		return "slow start"
	case d.crossesNow(j) && d.remoteSide(e) > 0:
		return "crossing"
	case d.isLate(j, w.now):
		return "late"
	case len(j.attempts) > 0 && prefix == "":
		return "hedge"
	case d.config.canLease && d.usesSubset():
		return "with a lease"
	case e.health.inFlightCap > 0:
		return "in-flight cap"
	case len(e.attempts) >= d.endpoints.kinds[e.kind].concurrency:
		return "all slots ours"
	}
	return "plain"
}

func name(e *executor) ExecutorID {
	if e == nil {
		return "none"
	}
	return e.id
}

// run does what is due, and compares now and then.
func (w *randomWorld) run() {
	for range 2000 {
		if w.random.IntN(3) == 0 {
			w.compare()
		}
		due := w.NextTask(w.now)
		switch due.Task {
		case PlaceJob:
			w.Place(w.now, due.Job)
		case CancelAttempt:
			w.AttemptEnded(w.now, due.Job, due.Attempt, [...]Outcome{Canceled, NotSent, Succeeded}[w.random.IntN(3)], false)
		case SendLeaseMessage:
			if w.random.IntN(3) > 0 {
				w.ReceiveLeaseMessage(w.now, due.Node, [...]LeaseMessage{LeaseGrant, LeaseGrant, LeaseWait}[w.random.IntN(3)], due.Hash)
			}
		case ProbeExecutor:
			if w.random.IntN(3) > 0 {
				w.HealthCheckEnded(w.now, due.Executor, w.random.IntN(4) > 0, Load{InFlight: 1, FreeSlots: float64(w.random.IntN(3))})
			}
		case Sleep:
			if w.random.IntN(4) == 0 { // rebuilt, or found to be as it was
				w.rebuildSubset(w.now)
				if want := w.scannedSubset(w.now); !slices.Equal(w.subset.members, want) {
					w.t.Fatalf("seed %d, %v: a subset of %d, rebuilt it has %d", w.seed, w.now, len(w.subset.members), len(want))
				}
			}
			return
		}
	}
	w.t.Fatalf("seed %d: NextTask never says Sleep", w.seed)
}

// step makes a random event happen.
func (w *randomWorld) step() {
	var attempts []*attempt
	for _, e := range w.quota.executors {
		attempts = append(attempts, e.attempts...)
	}
	var target *attempt
	if len(attempts) > 0 {
		target = attempts[w.random.IntN(len(attempts))]
	}
	switch what := w.random.IntN(20); {
	case what < 8:
		w.jobs++
		in := Arrival{Job: JobID(fmt.Sprint("j", w.jobs)), Class: JobClassID(w.random.IntN(len(w.classes.all))), Tenant: -1,
			Budget: time.Duration(w.random.IntN(8000)) * time.Millisecond, ClientRetry: w.random.IntN(4) == 0}
		if w.random.IntN(4) > 0 {
			in.Work = time.Duration(1+w.random.IntN(600)) * time.Millisecond
		}
		w.JobArrived(w.now, in)
	case what < 11 && target != nil:
		w.AttemptStarted(w.now, target.id, target.number)
	case what < 15 && target != nil:
		outcome := [...]Outcome{Succeeded, Succeeded, Succeeded, Succeeded, Succeeded, Succeeded, ExecutorError, ExecutorFull, TimedOut, ConnectFailed, ConnectionLost, NotSent}[w.random.IntN(12)]
		w.AttemptEnded(w.now, target.id, target.number, outcome, outcome == Succeeded)
	case what == 15 && target != nil:
		w.AttemptProgressed(w.now, target.id, target.number, w.random.Float64())
	case what == 16 && target != nil:
		w.LoadReported(target.executor.id, Load{InFlight: float64(w.random.IntN(4)), FreeSlots: float64(w.random.IntN(4))})
	case what == 17:
		var entries []Endpoint
		for range 1 + w.random.IntN(4) {
			id := w.ids[w.random.IntN(len(w.ids))]
			if w.random.IntN(10) == 0 {
				id = ExecutorID(fmt.Sprint("f", w.random.IntN(20)))
				w.ids = append(w.ids, id)
			}
			entries = append(entries, w.entry(id, w.random.IntN(2) == 0))
		}
		w.UpdateEndpoints(w.now, IncrementalUpdate, entries)
	case what == 18 && target != nil && w.random.IntN(4) == 0:
		w.ClientLeft(w.now, target.id)
	case what == 19:
		w.rareStep()
	}
}

// rareStep makes a rare event happen, or ages that tie.
func (w *randomWorld) rareStep() {
	switch w.random.IntN(6) {
	case 0:
		w.BlockSlowStartUntil(w.now, w.now+time.Duration(w.random.IntN(2000))*time.Millisecond)
	case 1:
		w.SetAdmissionThreshold(AdmissionThreshold{Level: w.random.IntN(3) * 16, AdmitFraction: w.random.Float64(), MigrationDelay: w.random.Float64()})
	case 2:
		if w.random.IntN(10) == 0 {
			w.UpdateEndpoints(w.now, CompleteUpdate, []Endpoint{w.entry(w.ids[0], true), w.entry(w.ids[len(w.ids)-1], true)})
		}
	case 3: // as learned state of another process may change it
		for _, s := range w.index.kinds {
			s.stats.pace *= 0.6 + 0.8*w.random.Float64()
		}
	default:
		for _, e := range w.quota.executors {
			for i := range e.tokens.free {
				e.tokens.free[i] = w.now / 2
			}
			if w.random.IntN(2) == 0 {
				e.estimate.runTime, e.estimate.work, e.estimate.startWait = 0, 0, 0
			}
			w.markDirty(e)
		}
	}
}

// TestIndexMatchesFullScan compares the index with a scan of all executors, in random worlds, between random events.
func TestIndexMatchesFullScan(t *testing.T) {
	checks, found := 0, map[string]int{}
	for seed := range uint64(60) {
		w := newRandomWorld(t, seed)
		for range 250 {
			if w.random.IntN(4) > 0 {
				w.now += time.Duration(w.random.IntN(60)) * time.Millisecond
			}
			if w.random.IntN(60) == 0 {
				w.now += 2 * time.Second
			}
			w.step()
			if w.random.IntN(3) == 0 {
				w.compare()
			}
			w.run()
		}
		checks += w.comparisons
		for what, n := range w.found {
			found[what] += n
		}
	}
	t.Log(checks, "comparisons; found:", found)
	for _, what := range [...]string{"for a lease", "in a dedup group", "slow start", "crossing", "late", "hedge", "with a lease", "in-flight cap", "all slots ours", "plain",
		"queued, may be placed", "queued, left out"} {
		if found[what] < 20 {
			t.Errorf("%s: compared only %d times", what, found[what])
		}
	}
}

// TestMovedToOwnZone checks that an executor whose zone has become the own one counts as local before the subset is rebuilt.
func TestMovedToOwnZone(t *testing.T) {
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

// steady is a dispatcher under steady load, with executors that nearly take the predicted time.
type steady struct {
	*Dispatcher
	random *rand.Rand
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
	what  int // 0: a job arrives; 1: an attempt starts; 2: one is done; 3: a task is due
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

// newSteady loads executors of two slots each to that fraction, or with so many jobs a second.
func newSteady(executors int, load, perS float64) *steady {
	s := base
	s.LoadAdjustedWeights = false
	s.JobClasses = slices.Clone(base.JobClasses)
	s.JobClasses[1].Kind = AnyKind
	w := &steady{Dispatcher: New(s), random: rand.New(rand.NewPCG(1, uint64(executors))), paces: map[ExecutorID]float64{}}
	var entries []Endpoint
	for i := range executors {
		id := ExecutorID(fmt.Sprint("e", i))
		w.paces[id] = 0.8 + 0.4*w.random.Float64()
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
	ran := time.Duration(float64(w.work(id)) * w.paces[what.Executor] * (0.6 + 0.8*w.random.Float64()))
	w.push(steadyItem{at: w.now + 2*time.Millisecond + ran, what: 2, job: id, n: n})
}

// run goes on until so many more attempts were sent.
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

// TestVisitsDoNotGrowWithSubset checks that the work for a start does not grow with the subset: a scan visits each executor.
func TestVisitsDoNotGrowWithSubset(t *testing.T) {
	for _, c := range [...]struct {
		name       string
		load, perS float64
	}{{"load 0.6", 0.6, 0}, {"load 0.95", 0.95, 0}, {"30 a second", 0, 30}} {
		per, steps := map[int]float64{}, 0.0
		for _, n := range [...]int{12, 3200} {
			w := newSteady(n, c.load, c.perS)
			w.run(2 * n)
			visited, bounded, evaluated, reindexed, from := w.index.visited, w.index.bounded, w.index.evaluated, w.index.reindexed, w.starts
			w.run(2000)
			starts := float64(w.starts - from)
			per[n], steps = float64(w.index.visited-visited)/starts, float64(w.index.bounded-bounded)/starts
			t.Logf("%s, %d executors: %.1f visits a start, %.1f evaluated in full, %.1f bucket bounds, %.1f reindexed", c.name, n, per[n],
				float64(w.index.evaluated-evaluated)/starts, float64(w.index.bounded-bounded)/starts, float64(w.index.reindexed-reindexed)/starts)
		}
		if per[3200] > 1.3*per[12]+96 || steps > 256 {
			t.Errorf("%s: %.1f visits a start at 12 executors, %.1f at 3200, and %.1f buckets", c.name, per[12], per[3200], steps)
		}
	}
}

// TestEvaluationsWhereQueued checks the work for a completion while all executors are full, their further tokens are of no use
// yet and as many jobs are queued: it may grow with the subset, not with its square.
func TestEvaluationsWhereQueued(t *testing.T) {
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
			d.LoadReported(e.Executor, Load{InFlight: 1}) // one slot
		}
		sent := []JobID{}
		settle := func() {
			for due := d.NextTask(now); due.Task != Sleep; due = d.NextTask(now) {
				if due.Task != PlaceJob {
					continue
				}
				if to := d.Place(now, due.Job); to.Action == Send {
					sent = append(sent, due.Job)
					if len(d.endpoints.byID[to.Executor].attempts) == 1 { // it has one slot
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
			t.Fatalf("%d executors: %d are out, %d queued", n, len(sent), len(d.queue.onTime))
		}
		now += time.Millisecond
		evaluated := d.index.evaluated
		d.AttemptEnded(now, sent[n/2], 0, Succeeded, true)
		settle()
		per[n] = d.index.evaluated - evaluated
		if t.Logf("%d executors: %d evaluated when one is done", n, per[n]); len(sent) == n || len(sent) > n+2 {
			t.Errorf("%d executors: %d were sent then", n, len(sent)-n)
		}
	}
	if per[400] > 5*per[100] || per[400] > 8*400 {
		t.Errorf("evaluated when one is done: %v", per)
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
