package durable

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/internal/store"
	"birchstair/policy"
)

// jobIDPrefix begins the ids under which the reducer has durable jobs, so that they never collide with the ids of ordinary clients.
const jobIDPrefix = "durable-"

// Options are the operator's settings.
type Options struct {
	MaxDeadline time.Duration   // the longest deadline that a client may ask for
	Leases      leases.Settings // concurrency, retention and polling
}

// Manager accepts durable batch jobs, keeps them in the store and dispatches them through the reducer.
type Manager struct {
	options    Options
	store      *store.Store
	log        zerolog.Logger
	pollClient *http.Client // to executors, about leases

	ctx    context.Context // ends with Close
	cancel context.CancelFunc

	post     func(node.Event) // to the reducer
	frontend node.Frontend
	upstream node.Upstream

	mu             sync.Mutex
	classes        map[string]jobClass
	book           *leases.JobTable
	unwritten      map[leases.ID]*store.Record // accepted records that are not in the store yet
	doneWaiters    map[leases.ID]chan struct{} // closed when the final answer is written
	ackWaiters     map[leases.ID]chan error    // receives the outcome of writing the accepted record
	attempts       map[node.ConnID]*attempt
	latestConn     map[leases.ID]node.ConnID // the connection of each job's latest attempt
	connAddrs      map[node.ConnID]string
	executorByAddr map[string]policy.ExecutorID
	addrByExecutor map[policy.ExecutorID]string
	timer          *time.Timer
	ready          bool
	deferred       []leases.Effect // of the recovery, to be applied once the node is ready
	faults         faults
}

// faults are defects that tests inject; production code sets none.
type faults struct {
	ackBeforeWrite    bool // acknowledges before the record is synced
	sendBeforeWrite   bool // sends an attempt before its record is synced
	omitEpoch         bool // sends attempts without an epoch
	allEndsAsNeverRan bool // takes any end of an attempt for proof that it never ran
}

// attempt is one that is written to its executor, or will be once its record is synced.
type attempt struct {
	id      leases.ID
	epoch   leases.Epoch
	request node.Attempt
}

// New makes a manager of the jobs in a store, which it owns from now on. classNames and classes are those of the settings, without
// the durable ones that AddClasses appends. Nothing reaches the reducer before Start.
func New(options Options, jobs *store.Store, classNames []string, classes []policy.JobClass, dial DialFunc, log zerolog.Logger) *Manager {
	m := &Manager{
		options:        options,
		store:          jobs,
		log:            log,
		pollClient:     newPollClient(dial),
		classes:        map[string]jobClass{},
		book:           leases.NewJobTable(options.Leases),
		unwritten:      map[leases.ID]*store.Record{},
		doneWaiters:    map[leases.ID]chan struct{}{},
		ackWaiters:     map[leases.ID]chan error{},
		attempts:       map[node.ConnID]*attempt{},
		latestConn:     map[leases.ID]node.ConnID{},
		connAddrs:      map[node.ConnID]string{},
		executorByAddr: map[string]policy.ExecutorID{},
		addrByExecutor: map[policy.ExecutorID]string{},
	}
	for i, name := range classNames {
		m.classes[name] = newJobClass(policy.JobClassID(len(classNames)+i), classes[i])
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Start recovers the jobs in the store and wraps the reducer's edges: the reducer must use the returned ones.
func (m *Manager) Start(post func(node.Event), frontend node.Frontend, upstream node.Upstream) (node.Frontend, node.Upstream) {
	m.post, m.frontend, m.upstream = post, frontend, upstream
	m.recover()
	return (*frontendEdge)(m), (*upstreamEdge)(m)
}

// errClosed ends the submissions that wait for their record when the manager closes.
var errClosed = errors.New("the node ends")

// Close ends the manager after the reducer has ended. Records that are queued are written before the store is closed.
func (m *Manager) Close() error {
	m.cancel()
	m.mu.Lock()
	if m.timer != nil {
		m.timer.Stop()
	}
	for _, id := range slices.Collect(maps.Keys(m.ackWaiters)) {
		m.acknowledge(id, errClosed)
	}
	counts := m.book.Counts()
	m.mu.Unlock()
	err := m.store.Close()
	m.log.Info().
		Int("waiting", counts[leases.Waiting]+counts[leases.Dispatched]).
		Int("done", counts[leases.Done]).
		Err(err).
		Msg("the store is closed")
	return err
}

// now is the time of day as package leases takes it: since 1970.
func now() time.Duration { return sinceEpoch(time.Now()) }

// sinceEpoch converts a time of day to the form that package leases takes.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }
