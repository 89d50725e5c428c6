package simulation

import (
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
)

// Result is the result of a simulation. Its JSON keys are a stable format.
type Result struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Length   Span    `json:"length"`
	Earned   float64 `json:"earned"` // fraction of the offered value that was earned
	// Upper bound of Earned, given the nodes and executors that were up. It is 0 if it was not computed.
	Best       float64                `json:"best"`
	Worst      float64                `json:"worst"`    // value of Earned in the worst window of 10 s
	WorstAt    Span                   `json:"worst_at"` // start of the worst window of 10 s
	Classes    []ClassResult          `json:"tracks"`   // one result for each job class
	Violations []invariants.Violation `json:"broken"`   // violated invariants

	Attempts     int `json:"allocations"`
	Crossings    int `json:"crossings"`     // number of cross-zone attempts
	Hedges       int `json:"copies"`        // number of attempts that were sent while another attempt of the job was in flight
	HealthChecks int `json:"probes"`        // number of health checks that nodes sent
	Dials        int `json:"dials"`         // number of connections that nodes tried to open
	FailedDials  int `json:"no_connection"` // number of dials that did not open a connection
	QueuedStarts int `json:"starts_waited"` // number of attempts that started more than queuedStart after they were sent
	MaxQueued    int `json:"most_held"`     // largest number of jobs at a node without an attempt in flight
	Left         int `json:"left"`          // number of clients that disconnected before they had an answer
	Overloaded   int `json:"fell"`          // number of crashes of executors that were overloaded in their slow start
	LeftQueued   int `json:"went_waiting"`  // number of clients that disconnected while their job had no attempt in flight
	SentLate     int `json:"sent_late"`     // number of attempts that were sent too long after the client had disconnected
	// Number of jobs with an idempotency key that ran again, because an attempt was delayed in the network beyond the
	// dedup window.
	DuplicateRuns int `json:"late_twice"`
	Wrong         int `json:"wrong"`  // number of answers that a node must never give; counted only in networked simulations
	Malformed     int `json:"bad"`    // number of malformed requests that were sent; only in networked simulations
	Panics        int `json:"panics"` // number of panics of the policy; each affected only one job
	Steps         int `json:"steps"`  // number of events that were run
	PeerMessages  int `json:"words"`  // number of messages that nodes sent to each other

	Account *Account `json:"account,omitempty"`

	seconds     []resultSecond
	offers      []Offer
	capacity    []float64 // work that the executors could have done in each bin, in seconds on a standard core
	requestBody []byte
}

// ClassResult is the result of one job class.
type ClassResult struct {
	Name      string  `json:"name"`
	Works     int     `json:"works"` // number of work items; each has at least one request
	Requests  int     `json:"tries"` // number of requests, including retries
	Earned    float64 `json:"earned"`
	Succeeded int     `json:"handled"`     // number of requests that succeeded
	Rejected  int     `json:"pushed_back"` // number of requests that a node rejected
	Failed    int     `json:"broken_off"`  // number of requests that failed, or whose client gave up
	Unreached int     `json:"unreached"`   // number of requests that reached no node
	Lost      int     `json:"lost"`        // number of requests whose node ended, or whose connection broke

	valueOffered, valueEarned float64
}

// resultSecond is the offered and the earned value of the work items that clients submitted within one second.
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

// finish computes the fields that depend on the whole simulation, and releases the data that is not needed any more.
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
	r.Worst = 2 // 2 is larger than any fraction, so the first window replaces it
	for from := 0; from+window <= len(r.seconds); from++ {
		if earned := r.earnedOver(from, from+window); earned < r.Worst {
			r.Worst, r.WorstAt = earned, Span(time.Duration(from)*time.Second)
		}
	}
}

// earnedOver returns the earned fraction of the value that was offered in the seconds from <= second < to.
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
