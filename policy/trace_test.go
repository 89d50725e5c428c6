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

// TestEveryTraceReplayed checks that each directory of traces is replayed by the test file of its rule, and that no trace
// lies beside them.
func TestEveryTraceReplayed(t *testing.T) {
	entries, err := os.ReadDir("testdata")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if !entry.IsDir() {
			t.Errorf("testdata/%s is in no rule's directory", entry.Name())
			continue
		}
		text, err := os.ReadFile(entry.Name() + "_test.go")
		if err != nil || !strings.Contains(string(text), fmt.Sprintf("golden.ReplayDir(t, %q, play)", entry.Name())) {
			t.Errorf("testdata/%s is not replayed by %s_test.go: %v", entry.Name(), entry.Name(), err)
		}
	}
}

// A trace file in testdata holds what is told to a dispatcher and, behind arrows, what it decided:
//
//	settings once zones          words that change the base settings
//	1s list a b:1 c:0:2:5s       whole list: executor[:zone[:kind[:started so long ago[:state[:weight]]]]]
//	1s change a:0:0:-:L          changes only; lost: the subscription broke
//	2s job j1 work=300ms         a batch job comes (track, tenant, work, budget)
//	2s started j1                then progress j1 0.5, ended j1 cut, left j1; of the last allocation, or j1/0: of the first
//	2s heard 4 lend a            a word from node 4; reported a 4 1 0: held, waiting, free
//	2s probed a answered free=1  what came of a probe; or unanswered
//	9s closing 12s               the node ends; all must be over by then
//	9s! ended j1 handled         the node had no turn since the line before
//	9s wait                      let time pass until then
//	9s line 36 0.5 0.8           the cut line: rung, part of it taken, part of their slack that moves wait; tally: what was seen
//	9s quotas                    show each executor's quota; slice: the executors in use; paces: what each needs for the work
type player struct {
	t     *testing.T
	d     *Dispatcher
	shot  map[JobID]AttemptID
	on    map[JobID][]ExecutorID
	names map[ExecutorHash]ExecutorID
	lines []string
}

var base = Settings{
	Seed: 7, Nodes: 1, TotalWeight: 1, MaxAttempts: 3, MayCancel: true, MaxRetryAfter: 2 * time.Second,
	Quantum: time.Millisecond, PollWithin: 8 * time.Second, SlowStartCapacity: 0.25, SlowStartDuration: 8 * time.Second,
	OverloadMultiple: 4, OverloadWindow: time.Second, StartNotices: true, OverQuotaValue: 0.1, ValuePerWork: true,
	JobClasses: []JobClass{
		{LatencyObjective: 300 * time.Millisecond, RunTimeFactor: 2, Deadline: 5 * time.Second, Value: 1, Kind: AnyKind,
			DedupWindow: 2 * time.Second},
		{LatencyObjective: 300 * time.Millisecond, RunTimeFactor: 2, Deadline: 5 * time.Second, Value: 4, Kind: 1},
	},
}

func settings(words []string) Settings {
	s := base
	s.JobClasses = append([]JobClass(nil), base.JobClasses...)
	first := &s.JobClasses[0]
	change := map[string]func(){
		"once":     func() { first.Idempotency, s.JobClasses[1].Idempotency = AtMostOnce, AtMostOnce },
		"tagged":   func() { first.Idempotency = IdempotentWithKey },
		"zone":     func() { first.DedupGroup = DedupZone },
		"cell":     func() { first.DedupGroup = DedupCell },
		"late":     func() { first.LateValue = 0.5 },
		"flat":     func() { first.RunTimeFactor = 0 },
		"ask":      func() { s.EndpointsPolled = true },
		"progress": func() { s.ProgressInterval = time.Second },
		"mute":     func() { s.StartNotices = false },
		"nocancel": func() { s.MayCancel = false },
		"price":    func() { s.CrossZoneCost = 0.25 },
		"nodes8":   func() { s.Nodes = 8 },
		"nodes30":  func() { s.Nodes, s.Node = 30, 7 },
		"talk":     func() { s.MayLease = true },
		"copies":   func() { s.MayHedge = true },
		"probes":   func() { s.MayProbe = true },
		"marks":    func() { s.ClientsMarkRetries = true },
		"live":     func() { s.LoadAdjustedWeights = true },
		"tenants":  func() { s.Tenants = []Tenant{{10}, {10}} },
	}
	for _, w := range words {
		change[w]()
	}
	return s
}

func (p *player) say(now time.Duration, format string, args ...any) {
	p.lines = append(p.lines, fmt.Sprintf(golden.Arrow+"%v ", now)+fmt.Sprintf(format, args...))
}

func (p *player) decided(now time.Duration, id JobID, what Decision) {
	switch what.Action {
	case Send:
		p.shot[id]++
		p.on[id] = append(p.on[id], what.Executor)
		p.say(now, "send %s to %s", id, what.Executor)
	case Reject:
		p.say(now, "push back %s, come back in %v", id, what.RetryAfter)
	case Fail:
		p.say(now, "break off %s", id)
	}
}

// run lets time pass until then, doing what falls due as an adapter would.
func (p *player) run(until time.Duration) {
	now := until
	for guard := 0; guard < 10000; guard++ {
		due := p.d.NextTask(now)
		switch due.Task {
		case PlaceJob:
			p.decided(now, due.Job, p.d.Place(now, due.Job))
		case CancelAttempt:
			p.say(now, "stop waiting for %s on %s", due.Job, p.on[due.Job][due.Attempt])
		case WatchEndpoints:
			p.say(now, "subscribe")
		case SendLeaseMessage:
			p.say(now, "tell node %d: %s %s", due.Node, wordNames[due.Message], p.names[due.Hash])
		case ProbeExecutor:
			p.say(now, "probe %s", due.Executor)
		case WriteLog:
			p.say(now, "note: %s", due.Text)
		case Sleep:
			return
		}
	}
	p.t.Fatal("it never sleeps")
}

// pass steps through all due times up to then.
func (p *player) pass(from, until time.Duration) {
	for now := from; now < until; {
		due := p.d.NextTask(now)
		if due.Task != Sleep {
			p.t.Fatalf("something was left due at %v: %+v", now, due)
		}
		now = due.At
		if now <= until {
			p.run(now)
		}
	}
}

func entry(t *testing.T, now time.Duration, text string) Endpoint {
	parts := append(strings.Split(text, ":"), make([]string, 6)...)
	n := Endpoint{Executor: ExecutorID(parts[0]), StartedLongAgo: true, Weight: 1}
	zone, _ := strconv.Atoi(parts[1])
	kind, _ := strconv.Atoi(parts[2])
	n.Zone, n.Kind, n.Cell = ZoneID(zone), KindID(kind), CellID(zone)
	if parts[3] != "" && parts[3] != "-" {
		n.StartedAt, n.StartedLongAgo = now-golden.Span(t, parts[3]), false
	}
	n.State = map[string]EndpointState{"": Available, "L": Draining, "D": Removed}[parts[4]]
	if parts[5] != "" {
		n.Weight, _ = strconv.ParseFloat(parts[5], 64)
	}
	return n
}

var wordNames = map[LeaseMessage]string{LeaseRequest: "want", LeaseRequestLate: "want-late", LeaseGrant: "lend", LeaseWait: "later",
	LeaseReturn: "back", LeaseReturnDelayed: "back-late"}

var outcomeWords = map[string]Outcome{"handled": Succeeded, "errored": ExecutorError, "unfit": InvalidRequest, "no-room": ExecutorFull,
	"too-slow": TimedOut, "no-route": ConnectFailed, "cut": ConnectionLost, "called-off": Canceled, "not-sent": NotSent}

// play runs a trace file's own lines and gives the file as it should be.
func play(t *testing.T, lines []string) string {
	p := &player{t: t, shot: map[JobID]AttemptID{}, on: map[JobID][]ExecutorID{}, names: map[ExecutorHash]ExecutorID{}}
	last := time.Duration(0)
	for _, line := range lines {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			p.lines = append(p.lines, line)
			continue
		}
		if words[0] == "settings" {
			p.lines = append(p.lines, line)
			p.d = New(settings(words[1:]))
			continue
		}
		at, stood := strings.CutSuffix(words[0], "!")
		now := golden.Span(t, at)
		if !stood {
			p.pass(last, now)
		}
		p.lines = append(p.lines, line)
		p.tell(now, words[1], words[2:])
		p.run(now)
		last = now
	}
	return strings.Join(p.lines, "\n") + "\n"
}

func (p *player) tell(now time.Duration, what string, words []string) {
	id, n := JobID(""), AttemptID(0)
	if len(words) > 0 {
		name, number, told := strings.Cut(words[0], "/")
		id = JobID(name)
		if n = p.shot[id] - 1; told {
			shot, _ := strconv.Atoi(number)
			n = AttemptID(shot)
		}
	}
	switch what {
	case "list", "change", "lost", "copy":
		var entries []Endpoint
		for _, w := range words {
			entries = append(entries, entry(p.t, now, w))
			name := entries[len(entries)-1].Executor
			p.names[ExecutorHash(crc32.ChecksumIEEE([]byte(name)))] = name
		}
		kinds := map[string]EndpointUpdateKind{"list": CompleteUpdate, "change": IncrementalUpdate, "lost": WatchFailed, "copy": CachedUpdate}
		p.d.UpdateEndpoints(now, kinds[what], entries)
	case "job":
		args := map[string]string{"track": "0", "tenant": "0", "work": "300ms", "budget": "5s"}
		for _, w := range words[1:] {
			key, value, _ := strings.Cut(w, "=")
			args[key] = value
		}
		track, _ := strconv.Atoi(args["track"])
		tenant, _ := strconv.Atoi(args["tenant"])
		work, budget := golden.Span(p.t, args["work"]), golden.Span(p.t, args["budget"])
		p.d.JobArrived(now, Arrival{id, JobClassID(track), TenantID(tenant), work, budget, args["again"] != ""})
	case "started":
		p.d.AttemptStarted(now, id, n)
	case "progress":
		share, _ := strconv.ParseFloat(words[1], 64)
		p.d.AttemptProgressed(now, id, n, share)
	case "ended":
		final := words[1] == "handled" || len(words) > 2
		p.decided(now, id, p.d.AttemptEnded(now, id, n, outcomeWords[words[1]], final))
	case "heard":
		from, _ := strconv.Atoi(words[0])
		for word, name := range wordNames {
			if name == words[1] {
				p.d.ReceiveLeaseMessage(now, NodeID(from), word, ExecutorHash(crc32.ChecksumIEEE([]byte(words[2]))))
			}
		}
	case "reported":
		var load [3]float64
		for i := range load {
			load[i], _ = strconv.ParseFloat(words[1+i], 64)
		}
		p.d.LoadReported(ExecutorID(words[0]), Load{InFlight: load[0], Queued: load[1], FreeSlots: load[2], FreeMemory: -1, RunTime: -1})
	case "probed":
		load := Load{InFlight: -1, Queued: -1, FreeSlots: -1, FreeMemory: -1, RunTime: -1}
		for _, w := range words[2:] {
			load.FreeSlots, _ = strconv.ParseFloat(strings.TrimPrefix(w, "free="), 64)
		}
		p.d.ProbeEnded(now, ExecutorID(words[0]), words[1] == "answered", load)
	case "left":
		p.d.ClientLeft(now, id)
	case "closing":
		p.d.ShutDownBy(now, golden.Span(p.t, words[0]))
	case "quotas":
		for _, e := range p.d.quota.executors {
			p.say(now, "%s has a quota of %d", e.id, e.tokens.quota)
		}
	case "paces":
		for _, e := range p.d.quota.executors {
			p.say(now, "%s has a pace of %.2f, its kind of %.2f", e.id, p.d.pace(e, now), p.d.endpoints.kinds[e.kind].pace)
		}
	case "slice":
		names := []string{}
		for _, e := range p.d.subset.members {
			names = append(names, string(e.id))
		}
		p.say(now, "the slice is %s", strings.Join(names, " "))
	case "line": // rung, part, and how long moves wait
		var x [3]float64
		for i := range x {
			x[i], _ = strconv.ParseFloat(words[i], 64)
		}
		p.d.SetAdmissionThreshold(AdmissionThreshold{int(x[0]), x[1], x[2]})
	case "tally":
		t := p.d.TakeLoadSummary(now)
		p.say(now, "done %.2f, lost %.2f, would be moved %.2f", t.Completed, t.Expired, t.Migrations)
	case "wait":
	default:
		p.t.Fatalf("unknown word %q", what)
	}
}
