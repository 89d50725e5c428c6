package simulation

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/policy"
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

// slowUnder is the speed, against a standard core, under which an executor counts as slow.
const slowUnder = 0.9

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

// accountLedger keeps what an account needs.
type accountLedger struct {
	world        *World
	open         map[invariants.WorkID]*jobHistory
	tracks       []AccountRow
	nodes        []nodeRow
	unreached    AccountRow            // of batch jobs that no node took
	approaching  map[*executor]int     // by executor, attempts on their way
	workReceived map[*executor]float64 // and the work that reached it

	attempts, waited, freeUsed, freeZone, freeAny int

	heldZone, heldAny float64
}

// nodeRow is a node's part.
type nodeRow struct {
	AccountRow
	attemptsTo map[*executor]int // attempts by executor
}

// jobHistory is where a batch job has been.
type jobHistory struct {
	work          *emulator.Work
	firstNode     *simNode
	requests      []*requestHistory
	idleAtArrival idleCores
	attempts      []*attemptHistory
}

// attemptWaits is from when on a start counts as having waited: new connections cost an executor as much.
const attemptWaits = 5 * time.Millisecond

// notSeen is when what did not happen did.
const notSeen = time.Duration(-1)

// requestHistory is a try at a node.
type requestHistory struct {
	from, arrived, answered, done time.Duration
	end                           emulator.End
}

// attemptHistory is one sending to an executor.
type attemptHistory struct {
	executor                                 *executor
	sent, reached, began, ended, endedAtNode time.Duration
	outcome                                  policy.Outcome
	slow                                     bool
	dialedAt, connUpAt                       time.Duration // its connection, where it is the first one on it
	canceled                                 bool          // by its node, which has closed its connection

	idle idleCores
}

// idleCores says where a core stood free at a moment: at an executor that the node had used, in its zone, anywhere.
type idleCores struct{ used, zone, any bool }

func (b *accountLedger) init() {
	b.approaching, b.workReceived = map[*executor]int{}, map[*executor]float64{}
	for _, t := range b.world.scenario.Tracks {
		b.tracks = append(b.tracks, AccountRow{Name: t.Name})
	}
	for _, n := range b.world.nodes {
		b.nodes = append(b.nodes, nodeRow{AccountRow: AccountRow{Name: n.name}, attemptsTo: map[*executor]int{}})
	}
}

// recordSubmit: a client hands a batch job in at a node; nil where there is none.
func (b *accountLedger) recordSubmit(work *emulator.Work, n *simNode) {
	if b == nil {
		return
	}
	h := b.open[work.ID]
	if h == nil {
		h = &jobHistory{work: work}
		b.open[work.ID] = h
	}
	if h.firstNode == nil && n != nil {
		h.firstNode, h.idleAtArrival = n, b.idleCores(n, nil)
	}
	h.requests = append(h.requests, &requestHistory{from: b.world.now, arrived: notSeen, answered: notSeen, done: notSeen})
}

// request is the present try of a batch job, where it is open still.
func (b *accountLedger) request(t *clientRequest) *requestHistory {
	if b == nil || b.open[t.work.ID] == nil || t.job != t.work.Job() {
		return &requestHistory{}
	}
	h := b.open[t.work.ID]
	return h.requests[len(h.requests)-1]
}

// recordSent: an attempt's first byte leaves. It gives what the rest is written into.
func (b *accountLedger) recordSent(t *clientRequest, x *executor) *attemptHistory {
	a := &attemptHistory{executor: x, sent: t.simNode.world.now, reached: notSeen, began: notSeen, ended: notSeen, endedAtNode: notSeen, dialedAt: notSeen, connUpAt: notSeen}
	if b == nil {
		return a
	}
	a.idle = b.idleCores(t.simNode, x)
	b.nodes[t.simNode.id].attemptsTo[x]++
	b.approaching[x]++
	b.attempts++
	if h := b.open[t.work.ID]; h != nil {
		h.attempts = append(h.attempts, a)
	}
	return a
}

// idleCores says where a core stands free for a node now, but for one executor.
func (b *accountLedger) idleCores(n *simNode, but *executor) (f idleCores) {
	for _, x := range b.world.executors {
		if x == but || x.Held()+b.approaching[x] >= x.Cores || !x.Up || x.unreachable || x.Drains {
			continue
		}
		f.any = true
		f.zone = f.zone || x.Zone == n.zone
		f.used = f.used || b.nodes[n.id].attemptsTo[x] > 0
	}
	return f
}

// recordReached: it has come to its executor, with so much work.
func (b *accountLedger) recordReached(a *attemptHistory, work float64) {
	a.reached = a.executor.world.now
	if b != nil {
		b.approaching[a.executor]--
		b.workReceived[a.executor] += work
	}
}

// recordBegan: its executor has begun on it.
func (b *accountLedger) recordBegan(a *attemptHistory) {
	if a.began != notSeen {
		return
	}
	a.began = a.executor.world.now
	a.slow = a.executor.Speed/max(1, a.executor.Trouble().Slow) < slowUnder
	if b != nil && a.began-a.reached > attemptWaits {
		b.waited++
		b.freeUsed += countTrue(a.idle.used)
		b.freeZone += countTrue(a.idle.zone)
		b.freeAny += countTrue(a.idle.any)
	}
}

// recordAnswer: its executor says something of it.
func (b *accountLedger) recordAnswer(a *attemptHistory, word emulator.Word) {
	switch word {
	case emulator.Began:
		b.recordBegan(a)
	case emulator.Done, emulator.Errored, emulator.NoRoom:
		a.ended = a.executor.world.now
	}
}

func countTrue(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// recordEnded: its node is told that it is over.
func (b *accountLedger) recordEnded(a *attemptHistory, how policy.Outcome) {
	a.endedAtNode, a.outcome = a.executor.world.now, how
	if a.canceled {
		a.outcome = policy.Canceled
	}
	if b != nil && a.reached == notSeen {
		// It may still come there, as a break does not stop what is under way; then it is counted off once only.
		b.approaching[a.executor]--
		a.reached = a.endedAtNode
	}
}

// recordFinished: a batch job is over for its client, and earned so much.
func (b *accountLedger) recordFinished(work *emulator.Work, earned float64) {
	if b == nil {
		return
	}
	h := b.open[work.ID]
	delete(b.open, work.ID)
	cause, times := h.cause(b.world)
	if cause <= HeldAtNode && h.idleAtArrival.zone {
		b.heldZone += work.Earns - earned
	}
	if cause <= HeldAtNode && h.idleAtArrival.any {
		b.heldAny += work.Earns - earned
	}
	rows := []*AccountRow{&b.tracks[work.Track], &b.unreached}
	if h.firstNode != nil {
		rows[1] = &b.nodes[h.firstNode.id].AccountRow
	}
	for _, r := range rows {
		r.record(work, earned, cause, times)
		r.workSent += work.Cost * float64(len(h.attempts))
	}
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

// cause says what a batch job lost to, had it lost anything, and where its time went.
func (h *jobHistory) cause(w *World) (Cause, [causes]time.Duration) {
	work, times := h.work, h.times(w.now)
	first := notSeen
	for _, a := range h.attempts {
		if first == notSeen || a.sent < first {
			first = a.sent
		}
	}
	own := time.Duration(work.Cost * 1e9)
	lost := slices.ContainsFunc(h.requests, func(v *requestHistory) bool { return v.end == emulator.EndLost || v.end == emulator.EndUnreached })
	switch {
	case work.Leaves <= w.now:
		return ClientLeft, times
	case first == notSeen && lost:
		return NodeLost, times
	case first == notSeen:
		return NeverSent, times
	case first > work.Quoted-own:
		return SentTooLate, times
	}
	beyond := times
	if ran := times[RunningSlow] + times[RunningFast]; ran > 0 {
		part := max(0, 1-float64(own)/float64(ran))
		beyond[RunningSlow], beyond[RunningFast] = scaled(times[RunningSlow], part), scaled(times[RunningFast], part)
	}
	longest := HeldAtNode
	for c := HeldAtNode; c < causes; c++ {
		if beyond[c] > beyond[longest] {
			longest = c
		}
	}
	return longest, times
}

func scaled(t time.Duration, part float64) time.Duration { return time.Duration(float64(t) * part) }

// timeSpan is a stretch of a batch job's time.
type timeSpan struct {
	from, to   time.Duration
	cause      Cause
	precedence int // of those at one time, the highest counts
}

// times says where a batch job's time went, up to an instant. Where several attempts are out, the one that is furthest counts.
func (h *jobHistory) times(end time.Duration) (times [causes]time.Duration) {
	var spans []timeSpan
	put := func(from, to time.Duration, cause Cause, rank int) {
		if to == notSeen || to > end {
			to = end
		}
		if from != notSeen && from < to {
			spans = append(spans, timeSpan{from, to, cause, rank})
		}
	}
	put(h.work.Came, end, BetweenTries, 0)
	for _, v := range h.requests {
		if v.end == emulator.EndLost || v.end == emulator.EndUnreached {
			put(v.from, v.done, NodeLost, 1)
			continue
		}
		put(v.from, v.done, OnTheWay, 1)
		put(v.arrived, cmp.Or(max(v.answered, 0), max(v.done, 0), end), HeldAtNode, 2)
	}
	for _, a := range h.attempts {
		put(a.dialedAt, a.connUpAt, Connecting, 3)
		until := a.endedAtNode
		if until == notSeen {
			until = end
		}
		switch a.outcome {
		case policy.ExecutorFull:
			put(a.sent, until, TurnedAway, 3)
			continue
		case policy.ExecutorError, policy.InvalidRequest, policy.ConnectFailed, policy.ConnectionLost:
			put(a.sent, until, Failed, 3)
			continue
		}
		put(a.sent, until, OnTheWay, 4)
		if a.reached == notSeen || a.reached >= until {
			continue
		}
		began, ended := a.began, a.ended
		if ended == notSeen {
			ended = until
		}
		if began == notSeen {
			began = ended
		}
		put(a.reached, min(began, until), InQueue, 5)
		running := RunningFast
		if a.slow {
			running = RunningSlow
		}
		put(began, min(ended, until), running, 6)
	}
	var edges []time.Duration
	for _, s := range spans {
		edges = append(edges, s.from, s.to)
	}
	slices.Sort(edges)
	edges = slices.Compact(edges)
	for i := 1; i < len(edges); i++ {
		best := timeSpan{precedence: -1}
		for _, s := range spans {
			if s.from <= edges[i-1] && edges[i] <= s.to && s.precedence > best.precedence {
				best = s
			}
		}
		if best.precedence >= 0 {
			times[best.cause] += edges[i] - edges[i-1]
		}
	}
	return times
}

// finish makes the account of all.
func (b *accountLedger) finish() *Account {
	w := b.world
	for _, id := range slices.Sorted(maps.Keys(b.open)) {
		b.recordFinished(b.open[id].work, 0)
	}
	a := &Account{Scenario: w.scenario.Name, Seed: w.seed, Policy: w.policy, Nodes: len(w.nodes), Executors: len(w.executors), Length: w.scenario.Length,
		Attempts: b.attempts, Crossings: w.result.Crossings, Waited: part(float64(b.waited), float64(b.attempts)),
		FreeUsed: part(float64(b.freeUsed), float64(b.waited)), FreeZone: part(float64(b.freeZone), float64(b.waited)),
		FreeAny: part(float64(b.freeAny), float64(b.waited)), Broken: len(w.result.Broken)}
	a.All.Name = "all"
	for _, t := range b.tracks {
		a.All.add(t)
		a.Tracks = append(a.Tracks, t)
	}
	var busy []float64
	for _, x := range w.executors {
		busy = append(busy, b.workReceived[x]/(float64(min(x.Cores, x.Places))*x.Speed*time.Duration(w.scenario.Length).Seconds()))
	}
	for i := range b.nodes {
		n := &b.nodes[i]
		n.subsetSize, n.subsetLoad = use(n.attemptsTo, w.executors, busy)
	}
	for _, n := range b.nodes {
		a.All.Slice += n.subsetSize / float64(len(b.nodes))
		a.All.Load += n.subsetLoad / float64(len(b.nodes))
	}
	a.Traffic = quarters(b.nodes, func(n nodeRow) float64 { return n.workOffered }, "nodes by traffic")
	a.Slices = quarters(b.nodes, func(n nodeRow) float64 { return n.subsetLoad }, "nodes by slice")
	if b.unreached.Works > 0 {
		b.unreached.Name = "no node"
		a.Traffic, a.Slices = append(a.Traffic, b.unreached), append(a.Slices, b.unreached)
	}
	slices.Sort(busy)
	for q := range 5 {
		a.Busy = append(a.Busy, busy[q*(len(busy)-1)/4])
	}
	a.All.finish()
	held := a.All.lostByCause[NeverSent] + a.All.lostByCause[SentTooLate] + a.All.lostByCause[HeldAtNode]
	a.HeldZone, a.HeldAny = part(b.heldZone, held), part(b.heldAny, held)
	a.Worst, a.WorstTrack = w.result.Worst, 1
	for _, t := range a.Tracks {
		a.WorstTrack = min(a.WorstTrack, part(t.Earned, t.Offered))
	}
	for _, rows := range [][]AccountRow{a.Tracks, a.Traffic, a.Slices} {
		for i := range rows {
			rows[i].finish()
		}
	}
	return a
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

// Print writes it for people: in parts of what each row was offered, then where the time of those that earned less went.
func (a *Account) Print(to io.Writer) {
	fmt.Fprintf(to, "%s, seed %d, %d nodes, %d executors, %v, decided by: %s\n", a.Scenario, a.Seed, a.Nodes, a.Executors, time.Duration(a.Length), a.Policy)
	fmt.Fprintf(to, "Earned %.4f of what was offered; in the worst 10 s %.4f, of the worst track %.4f\n", part(a.All.Earned, a.All.Offered), a.Worst, a.WorstTrack)
	rows := slices.Concat([]AccountRow{a.All}, a.Tracks, a.Traffic, a.Slices)
	tab := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	table := func(head string, figures func(r AccountRow) string, of func(r AccountRow, c Cause) float64, format string) {
		var shown []Cause
		for c := range causes {
			if slices.ContainsFunc(rows, func(r AccountRow) bool { return of(r, c) > 0 }) {
				shown = append(shown, c)
			}
		}
		fmt.Fprintf(tab, "%s\t", head)
		for _, c := range shown {
			fmt.Fprintf(tab, "%s\t", c)
		}
		fmt.Fprintln(tab)
		for _, r := range rows {
			fmt.Fprintf(tab, "%s\t%s\t", r.Name, figures(r))
			for _, c := range shown {
				fmt.Fprintf(tab, format+"\t", of(r, c))
			}
			fmt.Fprintln(tab)
		}
		tab.Flush()
	}
	fmt.Fprintln(to, "Lost, by cause, in parts of what was offered; sent: work sent to executors, against what was offered:")
	table("\tbatch jobs\tless\tnothing\tsent\toffered\tearned\tlost", func(r AccountRow) string {
		return fmt.Sprintf("%d\t%d\t%d\t%.3f\t%.0f\t%.4f\t%.4f", r.Works, r.Less, r.Never, r.Sent, r.Offered, part(r.Earned, r.Offered), 1-part(r.Earned, r.Offered))
	}, func(r AccountRow, c Cause) float64 { return r.lostByCause[c] / max(r.Offered, 1e-9) }, "%.4f")
	fmt.Fprintln(to, "Where the time of those that earned less went, in ms; slice: executors that a node used, load: how busy those were:")
	table("\tslice\tload", func(r AccountRow) string {
		if r.Slice == 0 {
			return "\t"
		}
		return fmt.Sprintf("%.1f\t%.3f", r.Slice, r.Load)
	},
		func(r AccountRow, c Cause) float64 { return r.timeByCause[c] * 1e3 / float64(max(r.Less, 1)) }, "%.0f")
	fmt.Fprintf(to, "Executors' load, least, quarters, most: %s\n", strings.Trim(fmt.Sprintf("%.3f", a.Busy), "[]"))
	fmt.Fprintf(to, "%d attempts, %d to another zone; %.3f of them waited at the executor; when those left, a core stood free at another executor\n"+
		"that the node had used for %.3f, in its zone for %.3f, anywhere for %.3f\n", a.Attempts, a.Crossings, a.Waited, a.FreeUsed, a.FreeZone, a.FreeAny)
	if a.All.lostByCause[NeverSent]+a.All.lostByCause[SentTooLate]+a.All.lostByCause[HeldAtNode] > 0 {
		fmt.Fprintf(to, "Of what was lost at nodes (never sent, sent too late, held) a core had stood free when the batch job came for %.3f in the node's zone, for %.3f anywhere\n",
			a.HeldZone, a.HeldAny)
	}
	if a.Broken > 0 {
		fmt.Fprintf(to, "%d rules broken\n", a.Broken)
	}
}
