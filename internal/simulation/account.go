package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchstair/internal/emulator"
)

// Cause is why a work did not earn its full value.
type Cause int

// Causes. The first two are of works that could not be done in time any more when their first attempt was sent, if any was. For all
// others the cause is where they spent most of their time, not counting the work itself on a standard core.
const (
	NeverSent          Cause = iota // no attempt left a node
	SentTooLate                     // the first one left when a standard core would have missed the latency objective
	QueuedAtNode                    // at the node, with no attempt out
	RejectedByExecutor              // with attempts that executors rejected
	Failed                          // with attempts that failed or found no connection
	Connecting                      // while a connection to the executor was opened
	InTransit                       // between client, node and executor
	InQueue                         // at an executor, before it started
	RunningSlow                     // running on a slow executor, beyond the work
	RunningFast                     // running on another one, beyond the work
	BetweenRequests                 // at the client, before a retry
	NodeLost                        // at a node that could not be reached or was lost
	ClientLeft                      // its client left early
	causeCount
)

var causeNames = [causeCount]string{"never sent", "sent too late", "held at node", "turned away", "failed", "connecting", "on the way", "in queue",
	"running, slow", "running, fast", "between tries", "node lost", "client left"}

// String is the cause's name in accounts and their JSON.
func (c Cause) String() string { return causeNames[c] }

// Account attributes the value that a world did not earn to causes. In each row the value offered is the value earned plus the value
// lost, by cause.
type Account struct {
	Scenario   string `json:"scenario"`
	Seed       uint64 `json:"seed"`
	Policy     Policy `json:"policy"`
	Nodes      int    `json:"nodes"`
	Executors  int    `json:"executors"`
	Length     Span   `json:"length"`
	Violations int    `json:"rules_broken"` // violations of invariants

	Worst      float64 `json:"worst"`       // share earned in the worst 10 s
	WorstClass float64 `json:"worst_track"` // share earned in the worst class

	All     AccountRow   `json:"all"`
	Classes []AccountRow `json:"tracks"`  // by class
	Traffic []AccountRow `json:"traffic"` // by quarters of the nodes, those with least traffic first
	Subsets []AccountRow `json:"slices"`  // by quarters of the nodes, those whose executors were least loaded first
	Busy    []float64    `json:"busy"`    // executors' load, as a share of their capacity: minimum, quartiles, maximum

	Attempts       int     `json:"attempts"`
	Crossings      int     `json:"crossings"`         // attempts to another zone
	Waited         float64 `json:"waited"`            // share of the attempts that waited at their executor
	IdleUsed       float64 `json:"free_used"`         // of those, the share for which a core was idle, when they left, at another executor that the node had used
	IdleZone       float64 `json:"free_in_zone"`      // the same in the node's zone
	IdleAny        float64 `json:"free"`              // the same anywhere
	QueuedIdleZone float64 `json:"held_free_in_zone"` // of the value lost at nodes or sent too late or never, the share for which a core was idle in the node's zone at arrival
	QueuedIdleAny  float64 `json:"held_free"`         // the same anywhere
}

// AccountRow is the account of some of the works.
type AccountRow struct {
	Name          string             `json:"name"`
	Works         int                `json:"works"`
	EarnedLess    int                `json:"less"`  // works that earned less than their full value
	EarnedNothing int                `json:"never"` // works that earned nothing
	Offered       float64            `json:"offered"`
	Earned        float64            `json:"earned"`
	Sent          float64            `json:"sent"`           // work sent to executors as a share of the work offered; over 1 if some was sent repeatedly
	Lost          map[string]float64 `json:"lost"`           // value, by cause
	TimeMS        map[string]float64 `json:"time_ms"`        // mean time by cause of the works that earned less; running includes the work itself
	SubsetSize    float64            `json:"slice,omitzero"` // effective number of executors that a node used, on average
	SubsetLoad    float64            `json:"load,omitzero"`  // load of those, as a share of their capacity

	lostByCause, timeByCause [causeCount]float64
	workOffered, workSent    float64 // in seconds on a standard core
	subsetSize               float64 // sum over the row's nodes
	subsetLoad               float64 // sum over the row's nodes
}

// record adds a finished work.
func (r *AccountRow) record(work *emulator.Work, earned float64, cause Cause, times [causeCount]time.Duration) {
	r.Works++
	r.workOffered += work.Cost
	r.Offered += work.Value
	r.Earned += earned
	if earned >= work.Value {
		return
	}
	r.EarnedLess++
	if earned == 0 {
		r.EarnedNothing++
	}
	r.lostByCause[cause] += work.Value - earned
	for c, t := range times {
		r.timeByCause[c] += t.Seconds()
	}
}

// add adds another row.
func (r *AccountRow) add(other AccountRow) {
	r.Works += other.Works
	r.EarnedLess += other.EarnedLess
	r.EarnedNothing += other.EarnedNothing
	r.Offered += other.Offered
	r.Earned += other.Earned
	for c := range causeCount {
		r.lostByCause[c] += other.lostByCause[c]
		r.timeByCause[c] += other.timeByCause[c]
	}
	r.workOffered += other.workOffered
	r.workSent += other.workSent
	r.subsetSize += other.subsetSize
	r.subsetLoad += other.subsetLoad
}

// finish fills in what is printed from what was recorded.
func (r *AccountRow) finish() {
	r.Sent = ratio(r.workSent, r.workOffered)
	r.Lost, r.TimeMS = map[string]float64{}, map[string]float64{}
	for c := range causeCount {
		if r.lostByCause[c] > 0 {
			r.Lost[c.String()] = r.lostByCause[c]
		}
		if r.timeByCause[c] > 0 {
			r.TimeMS[c.String()] = r.timeByCause[c] * 1e3 / float64(r.EarnedLess)
		}
	}
}

// nodeRow is the account of a node.
type nodeRow struct {
	AccountRow
	attemptsTo map[*executor]int
}

// usedSubset is the effective number of executors that a node used, and their load, both weighted by its attempts to each.
func usedSubset(attemptsTo map[*executor]int, executors []*executor, busy []float64) (size, load float64) {
	sum, squares := 0.0, 0.0
	for i, x := range executors {
		attempts := attemptsTo[x]
		sum += float64(attempts)
		squares += float64(attempts * attempts)
		load += float64(attempts) * busy[i]
	}
	if sum == 0 {
		return 0, 0
	}
	return sum * sum / squares, load / sum
}

// quarters makes up to four rows of the nodes, ordered by a key.
func quarters(nodes []nodeRow, key func(nodeRow) float64, name string) (rows []AccountRow) {
	nodes = slices.Clone(nodes)
	slices.SortStableFunc(nodes, func(a, b nodeRow) int { return cmp.Compare(key(a), key(b)) })
	parts := min(4, len(nodes))
	for quarter := range parts {
		group := nodes[quarter*len(nodes)/parts : (quarter+1)*len(nodes)/parts]
		row := AccountRow{}
		for _, n := range group {
			row.add(n.AccountRow)
		}
		row.Name = fmt.Sprintf("%s, %d of %d", name, quarter+1, parts)
		row.SubsetSize = row.subsetSize / float64(len(group))
		row.SubsetLoad = row.subsetLoad / float64(len(group))
		rows = append(rows, row)
	}
	return rows
}
