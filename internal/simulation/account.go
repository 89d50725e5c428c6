package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchstair/internal/emulator"
)

// Cause is what a batch job that earned less than all lost it to.
type Cause int

// The first two are of batch jobs that could not be done in time any more when their first attempt left, if any did. For all others it is the
// longest part of their time beside their own work on a standard core.
const (
	NeverSent    Cause = iota // no attempt ever left a node
	SentTooLate               // the first one left when a standard core would not have done it in its quoted time
	HeldAtNode                // at the node, with nothing out
	TurnedAway                // with attempts that executors turned away
	Failed                    // with attempts that broke, failed or found no connection
	Connecting                // while a connection to the executor was made
	OnTheWay                  // between client, node and executor
	InQueue                   // at an executor, before it began
	RunningSlow               // running on a slow executor, beyond its work
	RunningFast               // running on another one, beyond its work
	BetweenTries              // at the client, between two tries
	NodeLost                  // at a node that was not there or was lost
	ClientLeft                // its client left before its time
	causes
)

var causeNames = [causes]string{"never sent", "sent too late", "held at node", "turned away", "failed", "connecting", "on the way", "in queue", "running, slow",
	"running, fast", "between tries", "node lost", "client left"}

func (c Cause) String() string { return causeNames[c] }

// Account says where the earnings of a world went that were not earned. In each row what was offered is what was earned and what was lost, by cause.
type Account struct {
	Scenario  string `json:"scenario"`
	Seed      uint64 `json:"seed"`
	Policy    Policy `json:"policy"`
	Nodes     int    `json:"nodes"`
	Executors int    `json:"executors"`
	Length    Span   `json:"length"`
	Broken    int    `json:"rules_broken"`

	Worst      float64 `json:"worst"`       // part earned in the worst 10 s
	WorstTrack float64 `json:"worst_track"` // and in the worst track

	All     AccountRow   `json:"all"`
	Tracks  []AccountRow `json:"tracks"`
	Traffic []AccountRow `json:"traffic"` // nodes, a quarter of them a row, those that least came to first
	Slices  []AccountRow `json:"slices"`  // nodes, a quarter a row, those first whose executors had least work, by how often each was used
	Busy    []float64    `json:"busy"`    // work that reached executors against what they could do: least, quarters, most

	Attempts  int     `json:"attempts"`
	Crossings int     `json:"crossings"`
	Waited    float64 `json:"waited"`            // part of the attempts that had to wait at their executor
	FreeUsed  float64 `json:"free_used"`         // of those, the part that left while a core stood free at another executor that their node had used so far
	FreeZone  float64 `json:"free_in_zone"`      // at one in the node's zone
	FreeAny   float64 `json:"free"`              // and anywhere
	HeldZone  float64 `json:"held_free_in_zone"` // of what was lost at nodes, sent too late or never, the part for which a core stood free in the node's zone when the batch job came
	HeldAny   float64 `json:"held_free"`         // and anywhere
}

// AccountRow is the account of a part of the batch jobs.
type AccountRow struct {
	Name    string             `json:"name"`
	Works   int                `json:"works"`
	Less    int                `json:"less"`  // of them, those that earned less than all
	Never   int                `json:"never"` // and nothing
	Offered float64            `json:"offered"`
	Earned  float64            `json:"earned"`
	Sent    float64            `json:"sent"`           // work that was sent to executors, against what was offered: over 1 is work done more than once
	Lost    map[string]float64 `json:"lost"`           // by cause
	TimeMS  map[string]float64 `json:"time_ms"`        // where the time went, on average over those that earned less; all of the running, not the part beyond the work
	Slice   float64            `json:"slice,omitzero"` // executors that a node used, on average: as many as would be used alike
	Load    float64            `json:"load,omitzero"`  // work that reached those, against what they could do

	lostByCause, timeByCause [causes]float64
	workOffered, workSent    float64 // in seconds on a standard core
	subsetSize               float64
	subsetLoad               float64
}

func (r *AccountRow) record(work *emulator.Work, earned float64, cause Cause, times [causes]time.Duration) {
	r.Works++
	r.workOffered += work.Cost
	r.Offered += work.Earns
	r.Earned += earned
	if earned >= work.Earns {
		return
	}
	r.Less++
	if earned == 0 {
		r.Never++
	}
	r.lostByCause[cause] += work.Earns - earned
	for c, t := range times {
		r.timeByCause[c] += t.Seconds()
	}
}

func (r *AccountRow) add(o AccountRow) {
	r.Works += o.Works
	r.Less += o.Less
	r.Never += o.Never
	r.Offered += o.Offered
	r.Earned += o.Earned
	for c := range causes {
		r.lostByCause[c] += o.lostByCause[c]
		r.timeByCause[c] += o.timeByCause[c]
	}
	r.workOffered += o.workOffered
	r.workSent += o.workSent
	r.subsetSize += o.subsetSize
	r.subsetLoad += o.subsetLoad
}

func (r *AccountRow) finish() {
	r.Sent = part(r.workSent, r.workOffered)
	r.Lost, r.TimeMS = map[string]float64{}, map[string]float64{}
	for c := range causes {
		if r.lostByCause[c] > 0 {
			r.Lost[c.String()] = r.lostByCause[c]
		}
		if r.timeByCause[c] > 0 {
			r.TimeMS[c.String()] = r.timeByCause[c] * 1e3 / float64(r.Less)
		}
	}
}

// use is how many executors a node used, as many as would be used alike, and how busy they were by how often each was used.
func use(used map[*executor]int, all []*executor, busy []float64) (size, load float64) {
	sum, squares := 0.0, 0.0
	for i, x := range all {
		n := used[x]
		sum += float64(n)
		squares += float64(n * n)
		load += float64(n) * busy[i]
	}
	if sum == 0 {
		return 0, 0
	}
	return sum * sum / squares, load / sum
}

// quarters puts the nodes into four rows by a figure, least first.
func quarters(nodes []nodeRow, by func(nodeRow) float64, name string) (rows []AccountRow) {
	nodes = slices.Clone(nodes)
	slices.SortStableFunc(nodes, func(x, y nodeRow) int { return cmp.Compare(by(x), by(y)) })
	parts := min(4, len(nodes))
	for q := range parts {
		group := nodes[q*len(nodes)/parts : (q+1)*len(nodes)/parts]
		row := AccountRow{}
		for _, n := range group {
			row.add(n.AccountRow)
		}
		row.Name = fmt.Sprintf("%s, %d of %d", name, q+1, parts)
		row.Slice, row.Load = row.subsetSize/float64(len(group)), row.subsetLoad/float64(len(group))
		rows = append(rows, row)
	}
	return rows
}
