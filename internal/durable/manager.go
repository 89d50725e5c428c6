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

// Options holds the operator's settings for durable jobs.
type Options struct {
	MaxDeadline time.Duration   // longest time until the deadline that a client can request
	Leases      leases.Settings // settings for concurrency, retention and lease queries
}

// Manager accepts durable batch jobs, keeps them in the store and submits them to the node's state machine.
type Manager struct {
	options     Options
	store       *store.Store
	log         zerolog.Logger
	queryClient *http.Client // sends lease queries to executors

	ctx    context.Context // context that Close ends
	cancel context.CancelFunc

	post     func(node.Event) // queues an event for the state machine
	frontend node.Frontend
	upstream node.Upstream

	mu             sync.Mutex
	classes        map[string]jobClass // durable classes by the name of their ordinary class
	jobTable       *leases.JobTable
	unwritten      map[leases.ID]*store.Record  // records of submissions that are not synced yet
	doneWaiters    map[leases.ID]chan struct{}  // channels that are closed when a job's final answer is in the store
	ackWaiters     map[leases.ID]chan error     // channels that receive the result of writing a submission's record
	attempts       map[node.ConnID]*attempt     // attempts of durable jobs that have not ended, by connection
	latestConn     map[leases.ID]node.ConnID    // the connection of each job's latest attempt
	connAddrs      map[node.ConnID]string       // addresses of the connections to executors
	executorByAddr map[string]policy.ExecutorID // executors by address, including those removed from the endpoint list
	addrByExecutor map[policy.ExecutorID]string // addresses of the executors in the endpoint list
	timer          *time.Timer                  // wakes the job table at the time of the last leases.Wake effect
	ready          bool                         // the node is ready, and submissions are accepted
	effects        []leases.Effect              // effects of the job table that are not carried out yet, in the order in which it returned them
	applying       bool                         // a goroutine carries out effects
	faults         faults
}

// faults selects defects that tests inject. Production code sets none of its fields.
type faults struct {
	ackBeforeWrite    bool // submissions are acknowledged before their record is synced
	sendBeforeWrite   bool // attempts are sent before their record is synced
	omitEpoch         bool // attempts are sent without an epoch
	allEndsAsNeverRan bool // every attempt that ends is treated as if it had never run
}

// attempt is an attempt of a durable job. It has been sent to its executor, or will be sent once its record is synced.
type attempt struct {
	id        leases.ID
	lease     leases.LeaseID
	epoch     leases.Epoch
	request   node.Attempt
	startedAt time.Time // when the budget in request was right
}

// New returns a manager of the jobs in a store. The manager owns the store, and Close closes the store. classNames and classes
// are the job classes of the settings, without the durable classes that AddClasses appends. The manager sends no events to the
// state machine before Start is called.
func New(options Options, jobs *store.Store, classNames []string, classes []policy.JobClass, dial DialFunc, log zerolog.Logger) *Manager {
	m := &Manager{
		options:        options,
		store:          jobs,
		log:            log,
		queryClient:    newQueryClient(dial),
		classes:        map[string]jobClass{},
		jobTable:       leases.NewJobTable(options.Leases),
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

// Start recovers the jobs in the store. It returns wrappers of the frontend and the upstream, which the state machine must use in
// place of the originals.
func (m *Manager) Start(post func(node.Event), frontend node.Frontend, upstream node.Upstream) (node.Frontend, node.Upstream) {
	m.post, m.frontend, m.upstream = post, frontend, upstream
	m.recover()
	return (*frontendInterceptor)(m), (*upstreamInterceptor)(m)
}

// errClosed is the result of a submission whose record is not synced when the manager is closed.
var errClosed = errors.New("the node is shutting down")

// Close stops the manager, waits until all queued records are written, and closes the store. It must be called after the node's
// event loop has ended.
func (m *Manager) Close() error {
	m.cancel()
	m.mu.Lock()
	if m.timer != nil {
		m.timer.Stop()
	}
	for _, id := range slices.Collect(maps.Keys(m.ackWaiters)) {
		m.acknowledge(id, errClosed)
	}
	counts := m.jobTable.Counts()
	m.mu.Unlock()
	err := m.store.Close()
	m.log.Info().
		Int("waiting", counts[leases.Waiting]+counts[leases.Dispatched]).
		Int("done", counts[leases.Done]).
		Err(err).
		Msg("the store is closed")
	return err
}

// now returns the current time as the duration since 1970, which is how package leases represents times.
func now() time.Duration { return sinceEpoch(time.Now()) }

// sinceEpoch converts a time to the duration since 1970, which is how package leases represents times.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }
