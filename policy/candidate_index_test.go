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

// ---- Reference implementation: a scan of all executors ----

// pickByScan implements pickExecutor by a scan of all eligible executors.
func (d *Dispatcher) pickByScan(j *job, now time.Duration, forLease bool) *executor {
	late, crosses, localUsable := d.isLate(j, now), d.prefersOtherZones(j), false
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

// bestPaceByScan implements bestPaceFor by a scan of all eligible executors.
func (d *Dispatcher) bestPaceByScan(j *job, now time.Duration) float64 {
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

// subsetByScan returns the members that rebuildSubset has to pick, without giving them tokens.
func (d *Dispatcher) subsetByScan(now time.Duration) (members []*executor) {
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
		added := false
		for i, need := range d.classes.requiredKinds {
			n := &counts[d.remoteSide(e)*len(d.classes.requiredKinds)+i]
			if now >= e.slowStart.until && d.isUsable(e, now) && (need == AnyKind || need == e.kind) && *n < size {
				added = true
				*n++
			}
		}
		if added {
			members = append(members, e)
		}
	}
	return members
}

// ---- Random events ----

// randomDispatcher feeds random events to a dispatcher with random settings.
type randomDispatcher struct {
	*Dispatcher
	t           *testing.T
	random      *rand.Rand
	seed        uint64
	now         time.Duration
	ids         []ExecutorID
	kinds       map[ExecutorID]KindID
	jobs        int
	comparisons int            // number of calls of pickExecutor that were compared with pickByScan
	found       map[string]int // number of comparisons per situation
}

// newRandomDispatcher returns a dispatcher with random settings and an endpoint list of random executors.
func newRandomDispatcher(t *testing.T, seed uint64) *randomDispatcher {
	r := rand.New(rand.NewPCG(seed, 7))
	s := baseSettings
	s.Seed, s.Nodes = uint32(seed), [...]int{1, 3, 8, 30}[r.IntN(4)]
	s.Node = r.IntN(s.Nodes)
	coinFlip := func() bool { return r.IntN(2) == 0 }
	s.MayLease, s.MayHedge, s.MayCheckHealth, s.LoadAdjustedWeights, s.StartNotices = coinFlip(), coinFlip(), coinFlip(), coinFlip(), r.IntN(4) > 0
	s.ValuePerWork, s.ClientsMarkRetries = coinFlip(), coinFlip()
	if coinFlip() {
		s.CrossZoneCost = 0.5 * r.Float64()
	}
	if coinFlip() {
		s.ProgressInterval = time.Second
	}
	s.JobClasses = nil
	for range 1 + r.IntN(3) {
		t := JobClass{Idempotency: Idempotency(r.IntN(3)), DedupGroup: DedupGroup(r.IntN(3)), DedupWindow: time.Duration(r.IntN(4000)) * time.Millisecond,
			LatencyObjective: time.Duration(50+r.IntN(900)) * time.Millisecond, RunTimeFactor: float64(r.IntN(3)), Deadline: time.Duration(1+r.IntN(8)) * time.Second,
			Value: 1 + 4*r.Float64(), Kind: KindID(r.IntN(3) - 1)}
		if coinFlip() {
			t.LateValue = r.Float64()
		}
		s.JobClasses = append(s.JobClasses, t)
	}
	rd := &randomDispatcher{Dispatcher: New(s), t: t, random: r, seed: seed, kinds: map[ExecutorID]KindID{}, found: map[string]int{}}
	var entries []Endpoint
	for i := range 2 + r.IntN(50) {
		rd.ids = append(rd.ids, ExecutorID(fmt.Sprint("e", i)))
		entries = append(entries, rd.entry(rd.ids[i], true))
	}
	rd.UpdateEndpoints(0, CompleteUpdate, entries)
	return rd
}

// entry returns a random entry of the endpoint list. With calm, the executor is available and past its slow start.
func (rd *randomDispatcher) entry(id ExecutorID, calm bool) Endpoint {
	if _, ok := rd.kinds[id]; !ok || rd.random.IntN(30) == 0 {
		rd.kinds[id] = KindID(rd.random.IntN(2))
	}
	sum := len(id) + int(id[len(id)-1])
	n := Endpoint{Executor: id, Zone: ZoneID(sum % 3), Kind: rd.kinds[id], Cell: CellID(sum % 5), StartedLongAgo: true, Weight: 1}
	if rd.random.IntN(3) > 0 {
		n.Weight = [...]float64{0.5, 1, 2, 3 * rd.random.Float64()}[rd.random.IntN(4)]
	}
	if !calm {
		n.State = [...]EndpointState{Available, Available, Available, Draining, Removed}[rd.random.IntN(5)]
		if rd.random.IntN(3) == 0 {
			n.StartedLongAgo, n.StartedAt = false, rd.now-time.Duration(rd.random.IntN(9000))*time.Millisecond
		}
		if rd.random.IntN(4) == 0 {
			n.Zone = ZoneID(rd.random.IntN(3))
		}
	}
	return n
}

// compareClassCandidates checks that mayBePlaced skips no queued job that the scan could place. Unlike findCandidates it also
// groups the jobs of a short queue.
func (rd *randomDispatcher) compareClassCandidates() {
	d := rd.Dispatcher
	for _, list := range [...][]*job{d.queue.onTime, d.queue.late, d.queue.hedges} {
		d.index.classCandidates = d.index.classCandidates[:0]
		d.findByClass(list, rd.now)
		for _, j := range list {
			to := d.pickByScan(j, rd.now, false)
			switch may := d.mayBePlaced(j, rd.now); {
			case to != nil && !may:
				rd.t.Fatalf("seed %d, %v: mayBePlaced returned false for %s, which the scan places on %s", rd.seed, rd.now, j.id, to.id)
			case to != nil:
				rd.found["queued, may be placed"]++
			case !may:
				rd.found["queued, skipped"]++
			}
		}
		d.index.classCandidates = d.index.classCandidates[:0]
	}
}

// compare compares all answers of the index with those of the scan.
func (rd *randomDispatcher) compare() {
	d, ids := rd.Dispatcher, []JobID{}
	rd.compareClassCandidates()
	for id := range d.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := d.jobs[id]
		rd.compareJob(j, "")
		if j.mayHaveRun == nil && len(j.attempts) > 0 { // the state in which migrationTarget calls pickExecutor
			j.mayHaveRun = j.attempts[0]
			rd.compareJob(j, "migrated ")
			j.mayHaveRun = nil
		}
	}
	for _, e := range d.subset.members {
		if e.lease.requested && !slices.Contains(d.leases.requests, e) {
			rd.t.Fatalf("seed %d, %v: a lease of %s was requested but is not in leases.requests", rd.seed, rd.now, e.id)
		}
	}
	for _, e := range d.quota.executors {
		if (e.health.checkInFlight || e.health.unresponsive) && !slices.Contains(d.healthChecks.awaitingReply, e) {
			rd.t.Fatalf("seed %d, %v: %s has a health check in flight or is unresponsive but is not in awaitingReply", rd.seed, rd.now, e.id)
		}
	}
}

// compareJob compares the executors and the pace found for a job.
func (rd *randomDispatcher) compareJob(j *job, prefix string) {
	d := rd.Dispatcher
	for _, forLease := range [...]bool{false, true} {
		if forLease && (!d.config.canLease || !d.usesSubset()) {
			continue
		}
		got, want := d.pickExecutor(j, rd.now, forLease), d.pickByScan(j, rd.now, forLease)
		rd.comparisons++
		if got != want {
			rd.t.Fatalf("seed %d, %v: %s%s forLease=%v: the index picked %v, the scan %v", rd.seed, rd.now, prefix, j.id, forLease, name(got), name(want))
		}
		if want != nil && !forLease && !d.anyTokenUsable(rd.now) {
			rd.t.Fatalf("seed %d, %v: anyTokenUsable returned false, but the scan places %s%s on %s", rd.seed, rd.now, prefix, j.id, want.id)
		}
		if want != nil {
			rd.found[rd.situation(j, want, prefix, forLease)]++
		}
	}
	if got, want := d.bestPaceFor(j, rd.now), d.bestPaceByScan(j, rd.now); got != want {
		rd.t.Fatalf("seed %d, %v: %s%s: the index found a pace of %v, the scan %v", rd.seed, rd.now, prefix, j.id, got, want)
	}
}

// situation names the case that a comparison covers.
func (rd *randomDispatcher) situation(j *job, e *executor, prefix string, forLease bool) string {
	switch d := rd.Dispatcher; {
	case forLease:
		return "for a lease"
	case d.boundToDedupGroup(j):
		return "in a dedup group"
	case rd.now < e.slowStart.until:
		return "slow start"
	case d.prefersOtherZones(j) && d.remoteSide(e) > 0:
		return "cross-zone"
	case d.isLate(j, rd.now):
		return "late"
	case len(j.attempts) > 0 && prefix == "":
		return "hedge"
	case d.config.canLease && d.usesSubset():
		return "with a lease"
	case e.health.inFlightCap > 0:
		return "in-flight cap"
	case len(e.attempts) >= d.endpoints.kinds[e.kind].concurrency:
		return "all slots taken by this node"
	}
	return "plain"
}

func name(e *executor) ExecutorID {
	if e == nil {
		return "none"
	}
	return e.id
}

// run carries out all tasks that are due, and compares at random times.
func (rd *randomDispatcher) run() {
	for range 2000 {
		if rd.random.IntN(3) == 0 {
			rd.compare()
		}
		due := rd.NextTask(rd.now)
		switch due.Task {
		case PlaceJob:
			rd.Place(rd.now, due.Job)
		case CancelAttempt:
			rd.AttemptEnded(rd.now, due.Job, due.Attempt, [...]Outcome{Canceled, NotSent, Succeeded}[rd.random.IntN(3)], false)
		case SendLeaseMessage:
			if rd.random.IntN(3) > 0 {
				rd.ReceiveLeaseMessage(rd.now, due.Node, [...]LeaseMessage{LeaseGrant, LeaseGrant, LeaseWait}[rd.random.IntN(3)], due.Hash)
			}
		case SendHealthCheck:
			if rd.random.IntN(3) > 0 {
				rd.HealthCheckEnded(rd.now, due.Executor, rd.random.IntN(4) > 0, Load{InFlight: 1, FreeSlots: float64(rd.random.IntN(3))})
			}
		case Sleep:
			if rd.random.IntN(4) == 0 { // rebuildSubset may leave the subset as it is, if it is still valid
				rd.rebuildSubset(rd.now)
				if want := rd.subsetByScan(rd.now); !slices.Equal(rd.subset.members, want) {
					rd.t.Fatalf("seed %d, %v: the subset differs from the scan's: %d members, want %d", rd.seed, rd.now, len(rd.subset.members), len(want))
				}
			}
			return
		}
	}
	rd.t.Fatalf("seed %d: NextTask did not return Sleep after 2000 tasks", rd.seed)
}

// randomEvent reports a random event to the dispatcher.
func (rd *randomDispatcher) randomEvent() {
	var attempts []*attempt
	for _, e := range rd.quota.executors {
		attempts = append(attempts, e.attempts...)
	}
	var target *attempt
	if len(attempts) > 0 {
		target = attempts[rd.random.IntN(len(attempts))]
	}
	switch what := rd.random.IntN(20); {
	case what < 8:
		rd.jobs++
		in := Arrival{Job: JobID(fmt.Sprint("j", rd.jobs)), Class: JobClassID(rd.random.IntN(len(rd.classes.all))), Tenant: -1,
			Budget: time.Duration(rd.random.IntN(8000)) * time.Millisecond, ClientRetry: rd.random.IntN(4) == 0}
		if rd.random.IntN(4) > 0 {
			in.Work = time.Duration(1+rd.random.IntN(600)) * time.Millisecond
		}
		rd.JobArrived(rd.now, in)
	case what < 11 && target != nil:
		rd.AttemptStarted(rd.now, target.id, target.number)
	case what < 15 && target != nil:
		outcome := [...]Outcome{Succeeded, Succeeded, Succeeded, Succeeded, Succeeded, Succeeded, ExecutorError, ExecutorFull, TimedOut, ConnectFailed, ConnectionLost, NotSent}[rd.random.IntN(12)]
		rd.AttemptEnded(rd.now, target.id, target.number, outcome, outcome == Succeeded)
	case what == 15 && target != nil:
		rd.AttemptProgressed(rd.now, target.id, target.number, rd.random.Float64())
	case what == 16 && target != nil:
		rd.LoadReported(target.executor.id, Load{InFlight: float64(rd.random.IntN(4)), FreeSlots: float64(rd.random.IntN(4))})
	case what == 17:
		var entries []Endpoint
		for range 1 + rd.random.IntN(4) {
			id := rd.ids[rd.random.IntN(len(rd.ids))]
			if rd.random.IntN(10) == 0 {
				id = ExecutorID(fmt.Sprint("f", rd.random.IntN(20)))
				rd.ids = append(rd.ids, id)
			}
			entries = append(entries, rd.entry(id, rd.random.IntN(2) == 0))
		}
		rd.UpdateEndpoints(rd.now, IncrementalUpdate, entries)
	case what == 18 && target != nil && rd.random.IntN(4) == 0:
		rd.ClientLeft(rd.now, target.id)
	case what == 19:
		rd.rareEvent()
	}
}

// rareEvent reports a rare event to the dispatcher, or changes its state so that token ages are equal.
func (rd *randomDispatcher) rareEvent() {
	switch rd.random.IntN(6) {
	case 0:
		rd.BlockSlowStartUntil(rd.now, rd.now+time.Duration(rd.random.IntN(2000))*time.Millisecond)
	case 1:
		rd.SetAdmissionThreshold(AdmissionThreshold{Level: rd.random.IntN(3) * 16, AdmitFraction: rd.random.Float64(), MigrationDelay: rd.random.Float64()})
	case 2:
		if rd.random.IntN(10) == 0 {
			rd.UpdateEndpoints(rd.now, CompleteUpdate, []Endpoint{rd.entry(rd.ids[0], true), rd.entry(rd.ids[len(rd.ids)-1], true)})
		}
	case 3: // imported learned state may change paces
		for _, s := range rd.index.kinds {
			s.stats.pace *= 0.6 + 0.8*rd.random.Float64()
		}
	default:
		for _, e := range rd.quota.executors {
			for i := range e.tokens.free {
				e.tokens.free[i] = rd.now / 2
			}
			if rd.random.IntN(2) == 0 {
				e.estimate.runTime, e.estimate.work, e.estimate.startWait = 0, 0, 0
			}
			rd.markDirty(e)
		}
	}
}

// TestIndexMatchesFullScan compares the answers of the candidate index with a scan of all executors, between random events.
func TestIndexMatchesFullScan(t *testing.T) {
	checks, found := 0, map[string]int{}
	for seed := range uint64(60) {
		rd := newRandomDispatcher(t, seed)
		for range 250 {
			if rd.random.IntN(4) > 0 {
				rd.now += time.Duration(rd.random.IntN(60)) * time.Millisecond
			}
			if rd.random.IntN(60) == 0 {
				rd.now += 2 * time.Second
			}
			rd.randomEvent()
			if rd.random.IntN(3) == 0 {
				rd.compare()
			}
			rd.run()
		}
		checks += rd.comparisons
		for what, n := range rd.found {
			found[what] += n
		}
	}
	t.Log(checks, "comparisons; found:", found)
	for _, what := range [...]string{"for a lease", "in a dedup group", "slow start", "cross-zone", "late", "hedge", "with a lease", "in-flight cap", "all slots taken by this node", "plain",
		"queued, may be placed", "queued, skipped"} {
		if found[what] < 20 {
			t.Errorf("%s: compared only %d times, want at least 20", what, found[what])
		}
	}
}

// TestExecutorMovedToOwnZone checks that an executor counts as local as soon as the endpoint list has it in the own zone, even
// before the subset is rebuilt.
func TestExecutorMovedToOwnZone(t *testing.T) {
	s := baseSettings
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
		t.Fatal("with both executors in another zone, picked: ", name(got))
	}
	d.UpdateEndpoints(now, IncrementalUpdate, []Endpoint{{Executor: "moves", Zone: 0, StartedLongAgo: true, Weight: 1}})
	if got, want := d.pickExecutor(d.jobs["j"], now, false), d.pickByScan(d.jobs["j"], now, false); got != want || want != nil {
		t.Fatalf("with one executor in the own zone: the index picked %s, the scan %s, want none", name(got), name(want))
	}
}

// ---- Steady load ----

// steadyLoad runs a dispatcher under a constant rate of jobs, with executors whose running times are close to the predicted
// ones.
type steadyLoad struct {
	*Dispatcher
	random *rand.Rand
	now    time.Duration
	queue  steadyEventHeap
	gap    time.Duration // time between two arrivals
	starts int           // number of attempts sent so far
	jobs   int           // number of jobs that have arrived so far
	order  int           // number of events pushed so far
	paces  map[ExecutorID]float64
}

// steadyEvent is a future event. Events at the same time occur in the order in which they were pushed.
type steadyEvent struct {
	at    time.Duration
	order int
	what  int // 0: a job arrives; 1: an attempt starts; 2: an attempt succeeds; 3: a task of the dispatcher is due
	job   JobID
	n     AttemptID
}

// steadyEventHeap is a heap of events, the next one first.
type steadyEventHeap []steadyEvent

func (h steadyEventHeap) Len() int { return len(h) }
func (h steadyEventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h steadyEventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *steadyEventHeap) Push(x any)   { *h = append(*h, x.(steadyEvent)) }
func (h *steadyEventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// newSteadyLoad returns a load on executors with two slots each. The rate of jobs is perS per second, or, if that is 0, the
// one that uses the fraction load of all slots.
func newSteadyLoad(executors int, load, perS float64) *steadyLoad {
	s := baseSettings
	s.LoadAdjustedWeights = false
	s.JobClasses = slices.Clone(baseSettings.JobClasses)
	s.JobClasses[1].Kind = AnyKind
	sl := &steadyLoad{Dispatcher: New(s), random: rand.New(rand.NewPCG(1, uint64(executors))), paces: map[ExecutorID]float64{}}
	var entries []Endpoint
	for i := range executors {
		id := ExecutorID(fmt.Sprint("e", i))
		sl.paces[id] = 0.8 + 0.4*sl.random.Float64()
		entries = append(entries, Endpoint{Executor: id, Zone: ZoneID(i % 4), StartedLongAgo: true, Weight: 1})
	}
	sl.UpdateEndpoints(0, CompleteUpdate, entries)
	if perS == 0 {
		perS = load * float64(executors) * 2 / 0.3
	}
	sl.gap = time.Duration(1e9 / perS)
	sl.push(steadyEvent{at: time.Millisecond})
	return sl
}

func (sl *steadyLoad) push(it steadyEvent) {
	sl.order++
	it.order = sl.order
	heap.Push(&sl.queue, it)
}

// work returns the work of a job, from a hash of its id: 100 to 499 ms.
func (sl *steadyLoad) work(id JobID) time.Duration {
	h := uint64(14695981039346656037)
	for _, c := range []byte(id) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return 100*time.Millisecond + time.Duration(h>>8%400)*time.Millisecond
}

// applyDecision schedules the start and the end of an attempt, if the decision sends one.
func (sl *steadyLoad) applyDecision(id JobID, what Decision) {
	if what.Action != Send {
		return
	}
	sl.starts++
	n := AttemptID(sl.Dispatcher.jobs[id].attemptCount - 1)
	sl.push(steadyEvent{at: sl.now + time.Millisecond, what: 1, job: id, n: n})
	ran := time.Duration(float64(sl.work(id)) * sl.paces[what.Executor] * (0.6 + 0.8*sl.random.Float64()))
	sl.push(steadyEvent{at: sl.now + 2*time.Millisecond + ran, what: 2, job: id, n: n})
}

// run continues the load until the given number of attempts more have been sent.
func (sl *steadyLoad) run(starts int) {
	for most := sl.starts + starts; sl.starts < most; {
		it := heap.Pop(&sl.queue).(steadyEvent)
		sl.now = it.at
		switch it.what {
		case 0:
			sl.jobs++
			id := JobID(fmt.Sprint("j", sl.jobs))
			sl.JobArrived(sl.now, Arrival{Job: id, Class: JobClassID(sl.jobs % 2), Tenant: -1, Work: sl.work(id), Budget: 5 * time.Second})
			sl.push(steadyEvent{at: sl.now + sl.gap})
		case 1:
			sl.AttemptStarted(sl.now, it.job, it.n)
		case 2:
			sl.applyDecision(it.job, sl.AttemptEnded(sl.now, it.job, it.n, Succeeded, true))
		}
		for {
			due := sl.NextTask(sl.now)
			if due.Task == Sleep {
				if due.At < sl.queue[0].at {
					sl.push(steadyEvent{at: due.At, what: 3})
				}
				break
			}
			if due.Task == PlaceJob {
				sl.applyDecision(due.Job, sl.Place(sl.now, due.Job))
			}
		}
	}
}

// TestVisitsIndependentOfSubsetSize checks that the number of executors visited per sent attempt hardly grows with the
// subset, whereas a scan would visit all executors.
func TestVisitsIndependentOfSubsetSize(t *testing.T) {
	for _, c := range [...]struct {
		name       string
		load, perS float64
	}{{"load 0.6", 0.6, 0}, {"load 0.95", 0.95, 0}, {"30 a second", 0, 30}} {
		per, steps := map[int]float64{}, 0.0
		for _, n := range [...]int{12, 3200} {
			sl := newSteadyLoad(n, c.load, c.perS)
			sl.run(2 * n)
			visited, bounded, evaluated, reindexed, from := sl.index.visited, sl.index.bounded, sl.index.evaluated, sl.index.reindexed, sl.starts
			sl.run(2000)
			starts := float64(sl.starts - from)
			per[n], steps = float64(sl.index.visited-visited)/starts, float64(sl.index.bounded-bounded)/starts
			t.Logf("%s, %d executors: %.1f visits per start, %.1f evaluated in full, %.1f bucket bounds, %.1f reindexed", c.name, n, per[n],
				float64(sl.index.evaluated-evaluated)/starts, float64(sl.index.bounded-bounded)/starts, float64(sl.index.reindexed-reindexed)/starts)
		}
		if per[3200] > 1.3*per[12]+96 || steps > 256 {
			t.Errorf("%s: %.1f visits per start with 12 executors, %.1f with 3200, %.1f bucket bounds per start", c.name, per[12], per[3200], steps)
		}
	}
}

// TestEvaluationsWithLongQueue checks the number of evaluated executors per completed job while all executors are full, their
// free tokens are of no use yet, and there are as many queued jobs as executors. It may grow with the size of the subset, but
// not with its square.
func TestEvaluationsWithLongQueue(t *testing.T) {
	per := map[int]int{}
	for _, n := range [...]int{100, 400} {
		s := baseSettings
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
			t.Fatalf("%d executors: %d attempts in flight and %d jobs queued, want %d of each", n, len(sent), len(d.queue.onTime), n)
		}
		now += time.Millisecond
		evaluated := d.index.evaluated
		d.AttemptEnded(now, sent[n/2], 0, Succeeded, true)
		settle()
		per[n] = d.index.evaluated - evaluated
		if t.Logf("%d executors: %d evaluated after one job is completed", n, per[n]); len(sent) == n || len(sent) > n+2 {
			t.Errorf("%d executors: %d attempts sent after one job is completed, want 1 or 2", n, len(sent)-n)
		}
	}
	if per[400] > 5*per[100] || per[400] > 8*400 {
		t.Errorf("executors evaluated after one job is completed, by number of executors: %v", per)
	}
}

func BenchmarkStart(b *testing.B) {
	for _, load := range [...]float64{0, 0.6, 0.95} {
		for _, n := range [...]int{12, 200, 800, 3200} {
			b.Run(fmt.Sprintf("load=%v/executors=%d", load, n), func(b *testing.B) {
				sl := newSteadyLoad(n, load, 30*(1-math.Ceil(load)))
				sl.run(3 * n)
				b.ResetTimer()
				sl.run(b.N)
			})
		}
	}
}
