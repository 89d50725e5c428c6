package policy

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

// Dispatcher decides for one node which executor gets which batch job, and when. It is not safe for concurrent use: one
// goroutine, the reducer's, owns it. Each field below belongs to one rule, which stands in the file of the same name.
type Dispatcher struct {
	config config
	clock  clock
	rng    randomSource
	timers timerQueue
	outbox []DueTask // messages, probes and log lines to be handed out by NextTask
	jobs   map[JobID]*job

	classes   classTable
	tenants   []tenant
	values    valueAverages
	endpoints endpointTable
	poll      endpointPoll
	subset    subset
	index     candidateIndex
	queue     jobQueue
	quota     quotaState
	zoneLoad  zoneLoad
	slowStart slowStart
	health    healthChecks
	leases    leaseTable
	shedding  loadShedding
}

// config is what stays as the settings have it, once the process runs.
type config struct {
	nodeID    NodeID
	nodeCount int
	zone      ZoneID
	quantum   time.Duration // what comes so close to a deadline counts as at it

	valuePerWork     bool    // a job's value is its class's times its work
	overQuotaValue   float64 // factor of the value of what a tenant sends over its quota
	crossZoneCost    float64 // cost of sending a mean job to another zone, in mean values
	totalWeight      float64 // of the value earned over all classes in the operators' measure
	worstClassWeight float64 // of the class that fares worst in it

	maxAttempts         int           // of classes that have no limit of their own
	retryAfter          time.Duration // the most that a rejected client is told to wait; 0: nothing is told
	canCancel           bool          // an attempt may be canceled
	canHedge            bool          // an idempotent job may have a second attempt out
	canProbe            bool          // executors answer probes with their load
	canLease            bool          // nodes may send each other lease messages
	clientsMarkRetries  bool          // clients mark what they send again
	loadAdjustedWeights bool          // weights in the endpoint list fall with the load
	endpointsPolled     bool          // the endpoint list comes only when it is polled
	startNotices        bool          // executors tell when a job starts
	progressInterval    time.Duration // between an executor's progress notices; 0: there are none
}

// clock is what the dispatcher knows of its own turns. A node that stood still must not take old news for fresh.
type clock struct {
	now        time.Duration // the start of this turn
	wakeAt     time.Duration // when this turn was wanted
	turnGap    time.Duration // from the turn before until this one
	stalledFor time.Duration // the part of turnGap in which something was due and the node stood still
	shutdownBy time.Duration // when all jobs must have their answer, once the node shuts down; 0 before
}

// randomSource draws the dispatcher's random numbers.
type randomSource struct{ seed, count uint32 }

// next is the next number from 0 to 1.
func (r *randomSource) next() float64 {
	r.count++
	return Random(r.seed, r.count)
}

// Random is a number from 0 to 1 drawn from a seed and a counter.
func Random(seed, count uint32) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:4], seed)
	binary.LittleEndian.PutUint32(b[4:], count)
	return float64(crc32.ChecksumIEEE(b[:])) / math.MaxUint32
}

// New turns settings, which have been checked, into the figures that decisions use.
func New(s Settings) *Dispatcher {
	d := &Dispatcher{
		config: config{
			nodeID:              NodeID(s.Node),
			nodeCount:           s.Nodes,
			zone:                s.Zone,
			quantum:             s.Quantum,
			valuePerWork:        s.ValuePerWork,
			overQuotaValue:      s.OverQuotaValue,
			crossZoneCost:       s.CrossZoneCost,
			totalWeight:         s.TotalWeight,
			worstClassWeight:    s.WorstClassWeight,
			maxAttempts:         s.MaxAttempts,
			retryAfter:          s.MaxRetryAfter,
			canCancel:           s.MayCancel,
			canHedge:            s.MayHedge,
			canProbe:            s.MayProbe,
			canLease:            s.MayLease,
			clientsMarkRetries:  s.ClientsMarkRetries,
			loadAdjustedWeights: s.LoadAdjustedWeights,
			endpointsPolled:     s.EndpointsPolled,
			startNotices:        s.StartNotices,
			progressInterval:    s.ProgressInterval,
		},
		rng:  randomSource{seed: s.Seed},
		jobs: map[JobID]*job{},
		endpoints: endpointTable{
			byID:   map[ExecutorID]*executor{},
			byHash: map[ExecutorHash]*executor{},
			kinds:  map[KindID]*kindStats{},
		},
		index:  candidateIndex{expiries: executorHeap{keyKind: keyExpiry}},
		leases: leaseTable{ledgers: map[ExecutorHash]*leaseLedger{}},
		slowStart: slowStart{
			capacity:       s.SlowStartCapacity,
			duration:       s.SlowStartDuration,
			overloadWindow: s.OverloadWindow,
		},
	}
	for i, t := range s.JobClasses {
		d.addClass(JobClassUpdate{JobClassID(i), NoJobClass, t})
	}
	d.derive()
	d.quota.intervalEnd = d.classes.quotaInterval
	d.slowStart.derive(s.OverloadMultiple, d.classes.shortestObjective, d.config.nodeCount)
	d.spreadPolls(s.PollWithin)
	d.schedule(d.slowStart.overloadWindow, nil, nil) // a process that starts again may send more to cold executors from then on
	for _, t := range s.Tenants {
		d.tenants = append(d.tenants, tenant{quotaPerSecond: t.QuotaPerSecond / float64(s.Nodes)})
	}
	return d
}

// JobArrived admits a job that a client sent to this node: it is queued, and decided on by the Place that NextTask asks
// for in the same turn. A Work of 0 means that the client gave no estimate.
func (d *Dispatcher) JobArrived(now time.Duration, arrival Arrival) {
	d.beginTurn(now)
	j := d.newJob(now, arrival)
	spent := d.spentBudget(j, arrival)
	j.objectiveAt = min(now-spent+j.latencyObjective(), j.deadlineAt)
	d.capToShutdown(j)
	j.firstTry = spent == 0 && !arrival.ClientRetry
	d.recordRequested(j, j.firstTry)
	j.shed = d.shedding.reportsLoad && d.belowThreshold(j)
	d.jobs[j.id] = j
	d.queueJob(j, now)
	// No scan of the queue is needed: the timer places this job, and no other became placeable.
	d.schedule(now, j, nil)
	d.leases.requestWanted()
}

// Place decides where to send a job, or that it waits, is rejected or fails. The caller asks after NextTask returned
// PlaceJob for it; for a job that is over or has its attempts out there is nothing to do.
func (d *Dispatcher) Place(now time.Duration, id JobID) Decision {
	j := d.jobs[id]
	if j == nil || j.finished {
		return Decision{}
	}
	if len(j.attempts) > 0 {
		return d.placeHedge(j, now)
	}
	d.queueJob(j, now)
	j.shed = j.shed || d.shedsRetry(j)
	if j.shed || d.outOfAttempts(j, now) {
		return d.rejectOrFail(j)
	}
	e := d.pickExecutor(j, now, false)
	var latestStart time.Duration
	if e != nil {
		latestStart = d.latestStart(j, d.pace(e, now))
	}
	if e == nil || now > latestStart {
		// No executor, or one that is too slow by now: the fastest one decides whether there is time left.
		latestStart = d.latestStart(j, d.bestPaceFor(j, now))
		if now > latestStart {
			return d.rejectOrFail(j)
		}
	}
	if e != nil {
		return d.dispatch(j, e, now)
	}
	d.queue.noteWait(j)
	d.schedulePlacement(j, latestStart, now)
	return Decision{Action: Enqueue}
}

// placeHedge sends a second attempt of j, if one is wanted and an executor has a token for it.
func (d *Dispatcher) placeHedge(j *job, now time.Duration) Decision {
	if !j.hedgeWanted {
		return Decision{}
	}
	e := d.pickExecutor(j, now, false)
	if e == nil {
		return Decision{}
	}
	return d.dispatch(j, e, now)
}

// schedulePlacement schedules the next time at which a queued job's answer may change though no token comes free: when
// it may cross zones, when it is past its objective, after its latest start, and at its deadline.
func (d *Dispatcher) schedulePlacement(j *job, latestStart, now time.Duration) {
	next := min(max(latestStart, now)+d.config.quantum, j.deadlineAt-d.config.quantum)
	crossesAt := j.queuedAt + d.crossZoneDelay(j)
	pastObjectiveAt := j.objectiveAt - j.work + d.config.quantum
	for _, at := range [...]time.Duration{crossesAt, pastObjectiveAt} {
		if at > now {
			next = min(next, at)
		}
	}
	j.generation++
	d.schedule(max(next, now+d.config.quantum), j, nil)
}

// NextTask says what has fallen due, or until when nothing will.
func (d *Dispatcher) NextTask(now time.Duration) DueTask {
	d.beginTurn(now)
	for now >= d.quota.intervalEnd {
		d.quota.intervalEnd += d.classes.quotaInterval
		d.onInterval(now)
	}
	mustSubscribe := d.config.endpointsPolled && !d.poll.watching && !d.poll.outstanding
	if mustSubscribe && now >= d.poll.nextAt {
		d.poll.outstanding = true
		return DueTask{Task: WatchEndpoints}
	}
	if j := d.nextPlaceable(now); j != nil {
		return DueTask{Task: PlaceJob, Job: j.id}
	}
	for len(d.timers.heap) > 0 && d.timers.heap[0].at <= now {
		it := heap.Pop(&d.timers.heap).(timer)
		j, s := it.job, it.attempt
		switch {
		case it.tokenOf != nil:
			d.releaseToken(it.tokenOf, now, false)
		case s != nil && s.generation == it.generation && d.shouldCancel(s, now):
			s.canceling = true
			return DueTask{Task: CancelAttempt, Job: s.id, Attempt: s.number}
		case j != nil && j.generation == it.generation && len(j.attempts) == 0:
			return DueTask{Task: PlaceJob, Job: j.id}
		case s == nil && j == nil:
			d.checkUnanswered(now)
			d.subset.stale, d.queue.tokenFreed, d.leases.wanted = true, true, true
		}
	}
	if j := d.nextPlaceable(now); j != nil {
		return DueTask{Task: PlaceJob, Job: j.id}
	}
	d.exchangeLeases(now)
	if len(d.outbox) > 0 {
		w := d.outbox[0]
		d.outbox = d.outbox[1:]
		return w
	}
	at := d.quota.intervalEnd
	if len(d.timers.heap) > 0 {
		at = min(at, d.timers.heap[0].at)
	}
	if mustSubscribe {
		at = min(at, d.poll.nextAt)
	}
	d.clock.wakeAt = at
	return DueTask{At: at}
}

// ShutDownBy tells that this node ends: all in hand must be over by then, and what can't be gets its answer at
// once.
func (d *Dispatcher) ShutDownBy(now, by time.Duration) {
	d.clock.shutdownBy = by
	for _, j := range d.jobs {
		d.capToShutdown(j)
	}
	for _, j := range slices.Concat(d.queue.onTime, d.queue.late) {
		d.schedule(now, j, nil)
	}
}

// capToShutdown cuts what a batch job has left to the end of its node.
func (d *Dispatcher) capToShutdown(j *job) {
	if d.clock.shutdownBy > 0 {
		j.deadlineAt = min(j.deadlineAt, d.clock.shutdownBy)
		j.objectiveAt = min(j.objectiveAt, d.clock.shutdownBy)
	}
}

// beginTurn books when this node has its turn, and for how long it stood still before it.
func (d *Dispatcher) beginTurn(now time.Duration) {
	if now == d.clock.now {
		return
	}
	d.clock.turnGap, d.clock.stalledFor = now-d.clock.now, now-d.clock.wakeAt
	if d.clock.stalledFor < d.classes.checkInterval {
		d.clock.stalledFor = 0
	}
	d.clock.now, d.clock.wakeAt = now, now
}

// logf writes a line to the log.
func (d *Dispatcher) logf(format string, args ...any) {
	d.outbox = append(d.outbox, DueTask{Task: WriteLog, Text: fmt.Sprintf(format, args...)})
}

func scaled(t time.Duration, f float64) time.Duration { return time.Duration(float64(t) * f) }

func oneIf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}
