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

// Causes. A work item has the first of these that applies:
//
//   - ClientLeft, if its client disconnected early.
//   - NodeLost, if no attempt was sent and one of its requests reached no node or lost its connection.
//   - NeverSent, if no attempt was sent.
//   - SentTooLate, if the first attempt was sent too late to meet the latency objective.
//   - The cause on which the work item spent most of its time. Of the running time, only the time beyond the run time
//     on a standard core counts.
const (
	NeverSent          Cause = iota // no attempt was sent
	SentTooLate                     // the first attempt was sent so late that even a standard core would have missed the latency objective
	QueuedAtNode                    // time at a node while no attempt was in flight
	RejectedByExecutor              // time in attempts that executors rejected
	Failed                          // time in attempts that failed or got no connection
	Connecting                      // time until a connection to the executor was open
	InTransit                       // time in transit between client, node and executor
	InQueue                         // time at an executor before the attempt started to run
	RunningSlow                     // running time on a core slower than slowCoreSpeed
	RunningFast                     // running time on any other core
	BetweenRequests                 // time for which a client waited before a retry
	NodeLost                        // time in requests that reached no node or lost their connection
	ClientLeft                      // the client disconnected early
	causeCount
)

var causeNames = [causeCount]string{"never sent", "sent too late", "held at node", "turned away", "failed", "connecting", "on the way", "in queue",
	"running, slow", "running, fast", "between tries", "node lost", "client left"}

// String is the cause's name in accounts and their JSON.
func (c Cause) String() string { return causeNames[c] }

// Account states the causes of the value that a simulation did not earn. In each row, the earned value and the values
// lost to all causes sum to the offered value.
type Account struct {
	Scenario   string `json:"scenario"`
	Seed       uint64 `json:"seed"`
	Policy     Policy `json:"policy"`
	Nodes      int    `json:"nodes"`
	Executors  int    `json:"executors"`
	Length     Span   `json:"length"`
	Violations int    `json:"rules_broken"` // number of violated invariants

	Worst      float64 `json:"worst"`       // fraction of the offered value that was earned in the worst 10 s
	WorstClass float64 `json:"worst_track"` // fraction of the offered value that the worst job class earned

	All     AccountRow   `json:"all"`
	Classes []AccountRow `json:"tracks"` // one row for each job class
	// One row for each quarter of the nodes. The nodes are ordered by their traffic, least first.
	Traffic []AccountRow `json:"traffic"`
	// One row for each quarter of the nodes. The nodes are ordered by the load of the executors that they used, least
	// first.
	Subsets []AccountRow `json:"slices"`
	// Load of the executors, as a fraction of their capacity: minimum, lower quartile, median, upper quartile, maximum.
	Busy []float64 `json:"busy"`

	Attempts  int     `json:"attempts"`
	Crossings int     `json:"crossings"` // number of cross-zone attempts
	Waited    float64 `json:"waited"`    // fraction of the attempts that were queued at their executor
	// Fraction of the queued attempts that were sent while a core was idle at another executor that the node had used
	// before.
	IdleUsed float64 `json:"free_used"`
	// Fraction of the queued attempts that were sent while a core was idle at another executor of the node's zone.
	IdleZone float64 `json:"free_in_zone"`
	// Fraction of the queued attempts that were sent while a core was idle at any other executor.
	IdleAny float64 `json:"free"`
	// Fraction of the value lost to NeverSent, SentTooLate and QueuedAtNode that was lost by work items submitted while
	// a core was idle in the node's zone.
	QueuedIdleZone float64 `json:"held_free_in_zone"`
	// Fraction of the value lost to NeverSent, SentTooLate and QueuedAtNode that was lost by work items submitted while
	// a core was idle in any zone.
	QueuedIdleAny float64 `json:"held_free"`
}

// AccountRow is the account of a group of work items, such as those of a job class.
type AccountRow struct {
	Name          string  `json:"name"`
	Works         int     `json:"works"`
	EarnedLess    int     `json:"less"`  // number of work items that earned less than their full value
	EarnedNothing int     `json:"never"` // number of work items that earned nothing
	Offered       float64 `json:"offered"`
	Earned        float64 `json:"earned"`
	// Work sent to executors, divided by the offered work. A value above 1 means that work was sent more than once.
	Sent float64            `json:"sent"`
	Lost map[string]float64 `json:"lost"` // lost value by the name of its cause
	// Mean time by the name of its cause, in milliseconds, for the work items that earned less than their full value.
	// Running time counts in full.
	TimeMS     map[string]float64 `json:"time_ms"`
	SubsetSize float64            `json:"slice,omitzero"` // mean effective number of executors that a node used; see usedSubset
	SubsetLoad float64            `json:"load,omitzero"`  // load of the executors that a node used, as a fraction of their capacity

	lostByCause, timeByCause [causeCount]float64
	workOffered, workSent    float64 // offered and sent work, in seconds on a standard core
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

// finish computes Sent, Lost and TimeMS from the row's sums.
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

// usedSubset returns the effective number of executors that a node used, and their mean load. Each executor has a
// fraction of the node's attempts. The effective number is the inverse of the sum of the squares of these fractions,
// and the mean load is weighted by them.
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

// quarters orders the nodes by a key and returns one row for each quarter of the nodes. With fewer than four nodes, it
// returns one row for each node.
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
