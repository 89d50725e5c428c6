package policy

import "time"

// What a node keeps in mind; policy.go decides by it.

// Dispatcher is one node's decisions.
type Dispatcher struct {
	seed, randomCount  uint32
	nodeID             NodeID
	nodeCount          int
	ownZone            ZoneID
	classes            []*jobClass // by number, those of the past among them
	currentClasses     []*jobClass
	tenants            []tenant
	kinds              map[KindID]*kindStats
	executorsByID      map[ExecutorID]*executor
	ranked             []*executor // all on the list, highest rank first
	subset             []*executor // those that this node uses, in the same order
	slowStarting       []*executor // cold ones that this node carries
	withTokens         []*executor // those that have been in a slice and have tokens
	requiredKinds      []KindID    // bound kinds of the tracks
	lateSubsetSize     int         // executors of the slice that late batch jobs may use
	jobs               map[JobID]*job
	queue              []*job // in time still
	lateQueue          []*job // and not
	hedgeQueue         []*job // that want a second allocation
	timers             timerHeap
	timerSequence      int
	intervalEnd        time.Duration // when the interval ends
	quotaInterval      time.Duration
	checkInterval      time.Duration // after it an allocation that is out gets its next look
	listCount          int
	anyRemoved         bool // some executor is gone from the list
	subsetStale        bool // the slice must be picked anew
	queuedThisInterval bool // batch jobs were held in this interval
	tokenFreed         bool // a token has come free since the last look
	index

	valuePerWork           bool
	overQuotaValue         float64
	crossZoneCost          float64
	totalWeight            float64
	worstClassWeight       float64
	worstClass             *jobClass
	worstClassUnitValue    float64 // its earnings for each batch job of any track
	meanValue              float64
	meanDensity            float64 // value of a mean batch job for its work
	maxAttempts            int     // of tracks that have no number of their own
	canCancel              bool
	loadAdjustedWeights    bool
	localLoad              float64 // how full this zone and the others are, by the list or by start waits
	remoteLoad             float64
	retryAfter             time.Duration
	quantum                time.Duration
	startNotices           bool
	progressInterval       time.Duration
	polled                 bool
	subscribed             bool
	polling                bool
	pollAt                 time.Duration
	pollInterval           time.Duration
	slowStartCapacity      float64
	slowStartDuration      time.Duration
	slowStartSenders       int
	slowStartReservedUntil time.Duration // before it cold executors are another process's
	slowStartBudget        float64       // this node's part of the cold budget, for each unit of capacity
	overloadWindow         time.Duration
	shortestObjective      time.Duration
	now                    time.Duration // the last moment that this node had its turn
	wakeAt                 time.Duration // when it wanted the next
	turnGap                time.Duration // from its turn before until this one
	stalledFor             time.Duration // so much of it it stood still, though something was due
	shutdownBy             time.Duration // when all must be over, once this node ends; 0 before

	reportsLoad bool // nodes reckon a cut line together
	threshold   AdmissionThreshold
	summary     LoadSummary // since it was asked for last

	canLease           bool
	canHedge           bool
	canProbe           bool
	clientsMarkRetries bool
	leaseWanted        bool                          // a batch job may want to ask for a place
	grantedTo          []*executor                   // where a place was given
	executorsByHash    map[ExecutorHash]*executor    // by the id that nodes use among each other
	ledgers            map[ExecutorHash]*leaseLedger // what this node keeps for all
	ledgerList         []*leaseLedger
	outbox             []DueTask // to be said; probes and notes among them
}

// jobClass holds a track's derived figures and running averages.
type jobClass struct {
	idempotency                      Idempotency
	dedupGroup                       DedupGroup
	dedupWindow                      time.Duration
	maxAttempts                      int
	latencyObjective                 time.Duration
	deadline                         time.Duration
	runTimeFactor                    float64
	value                            float64
	lateValue                        float64
	kind                             KindID
	fullBudget                       time.Duration // largest budget seen: that of a batch job's first try
	shortBudgets, rejectedFirstTries float64       // batch jobs that came with less than it, and fresh ones turned away, fading
	meanWork                         time.Duration // running average, as time on a standard core
	samples                          int           // running times that it stems from, where no hints come
	requestedValue, earnedValue      float64       // earnings asked for and handled in quoted time, fading
	unitValue                        float64       // mean earnings of one batch job
}

// tenant holds a tenant's quota and how fast it is asking at this node.
type tenant struct {
	quotaPerSecond   float64 // this node's part of the quota
	rate             float64
	overQuota        float64 // its part of this node's traffic against its part of all quotas, scaled by the load
	arrivals         int
	budgetMargin     float64 // times its foretold running time, over one, that a try of its impatient clients is to have
	shortBudgetRatio float64 // part of its marked first tries that came with less than the full budget
}

// kindStats holds what warm executors of one kind were seen to take.
type kindStats struct {
	pace                float64    // running time for each unit of work
	size                float64    // by the list's weights, fading
	reportedSlots       float64    // by reports, fading
	concurrency         int        // places, by reports or the most batch jobs of ours running at once
	exactSlots          float64    // places, by reports that tell of none waiting, fading
	observedConcurrency int        // the most of ours that ran beside each other for half of a running time
	index               *kindIndex // its part of the index
}

// executor is what this node knows of one executor.
type executor struct {
	id              ExecutorID
	hash            ExecutorHash
	zone            ZoneID
	kind            KindID
	cell            CellID
	rank            uint32
	slowStartSender bool    // while it is cold, this node is one of the few that may use it
	weight          float64 // what the list weighs it
	size            float64 // the largest weight the list gave it
	listedLoad      float64 // batch jobs held a core, by the list
	available       bool
	removed         bool // taken off the list
	listedIn        int  // the list that named it last
	started         time.Duration
	slowStartUntil  time.Duration

	quota             int
	inheritedQuota    int             // the quota that another process of this node gave it; 0 for none
	freeTokens        []time.Duration // since when each free token is free, oldest first
	takenTokens       int             // tokens taken by allocations out and by those stopped
	attempts          []*attempt      // allocations out
	inFlightCap       int             // cap in flight that grows with answers; 0 for none
	slowStartSpend    []spend         // work sent while cold, within the window
	ejectedUntil      time.Duration   // tokens are held back until then
	lastSeen          time.Duration   // last sign of life
	timeouts          int             // hold-backs for silence since then
	consecutiveErrors int             // errors since it handled something
	rejections        int             // allocations turned away since then
	suspect           bool            // an outcome since then was no result

	runTimeSeen, workSeen   float64 // running time seen and work done, fading
	startWait               time.Duration
	executorWait            time.Duration // this interval's queuing at the executor and here
	queueWait               time.Duration
	overTarget, outOfTokens bool // this interval: slowdown over target; no free token left
	sawFull                 bool // this interval: met 'full', by many tenants, while others were started
	fullTenant              TenantID
	fullForMany             bool
	fullWait                time.Duration
	startedOthers           bool

	probeOut     bool          // a probe is out
	unresponsive bool          // a probe went without answer, and none was answered since
	probedAt     time.Duration // when the last one was sent

	leaseHolder      NodeID
	primaryRetryAt   time.Duration // from then on the first keeper in line is asked again
	leaseBypassUntil time.Duration // no keeper answers: done without until then
	leaseRequested   bool          // a place was asked for
	leaseRequestedAt time.Duration
	leaseQueued      bool // the keeper has none free yet
	leaseGranted     bool // a place was given
	leasesHeld       int  // places to give back

	// Where the index has it.
	subsetRank      int // in the slice; -1: not in it
	tokenOrder      int // its turn among those met; 0: not among them
	dirty           bool
	awaited         bool
	inLeaseRequests bool
	group           *tokenGroup
	positions       [keyKinds]heapPosition
	agingRate       float64 // at which its tokens age at the most, while its kind's pace keeps to the limit
	paceLimit       float64
}

// leaseLedger is what this node keeps for all: an executor's places.
type leaseLedger struct {
	hash        ExecutorHash
	quota       int
	granted     []lease
	waiting     []NodeID // those that wait for a place
	waitingLate []NodeID // those that wait with a late batch job
	returns     int      // this interval: places given back
	lateStarts  int      // those of them where the batch job had to wait at the executor
	shortage    bool     // somebody waited
	cooldown    int      // intervals before the quota may rise
	grantedAt   time.Duration
	spareSeen   bool // this interval: a probe showed a free place while all were lent
}

type lease struct {
	holder    NodeID
	expiresAt time.Duration
}

type spend struct {
	at   time.Duration
	work time.Duration
}

// job is a batch job in hand.
type job struct {
	shed               bool // below the cut line when it came
	lowSlack           bool // it came with less than half of its slack
	id                 JobID
	class              *jobClass
	tenant             *tenant
	tenantID           TenantID
	work               time.Duration
	hinted             bool
	firstTry           bool    // nothing of its budget was spent by tries before, for all this node knows
	shortBudget        bool    // its client waits for less than the outer limit leaves
	startMargin        float64 // what its last start must leave over
	predictionMargin   float64 // what a prediction for it must leave over
	arrivedAt          time.Duration
	objectiveAt        time.Duration
	deadlineAt         time.Duration
	queuedAt           time.Duration // since when it is held
	isQueued           bool
	queuedLate         bool
	queueKey           time.Duration // its place in the release order
	crossChance        float64       // its own chance, so that not all cross at once
	finished           bool          // the client has its answer or has left
	leaseRequestedFrom *executor     // of whose keeper a place was asked for it

	attempts     []*attempt // its allocations that are out; a second one only where the settings allow it
	hedgeWanted  bool       // a second one is wanted
	attemptCount int
	mayHaveRun   *attempt // the first of those over that may have run
	generation   int      // guards due times that are no longer wanted
}

// attempt is one allocation of a batch job, from its sending to its outcome.
type attempt struct {
	*job
	number           AttemptID
	executor         *executor
	zone             ZoneID
	cell             CellID
	sentAt           time.Duration
	startedAt        time.Duration
	running          bool
	startedLate      bool
	progress         float64
	progressAt       time.Duration
	canceling        bool
	migrationCounted bool // it would have been moved
	tokenReleased    bool // silent for so long that its token is free again
	generation       int
}

type timer struct {
	at         time.Duration
	sequence   int
	generation int
	job        *job
	attempt    *attempt
	tokenOf    *executor // whose token comes free
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
