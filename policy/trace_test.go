package policy

import (
	"fmt"
	"hash/crc32"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
)

// TestEveryTraceReplayed checks that each directory in testdata is replayed by the test file of the same name, and that
// every trace is in such a directory.
func TestEveryTraceReplayed(t *testing.T) {
	entries, err := os.ReadDir("testdata")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if !entry.IsDir() {
			t.Errorf("testdata/%s is not in the directory of a rule", entry.Name())
			continue
		}
		text, err := os.ReadFile(entry.Name() + "_test.go")
		if err != nil || !strings.Contains(string(text), fmt.Sprintf("golden.ReplayDir(t, %q, play)", entry.Name())) {
			t.Errorf("testdata/%s is not replayed by %s_test.go: %v", entry.Name(), entry.Name(), err)
		}
	}
}

// tracePlayer replays a trace on a dispatcher. A trace file in testdata contains the events that the dispatcher gets, one a
// line, with the time first. The lines that begin with an arrow are its decisions. The lines are:
//
//	settings at-most-once dedup-zone   changes to baseSettings, by the names in testSettings
//	1s list a b:1 c:0:2:5s             a complete endpoint list (format below)
//	1s change a:0:0:-:draining         an incremental update of the endpoint list
//	1s cached-list a b                 an endpoint list stored by an earlier process
//	1s watch-failed                    discovery did not answer
//	2s job j1 work=300ms               a job arrives; also class=, tenant=, budget= and retry=
//	2s started j1                      the last attempt of j1 starts; j1/0 is its first attempt
//	2s progress j1 0.5                 a progress notice with the fraction done
//	2s ended j1 OUTCOME [final]        the attempt ends; final: the job is finished
//	2s client-left j1                  the client of j1 leaves
//	2s lease-message 4 grant a         a lease message from node 4 about executor a
//	2s load-report a 4 1 0             a load report: jobs in flight, queued jobs, free slots
//	2s health-check-ended a answered   the result of a health check: answered [free=SLOTS], or unanswered
//	9s shutdown-by 12s                 the node shuts down by 12s
//	9s! ended j1 succeeded             the same after a stall: the node had no turn since the line before
//	9s wait                            no event; time passes until 9s
//	9s threshold 36 0.5 0.8            the admission threshold: level, fraction admitted of it, migration delay
//	9s summary                         print the load summary; likewise quotas, paces and subset
//
// An entry of an endpoint list is EXECUTOR[:ZONE[:KIND[:AGE[:STATE[:WEIGHT]]]]]. AGE is the time since the executor's start, or
// - if it started long ago. STATE is available, draining or removed.
type tracePlayer struct {
	t             *testing.T
	d             *Dispatcher
	attempts      map[JobID]AttemptID         // number of attempts sent so far
	executors     map[JobID][]ExecutorID      // executors of a job's attempts, by attempt number
	executorNames map[ExecutorHash]ExecutorID // executors of all endpoint lists so far
	lines         []string                    // input and output lines so far
}

var baseSettings = Settings{
	Seed: 7, Nodes: 1, TotalWeight: 1, MaxAttempts: 3, MayCancel: true, MaxRetryAfter: 2 * time.Second,
	Quantum: time.Millisecond, PollWithin: 8 * time.Second, SlowStartCapacity: 0.25, SlowStartDuration: 8 * time.Second,
	OverloadMultiple: 4, OverloadWindow: time.Second, StartNotices: true, OverQuotaValue: 0.1, ValuePerWork: true,
	JobClasses: []JobClass{
		{LatencyObjective: 300 * time.Millisecond, RunTimeFactor: 2, Deadline: 5 * time.Second, Value: 1, Kind: AnyKind,
			DedupWindow: 2 * time.Second},
		{LatencyObjective: 300 * time.Millisecond, RunTimeFactor: 2, Deadline: 5 * time.Second, Value: 4, Kind: 1},
	},
}

// testSettings returns baseSettings with the changes that a settings line names.
func testSettings(t *testing.T, words ...string) Settings {
	t.Helper()
	s := baseSettings
	s.JobClasses = append([]JobClass(nil), baseSettings.JobClasses...)
	first := &s.JobClasses[0]
	change := map[string]func(){
		"at-most-once":     func() { first.Idempotency, s.JobClasses[1].Idempotency = AtMostOnce, AtMostOnce },
		"idempotency-key":  func() { first.Idempotency = IdempotentWithKey },
		"dedup-zone":       func() { first.DedupGroup = DedupZone },
		"late-value":       func() { first.LateValue = 0.5 },
		"fixed-objective":  func() { first.RunTimeFactor = 0 },
		"polled":           func() { s.EndpointsPolled = true },
		"progress-notices": func() { s.ProgressInterval = time.Second },
		"no-start-notices": func() { s.StartNotices = false },
		"no-cancel":        func() { s.MayCancel = false },
		"cross-zone-cost":  func() { s.CrossZoneCost = 0.25 },
		"nodes8":           func() { s.Nodes = 8 },
		"nodes30":          func() { s.Nodes, s.Node = 30, 7 },
		"leasing":          func() { s.MayLease = true },
		"hedging":          func() { s.MayHedge = true },
		"health-checks":    func() { s.MayCheckHealth = true },
		"marked-retries":   func() { s.ClientsMarkRetries = true },
		"load-adjusted":    func() { s.LoadAdjustedWeights = true },
		"tenants":          func() { s.Tenants = []Tenant{{10}, {10}} },
	}
	for _, word := range words {
		apply := change[word]
		if apply == nil {
			t.Fatalf("unknown setting %q", word)
		}
		apply()
	}
	return s
}

// newTracePlayer returns a player with a new dispatcher, whose settings are baseSettings with the named changes.
func newTracePlayer(t *testing.T, words ...string) *tracePlayer {
	t.Helper()
	return &tracePlayer{
		t:             t,
		d:             New(testSettings(t, words...)),
		attempts:      map[JobID]AttemptID{},
		executors:     map[JobID][]ExecutorID{},
		executorNames: map[ExecutorHash]ExecutorID{},
	}
}

// print adds an output line about a decision or the state of the dispatcher.
func (p *tracePlayer) print(now time.Duration, format string, args ...any) {
	p.lines = append(p.lines, fmt.Sprintf(golden.Arrow+"%v ", now)+fmt.Sprintf(format, args...))
}

// recordDecision records and prints a decision.
func (p *tracePlayer) recordDecision(now time.Duration, id JobID, decision Decision) {
	switch decision.Action {
	case Send:
		p.attempts[id]++
		p.executors[id] = append(p.executors[id], decision.Executor)
		p.print(now, "send %s to %s", id, decision.Executor)
	case Reject:
		p.print(now, "reject %s, retry after %v", id, decision.RetryAfter)
	case Fail:
		p.print(now, "fail %s", id)
	}
}

// runDueTasks handles all tasks that are due now, as the node does.
func (p *tracePlayer) runDueTasks(now time.Duration) {
	p.t.Helper()
	for range 10000 {
		due := p.d.NextTask(now)
		switch due.Task {
		case PlaceJob:
			p.recordDecision(now, due.Job, p.d.Place(now, due.Job))
		case CancelAttempt:
			p.print(now, "cancel %s on %s", due.Job, p.executors[due.Job][due.Attempt])
		case WatchEndpoints:
			p.print(now, "watch endpoints")
		case SendLeaseMessage:
			p.print(now, "send node %d: %s %s", due.Node, leaseMessageNames[due.Message], p.executorNames[due.Hash])
		case SendHealthCheck:
			p.print(now, "health check of %s", due.Executor)
		case WriteLog:
			p.print(now, "log: %s", due.Text)
		case Sleep:
			return
		}
	}
	p.t.Fatalf("NextTask still returns tasks at %v after 10000 of them", now)
}

// advance handles all tasks that are due until the given time, each at its own time.
func (p *tracePlayer) advance(from, until time.Duration) {
	p.t.Helper()
	for now := from; now < until; {
		due := p.d.NextTask(now)
		if due.Task != Sleep {
			p.t.Fatalf("unhandled task at %v: %+v", now, due)
		}
		now = due.At
		if now <= until {
			p.runDueTasks(now)
		}
	}
}

// parseEndpoint parses an entry of an endpoint list, in the format that tracePlayer describes.
func parseEndpoint(t *testing.T, now time.Duration, text string) Endpoint {
	t.Helper()
	parts := append(strings.Split(text, ":"), make([]string, 6)...)
	e := Endpoint{Executor: ExecutorID(parts[0]), StartedLongAgo: true, Weight: 1}
	zone, _ := strconv.Atoi(parts[1])
	kind, _ := strconv.Atoi(parts[2])
	e.Zone, e.Kind, e.Cell = ZoneID(zone), KindID(kind), CellID(zone)
	if parts[3] != "" && parts[3] != "-" {
		e.StartedAt, e.StartedLongAgo = now-golden.Duration(t, parts[3]), false
	}
	switch parts[4] {
	case "", "available":
	case "draining":
		e.State = Draining
	case "removed":
		e.State = Removed
	default:
		t.Fatalf("unknown state %q", parts[4])
	}
	if parts[5] != "" {
		e.Weight, _ = strconv.ParseFloat(parts[5], 64)
	}
	return e
}

var leaseMessageNames = map[LeaseMessage]string{
	LeaseRequest:       "request",
	LeaseRequestLate:   "request-late",
	LeaseGrant:         "grant",
	LeaseWait:          "wait",
	LeaseCancel:        "cancel",
	LeaseReturn:        "return",
	LeaseReturnDelayed: "return-delayed",
}

var outcomeNames = map[string]Outcome{
	"succeeded":         Succeeded,
	"executor-error":    ExecutorError,
	"invalid-request":   InvalidRequest,
	"executor-full":     ExecutorFull,
	"timed-out":         TimedOut,
	"connect-failed":    ConnectFailed,
	"connection-lost":   ConnectionLost,
	"canceled":          Canceled,
	"not-sent":          NotSent,
	"rejected-unproven": RejectedUnproven,
}

var endpointUpdateNames = map[string]EndpointUpdateKind{
	"list":         CompleteUpdate,
	"change":       IncrementalUpdate,
	"cached-list":  CachedUpdate,
	"watch-failed": WatchFailed,
}

// play replays the input lines of a trace file, and returns the complete file with the resulting output lines.
func play(t *testing.T, lines []string) string {
	t.Helper()
	p := newTracePlayer(t)
	last := time.Duration(0)
	for _, line := range lines {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			p.lines = append(p.lines, line)
			continue
		}
		if words[0] == "settings" {
			p.lines = append(p.lines, line)
			p.d = New(testSettings(t, words[1:]...))
			continue
		}
		at, stalled := strings.CutSuffix(words[0], "!")
		now := golden.Duration(t, at)
		if !stalled {
			p.advance(last, now)
		}
		p.lines = append(p.lines, line)
		p.applyEvent(now, words[1], words[2:])
		p.runDueTasks(now)
		last = now
	}
	return strings.Join(p.lines, "\n") + "\n"
}

// applyEvent passes the event of a line to the dispatcher, or prints the state that the line asks for.
func (p *tracePlayer) applyEvent(now time.Duration, name string, args []string) {
	p.t.Helper()
	if kind, isUpdate := endpointUpdateNames[name]; isUpdate {
		p.d.UpdateEndpoints(now, kind, p.endpoints(now, args))
		return
	}
	for _, apply := range []func(time.Duration, string, []string) bool{p.applyJobEvent, p.applyExecutorEvent, p.applyNodeEvent, p.printState} {
		if apply(now, name, args) {
			return
		}
	}
	if name != "wait" {
		p.t.Fatalf("unknown event %q", name)
	}
}

func (p *tracePlayer) endpoints(now time.Duration, args []string) []Endpoint {
	var entries []Endpoint
	for _, arg := range args {
		e := parseEndpoint(p.t, now, arg)
		p.executorNames[hashOf(string(e.Executor))] = e.Executor
		entries = append(entries, e)
	}
	return entries
}

func hashOf(executor string) ExecutorHash { return ExecutorHash(crc32.ChecksumIEEE([]byte(executor))) }

// applyJobEvent passes on an event of a job or of an attempt: the job's last one, unless the line gives a number. It reports
// whether name is such an event.
func (p *tracePlayer) applyJobEvent(now time.Duration, name string, args []string) bool {
	if len(args) == 0 {
		return false
	}
	job, numberText, hasNumber := strings.Cut(args[0], "/")
	id := JobID(job)
	number := p.attempts[id] - 1
	if hasNumber {
		number = AttemptID(p.parseInt(numberText))
	}
	switch name {
	case "job":
		p.d.JobArrived(now, p.arrival(id, args[1:]))
	case "started":
		p.d.AttemptStarted(now, id, number)
	case "progress":
		fraction, _ := strconv.ParseFloat(args[1], 64)
		p.d.AttemptProgressed(now, id, number, fraction)
	case "ended":
		outcome, known := outcomeNames[args[1]]
		if !known {
			p.t.Fatalf("unknown outcome %q", args[1])
		}
		final := outcome == Succeeded || len(args) > 2
		p.recordDecision(now, id, p.d.AttemptEnded(now, id, number, outcome, final))
	case "client-left":
		p.d.ClientLeft(now, id)
	default:
		return false
	}
	return true
}

func (p *tracePlayer) arrival(id JobID, args []string) Arrival {
	values := map[string]string{"class": "0", "tenant": "0", "work": "300ms", "budget": "5s"}
	for _, arg := range args {
		key, value, _ := strings.Cut(arg, "=")
		values[key] = value
	}
	return Arrival{
		Job:         id,
		Class:       JobClassID(p.parseInt(values["class"])),
		Tenant:      TenantID(p.parseInt(values["tenant"])),
		Work:        golden.Duration(p.t, values["work"]),
		Budget:      golden.Duration(p.t, values["budget"]),
		ClientRetry: values["retry"] != "",
	}
}

// applyExecutorEvent passes on a load report or the result of a health check. It reports whether name is such an event.
func (p *tracePlayer) applyExecutorEvent(now time.Duration, name string, args []string) bool {
	switch name {
	case "load-report":
		load := p.parseFloats(args[1:4])
		p.d.LoadReported(ExecutorID(args[0]), Load{InFlight: load[0], Queued: load[1], FreeSlots: load[2], FreeMemory: -1, RunTime: -1})
	case "health-check-ended":
		load := Load{InFlight: -1, Queued: -1, FreeSlots: -1, FreeMemory: -1, RunTime: -1}
		for _, arg := range args[2:] {
			load.FreeSlots, _ = strconv.ParseFloat(strings.TrimPrefix(arg, "free="), 64)
		}
		p.d.HealthCheckEnded(now, ExecutorID(args[0]), args[1] == "answered", load)
	default:
		return false
	}
	return true
}

// applyNodeEvent passes on a lease message of another node, an admission threshold of the cluster or a shutdown. It reports
// whether name is such an event.
func (p *tracePlayer) applyNodeEvent(now time.Duration, name string, args []string) bool {
	switch name {
	case "lease-message":
		p.d.ReceiveLeaseMessage(now, NodeID(p.parseInt(args[0])), p.leaseMessage(args[1]), hashOf(args[2]))
	case "threshold":
		figures := p.parseFloats(args)
		p.d.SetAdmissionThreshold(AdmissionThreshold{Level: int(figures[0]), AdmitFraction: figures[1], MigrationDelay: figures[2]})
	case "shutdown-by":
		p.d.ShutDownBy(now, golden.Duration(p.t, args[0]))
	default:
		return false
	}
	return true
}

func (p *tracePlayer) leaseMessage(text string) LeaseMessage {
	p.t.Helper()
	for message, name := range leaseMessageNames {
		if name == text {
			return message
		}
	}
	p.t.Fatalf("unknown lease message %q", text)
	return 0
}

// printState prints the part of the dispatcher's state with that name, and reports whether there is such a part.
func (p *tracePlayer) printState(now time.Duration, name string, _ []string) bool {
	switch name {
	case "quotas":
		for _, e := range p.d.quota.executors {
			p.print(now, "%s has a quota of %d", e.id, e.tokens.quota)
		}
	case "paces":
		for _, e := range p.d.quota.executors {
			p.print(now, "%s has a pace of %.2f, its kind of %.2f", e.id, p.d.pace(e, now), p.d.endpoints.kinds[e.kind].pace)
		}
	case "subset":
		var names []string
		for _, e := range p.d.subset.members {
			names = append(names, string(e.id))
		}
		p.print(now, "the subset is %s", strings.Join(names, " "))
	case "summary":
		summary := p.d.TakeLoadSummary(now)
		p.print(now, "completed %.2f, expired %.2f, would be migrated %.2f", summary.Completed, summary.Expired, summary.Migrations)
	default:
		return false
	}
	return true
}

func (p *tracePlayer) parseInt(text string) int {
	p.t.Helper()
	number, err := strconv.Atoi(text)
	if err != nil {
		p.t.Fatal(err)
	}
	return number
}

func (p *tracePlayer) parseFloats(texts []string) []float64 {
	p.t.Helper()
	var figures []float64
	for _, text := range texts {
		figure, err := strconv.ParseFloat(text, 64)
		if err != nil {
			p.t.Fatal(err)
		}
		figures = append(figures, figure)
	}
	return figures
}
