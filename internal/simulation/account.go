package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchstair/internal/emulator"
)

// Cause is the reason why a work item did not earn its full value.
type Cause int

// Causes. NeverSent and SentTooLate apply to work items that had no attempt at all, or whose first attempt was sent too late to meet the
// latency objective. The cause of the others is where they spent most of their time, without the run time on a standard core.
const (
	NeverSent          Cause = iota // no attempt was sent
	SentTooLate                     // the first attempt was sent when even a standard core would have missed the latency objective
	QueuedAtNode                    // time at the node without an attempt in flight
	RejectedByExecutor              // time in attempts that executors rejected
	Failed                          // time in attempts that failed or had no connection
	Connecting                      // time until a connection to the executor was open
	InTransit                       // time in transit between client, node and executor
	InQueue                         // time at an executor before the attempt started
	RunningSlow                     // time running on a slow executor, beyond the run time on a standard core
	RunningFast                     // time running on another executor, beyond the run time on a standard core
	BetweenRequests                 // time at the client before a retry
	NodeLost                        // time in requests whose node was unreachable or whose connection broke
	ClientLeft                      // the client disconnected early
	causeCount
)

var causeNames = [causeCount]string{"never sent", "sent too late", "held at node", "turned away", "failed", "connecting", "on the way", "in queue",
	"running, slow", "running, fast", "between tries", "node lost", "client left"}

// String is the cause's name in accounts and their JSON.
func (c Cause) String() string { return causeNames[c] }

// Account attributes the value that a simulation did not earn to causes. In each row the offered value is the sum of the earned value and
// of the values lost to each cause.
type Account struct {
	Scenario   string `json:"scenario"`
	Seed       uint64 `json:"seed"`
	Policy     Policy `json:"policy"`
	Nodes      int    `json:"nodes"`
	Executors  int    `json:"executors"`
	Length     Span   `json:"length"`
	Violations int    `json:"rules_broken"` // violated invariants

	Worst      float64 `json:"worst"`       // fraction of the value earned in the worst 10 s
	WorstClass float64 `json:"worst_track"` // fraction of the value earned by the worst job class

	All     AccountRow   `json:"all"`
	Classes []AccountRow `json:"tracks"`  // one row for each job class
	Traffic []AccountRow `json:"traffic"` // one row for each quarter of the nodes, ordered by their traffic, least first
	Subsets []AccountRow `json:"slices"`  // one row for each quarter of the nodes, ordered by the load of the executors that they used, least first
	Busy    []float64    `json:"busy"`    // load of executors, as a fraction of their capacity: minimum, quartiles, maximum

	Attempts       int     `json:"attempts"`
	Crossings      int     `json:"crossings"`         // cross-zone attempts
	Waited         float64 `json:"waited"`            // fraction of the attempts that were queued at their executor
	IdleUsed       float64 `json:"free_used"`         // fraction of Waited that was sent while a core was idle at another executor that the node had used
	IdleZone       float64 `json:"free_in_zone"`      // as IdleUsed, at any other executor of the node's zone
	IdleAny        float64 `json:"free"`              // as IdleUsed, at any other executor
	QueuedIdleZone float64 `json:"held_free_in_zone"` // fraction of the value lost at nodes whose work item arrived while a core was idle in the node's zone
	QueuedIdleAny  float64 `json:"held_free"`         // as QueuedIdleZone, with an idle core in any zone
}

// AccountRow is the account of a group of work items, such as those of a job class.
type AccountRow struct {
	Name          string             `json:"name"`
	Works         int                `json:"works"`
	EarnedLess    int                `json:"less"`  // work items that earned less than their full value
	EarnedNothing int                `json:"never"` // work items that earned nothing
	Offered       float64            `json:"offered"`
	Earned        float64            `json:"earned"`
	Sent          float64            `json:"sent"`           // work sent to executors, relative to the offered work; above 1 if some was sent repeatedly
	Lost          map[string]float64 `json:"lost"`           // lost value by cause
	TimeMS        map[string]float64 `json:"time_ms"`        // mean time by cause of the work items that earned less, with the full running time
	SubsetSize    float64            `json:"slice,omitzero"` // mean effective number of executors that a node used
	SubsetLoad    float64            `json:"load,omitzero"`  // load of these executors, as a fraction of their capacity

	lostByCause, timeByCause [causeCount]float64
	workOffered, workSent    float64 // work in seconds on a standard core
	subsetSize               float64 // sum of SubsetSize over the nodes of the row
	subsetLoad               float64 // sum of SubsetLoad over the nodes of the row
}

// record adds a finished work item.
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

// add adds the values of another row.
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

// finish computes the exported fields that depend on the unexported sums.
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

// nodeRow is the account of a node, with the number of its attempts to each executor.
type nodeRow struct {
	AccountRow
	attemptsTo map[*executor]int
}

// usedSubset returns the effective number of executors that a node used, which is the inverse of the sum of the squared fractions of its
// attempts, and the load of the executors weighted by these fractions.
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

// quarters orders the nodes by a key and returns one row for each quarter of them; fewer than four if there are fewer nodes.
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
