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

// jobIDPrefix starts the IDs that durable jobs have in the node's state machine, so that they differ from the IDs of ordinary
// jobs.
const jobIDPrefix = "durable-"

// Options are the operator's settings.
type Options struct {
	MaxDeadline time.Duration   // the longest time until the deadline that a client may request
	Leases      leases.Settings // concurrency, retention and lease queries
}

// Manager accepts durable batch jobs, keeps them in the store and submits them to the node's state machine.
type Manager struct {
	options     Options
	store       *store.Store
	log         zerolog.Logger
	queryClient *http.Client // sends lease queries to executors

	ctx    context.Context // ends with Close
	cancel context.CancelFunc

	post     func(node.Event) // queues an event for the state machine
	frontend node.Frontend
	upstream node.Upstream

	mu              sync.Mutex
	classes         map[string]jobClass // durable classes, by the names of their ordinary classes
	jobTable        *leases.JobTable
	unwritten       map[leases.ID]*store.Record  // records of submissions that are not in the store yet
	doneWaiters     map[leases.ID]chan struct{}  // closed when the final answer is in the store
	ackWaiters      map[leases.ID]chan error     // receives the result of writing the record of a submission
	attempts        map[node.ConnID]*attempt     // attempts that have not ended, by connection
	latestConn      map[leases.ID]node.ConnID    // the connection of each job's latest attempt
	connAddrs       map[node.ConnID]string       // addresses of the connections to executors
	executorByAddr  map[string]policy.ExecutorID // includes executors that were removed from the endpoint list
	addrByExecutor  map[policy.ExecutorID]string
	timer           *time.Timer     // wakes the job table when it has work due
	ready           bool            // the node is ready, so that submissions are accepted
	recoveryEffects []leases.Effect // effects of the recovery, to be carried out once the node is ready
	faults          faults
}

// faults are defects that tests inject. Production code sets none of them.
type faults struct {
	ackBeforeWrite    bool // acknowledge a submission before its record is synced
	sendBeforeWrite   bool // send an attempt before its record is synced
	omitEpoch         bool // send attempts without an epoch
	allEndsAsNeverRan bool // treat every attempt that ends as one that never ran
}

// attempt is an attempt that was sent to its executor, or will be sent once its record is synced.
type attempt struct {
	id      leases.ID
	epoch   leases.Epoch
	request node.Attempt
}

// New returns a manager of the jobs in a store. The manager owns the store from now on and closes it in Close. classNames and
// classes are the job classes of the settings, without the durable ones that AddClasses appends. The manager sends no events
// to the state machine before Start.
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

// Start recovers the jobs in the store. It returns the frontend and the upstream that the state machine must use in place of
// those given.
func (m *Manager) Start(post func(node.Event), frontend node.Frontend, upstream node.Upstream) (node.Frontend, node.Upstream) {
	m.post, m.frontend, m.upstream = post, frontend, upstream
	m.recover()
	return (*frontendInterceptor)(m), (*upstreamInterceptor)(m)
}

// errClosed is the result of submissions whose record is not synced yet when the manager is closed.
var errClosed = errors.New("the node is shutting down")

// Close stops the manager and closes the store after all queued records are written. The node's event loop must have ended.
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

// now returns the time as package leases represents it, as the duration since 1970.
func now() time.Duration { return sinceEpoch(time.Now()) }

// sinceEpoch converts a time to the representation of package leases, the duration since 1970.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }
