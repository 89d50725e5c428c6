package policy

import "time"

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

// jobClass holds a class's rules and its running averages.
type jobClass struct {
	idempotency      Idempotency
	dedupGroup       DedupGroup
	dedupWindow      time.Duration
	maxAttempts      int
	latencyObjective time.Duration
	deadline         time.Duration
	runTimeFactor    float64 // the objective grows by this multiple of a job's own running time
	value            float64
	lateValue        float64 // fraction of the value paid between objective and deadline
	kind             KindID

	fullBudget         time.Duration // largest budget seen: that of a job's first try
	shortBudgets       float64       // jobs that came with less than it, decaying
	rejectedFirstTries float64       // first tries that were rejected, decaying
	meanWork           time.Duration // running average, as time on a standard core
	samples            int           // running times behind meanWork, where clients give no estimates
	requestedValue     float64       // of jobs that came, decaying
	earnedValue        float64       // of those of them that were done within their objective, decaying
	unitValue          float64       // mean value of one job
}

// classTable holds the job classes and what follows from all of them together.
type classTable struct {
	all               []*jobClass // by number; those of the past stay, for the jobs that came with them
	current           []*jobClass
	requiredKinds     []KindID      // executor kinds that some class is bound to
	shortestObjective time.Duration // the shortest latency objective
	quotaInterval     time.Duration // between two steps of the quotas
	checkInterval     time.Duration // from an attempt's sending to its first check
}

// valueAverages are what a job's value is measured against.
type valueAverages struct {
	mean           float64   // mean value of a job
	meanDensity    float64   // mean value of a job for its work
	worstClass     *jobClass // the class that earned least of what it was asked for; nil for none
	worstClassUnit float64   // its value for each job of any class
}

// tenant holds a tenant's quota and its traffic at this node.
type tenant struct {
	quotaPerSecond   float64 // this node's share of the tenant's quota
	rate             float64 // jobs a second, averaged
	arrivals         int     // jobs in this interval
	overQuota        float64 // share of this node's traffic over share of all quotas; over 1: the tenant is over its quota
	budgetMargin     float64 // what a try of its impatient clients must have over its predicted running time, as a fraction of that
	shortBudgetRatio float64 // fraction of its marked first tries that came with less than the full budget
}

// kindStats is what warm executors of one kind were seen to do.
type kindStats struct {
	pace                float64 // running time for each unit of work
	size                float64 // mean weight in the endpoint list
	reportedSlots       float64 // slots by load reports, averaged; 0: none came
	concurrency         int     // slots, by reports or by the most of our jobs that ran at once
	exactSlots          float64 // slots, by reports that tell of nothing queued, averaged
	observedConcurrency int     // the most of our jobs that ran beside each other for half of a running time
	index               *kindIndex
}

// endpointTable holds the executors that the endpoint list names.
type endpointTable struct {
	byID       map[ExecutorID]*executor
	byHash     map[ExecutorHash]*executor // by the name that nodes use among each other
	ranked     []*executor                // all, highest rank first
	unranked   []*executor                // new ones that have no place in ranked yet
	kinds      map[KindID]*kindStats
	updates    int  // updates of the list so far
	anyRemoved bool // some executor is removed from the list and still here
}

// endpointPoll is when the endpoint list is asked for, where it comes only by polling.
type endpointPoll struct {
	watching    bool // an answer has come and no watch has failed since
	outstanding bool // a poll is on its way
	nextAt      time.Duration
	interval    time.Duration
}

// subset is the executors that this node uses: where nodes are many, a part of all.
type subset struct {
	members    []*executor // highest rank first, those in slow start before them
	previous   []*executor // the members before, kept for its memory
	lateSize   int         // so many members may be used by jobs past their objective
	stale      bool        // it may have to be rebuilt
	changed    bool        // something that it depends on has changed
	validUntil time.Duration
	rezoned    bool // a member has another zone or kind than when it was picked
}

// jobQueue holds the jobs that wait for a token, in the order in which they are placed.
type jobQueue struct {
	onTime           []*job // that can still meet their objective, by queueKey
	late             []*job // that can't, by queueKey
	hedges           []*job // that want a second attempt
	usedThisInterval bool   // a job had to wait in this interval
	tokenFreed       bool   // a token has come free since the queue was looked through
}

// quotaState is what the step of the quotas needs of all executors.
type quotaState struct {
	executors   []*executor // that have tokens: those that have been in the subset
	joined      int         // executors that ever got tokens
	intervalEnd time.Duration
}

// zoneLoad is how full this node's zone and the others are; 1 is full.
type zoneLoad struct {
	local, remote float64
}

// slowStart is how much work this node may send to executors that have just started (rule 4).
type slowStart struct {
	executors      []*executor   // in slow start, that this node may use
	capacity       float64       // fraction of its capacity that an executor has at its start
	duration       time.Duration // until it has all of it
	senders        int           // nodes that may use one such executor
	budget         float64       // work that this node may send within overloadWindow, for each unit of capacity, in seconds
	overloadWindow time.Duration
	reservedUntil  time.Duration // until then another process of this node has the budget
}

// healthChecks is which executors owe a sign of life.
type healthChecks struct {
	awaitingReply []*executor
}

// leaseTable is this node's part in leasing executors' slots between nodes: as a borrower, and as the holder for some.
type leaseTable struct {
	wanted     bool        // a queued job may want to request a lease
	unused     []*executor // where a lease was granted and no attempt uses it yet
	requests   []*executor // where a lease was requested
	ledgers    map[ExecutorHash]*leaseLedger
	ledgerList []*leaseLedger // the same, in the order in which they were opened
}

// loadShedding is what this node reports to the fleet, and which jobs the fleet has no capacity for.
type loadShedding struct {
	reportsLoad bool // the fleet asks for summaries
	threshold   AdmissionThreshold
	summary     LoadSummary // since it was taken last
}

// executor is what this node knows of one executor.
type executor struct {
	id         ExecutorID
	hash       ExecutorHash
	zone       ZoneID
	kind       KindID
	cell       CellID
	rank       uint32  // its rank at this node
	weight     float64 // its weight in the endpoint list
	size       float64 // the largest weight that it had there
	listedLoad float64 // jobs a core, by the list's weights
	available  bool    // it takes new jobs, by the list
	removed    bool    // it is no longer on the list
	listedIn   int     // the update that named it last
	started    time.Duration

	attempts  []*attempt // that are out
	tokens    tokens
	queuing   queuing
	health    health
	slowStart executorSlowStart
	estimate  estimate
	lease     leaseState
	indexed   indexEntry
}

// tokens are an executor's quota and the tokens under it.
type tokens struct {
	quota          int             // 0: it has not been in the subset yet
	inheritedQuota int             // what a predecessor of this process gave it; 0 for none
	free           []time.Duration // since when each free token is free, oldest first
	taken          int             // by attempts that are out, and by those canceled that may still run
	joined         int             // its number among those that got tokens; 0: it has none
}

// queuing is what this interval showed of waiting for an executor, for the step of its quota.
type queuing struct {
	atExecutor    time.Duration // waiting at the executor
	here          time.Duration // waiting in this node's queue
	overTarget    bool          // some job waited longer than its slack allows
	outOfTokens   bool          // no token was free at some moment
	sawFull       bool          // an attempt was rejected as full
	fullTenant    TenantID      // whose attempt that was
	fullForMany   bool          // attempts of several tenants were
	fullWait      time.Duration // running times of the rejected attempts
	startedOthers bool          // others were started meanwhile
}

// health is what outcomes and silence show of an executor.
type health struct {
	ejectedUntil      time.Duration
	inFlightCap       int           // most attempts out; it grows with answers; 0: no cap
	lastSeen          time.Duration // last sign of life
	timeouts          int           // ejections for silence since then
	consecutiveErrors int           // errors since it last completed a job
	rejections        int           // rejected attempts since the last sign of life
	suspect           bool          // an outcome since then was no result
	unresponsive      bool          // a probe was not answered, and none since
	probeOut          bool
	probedAt          time.Duration
	awaited           bool // it is in healthChecks.awaitingReply
}

// executorSlowStart is how far an executor is in its slow start.
type executorSlowStart struct {
	sender bool // this node is one of the few that may use it meanwhile
	until  time.Duration
	spent  []spend // work sent to it within the window
}

// spend is work that was sent at some moment.
type spend struct {
	at   time.Duration
	work time.Duration
}

// estimate is what was seen of an executor's speed, decaying.
type estimate struct {
	runTime   float64 // seconds
	work      float64 // done in that time, in seconds on a standard core
	startWait time.Duration
}

// leaseState is this node's lease of one of an executor's slots.
type leaseState struct {
	holder         NodeID        // who is asked for it
	primaryRetryAt time.Duration // from then on the first holder in line is asked again
	bypassUntil    time.Duration // no holder answers: leases are done without until then
	requested      bool
	requestedAt    time.Duration
	queued         bool // the holder has none free yet
	granted        bool // and not used yet
	held           int  // used by attempts, to be returned
	listed         bool // it is in leaseTable.requests
}

// indexEntry is where the candidate index has an executor.
type indexEntry struct {
	subsetRank int // among the subset's members; -1: not a member
	dirty      bool
	group      *tokenGroup
	positions  [keyKinds]heapPosition
	agingRate  float64 // the highest rate at which its tokens age, while its kind's pace keeps to paceLimit
	paceLimit  float64
}

// leaseLedger is what this node keeps for all nodes as the lease holder of an executor.
type leaseLedger struct {
	hash        ExecutorHash
	quota       int
	granted     []lease
	waiting     []NodeID // for a lease, the first at the front
	waitingLate []NodeID // likewise with a job past its objective
	returns     int      // leases returned in this interval
	lateStarts  int      // those of them where the job had to wait at the executor
	shortage    bool     // somebody had to wait in this interval
	cooldown    int      // intervals until the quota may rise
	grantedAt   time.Duration
	spareSeen   bool // in this interval a probe showed a free slot while all were granted
}

// lease is one slot that is granted to a node.
type lease struct {
	holder    NodeID
	expiresAt time.Duration
}

// job is a batch job in hand.
type job struct {
	id       JobID
	class    *jobClass
	tenant   *tenant // nil: none
	tenantID TenantID
	work     time.Duration // estimate, as time on a standard core
	hinted   bool          // the client gave the estimate

	arrivedAt   time.Duration
	objectiveAt time.Duration
	deadlineAt  time.Duration
	finished    bool // the client has its answer or has left

	firstTry         bool    // nothing of its budget was spent by earlier tries, as far as this node knows
	shortBudget      bool    // its client waits for less than the deadline leaves
	startMargin      float64 // factor of the running time that its latest start must leave
	predictionMargin float64 // factor of the running time that a prediction must leave
	lowSlack         bool    // it came with less than half of its slack
	shed             bool    // it was below the admission threshold when it came

	isQueued    bool
	queuedLate  bool // in the queue of those past their objective
	queuedAt    time.Duration
	queueKey    time.Duration // its place in the queue
	crossChance float64       // its own random number, so that not all jobs cross zones at once

	attempts           []*attempt // that are out; a second one is a hedge
	attemptCount       int
	mayHaveRun         *attempt // the first attempt that is over and may have run
	hedgeWanted        bool
	leaseRequestedFrom *executor // whose holder was asked for a lease for it
	generation         int       // timers of another generation are void
}

// attempt is one sending of a batch job to an executor, until its outcome.
type attempt struct {
	*job
	number           AttemptID
	executor         *executor
	zone             ZoneID
	cell             CellID
	sentAt           time.Duration
	startedAt        time.Duration
	running          bool
	startedLate      bool    // it had to wait at the executor
	progress         float64 // fraction done, by the last notice
	progressAt       time.Duration
	canceling        bool
	migrationCounted bool
	tokenReleased    bool // it was silent for so long that its token was released
	generation       int  // timers of another generation are void
}

// timerQueue holds all due times in one ordered structure.
type timerQueue struct {
	heap     timerHeap
	sequence int // timers of the same moment fall due in the order in which they were set
}

// timer is one due time: of a job, of an attempt, of a token that is to be released, or of none: then all is checked.
type timer struct {
	at         time.Duration
	sequence   int
	generation int
	job        *job
	attempt    *attempt
	tokenOf    *executor
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
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
