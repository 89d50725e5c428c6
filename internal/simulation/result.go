package simulation

import (
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
)

// Result is the result of a simulation. Its JSON keys are a stable format.
type Result struct {
	Scenario   string                 `json:"scenario"`
	Seed       uint64                 `json:"seed"`
	Length     Span                   `json:"length"`
	Earned     float64                `json:"earned"`   // fraction of the offered value that was earned
	Best       float64                `json:"best"`     // upper bound of Earned, given the nodes and executors that were up; 0 if unknown
	Worst      float64                `json:"worst"`    // Earned in the worst window of 10 s
	WorstAt    Span                   `json:"worst_at"` // start of that window
	Classes    []ClassResult          `json:"tracks"`   // one for each job class
	Violations []invariants.Violation `json:"broken"`   // violated invariants

	Attempts      int `json:"allocations"`
	Crossings     int `json:"crossings"`     // cross-zone attempts
	Hedges        int `json:"copies"`        // attempts that were sent while another one of the job was in flight
	HealthChecks  int `json:"probes"`        // health checks that nodes sent
	Dials         int `json:"dials"`         // connections that nodes tried to open
	FailedDials   int `json:"no_connection"` // dials that did not open a connection
	QueuedStarts  int `json:"starts_waited"` // attempts that waited in the executor's queue
	MaxQueued     int `json:"most_held"`     // largest number of jobs at a node without an attempt in flight
	Left          int `json:"left"`          // clients that disconnected before they had an answer
	Overloaded    int `json:"fell"`          // executors that crashed by overload in their slow start
	LeftQueued    int `json:"went_waiting"`  // clients that disconnected while their job had no attempt in flight
	SentLate      int `json:"sent_late"`     // attempts that were sent too long after the client had disconnected
	DuplicateRuns int `json:"late_twice"`    // jobs with an idempotency key that ran again, as an attempt was delayed in the network beyond the dedup window
	Wrong         int `json:"wrong"`         // answers that a node must never give; counted in networked simulations only
	Malformed     int `json:"bad"`           // malformed requests that were sent; in networked simulations only
	Panics        int `json:"panics"`        // panics of the policy, each contained to one job
	Steps         int `json:"steps"`         // events that were run
	PeerMessages  int `json:"words"`         // messages that nodes sent to each other

	Account *Account `json:"account,omitempty"`

	seconds     []resultSecond
	offers      []Offer
	capacity    []float64 // work that the executors could have done in each bin, in seconds on a standard core
	requestBody []byte
}

// ClassResult is the part of a result that belongs to one job class.
type ClassResult struct {
	Name      string  `json:"name"`
	Works     int     `json:"works"` // work items, each with one request or more
	Requests  int     `json:"tries"` // requests, retries among them
	Earned    float64 `json:"earned"`
	Succeeded int     `json:"handled"`     // requests that succeeded
	Rejected  int     `json:"pushed_back"` // requests that a node rejected
	Failed    int     `json:"broken_off"`  // requests that failed, or whose client gave up
	Unreached int     `json:"unreached"`   // requests that reached no node
	Lost      int     `json:"lost"`        // requests whose node ended, or whose connection broke

	valueOffered, valueEarned float64
}

// resultSecond is the offered and the earned value of the work items that arrived within one second.
type resultSecond struct{ valueOffered, valueEarned float64 }

func newResult(s Scenario, seed uint64) Result {
	r := Result{Scenario: s.Name, Seed: seed, Length: s.Length, seconds: make([]resultSecond, int(time.Duration(s.Length)/time.Second)+1)}
	for _, class := range s.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: class.Name})
	}
	return r
}

func (r *Result) secondOf(at time.Duration) *resultSecond {
	return &r.seconds[min(int(at/time.Second), len(r.seconds)-1)]
}

// recordWork records a new work item.
func (r *Result) recordWork(work *emulator.Work) {
	class := &r.Classes[work.Class]
	class.Works++
	class.valueOffered += work.Value
	r.secondOf(work.ArrivedAt).valueOffered += work.Value
	r.offers = append(r.offers, Offer{work.ArrivedAt, work.Objective, work.Cost, work.Value})
}

// recordRequestEnd records the end of a request and returns the value that it earned.
func (r *Result) recordRequestEnd(sim *Simulation, work *emulator.Work, end emulator.End) (earned float64) {
	class := &r.Classes[work.Class]
	class.Requests++
	switch end {
	case emulator.EndSucceeded:
		class.Succeeded++
		value := work.Value
		if sim.now > work.Objective {
			value *= sim.jobClasses[work.Class].LateValue
		}
		class.valueEarned += value
		r.secondOf(work.ArrivedAt).valueEarned += value
		return value
	case emulator.EndRejected:
		class.Rejected++
	case emulator.EndFailed:
		class.Failed++
	case emulator.EndUnreached:
		class.Unreached++
	case emulator.EndLost:
		class.Lost++
	}
	return 0
}

func (r *Result) recordMaxQueued(n *simNode) { r.MaxQueued = max(r.MaxQueued, n.maxQueued) }

// worstWindow is the length of the window of Result.Worst, in seconds.
const worstWindow = 10

// finish computes the fields that depend on the whole simulation, and releases what is not needed any more.
func (r *Result) finish(sim *Simulation) {
	for _, n := range sim.nodes {
		r.recordMaxQueued(n)
	}
	r.Steps, r.DuplicateRuns, r.LeftQueued, r.SentLate = sim.steps, sim.checker.LateReruns(), sim.checker.ClientsLeftWhileQueued(), sim.checker.LateAttempts()
	offered, earned := 0.0, 0.0
	for i := range r.Classes {
		class := &r.Classes[i]
		class.Earned = ratio(class.valueEarned, class.valueOffered)
		offered += class.valueOffered
		earned += class.valueEarned
	}
	r.Earned = ratio(earned, offered)
	if len(r.capacity) > 0 {
		r.Best = ratio(Best(r.offers, r.capacity), offered)
	}
	r.findWorst()
	r.offers, r.capacity, r.requestBody = nil, nil, nil
	if sim.account != nil {
		r.Account = sim.account.finish()
	}
}

// findWorst sets Worst and WorstAt.
func (r *Result) findWorst() {
	window := min(worstWindow, len(r.seconds))
	r.Worst = 2 // larger than any fraction
	for from := 0; from+window <= len(r.seconds); from++ {
		if earned := r.earnedOver(from, from+window); earned < r.Worst {
			r.Worst, r.WorstAt = earned, Span(time.Duration(from)*time.Second)
		}
	}
}

// earnedOver returns the fraction earned of the value that was offered in the seconds with from <= second < to.
func (r *Result) earnedOver(from, to int) float64 {
	offered, earned := 0.0, 0.0
	for _, second := range r.seconds[max(0, from):min(to, len(r.seconds))] {
		offered += second.valueOffered
		earned += second.valueEarned
	}
	return ratio(earned, offered)
}

// ratio returns share/total, or 1 if the total is 0.
func ratio(share, total float64) float64 {
	if total == 0 {
		return 1
	}
	return share / total
}

// Works returns the number of work items of all classes.
func (r *Result) Works() (n int) {
	for _, class := range r.Classes {
		n += class.Works
	}
	return n
}

// requests returns the number of requests of all classes.
func (r *Result) requests() (n int) {
	for _, class := range r.Classes {
		n += class.Requests
	}
	return n
}
