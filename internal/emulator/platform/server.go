package platform

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// Executor serves allocations on connections, one at a time on each, and questions about leases. It is the simplest of executors: all that comes runs at
// once, for a time of its own.
type Executor struct {
	ID        policy.ExecutorID
	Ran       func(policy.JobID)   // told of each effect
	Takes     func() time.Duration // how long the next one takes
	Leases    bool                 // it answers questions about leases
	Forgetful bool                 // it says "never" to all of them, and runs an epoch twice: a planted defect
	Places    int                  // that run at once; what comes beyond them is turned away; 0: there is no bound
	Reports   bool                 // its answers tell its load, where there is a bound

	mu      sync.Mutex
	lease   *emulator.Leaser
	running int
	most    int
}

// Most is how many ran at once at the most.
func (e *Executor) Most() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.most
}

// Restart forgets all that it knows of leases, as its process does.
func (e *Executor) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease == nil {
		e.lease = emulator.NewLeaser()
	}
	e.lease.Restart()
}

// Serve takes connections until the listener ends.
func (e *Executor) Serve(l net.Listener) {
	e.mu.Lock()
	if e.lease == nil {
		e.lease = emulator.NewLeaser()
	}
	e.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *Executor) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		m, err := ReadAllocation(r)
		switch {
		case err != nil:
			return
		case m.Ask:
			c.Write(e.leaseAnswer(m)) //nolint:errcheck // the connection ends here either way
			return
		case !e.accept(m):
			var a Answer
			b, _ := a.Append(nil, emulator.Say{Job: m.Job, Word: emulator.NoRoom, Load: e.load()}, e.ID, "")
			if _, err := c.Write(b); err != nil {
				return
			}
		default:
			if !e.run(c, m) {
				return
			}
		}
	}
}

func (e *Executor) leaseAnswer(m Message) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.Leases {
		return []byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
	state, result := e.lease.Ask(m.Job, m.Epoch)
	if e.Forgetful {
		state = "never"
	}
	return AppendFound(nil, state, result)
}

func (e *Executor) accept(m Message) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Places > 0 && e.running >= e.Places || !e.lease.Take(m.Job, m.Epoch) && !e.Forgetful {
		return false
	}
	e.running++
	e.most = max(e.most, e.running)
	return true
}

// load is what it tells of itself.
func (e *Executor) load() emulator.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.Reports || e.Places == 0 {
		return emulator.Load{}
	}
	return emulator.Load{Held: float64(e.running), Free: float64(e.Places - e.running), Known: true}
}

func (e *Executor) run(c net.Conn, m Message) bool {
	e.Ran(m.Job)
	var a Answer
	b, _ := a.Append(nil, emulator.Say{Job: m.Job, Word: emulator.Began}, e.ID, "")
	_, began := c.Write(b)
	time.Sleep(e.Takes())
	result := Result(string(m.Job))
	e.mu.Lock()
	e.lease.Finish(m.Job, m.Epoch, []byte(result))
	e.running--
	e.mu.Unlock()
	b, _ = a.Append(nil, emulator.Say{Job: m.Job, Word: emulator.Done, Load: e.load()}, e.ID, result)
	_, done := c.Write(b)
	return errors.Join(began, done) == nil
}

// Discovery names the same executors to all nodes, and at once.
type Discovery struct {
	Entries []emulator.Entry // at the start
	Zones   []string
	Epoch   time.Time // at which the entries' starts count from 0; the present where it is left out

	mu      sync.Mutex
	model   *emulator.Discovery
	changed chan struct{} // closed with the next change
}

const noDelay = time.Duration(1<<63 - 1) // discovery tells at once, so all that has changed may be told

// modelLocked is the model behind it. It is called with d.mu held.
func (d *Discovery) modelLocked() *emulator.Discovery {
	if d.model == nil {
		d.model, d.changed = emulator.NewDiscovery(0), make(chan struct{})
		for _, e := range d.Entries {
			d.model.Change(0, e)
		}
	}
	return d.model
}

// Change changes entries, all in one step.
func (d *Discovery) Change(entries ...emulator.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.modelLocked()
	for _, e := range entries {
		list.Change(0, e)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// answer is what a call gets now, and what to wait for where there is nothing new.
func (d *Discovery) answer(watch Watch, over bool) ([]byte, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version, entries := d.modelLocked().Since(noDelay, watch.From)
	if watch.Whole {
		entries = d.modelLocked().Whole(noDelay)
	}
	if !watch.Whole && !over && len(entries) == 0 {
		return nil, d.changed
	}
	epoch := d.Epoch
	if epoch.IsZero() {
		epoch = time.Now()
	}
	return AppendList(nil, version, watch.Whole, entries, d.Zones, epoch), nil
}

// Serve takes connections until the listener ends.
func (d *Discovery) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				ask, err := ReadWatch(r)
				if err != nil {
					return
				}
				until := time.After(ask.Hold)
				answer, news := d.answer(ask, false)
				for over := false; answer == nil; answer, news = d.answer(ask, over) {
					select {
					case <-news:
					case <-until:
						over = true
					}
				}
				if _, err := c.Write(answer); err != nil {
					return
				}
			}
		}()
	}
}
