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

// Executor is a server that runs attempts, one at a time on each connection, and answers lease queries. An attempt
// starts at once and takes a time that the caller chooses. The exported fields must be set before Serve.
type Executor struct {
	ID            policy.ExecutorID
	OnEffect      func(policy.JobID)   // called for each effect
	RunTime       func() time.Duration // returns how long the next attempt takes
	Leases        bool                 // lease queries are answered
	ForgetsLeases bool                 // lease queries are answered with "never", and an epoch may run twice: a defect that tests inject
	Slots         int                  // how many attempts run at a time; further ones are rejected; 0 for no limit
	SendsLoad     bool                 // answers carry load reports, if Slots is not 0

	mu         sync.Mutex
	leases     *emulator.LeaseTable
	running    int
	maxRunning int
}

// MaxRunning returns the largest number of attempts that have run at the same time.
func (e *Executor) MaxRunning() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.maxRunning
}

// Restart drops all that the executor knows about leases, as a restart of its process does.
func (e *Executor) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leases == nil {
		e.leases = emulator.NewLeaseTable()
	}
	e.leases.Restart()
}

// Serve accepts connections until the listener is closed. It serves each one in a goroutine of its own, until the node
// closes it.
func (e *Executor) Serve(l net.Listener) {
	e.mu.Lock()
	if e.leases == nil {
		e.leases = emulator.NewLeaseTable()
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
		m, err := ReadAttempt(r)
		switch {
		case err != nil:
			return
		case m.LeaseQuery:
			c.Write(e.leaseAnswer(m)) //nolint:errcheck // the connection ends here either way
			return
		case !e.accept(m):
			var a Answer
			b, _ := a.Append(nil, emulator.Message{Job: m.Job, Kind: emulator.AttemptRejected, Load: e.loadReport()}, e.ID, "")
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

// leaseAnswer returns the answer to a lease query.
func (e *Executor) leaseAnswer(m Request) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.Leases {
		return []byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
	state, result := e.leases.Query(m.Job, m.Epoch)
	if e.ForgetsLeases {
		state = emulator.LeaseNever
	}
	return AppendLeaseAnswer(nil, state, result)
}

// accept reports whether an attempt may run, and counts it as running if it may.
func (e *Executor) accept(m Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Slots > 0 && e.running >= e.Slots || !e.leases.Accept(m.Job, m.Epoch) && !e.ForgetsLeases {
		return false
	}
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	return true
}

// loadReport returns the load report of the executor's next answer.
func (e *Executor) loadReport() emulator.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.SendsLoad || e.Slots == 0 {
		return emulator.Load{}
	}
	return emulator.Load{InFlight: float64(e.running), FreeSlots: float64(e.Slots - e.running), Known: true}
}

// run runs an attempt, and sends its messages. It reports whether all of them were sent.
func (e *Executor) run(c net.Conn, m Request) bool {
	e.OnEffect(m.Job)
	var a Answer
	b, _ := a.Append(nil, emulator.Message{Job: m.Job, Kind: emulator.AttemptStarted}, e.ID, "")
	_, began := c.Write(b)
	time.Sleep(e.RunTime())
	result := Result(string(m.Job))
	e.mu.Lock()
	e.leases.Finish(m.Job, m.Epoch, []byte(result))
	e.running--
	e.mu.Unlock()
	b, _ = a.Append(nil, emulator.Message{Job: m.Job, Kind: emulator.AttemptDone, Load: e.loadReport()}, e.ID, result)
	_, done := c.Write(b)
	return errors.Join(began, done) == nil
}
