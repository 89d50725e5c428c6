package simulation

import (
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
)

// Result is what came of a world.
type Result struct {
	Scenario string              `json:"scenario"`
	Seed     uint64              `json:"seed"`
	Length   Span                `json:"length"`
	Earned   float64             `json:"earned"` // part of the earnings asked for that was answered in the quoted time
	Best     float64             `json:"best"`   // the most of it that could have been, by what nodes and executors were there; 0 where it is not reckoned
	Worst    float64             `json:"worst"`  // the same over the worst 10 s
	WorstAt  Span                `json:"worst_at"`
	Tracks   []TrackResult       `json:"tracks"`
	Broken   []invariants.Broken `json:"broken"`

	Allocations  int `json:"allocations"`
	Crossings    int `json:"crossings"` // allocations to another zone
	Copies       int `json:"copies"`    // allocations while another of the batch job was out
	Probes       int `json:"probes"`
	Dials        int `json:"dials"`
	NoConnection int `json:"no_connection"` // dials that led nowhere
	StartsWaited int `json:"starts_waited"`
	MostHeld     int `json:"most_held"` // by any node
	Left         int `json:"left"`      // clients that left early
	Fell         int `json:"fell"`
	WentWaiting  int `json:"went_waiting"` // of clients that left, those whose batch jobs waited with nothing out
	SentLate     int `json:"sent_late"`    // attempts for clients that had left longer ago than is allowed
	LateTwice    int `json:"late_twice"`   // tagged ones held up on the way for longer than their window, that ran again
	Wrong        int `json:"wrong"`        // answers that no node should give; seen where the world is wired
	Bad          int `json:"bad"`          // bad clients that came
	Panics       int `json:"panics"`       // of the module, kept to one batch job
	Steps        int `json:"steps"`
	Words        int `json:"words"` // that nodes told each other

	Account *Account `json:"account,omitempty"`

	seconds     []resultSecond
	offers      []Offer
	capacity    []float64 // work that could be done in each bin
	requestBody []byte
}

// TrackResult is a track's part of it.
type TrackResult struct {
	Name       string  `json:"name"`
	Works      int     `json:"works"` // things wanted, over all tries
	Tries      int     `json:"tries"`
	Earned     float64 `json:"earned"`
	Handled    int     `json:"handled"` // tries, by how they ended
	PushedBack int     `json:"pushed_back"`
	BrokenOff  int     `json:"broken_off"`
	Unreached  int     `json:"unreached"`
	Lost       int     `json:"lost"` // with their node

	valueOffered, valueEarned float64
}

// resultSecond is what was asked for in a second, and what of that was earned.
type resultSecond struct{ valueOffered, valueEarned float64 }

func newResult(s Scenario, seed uint64) Result {
	r := Result{Scenario: s.Name, Seed: seed, Length: s.Length, seconds: make([]resultSecond, int(time.Duration(s.Length)/time.Second)+1)}
	for _, t := range s.Tracks {
		r.Tracks = append(r.Tracks, TrackResult{Name: t.Name})
	}
	return r
}

func (r *Result) secondOf(at time.Duration) *resultSecond {
	return &r.seconds[min(int(at/time.Second), len(r.seconds)-1)]
}

func (r *Result) recordWork(work *emulator.Work) {
	t := &r.Tracks[work.Track]
	t.Works++
	t.valueOffered += work.Earns
	r.secondOf(work.Came).valueOffered += work.Earns
	r.offers = append(r.offers, Offer{work.Came, work.Quoted, work.Cost, work.Earns})
}

// recordRequestEnd books the end of a try, and gives what it earned.
func (r *Result) recordRequestEnd(w *World, work *emulator.Work, how emulator.End) (earned float64) {
	t := &r.Tracks[work.Track]
	t.Tries++
	switch how {
	case emulator.EndHandled:
		t.Handled++
		earns := work.Earns
		if w.now > work.Quoted {
			earns *= w.jobClasses[work.Track].LateValue
		}
		t.valueEarned += earns
		r.secondOf(work.Came).valueEarned += earns
		return earns
	case emulator.EndPushedBack:
		t.PushedBack++
	case emulator.EndBrokenOff:
		t.BrokenOff++
	case emulator.EndUnreached:
		t.Unreached++
	case emulator.EndLost:
		t.Lost++
	}
	return 0
}

func (r *Result) recordMaxQueued(n *simNode) { r.MostHeld = max(r.MostHeld, n.maxQueued) }

const worstSeconds = 10

func (r *Result) finish(w *World) {
	for _, n := range w.nodes {
		r.recordMaxQueued(n)
	}
	r.Steps, r.LateTwice, r.WentWaiting, r.SentLate = w.steps, w.checker.LateTwice(), w.checker.WentWaiting(), w.checker.SentLate()
	asked, earned := 0.0, 0.0
	for i := range r.Tracks {
		t := &r.Tracks[i]
		t.Earned = ratio(t.valueEarned, t.valueOffered)
		asked += t.valueOffered
		earned += t.valueEarned
	}
	r.Earned, r.Worst = ratio(earned, asked), 2
	if len(r.capacity) > 0 {
		r.Best = ratio(Best(r.offers, r.capacity), asked)
	}
	r.offers, r.capacity = nil, nil
	for i := 0; i+min(worstSeconds, len(r.seconds)) <= len(r.seconds); i++ {
		a, e := 0.0, 0.0
		for _, s := range r.seconds[i:min(i+worstSeconds, len(r.seconds))] {
			a += s.valueOffered
			e += s.valueEarned
		}
		if p := ratio(e, a); p < r.Worst {
			r.Worst, r.WorstAt = p, Span(time.Duration(i)*time.Second)
		}
	}
	r.requestBody = nil
	if w.account != nil {
		r.Account = w.account.finish()
	}
}

func ratio(of, all float64) float64 {
	if all == 0 {
		return 1
	}
	return of / all
}

// Works is how many things clients wanted.
func (r *Result) Works() (n int) {
	for _, t := range r.Tracks {
		n += t.Works
	}
	return n
}

// requests is how many batch jobs nodes were handed.
func (r *Result) requests() (n int) {
	for _, t := range r.Tracks {
		n += t.Tries
	}
	return n
}
