package node

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"birchstair/internal/cluster"
	"birchstair/internal/golden"
	"birchstair/policy"
)

// tracePlayer replays the traces in testdata. A trace consists of lines with one event each; the lines with arrows that follow an
// event are its effects:
//
//	settings at-most-once max-conns=2   changes to the base settings, see newNode
//	0s list a b@2 c:draining d:3s       a complete endpoint list: executor[@address][:draining, :removed, or the time since its start]
//	1s change a:draining                an incremental update; cached-list: a cached list; watch-failed: a failed watch
//	1s job j1 work=300ms                a job arrives (options: class, work, budget, body, key, client, near-connection-limit)
//	1s conn-ready 1                     connection 1 is up; conn-idle 1, conn-closed 1 [without-detail]
//	1s started 1                        the attempt on connection 1 has started; progress 1 0.5; ended 1 OUTCOME [conn-broken]
//	2s not-sent 1                       the last check before the attempt's first byte found that the client has gone
//	2s client-left j1 [client=x]        the client has gone
//	2s health-check-ended a answered    or unanswered
//	2s shutdown                         a shutdown is requested; frontend-closed
//	2s reload x:1 listen a:at-most-once a reload with discovery address x:1, a changed key that needs a restart, and a class a
//	                                    (at-most-once, a maximum of 1 or 2 attempts, or unchanged); invalid: a failed reload
//	2s switch-pending x:1               discovery address x:1 has not delivered a list yet
//	2s exclude a                        an operator's command; readmit a, check-ready, metrics, drain-on, drain-off
//	2s link-up 0                        the link to another process is up, 0 for the predecessor; link-down 1
//	2s handoff 0 state excluded=a endpoint=b   a message from process 0; handoff 1 ready, yielded, done SEQ, exclude a, readmit a
//	2s alive n1                         the nodes of the cluster that are alive
//	2s gossip n1 3 a                    the third message of node n1: its endpoint list says that a is draining
//	3s suspended conn-ready 1           an event after the process was suspended: the timers due before it have not fired
//	9s wait                             lets the time pass until 9s
type tracePlayer struct {
	t       *testing.T
	n       *Node
	timerAt time.Duration // 0 if no timer is set
	lines   []string
}

// namedClient is a client that is identified by its name. The state machine must never ask for its state.
type namedClient string

func (c namedClient) State() ClientState {
	panic("the state machine asked for the state of the client: " + c)
}

func defaultClass() policy.JobClass {
	return policy.JobClass{LatencyObjective: 300 * time.Millisecond, RunTimeFactor: 2, Deadline: 5 * time.Second, Value: 1, Kind: policy.AnyKind}
}

// newNode creates a node with the base settings, as changed by the words of a settings line.
func newNode(words []string) *Node {
	s := policy.Settings{Seed: 7, Nodes: 1, TotalWeight: 1, MaxAttempts: 3, MayCancel: true,
		MaxRetryAfter: 2 * time.Second, Quantum: time.Millisecond, StartNotices: true, ValuePerWork: true,
		SlowStartCapacity: 1, OverloadMultiple: 4, OverloadWindow: time.Second,
		JobClasses: []policy.JobClass{defaultClass()}}
	limits := Limits{Quantum: time.Millisecond, MaxIdle: 8 * time.Second, DialTimeout: 100 * time.Millisecond,
		MaxConns: 8, MaxConnsShared: 3, SlowStartWindow: time.Second, MaxBodyBytes: 100, MaxWork: 10 * time.Second,
		RetryAfter: 2 * time.Second, LameDuckPeriod: 500 * time.Millisecond, ShutdownTimeout: 3 * time.Second}
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "at-most-once":
			s.JobClasses[0].Idempotency = policy.AtMostOnce
		case "slow-start":
			s.SlowStartCapacity, s.SlowStartDuration = 0.25, 8*time.Second
		case "max-conns":
			limits.MaxConns, _ = strconv.Atoi(value)
		case "hedging":
			s.MayHedge = true
		case "late-value":
			s.JobClasses[0].LateValue = 0.5
		case "idempotency-key":
			s.JobClasses[0].Idempotency, s.JobClasses[0].DedupWindow = policy.IdempotentWithKey, 2*time.Second
		case "probing":
			s.MayCheckHealth = true
		case "load-adjusted":
			s.LoadAdjustedWeights = true
		}
	}
	dispatcher := policy.New(s)
	if slices.Contains(words, "panicking-policy") {
		dispatcher = nil
	}
	n := New(dispatcher, limits, []JobClass{{"page", s.JobClasses[0]}})
	if slices.Contains(words, "cluster") {
		n.JoinCluster(cluster.Defaults("me", 0, 1))
	}
	return n
}

func (p *tracePlayer) conn(text string) ConnID { return ConnID(p.number(text)) }

func (p *tracePlayer) number(text string) int {
	p.t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		p.t.Fatal(err)
	}
	return n
}

func (p *tracePlayer) endpoints(now time.Duration, words []string) (list []Endpoint) {
	for _, word := range words {
		name, state, _ := strings.Cut(word, ":")
		name, at, _ := strings.Cut(name, "@")
		e := Endpoint{Addr: name + at, Endpoint: policy.Endpoint{Executor: policy.ExecutorID(name), Weight: 1, StartedLongAgo: true}}
		switch state {
		case "":
		case "draining":
			e.State = policy.Draining
		case "removed":
			e.State = policy.Removed
		default:
			e.StartedLongAgo, e.StartedAt = false, now-golden.Duration(p.t, state)
		}
		list = append(list, e)
	}
	return list
}

// event parses the event of one line.
func (p *tracePlayer) event(now time.Duration, words []string) Event {
	p.t.Helper()
	for _, read := range []func(time.Duration, string, []string) Event{
		p.frontendEvent, p.upstreamEvent, p.configurationEvent, p.adminEvent, p.handoffEvent, p.clusterEvent,
	} {
		if ev := read(now, words[0], words[1:]); ev != nil {
			return ev
		}
	}
	switch words[0] {
	case "shutdown":
		return ShutdownRequested{}
	case "wait":
		return TimerFired{}
	}
	p.t.Fatalf("unknown event %q", words[0])
	return nil
}

func (p *tracePlayer) frontendEvent(_ time.Duration, name string, args []string) Event {
	switch name {
	case "job":
		return JobArrived{p.job(args)}
	case "client-left":
		ev := ClientLeft{Job: policy.JobID(args[0])}
		if client, ok := strings.CutPrefix(args[len(args)-1], "client="); ok {
			ev.Client = namedClient(client)
		}
		return ev
	case "frontend-closed":
		return FrontendClosed{}
	}
	return nil
}

func (p *tracePlayer) job(args []string) Job {
	j := Job{Request: Request{ID: policy.JobID(args[0])}, Work: 300 * time.Millisecond, Budget: 5 * time.Second}
	for _, arg := range args[1:] {
		switch key, value, _ := strings.Cut(arg, "="); key {
		case "work":
			j.Work = golden.Duration(p.t, value)
		case "key":
			j.IdempotencyKey = value
		case "budget":
			j.Budget = golden.Duration(p.t, value)
		case "body":
			j.Body = []byte(value)
		case "near-connection-limit":
			j.NearConnectionLimit = true
		case "client":
			j.Client = namedClient(value)
		case "class":
			j.Class = policy.JobClassID(p.number(value))
		}
	}
	return j
}

var outcomes = map[string]policy.Outcome{
	"succeeded":         policy.Succeeded,
	"executor-error":    policy.ExecutorError,
	"executor-full":     policy.ExecutorFull,
	"rejected-unproven": policy.RejectedUnproven,
	"connect-failed":    policy.ConnectFailed,
	"connection-lost":   policy.ConnectionLost,
	"invalid-request":   policy.InvalidRequest,
}

func (p *tracePlayer) upstreamEvent(_ time.Duration, name string, args []string) Event {
	switch name {
	case "conn-ready":
		return ConnReady{p.conn(args[0])}
	case "conn-idle":
		return ConnIdle{p.conn(args[0])}
	case "conn-closed":
		ev := ConnClosed{Conn: p.conn(args[0])}
		if len(args) == 1 { // without the word without-detail
			ev.Detail = "it broke"
		}
		return ev
	case "started":
		return AttemptProgressed{Conn: p.conn(args[0])}
	case "progress":
		progress, _ := strconv.ParseFloat(args[1], 64)
		return AttemptProgressed{Conn: p.conn(args[0]), Progress: progress}
	case "ended":
		return AttemptEnded{Conn: p.conn(args[0]), Outcome: outcomes[args[1]], ConnBroken: args[len(args)-1] == "conn-broken", Result: []byte("result")}
	case "not-sent":
		client := ClientGone
		if len(args) > 1 && args[1] == "unknown" {
			client = ClientUnknown
		}
		return AttemptNotSent{Conn: p.conn(args[0]), Client: client}
	case "health-check-ended":
		return HealthCheckEnded{policy.ExecutorID(args[0]), args[1] == "answered", policy.Load{InFlight: -1, Queued: -1, FreeSlots: -1, FreeMemory: -1, RunTime: -1}}
	}
	return nil
}

func (p *tracePlayer) configurationEvent(now time.Duration, name string, args []string) Event {
	switch name {
	case "list":
		return EndpointsUpdated{Kind: policy.CompleteUpdate, Endpoints: p.endpoints(now, args)}
	case "change":
		return EndpointsUpdated{Kind: policy.IncrementalUpdate, Endpoints: p.endpoints(now, args)}
	case "cached-list":
		return EndpointsUpdated{Kind: policy.CachedUpdate, Endpoints: p.endpoints(now, args)}
	case "watch-failed":
		return EndpointsUpdated{Kind: policy.WatchFailed, Detail: "no answer"}
	case "switch-pending":
		return DiscoverySwitchPending{Addr: args[0], Detail: "no answer"}
	case "reload":
		return p.reload(args)
	}
	return nil
}

func (p *tracePlayer) reload(args []string) Event {
	if args[0] == "invalid" {
		return ConfigReloaded{Detail: "listen: missing"}
	}
	ev := ConfigReloaded{Discovery: args[0], MaxWork: 10 * time.Second, ShutdownTimeout: 3 * time.Second}
	for _, arg := range args[1:] {
		name, rule, isClass := strings.Cut(arg, ":")
		if !isClass {
			ev.NeedRestart = append(ev.NeedRestart, arg)
			continue
		}
		class := p.n.JobClasses()[0].JobClass.JobClass
		class.Idempotency, class.MaxAttempts = policy.Idempotent, 0
		switch rule {
		case "at-most-once":
			class.Idempotency = policy.AtMostOnce
		case "1", "2":
			class.MaxAttempts = p.number(rule)
		}
		ev.Classes = append(ev.Classes, JobClass{name, class})
	}
	if ev.Classes == nil {
		for _, class := range p.n.JobClasses() {
			ev.Classes = append(ev.Classes, class.JobClass)
		}
	}
	return ev
}

var adminCommands = map[string]AdminCommand{
	"check-ready": CheckReady,
	"metrics":     ReadMetrics,
	"exclude":     ExcludeExecutor,
	"readmit":     ReadmitExecutor,
	"drain-on":    DrainOn,
	"drain-off":   DrainOff,
}

func (p *tracePlayer) adminEvent(_ time.Duration, name string, args []string) Event {
	command, ok := adminCommands[name]
	if !ok {
		return nil
	}
	ev := AdminCalled{Command: command}
	if len(args) > 0 {
		ev.Executor = policy.ExecutorID(args[0])
	}
	return ev
}

func (p *tracePlayer) handoffEvent(now time.Duration, name string, args []string) Event {
	switch name {
	case "link-up":
		return HandoffLinkUp{HandoffLink(p.number(args[0]))}
	case "link-down":
		return HandoffLinkDown{HandoffLink(p.number(args[0])), "it ended"}
	case "handoff":
		return HandoffReceived{HandoffLink(p.number(args[0])), p.handoffMessage(now, args[1], args[2:])}
	}
	return nil
}

func (p *tracePlayer) handoffMessage(now time.Duration, kind string, args []string) HandoffMessage {
	switch kind {
	case "ready":
		return HandoffMessage{Kind: SuccessorReady, Claims: slices.Contains(args, "claims")}
	case "claim":
		return HandoffMessage{Kind: ClaimID, Seq: uint64(p.number(args[0])), Digest: digestOf(policy.JobID(args[1]))}
	case "granted", "refused":
		return HandoffMessage{Kind: ClaimAnswered, Seq: uint64(p.number(args[0])), Granted: kind == "granted"}
	case "claims-ended":
		return HandoffMessage{Kind: ClaimsEnded}
	case "ids":
		message := HandoffMessage{Kind: TransferUsedIDs}
		for _, arg := range args {
			message.UsedIDs = append(message.UsedIDs, UsedID{Digest: digestOf(policy.JobID(arg))})
		}
		return message
	case "yielded":
		return HandoffMessage{Kind: PredecessorYielded}
	case "done":
		return HandoffMessage{Kind: RelayDone, Seq: uint64(p.number(args[0]))}
	case "exclude", "readmit":
		return HandoffMessage{Kind: RelayCommand, Seq: 9, Command: adminCommands[kind], Executor: policy.ExecutorID(args[0])}
	case "state":
		return HandoffMessage{Kind: StateTransfer, State: p.handoffState(now, args)}
	}
	p.t.Fatalf("unknown handoff message %q", kind)
	return HandoffMessage{}
}

func (p *tracePlayer) handoffState(now time.Duration, args []string) *HandoffState {
	state := &HandoffState{}
	for _, arg := range args {
		switch key, value, _ := strings.Cut(arg, "="); key {
		case "excluded":
			state.Excluded = append(state.Excluded, policy.ExecutorID(value))
		case "readmitted":
			state.Readmitted = append(state.Readmitted, ReadmittedExecutor{policy.ExecutorID(value), time.Second})
		case "endpoint":
			state.Endpoints = append(state.Endpoints, p.endpoints(now, []string{value})...)
		case "drained":
			state.Drained = true
		case "claims":
			state.Claims = true
		case "used":
			state.UsedIDs = append(state.UsedIDs, UsedID{Digest: digestOf(policy.JobID(value))})
		}
	}
	return state
}

func (p *tracePlayer) clusterEvent(_ time.Duration, name string, args []string) Event {
	switch name {
	case "alive":
		var names []cluster.NodeName
		for _, arg := range args {
			names = append(names, cluster.NodeName(arg))
		}
		return AliveNodesChanged{names}
	case "gossip":
		return GossipReceived{cluster.Message{From: cluster.NodeName(args[0]), Incarnation: 1, Seq: uint64(p.number(args[1])),
			Drains: []cluster.Drain{{Executor: policy.ExecutorID(args[2])}}}}
	}
	return nil
}

// step passes an event to the node and appends the effects to the lines. Timers are not written, and neither are gossip messages
// without drains.
func (p *tracePlayer) step(now time.Duration, ev Event) {
	for _, e := range p.n.Step(now, ev) {
		switch e := e.(type) {
		case SetTimer:
			p.timerAt = e.At
			continue
		case SendGossip:
			if len(e.Message.Drains) == 0 {
				continue
			}
		}
		p.lines = append(p.lines, fmt.Sprintf(golden.Arrow+"%v %s", now, effectText(e)))
	}
}

func effectText(e Effect) string {
	switch e := e.(type) {
	case Answer:
		return answerText(e)
	case Dial:
		return fmt.Sprintf("dial %d to %s", e.Conn, e.Addr)
	case WriteAttempt:
		return fmt.Sprintf("write %s on %d, %v left", e.Attempt.ID, e.Conn, e.Attempt.Budget)
	case CloseConn:
		return fmt.Sprintf("close %d", e.Conn)
	case CheckHealth:
		return fmt.Sprintf("check health of %s at %s", e.Executor, e.Addr)
	case WatchEndpoints:
		return "watch endpoints"
	case SwitchDiscovery:
		return "switch discovery to " + e.Addr
	case SendGossip:
		return fmt.Sprintf("gossip to %s: %s draining for %v", e.To, e.Message.Drains[0].Executor, e.Message.Drains[0].Age)
	case SetReady:
		return fmt.Sprint("ready: ", e.Ready)
	case AcceptConnections:
		return fmt.Sprint("accept connections: ", e.Accept)
	case DrainClients:
		return fmt.Sprint("drain clients: ", e.On)
	case HalveLimits:
		return fmt.Sprint("halve limits: ", e.Half)
	case UpdateJobClasses:
		text := "job classes:"
		for _, class := range e.Classes {
			text += fmt.Sprintf(" %d %s", class.ID, class.Name)
		}
		return text
	case SendHandoff:
		return fmt.Sprintf("send to process %d: ", e.Link) + handoffText(e.Message)
	case CloseHandoffLink:
		return fmt.Sprintf("close link to process %d", e.Link)
	case AdminReply:
		return replyText(e)
	case CloseFrontend:
		return "close the frontend"
	case Log:
		text, _, _ := strings.Cut(e.Text, "\n") // without the stack trace of a panic
		return strings.TrimRight(fmt.Sprintf("log: %s %s %s", text, e.Executor, e.Job), " ")
	case Exit:
		return "exit"
	}
	return ""
}

func answerText(e Answer) string {
	text := [...]string{"succeeded", "rejected", "failed"}[e.Final] + " " + string(e.Job)
	if e.Final == Succeeded {
		text += " with " + string(e.Result)
	}
	if e.RetryAfter > 0 {
		text += ", retry after " + e.RetryAfter.String()
	}
	return text
}

func replyText(e AdminReply) string {
	switch {
	case e.Refusal != "":
		return "refused: " + e.Refusal
	case e.Metrics != nil:
		return fmt.Sprintf("metrics: %+v", *e.Metrics)
	}
	return "ok"
}

func handoffText(m HandoffMessage) string {
	switch m.Kind {
	case StateTransfer:
		text := fmt.Sprintf("state, excluded %v, readmitted %v, drained %t, endpoints", m.State.Excluded, m.State.Readmitted, m.State.Drained)
		for _, e := range m.State.Endpoints {
			text += fmt.Sprintf(" %s@%s:%d", e.Executor, e.Addr, e.State)
		}
		if len(m.State.UsedIDs) > 0 {
			text += ", " + usedIDsText(m.State.UsedIDs)
		}
		return text
	case ClaimID:
		return fmt.Sprintf("claim %d: %s", m.Seq, jobOfDigest(m.Digest))
	case ClaimAnswered:
		return fmt.Sprintf("claim %d granted: %t", m.Seq, m.Granted)
	case TransferUsedIDs:
		return usedIDsText(m.UsedIDs)
	case ClaimsEnded:
		return "claims ended"
	case SuccessorReady:
		return "successor ready"
	case PredecessorYielded:
		return "predecessor yielded"
	case RelayCommand:
		return fmt.Sprintf("command %d: %d %s", m.Seq, m.Command, m.Executor)
	case RelayDone:
		return fmt.Sprintf("done %d", m.Seq)
	}
	return ""
}

// jobOfDigest returns the ID of a job j1 to j9 by its digest.
func jobOfDigest(digest IDDigest) policy.JobID {
	for i := range 10 {
		if id := policy.JobID(fmt.Sprint("j", i)); digestOf(id) == digest {
			return id
		}
	}
	return "?"
}

func usedIDsText(list []UsedID) string {
	text := "used IDs"
	for _, id := range list {
		text += fmt.Sprintf(" %s for %v", jobOfDigest(id.Digest), id.Age)
	}
	return text
}

// play replays one line of a trace.
func (p *tracePlayer) play(line string) {
	p.t.Helper()
	words := strings.Fields(line)
	if len(words) == 0 || words[0] == "#" {
		p.lines = append(p.lines, line)
		return
	}
	if words[0] == "settings" {
		p.n = newNode(words[1:])
		p.lines = append(p.lines, line)
		return
	}
	now := golden.Duration(p.t, words[0])
	words = words[1:]
	if words[0] == "suspended" {
		words = words[1:]
	} else {
		p.fireTimers(now)
	}
	p.lines = append(p.lines, line)
	p.step(now, p.event(now, words))
}

// fireTimers lets the timers fire that are due before the given time.
func (p *tracePlayer) fireTimers(before time.Duration) {
	for p.timerAt > 0 && p.timerAt < before {
		at := p.timerAt
		p.timerAt = 0
		p.step(at, TimerFired{})
	}
}

// TestTraces replays each trace in testdata and compares the effects.
func TestTraces(t *testing.T) {
	golden.Replay(t, func(t *testing.T, lines []string) string {
		p := &tracePlayer{t: t, n: newNode(nil)}
		for _, line := range lines {
			p.play(line)
		}
		return strings.Join(p.lines, "\n") + "\n"
	})
}
