package scaletest

import (
	"container/heap"
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"

	"birchstair/policy"
)

// policyJob measures the policy alone, without sockets and on a virtual clock, with the calls that a node's state
// machine makes. Only such a measurement can have tenants, since the platform's protocol has no header for them. Batch
// jobs arrive at a constant rate and take a fixed time.
type policyJob struct {
	Executors   int           `json:"Executors"`
	ClusterSize int           `json:"Of"`
	Tenants     int           `json:"Tenants"`
	Rate        float64       `json:"Rate"`
	Work        time.Duration `json:"Work"`
	MaxCPU      time.Duration `json:"Most"`   // CPU time after which the measurement ends even with fewer starts
	Skip        int           `json:"Skip"`   // number of first starts that are not measured
	Starts      int           `json:"Starts"` // largest number of starts that are measured
}

// policyFigures is the result of a policyJob.
type policyFigures struct {
	Starts         int     `json:"Starts"`
	MicrosPerStart float64 `json:"PerUs"`   // CPU time per start, in microseconds
	Heap           int64   `json:"Heap"`    // growth of the heap by the policy's state, in bytes
	Succeeded      int     `json:"Handled"` // batch jobs that succeeded
	InFlight       int     `json:"Out"`     // attempts in flight at the end
	Queued         int     `json:"Held"`    // batch jobs queued at the end
	Error          string  `json:"Wrong"`   // why the measurement failed; empty if it did not
}

// policyAttempt identifies an attempt of a batch job.
type policyAttempt struct {
	id     policy.JobID
	number policy.AttemptID
}

// attemptEnd is the scheduled end of an attempt.
type attemptEnd struct {
	at time.Duration
	policyAttempt
}

// attemptEndHeap is a heap of scheduled ends, the earliest first. It implements heap.Interface.
type attemptEndHeap []attemptEnd

// Len implements sort.Interface.
func (e attemptEndHeap) Len() int { return len(e) }

// Less implements sort.Interface.
func (e attemptEndHeap) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap implements sort.Interface.
func (e attemptEndHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *attemptEndHeap) Push(x any) { *e = append(*e, x.(attemptEnd)) }

// Pop implements heap.Interface.
func (e *attemptEndHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (m *policyJob) budget() time.Duration { return max(5*time.Second, 5*m.Work) }

func (m *policyJob) settings() policy.Settings {
	s := policy.Settings{Seed: 7, Nodes: m.ClusterSize, TotalWeight: 1, MaxAttempts: 3, MayCancel: true, MaxRetryAfter: 2 * time.Second, Quantum: 4 * time.Millisecond,
		ValuePerWork: true, SlowStartCapacity: 0.3, SlowStartDuration: 9 * time.Second, OverloadMultiple: 4, OverloadWindow: 1500 * time.Millisecond, StartNotices: true,
		JobClasses: []policy.JobClass{{LatencyObjective: max(time.Second, 3*m.Work), Deadline: m.budget(), Value: 2}}}
	for range m.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerSecond: m.Rate * float64(m.ClusterSize) / float64(m.Tenants)})
	}
	return s
}

// policyRun is the policy together with the arrivals and executors that it is measured with.
type policyRun struct {
	job        *policyJob
	dispatcher *policy.Dispatcher
	now        time.Duration
	ends       attemptEndHeap
	sent       map[policy.JobID]policy.AttemptID
	inFlight   map[policyAttempt]policy.ExecutorID
	running    map[policy.ExecutorID]int
	arrivals   int
	starts     int
	succeeded  int
	rejected   int
	wakeAt     time.Duration // when the policy wants to be called next
}

// play runs the policy until enough starts have been measured or the CPU time is used up.
func (m *policyJob) play() (f policyFigures) {
	before := heapNow()
	p := newPolicyRun(m)
	p.publishExecutors()
	p.runDue()
	first, began, err := p.run()
	end, cpuErr := cpu(os.Getpid())
	if err = errors.Join(err, cpuErr); err != nil {
		return policyFigures{Error: err.Error()}
	}
	f.Starts, f.Succeeded, f.InFlight = p.starts-first, p.succeeded, len(p.inFlight)
	f.Queued = p.arrivals - p.succeeded - p.rejected - f.InFlight
	f.MicrosPerStart = float64((end - began).Nanoseconds()) / 1e3 / float64(max(1, f.Starts))
	f.Heap = heapNow() - before
	runtime.KeepAlive(p)
	return f
}

func newPolicyRun(m *policyJob) *policyRun {
	return &policyRun{
		job:        m,
		dispatcher: policy.New(m.settings()),
		sent:       map[policy.JobID]policy.AttemptID{},
		running:    map[policy.ExecutorID]int{},
		inFlight:   map[policyAttempt]policy.ExecutorID{},
	}
}

func (p *policyRun) publishExecutors() {
	var entries []policy.Endpoint
	for i := range p.job.Executors {
		entries = append(entries, policy.Endpoint{Executor: executorID(i), Zone: policy.ZoneID(i % 4), Cell: policy.CellID(i / 40), Weight: float64(slots(i)), StartedLongAgo: true})
	}
	p.dispatcher.UpdateEndpoints(0, policy.CompleteUpdate, entries)
}

// run advances the virtual clock until the measurement is complete. It returns the number of the first start that is
// measured, and the CPU time of this process at that point.
func (p *policyRun) run() (first int, began time.Duration, err error) {
	m := p.job
	first = -1
	for err == nil {
		if first < 0 && p.starts >= m.Skip {
			first = p.starts
			began, err = cpu(os.Getpid())
		}
		if p.starts >= m.Skip+m.Starts {
			break
		}
		if first >= 0 && p.starts%cpuCheckInterval == 0 {
			now, cpuErr := cpu(os.Getpid())
			if err = cpuErr; now-began > m.MaxCPU {
				break
			}
		}
		p.step()
		if p.arrivals > 20*(m.Skip+m.Starts) {
			err = fmt.Errorf("the policy starts too few attempts: %d starts, %d arrivals, now %v next %v ends %d handled %d",
				p.starts, p.arrivals, p.now, p.wakeAt, len(p.ends), p.succeeded)
		}
	}
	return first, began, err
}

// cpuCheckInterval is the number of starts between two readings of the CPU time.
const cpuCheckInterval = 16

// step advances the clock to the next event and handles it. An event is the end of an attempt, the arrival of a batch
// job, or the time at which the policy wants to be called.
func (p *policyRun) step() {
	m := p.job
	arrives := time.Duration(float64(p.arrivals) / m.Rate * 1e9)
	p.now = min(arrives, p.wakeAt)
	if len(p.ends) > 0 {
		p.now = min(p.now, p.ends[0].at)
	}
	switch {
	case len(p.ends) > 0 && p.ends[0].at == p.now:
		e := heap.Pop(&p.ends).(attemptEnd)
		p.endAttempt(e.id, e.number, policy.Succeeded)
	case arrives == p.now:
		tenant := policy.TenantID(-1)
		if m.Tenants > 0 {
			tenant = policy.TenantID(p.arrivals % m.Tenants)
		}
		p.dispatcher.JobArrived(p.now, policy.Arrival{Job: policy.JobID(fmt.Sprint("j", p.arrivals)), Tenant: tenant, Work: m.Work, Budget: m.budget()})
		p.arrivals++
	}
	p.runDue()
}

// heapNow collects garbage and returns the bytes of allocated heap objects.
func heapNow() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// runDue carries out the policy's due tasks, as a node's state machine does.
func (p *policyRun) runDue() {
	for {
		switch due := p.dispatcher.NextTask(p.now); due.Task {
		case policy.PlaceJob:
			p.apply(due.Job, p.dispatcher.Place(p.now, due.Job))
		case policy.CancelAttempt:
			p.endAttempt(due.Job, due.Attempt, policy.Canceled)
		case policy.Sleep:
			p.wakeAt = max(due.At, p.now+1)
			return
		}
	}
}

// apply carries out the policy's decision on a batch job.
func (p *policyRun) apply(id policy.JobID, decision policy.Decision) {
	if decision.Action == policy.Reject || decision.Action == policy.Fail {
		p.rejected++
	}
	if decision.Action != policy.Send {
		return
	}
	n := p.sent[id]
	p.sent[id]++
	p.starts++
	p.running[decision.Executor]++
	attempt := policyAttempt{id, n}
	p.inFlight[attempt] = decision.Executor
	heap.Push(&p.ends, attemptEnd{p.now + p.job.Work, attempt})
	p.dispatcher.AttemptStarted(p.now, id, n)
}

// endAttempt informs the policy of the end of an attempt, unless the attempt has ended before.
func (p *policyRun) endAttempt(id policy.JobID, n policy.AttemptID, how policy.Outcome) {
	attempt := policyAttempt{id, n}
	executor, ok := p.inFlight[attempt]
	if !ok {
		return
	}
	delete(p.inFlight, attempt)
	p.running[executor]--
	if how == policy.Succeeded {
		p.succeeded++
		p.dispatcher.LoadReported(executor, policy.Load{InFlight: float64(p.running[executor]), FreeSlots: float64(100 - p.running[executor]), FreeMemory: -1, RunTime: -1})
		delete(p.sent, id)
	}
	p.apply(id, p.dispatcher.AttemptEnded(p.now, id, n, how, how == policy.Succeeded))
}
