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
	Of        int           `json:"Of"`
	Tenants   int           `json:"Tenants"`
	Rate      float64       `json:"Rate"`
	Work      time.Duration `json:"Work"`
	Most      time.Duration `json:"Most"`   // of CPU
	Skip      int           `json:"Skip"`   // starts that are not counted, the first ones
	Starts    int           `json:"Starts"` // after them, at the most
}

type moduleFigures struct {
	Starts  int     `json:"Starts"`
	PerUs   float64 `json:"PerUs"` // microseconds of CPU a start
	Heap    int64   `json:"Heap"`  // bytes that its state holds
	Handled int     `json:"Handled"`
	Out     int     `json:"Out"`  // allocations at the end
	Held    int     `json:"Held"` // batch jobs that waited then
	Wrong   string  `json:"Wrong"`
}

type moduleOut struct {
	id policy.JobID
	n  policy.AttemptID
}

type moduleEnd struct {
	at time.Duration
	moduleOut
}

type moduleEnds []moduleEnd

func (e moduleEnds) Len() int           { return len(e) }
func (e moduleEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e moduleEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *moduleEnds) Push(x any)        { *e = append(*e, x.(moduleEnd)) }
func (e *moduleEnds) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (m *moduleJob) budget() time.Duration { return max(5*time.Second, 5*m.Work) }

func (m *moduleJob) settings() policy.Settings {
	s := policy.Settings{Seed: 7, Nodes: m.Of, TotalWeight: 1, MaxAttempts: 3, MayCancel: true, MaxRetryAfter: 2 * time.Second, Quantum: 4 * time.Millisecond,
		ValuePerWork: true, SlowStartCapacity: 0.3, SlowStartDuration: 9 * time.Second, OverloadMultiple: 4, OverloadWindow: 1500 * time.Millisecond, StartNotices: true,
		JobClasses: []policy.JobClass{{LatencyObjective: max(time.Second, 3*m.Work), Deadline: m.budget(), Value: 2}}}
	for range m.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerSecond: m.Rate * float64(m.Of) / float64(m.Tenants)})
	}
	return s
}

// player is the module and what surrounds it.
type player struct {
	m        *moduleJob
	d        *policy.Dispatcher
	now      time.Duration
	ends     moduleEnds
	sent     map[policy.JobID]policy.AttemptID
	out      map[moduleOut]policy.ExecutorID
	running  map[policy.ExecutorID]int
	starts   int
	handled  int
	rejected int
	next     time.Duration // when the module wants to be asked again
}

func (m *moduleJob) play() (f moduleFigures) {
	before := heapNow()
	p := &player{m: m, d: policy.New(m.settings()), sent: map[policy.JobID]policy.AttemptID{}, running: map[policy.ExecutorID]int{}, out: map[moduleOut]policy.ExecutorID{}}
	var entries []policy.Endpoint
	for i := range m.Executors {
		entries = append(entries, policy.Endpoint{Executor: executorID(i), Zone: policy.ZoneID(i % 4), Cell: policy.CellID(i / 40), Weight: float64(places(i)), StartedLongAgo: true})
	}
	p.d.UpdateEndpoints(0, policy.CompleteUpdate, entries)
	p.due()
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
			if err = e; at-began > m.Most {
				break
			}
		}
		arrives := time.Duration(float64(arrivals) / m.Rate * 1e9)
		p.now = min(arrives, p.next)
		if len(p.ends) > 0 {
			p.now = min(p.now, p.ends[0].at)
		}
		switch {
		case len(p.ends) > 0 && p.ends[0].at == p.now:
			e := heap.Pop(&p.ends).(moduleEnd)
			p.end(e.id, e.n, policy.Succeeded)
		case arrives == p.now:
			tenant := policy.TenantID(-1)
			if m.Tenants > 0 {
				tenant = policy.TenantID(arrivals % m.Tenants)
			}
			p.d.JobArrived(p.now, policy.Arrival{Job: policy.JobID(fmt.Sprint("j", arrivals)), Tenant: tenant, Work: m.Work, Budget: m.budget()})
			arrivals++
		}
		p.due()
		if arrivals > 20*(m.Skip+m.Starts) {
			err = fmt.Errorf("the module starts nothing: %d starts, %d arrivals, now %v next %v ends %d handled %d", p.starts, arrivals, p.now, p.next, len(p.ends), p.handled)
		}
	}
	end, e := cpu(os.Getpid())
	if err = errors.Join(err, e); err != nil {
		return moduleFigures{Wrong: err.Error()}
	}
	f.Starts, f.Handled, f.Out = p.starts-first, p.handled, len(p.out)
	f.Held = arrivals - p.handled - p.rejected - f.Out
	f.PerUs = float64((end - began).Nanoseconds()) / 1e3 / float64(max(1, f.Starts))
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

// due does what the module has due, as the reducer does.
func (p *player) due() {
	for {
		switch due := p.d.NextTask(p.now); due.Task {
		case policy.PlaceJob:
			p.does(due.Job, p.d.Place(p.now, due.Job))
		case policy.CancelAttempt:
			p.end(due.Job, due.Attempt, policy.Canceled)
		case policy.Sleep:
			p.next = max(due.At, p.now+1)
			return
		}
	}
}

func (p *player) does(id policy.JobID, what policy.Decision) {
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
	out := moduleOut{id, n}
	p.out[out] = what.Executor
	heap.Push(&p.ends, moduleEnd{p.now + p.m.Work, out})
	p.d.AttemptStarted(p.now, id, n)
}

// end ends an allocation, unless it has ended before.
func (p *player) end(id policy.JobID, n policy.AttemptID, how policy.Outcome) {
	out := moduleOut{id, n}
	on, is := p.out[out]
	if !is {
		return
	}
	delete(p.out, out)
	p.running[on]--
	if how == policy.Succeeded {
		p.handled++
		p.d.LoadReported(on, policy.Load{InFlight: float64(p.running[on]), FreeSlots: float64(100 - p.running[on]), FreeMemory: -1, RunTime: -1})
		delete(p.sent, id)
	}
	p.does(id, p.d.AttemptEnded(p.now, id, n, how, how == policy.Succeeded))
}
