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

// moduleJob plays the decision module alone on a virtual clock, as the reducer calls it: no sockets, no kernel, and tenants, which the platform's protocol has no
// header for. Batch jobs come at a steady rate and take a fixed time.
type moduleJob struct {
	Executors int           `json:"Executors"`
	FleetSize int           `json:"Of"`
	Tenants   int           `json:"Tenants"`
	Rate      float64       `json:"Rate"`
	Work      time.Duration `json:"Work"`
	MaxCPU    time.Duration `json:"Most"`   // of CPU
	Skip      int           `json:"Skip"`   // starts that are not counted, the first ones
	Starts    int           `json:"Starts"` // after them, at the most
}

type moduleFigures struct {
	Starts         int     `json:"Starts"`
	MicrosPerStart float64 `json:"PerUs"` // microseconds of CPU a start
	Heap           int64   `json:"Heap"`  // bytes that its state holds
	Succeeded      int     `json:"Handled"`
	InFlight       int     `json:"Out"`  // allocations at the end
	Queued         int     `json:"Held"` // batch jobs that waited then
	Error          string  `json:"Wrong"`
}

type moduleAttempt struct {
	id     policy.JobID
	number policy.AttemptID
}

type moduleEnd struct {
	at time.Duration
	moduleAttempt
}

type moduleEndHeap []moduleEnd

func (e moduleEndHeap) Len() int           { return len(e) }
func (e moduleEndHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e moduleEndHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *moduleEndHeap) Push(x any)        { *e = append(*e, x.(moduleEnd)) }
func (e *moduleEndHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (m *moduleJob) budget() time.Duration { return max(5*time.Second, 5*m.Work) }

func (m *moduleJob) settings() policy.Settings {
	s := policy.Settings{Seed: 7, Nodes: m.FleetSize, TotalWeight: 1, MaxAttempts: 3, MayCancel: true, MaxRetryAfter: 2 * time.Second, Quantum: 4 * time.Millisecond,
		ValuePerWork: true, SlowStartCapacity: 0.3, SlowStartDuration: 9 * time.Second, OverloadMultiple: 4, OverloadWindow: 1500 * time.Millisecond, StartNotices: true,
		JobClasses: []policy.JobClass{{LatencyObjective: max(time.Second, 3*m.Work), Deadline: m.budget(), Value: 2}}}
	for range m.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerSecond: m.Rate * float64(m.FleetSize) / float64(m.Tenants)})
	}
	return s
}

// modulePlayer is the module and what surrounds it.
type modulePlayer struct {
	job        *moduleJob
	dispatcher *policy.Dispatcher
	now        time.Duration
	ends       moduleEndHeap
	sent       map[policy.JobID]policy.AttemptID
	inFlight   map[moduleAttempt]policy.ExecutorID
	running    map[policy.ExecutorID]int
	starts     int
	succeeded  int
	rejected   int
	wakeAt     time.Duration // when the module wants to be asked again
}

func (m *moduleJob) play() (f moduleFigures) {
	before := heapNow()
	p := &modulePlayer{job: m, dispatcher: policy.New(m.settings()), sent: map[policy.JobID]policy.AttemptID{}, running: map[policy.ExecutorID]int{}, inFlight: map[moduleAttempt]policy.ExecutorID{}}
	var entries []policy.Endpoint
	for i := range m.Executors {
		entries = append(entries, policy.Endpoint{Executor: executorID(i), Zone: policy.ZoneID(i % 4), Cell: policy.CellID(i / 40), Weight: float64(slots(i)), StartedLongAgo: true})
	}
	p.dispatcher.UpdateEndpoints(0, policy.CompleteUpdate, entries)
	p.runDue()
	arrivals, began, err := 0, time.Duration(0), error(nil)
	first := -1
	for err == nil {
		if first < 0 && p.starts >= m.Skip {
			first = p.starts
			began, err = cpu(os.Getpid())
		}
		if p.starts >= m.Skip+m.Starts {
			break
		}
		if first >= 0 && p.starts%16 == 0 {
			at, e := cpu(os.Getpid())
			if err = e; at-began > m.MaxCPU {
				break
			}
		}
		arrives := time.Duration(float64(arrivals) / m.Rate * 1e9)
		p.now = min(arrives, p.wakeAt)
		if len(p.ends) > 0 {
			p.now = min(p.now, p.ends[0].at)
		}
		switch {
		case len(p.ends) > 0 && p.ends[0].at == p.now:
			e := heap.Pop(&p.ends).(moduleEnd)
			p.endAttempt(e.id, e.number, policy.Succeeded)
		case arrives == p.now:
			tenant := policy.TenantID(-1)
			if m.Tenants > 0 {
				tenant = policy.TenantID(arrivals % m.Tenants)
			}
			p.dispatcher.JobArrived(p.now, policy.Arrival{Job: policy.JobID(fmt.Sprint("j", arrivals)), Tenant: tenant, Work: m.Work, Budget: m.budget()})
			arrivals++
		}
		p.runDue()
		if arrivals > 20*(m.Skip+m.Starts) {
			err = fmt.Errorf("the module starts nothing: %d starts, %d arrivals, now %v next %v ends %d handled %d", p.starts, arrivals, p.now, p.wakeAt, len(p.ends), p.succeeded)
		}
	}
	end, e := cpu(os.Getpid())
	if err = errors.Join(err, e); err != nil {
		return moduleFigures{Error: err.Error()}
	}
	f.Starts, f.Succeeded, f.InFlight = p.starts-first, p.succeeded, len(p.inFlight)
	f.Queued = arrivals - p.succeeded - p.rejected - f.InFlight
	f.MicrosPerStart = float64((end - began).Nanoseconds()) / 1e3 / float64(max(1, f.Starts))
	f.Heap = heapNow() - before
	runtime.KeepAlive(p)
	return f
}

func heapNow() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// runDue does what the module has due, as the reducer does.
func (p *modulePlayer) runDue() {
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

func (p *modulePlayer) apply(id policy.JobID, what policy.Decision) {
	if what.Action == policy.Reject || what.Action == policy.Fail {
		p.rejected++
	}
	if what.Action != policy.Send {
		return
	}
	n := p.sent[id]
	p.sent[id]++
	p.starts++
	p.running[what.Executor]++
	out := moduleAttempt{id, n}
	p.inFlight[out] = what.Executor
	heap.Push(&p.ends, moduleEnd{p.now + p.job.Work, out})
	p.dispatcher.AttemptStarted(p.now, id, n)
}

// endAttempt ends an allocation, unless it has ended before.
func (p *modulePlayer) endAttempt(id policy.JobID, n policy.AttemptID, how policy.Outcome) {
	out := moduleAttempt{id, n}
	on, is := p.inFlight[out]
	if !is {
		return
	}
	delete(p.inFlight, out)
	p.running[on]--
	if how == policy.Succeeded {
		p.succeeded++
		p.dispatcher.LoadReported(on, policy.Load{InFlight: float64(p.running[on]), FreeSlots: float64(100 - p.running[on]), FreeMemory: -1, RunTime: -1})
		delete(p.sent, id)
	}
	p.apply(id, p.dispatcher.AttemptEnded(p.now, id, n, how, how == policy.Succeeded))
}
