package simulation

import (
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
)

// Result is what came of a world.
type Result struct {
	Scenario   string                 `json:"scenario"`
	Seed       uint64                 `json:"seed"`
	Length     Span                   `json:"length"`
	Earned     float64                `json:"earned"` // share of the value offered that was earned
	Best       float64                `json:"best"`   // upper bound of Earned, by which nodes and executors were up; 0 if it is not known
	Worst      float64                `json:"worst"`  // Earned over the worst 10 s
	WorstAt    Span                   `json:"worst_at"`
	Classes    []ClassResult          `json:"tracks"` // by class
	Violations []invariants.Violation `json:"broken"` // violations of invariants

	Attempts      int `json:"allocations"` // attempts
	Crossings     int `json:"crossings"`   // attempts to another zone
	Hedges        int `json:"copies"`      // attempts while another one of the job was out
	HealthChecks  int `json:"probes"`
	Dials         int `json:"dials"`
	FailedDials   int `json:"no_connection"` // dials that failed
	QueuedStarts  int `json:"starts_waited"` // attempts that waited in their executor's queue
	MaxQueued     int `json:"most_held"`     // jobs without an attempt out at a node, at most
	Left          int `json:"left"`          // clients that left early
	Overloaded    int `json:"fell"`          // executors that fell over by overload
	LeftQueued    int `json:"went_waiting"`  // clients that left while their job had no attempt out
	SentLate      int `json:"sent_late"`     // attempts for clients that had left longer ago than is allowed
	DuplicateRuns int `json:"late_twice"`    // jobs with a key that were delayed on their way beyond the dedup window and ran again
	Wrong         int `json:"wrong"`         // answers that no node should give; seen in wired worlds
	Malformed     int `json:"bad"`           // malformed requests sent; in wired worlds
	Panics        int `json:"panics"`        // of the policy; each was contained to one job
	Steps         int `json:"steps"`         // events
	PeerMessages  int `json:"words"`         // messages between nodes

	Account *Account `json:"account,omitempty"`

	seconds     []resultSecond
	offers      []Offer
	capacity    []float64 // work that could be done in each bin
	requestBody []byte
}

// ClassResult is a class's part of a result.
type ClassResult struct {
	Name      string  `json:"name"`
	Works     int     `json:"works"` // each with one request or more
	Requests  int     `json:"tries"` // requests
	Earned    float64 `json:"earned"`
	Succeeded int     `json:"handled"` // requests that succeeded, and so on
	Rejected  int     `json:"pushed_back"`
	Failed    int     `json:"broken_off"`
	Unreached int     `json:"unreached"`
	Lost      int     `json:"lost"` // with their node

	valueOffered, valueEarned float64
}

// resultSecond is the value of the works that came in a second, and what they earned.
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

// recordWork records a new work.
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

// worstWindow is the number of seconds over which Worst is taken.
const worstWindow = 10

// finish fills in what is known at the world's end, and drops what is not needed any more.
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

// findWorst finds the worst window.
func (r *Result) findWorst() {
	window := min(worstWindow, len(r.seconds))
	r.Worst = 2 // over any share
	for from := 0; from+window <= len(r.seconds); from++ {
		if earned := r.earnedOver(from, from+window); earned < r.Worst {
			r.Worst, r.WorstAt = earned, Span(time.Duration(from)*time.Second)
		}
	}
}

// earnedOver is the share earned of the value offered in some seconds.
func (r *Result) earnedOver(from, to int) float64 {
	offered, earned := 0.0, 0.0
	for _, second := range r.seconds[max(0, from):min(to, len(r.seconds))] {
		offered += second.valueOffered
		earned += second.valueEarned
	}
	return ratio(earned, offered)
}

// ratio is a share of a total; 1 if the total is 0.
func ratio(share, total float64) float64 {
	if total == 0 {
		return 1
	}
	return share / total
}

// Works is the number of works that clients wanted.
func (r *Result) Works() (n int) {
	for _, class := range r.Classes {
		n += class.Works
	}
	return n
}

// requests is the number of requests that clients made.
func (r *Result) requests() (n int) {
	for _, class := range r.Classes {
		n += class.Requests
	}
	return n
}
