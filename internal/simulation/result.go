package simulation

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
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

// Offer is work that was wanted, from when until when it earned.
type Offer struct {
	Came, Until time.Duration
	Work, Earns float64
}

// Bin is the span of time for which capacity is booked.
const Bin = 250 * time.Millisecond

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

// sampleCapacity books what could be done in the bin that begins now: by executors that take and answer, that some node which lives can reach.
func (r *Result) sampleCapacity(w *World) {
	can := 0.0
	for _, x := range w.executors {
		t := x.Trouble()
		if !x.Up || x.unreachable || x.Drains || t.Mute || !w.reachable(x) {
			continue
		}
		part := (1 - t.Errors) * (1 - t.Neighbour/2) / max(1, t.Slow)
		if t.StallEvery > 0 {
			part *= 1 - t.StallFor.Seconds()/t.StallEvery.Seconds()
		}
		can += x.Capacity(w.now) * part
	}
	r.capacity = append(r.capacity, can*Bin.Seconds())
}

// reachable says whether a node lives that may send to an executor: there is a way, and operators have not taken it out there.
func (w *World) reachable(x *executor) bool {
	for _, n := range w.nodes {
		_, out := n.excluded[x.ID]
		if n.up && !n.suspended && !out && w.linked(n.zone, x.Zone) {
			return true
		}
	}
	return false
}

// Best is the most that could have been earned with a capacity, in work for each bin: what earns most for its work first, each in the first bins of its
// time that have room left.
func Best(offers []Offer, capacity []float64) float64 {
	left := slices.Clone(capacity)
	offers = slices.Clone(offers)
	slices.SortStableFunc(offers, func(a, b Offer) int { return cmp.Compare(b.Earns/b.Work, a.Earns/a.Work) })
	sum := 0.0
	for _, o := range offers {
		work := o.Work
		for i := int(o.Came / Bin); i <= int(o.Until/Bin) && i < len(left) && work > 0; i++ {
			x := min(work, left[i])
			left[i] -= x
			work -= x
		}
		sum += o.Earns * (1 - work/o.Work)
	}
	return sum
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
		t.Earned = part(t.valueEarned, t.valueOffered)
		asked += t.valueOffered
		earned += t.valueEarned
	}
	r.Earned, r.Worst = part(earned, asked), 2
	if len(r.capacity) > 0 {
		r.Best = part(Best(r.offers, r.capacity), asked)
	}
	r.offers, r.capacity = nil, nil
	for i := 0; i+min(worstSeconds, len(r.seconds)) <= len(r.seconds); i++ {
		a, e := 0.0, 0.0
		for _, s := range r.seconds[i:min(i+worstSeconds, len(r.seconds))] {
			a += s.valueOffered
			e += s.valueEarned
		}
		if p := part(e, a); p < r.Worst {
			r.Worst, r.WorstAt = p, Span(time.Duration(i)*time.Second)
		}
	}
	r.requestBody = nil
	if w.account != nil {
		r.Account = w.account.finish()
	}
}

func part(of, all float64) float64 {
	if all == 0 {
		return 1
	}
	return of / all
}

// Recovery is how long after the last fault's end service was within near of what it was before the first one, over recoverySpell from then on; it says
// false where it never was, or where no fault ends inside the run.
func (r *Result) Recovery(faults []Fault, near float64) (time.Duration, bool) {
	first, last := time.Duration(r.Length), time.Duration(0)
	for _, f := range faults {
		first, last = min(first, time.Duration(f.At)), max(last, time.Duration(f.At+f.For))
	}
	over := func(from, to int) float64 {
		a, e := 0.0, 0.0
		for _, s := range r.seconds[max(0, from):min(to, len(r.seconds))] {
			a += s.valueOffered
			e += s.valueEarned
		}
		return part(e, a)
	}
	from := int((last + time.Second - 1) / time.Second)
	before := over(int(settlingTime/time.Second), int(first/time.Second))
	for at := from; at+recoveryWindow <= int(time.Duration(r.Length)/time.Second); at++ {
		if over(at, at+recoveryWindow) >= before-near {
			return time.Duration(at)*time.Second - last, true
		}
	}
	return 0, false
}

const (
	settlingTime   = 3 * time.Second // a world has found its feet by then
	recoveryWindow = 3               // seconds
)

// Works is how many things clients wanted.
func (r *Result) Works() (n int) {
	for _, t := range r.Tracks {
		n += t.Works
	}
	return n
}

// totalRequests is how many batch jobs nodes were handed.
func (r *Result) totalRequests() (n int) {
	for _, t := range r.Tracks {
		n += t.Tries
	}
	return n
}

// Print writes it for people.
func (r *Result) Print(to io.Writer) {
	fmt.Fprintf(to, "%s, seed %d, %v\n", r.Scenario, r.Seed, time.Duration(r.Length))
	fmt.Fprintf(to, "  earned in the quoted time  %.3f, in the worst 10 s %.3f (from %v)\n", r.Earned, r.Worst, time.Duration(r.WorstAt))
	if r.Best > 0 {
		fmt.Fprintf(to, "  at the most %.3f could have been, by what nodes and executors were there\n", r.Best)
	}
	fmt.Fprintf(to, "  %-10s %7s %7s %7s %8s %8s %7s %7s %6s\n", "track", "earned", "works", "tries", "handled", "pushed", "broken", "no node", "lost")
	for _, t := range r.Tracks {
		fmt.Fprintf(to, "  %-10s %7.3f %7d %7d %8d %8d %7d %7d %6d\n", t.Name, t.Earned, t.Works, t.Tries, t.Handled, t.PushedBack, t.BrokenOff, t.Unreached, t.Lost)
	}
	fmt.Fprintf(to, "  allocations %d, %.3f a batch job; %d to another zone; %d dials, %d led nowhere; %d starts waited\n",
		r.Allocations, part(float64(r.Allocations), float64(r.totalRequests())), r.Crossings, r.Dials, r.NoConnection, r.StartsWaited)
	fmt.Fprintf(to, "  most held by a node %d; %d clients left, %d of them while their batch jobs waited, %d attempts too late after that; %d executors fell over; %d tagged ran again too late to be dropped\n",
		r.MostHeld, r.Left, r.WentWaiting, r.SentLate, r.Fell, r.LateTwice)
	if r.Words > 0 {
		fmt.Fprintf(to, "  %d words between nodes\n", r.Words)
	}
	if r.Copies+r.Probes > 0 {
		fmt.Fprintf(to, "  %d copies; %d probes\n", r.Copies, r.Probes)
	}
	if r.Panics > 0 {
		fmt.Fprintf(to, "  the module broke %d times\n", r.Panics)
	}
	for _, b := range r.Broken {
		fmt.Fprintf(to, "  BROKEN %s\n", strings.ReplaceAll(b.String(), "\n", "\n  "))
	}
}
