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

// A trace in testdata holds what peers tell the reducer and, behind arrows, the effects it asks for:
//
//	settings once conns=2        words that change the base settings
//	0s list a b@2 c:L d:3s       whole list: executor[@address][:L draining, D gone, or started so long ago]
//	1s change a:L                changes only; copy: the list at the start; lost: it could not be had
//	1s job j1 work=300ms         a batch job comes (track, work, budget, body, crowded)
//	1s up 1                      connection 1 is up; rested 1, closed 1 [silently]
//	1s started 1                 progress 1 0.5; ended 1 cut broken
//	2s left j1                   the client has gone; stop: told to end; shut: the front is closed
//	2s reread x:1 listen a:once  the configuration names discovery x:1, a key that waits, a track (once, or so many
//	                             allocations, or as it was); odd: it makes no sense
//	2s notfollowed x:1           no list from there yet
//	2s out a                     an operator takes an executor out; back a, check, figures, drain, undrain
//	2s joined 0                  another process, 0 the older one; heard 0 state out=a listed=b, heard 1 yes, parted 1
//	2s probed a answered         what came of a probe; or silent
//	2s alive n1                  the neighbours that live; word n1 3 a: its third word, by its list a drains
//	3s still up 1                the process stood still until then: no timer came first
//	9s wait                      let time pass until then
//	2s left j1 client=x          the client x of it, by "job j1 client=x", has gone
//	2s unsent 1                  the last look before an attempt's first byte found its client gone
type player struct {
	t     *testing.T
	n     *Node
	armed time.Duration
	lines []string
}

// caller is a client by its name. The reducer never asks it.
type caller string

func (c caller) Gone() bool { panic("the reducer looked at the connection of " + c) }

func settings(words []string) (*policy.Dispatcher, Limits) {
	s := policy.Settings{Seed: 7, Nodes: 1, TotalWeight: 1, MaxAttempts: 3, MayCancel: true,
		MaxRetryAfter: 2 * time.Second, Quantum: time.Millisecond, StartNotices: true, ValuePerWork: true,
		SlowStartCapacity: 1, OverloadMultiple: 4, OverloadWindow: time.Second,
		JobClasses: []policy.JobClass{{LatencyObjective: 300 * time.Millisecond, RunTimeFactor: 2, Deadline: 5 * time.Second,
			Value: 1, Kind: policy.AnyKind}}}
	l := Limits{Quantum: time.Millisecond, MaxIdle: 8 * time.Second, DialTimeout: 100 * time.Millisecond, MaxConns: 8, MaxConnsShared: 3, SlowStartWindow: time.Second, MaxBodyBytes: 100,
		MaxWork: 10 * time.Second, RetryAfter: 2 * time.Second, LameDuckPeriod: 500 * time.Millisecond, ShutdownTimeout: 3 * time.Second}
	for _, w := range words {
		key, value, _ := strings.Cut(w, "=")
		figure, _ := strconv.Atoi(value)
		switch key {
		case "once":
			s.JobClasses[0].Idempotency = policy.AtMostOnce
		case "cold":
			s.SlowStartCapacity, s.SlowStartDuration = 0.25, 8*time.Second
		case "conns":
			l.MaxConns = figure
		case "copies":
			s.MayHedge = true
		case "late":
			s.JobClasses[0].LateValue = 0.5
		case "tagged":
			s.JobClasses[0].Idempotency, s.JobClasses[0].DedupWindow = policy.IdempotentWithKey, 2*time.Second
		case "probes":
			s.MayProbe = true
		case "live":
			s.LoadAdjustedWeights = true
		case "broken":
			return nil, l
		}
	}
	return policy.New(s), l
}

func fresh(words []string) *Node {
	brain, limits := settings(words)
	n := New(brain, limits, []JobClass{{"page", policy.JobClass{LatencyObjective: 300 * time.Millisecond, RunTimeFactor: 2, Deadline: 5 * time.Second,
		Value: 1, Kind: policy.AnyKind}}})
	if slices.Contains(words, "talk") {
		n.JoinFleet(cluster.Defaults("me", 0, 1))
	}
	return n
}

func (p *player) conn(text string) ConnID {
	id, err := strconv.Atoi(text)
	if err != nil {
		p.t.Fatal(err)
	}
	return ConnID(id)
}

func (p *player) executors(now time.Duration, words []string) (list []Endpoint) {
	for _, w := range words {
		name, state, _ := strings.Cut(w, ":")
		name, at, _ := strings.Cut(name, "@")
		e := Endpoint{Addr: name + at, Endpoint: policy.Endpoint{Executor: policy.ExecutorID(name), Weight: 1, StartedLongAgo: true}}
		switch state {
		case "":
		case "L":
			e.State = policy.Draining
		case "D":
			e.State = policy.Removed
		default:
			e.StartedLongAgo, e.StartedAt = false, now-golden.Span(p.t, state)
		}
		list = append(list, e)
	}
	return list
}

var outcomes = map[string]policy.Outcome{"handled": policy.Succeeded, "errored": policy.ExecutorError,
	"no-room": policy.ExecutorFull, "no-route": policy.ConnectFailed, "cut": policy.ConnectionLost, "unfit": policy.InvalidRequest}

func (p *player) event(now time.Duration, words []string) Event {
	last := words[len(words)-1]
	switch words[0] {
	case "list":
		return EndpointsUpdated{Kind: policy.CompleteUpdate, Endpoints: p.executors(now, words[1:])}
	case "change":
		return EndpointsUpdated{Kind: policy.IncrementalUpdate, Endpoints: p.executors(now, words[1:])}
	case "copy":
		return EndpointsUpdated{Kind: policy.CachedUpdate, Endpoints: p.executors(now, words[1:])}
	case "alive":
		var names []cluster.NodeName
		for _, w := range words[1:] {
			names = append(names, cluster.NodeName(w))
		}
		return FleetChanged{names}
	case "word": // of a neighbour, its number, and the executor that drains there
		seq, _ := strconv.Atoi(words[2])
		return GossipReceived{cluster.Message{From: cluster.NodeName(words[1]), Incarnation: 1, Seq: uint64(seq), Drains: []cluster.Drain{{Executor: policy.ExecutorID(words[3])}}}}
	case "lost":
		return EndpointsUpdated{Kind: policy.WatchFailed, Detail: "no answer"}
	case "job":
		j := Job{Request: Request{ID: policy.JobID(words[1])}, Work: 300 * time.Millisecond, Budget: 5 * time.Second}
		for _, w := range words[2:] {
			switch key, value, _ := strings.Cut(w, "="); key {
			case "work":
				j.Work = golden.Span(p.t, value)
			case "tag":
				j.IdempotencyKey = value
			case "budget":
				j.Budget = golden.Span(p.t, value)
			case "body":
				j.Body = []byte(value)
			case "crowded":
				j.NearConnectionLimit = true
			case "client":
				j.Client = caller(value)
			case "track":
				id, _ := strconv.Atoi(value)
				j.Class = policy.JobClassID(id)
			}
		}
		return JobArrived{j}
	case "up":
		return ConnReady{p.conn(last)}
	case "rested":
		return ConnIdle{p.conn(last)}
	case "closed":
		if last == "silently" {
			return ConnClosed{Conn: p.conn(words[1])}
		}
		return ConnClosed{Conn: p.conn(last), Detail: "it broke"}
	case "started":
		return AttemptProgressed{Conn: p.conn(last)}
	case "progress":
		share, _ := strconv.ParseFloat(last, 64)
		return AttemptProgressed{Conn: p.conn(words[1]), Progress: share}
	case "ended":
		return AttemptEnded{Conn: p.conn(words[1]), Outcome: outcomes[words[2]], ConnBroken: last == "broken",
			Result: []byte("result")}
	case "probed":
		return ProbeEnded{policy.ExecutorID(words[1]), last == "answered", policy.Load{InFlight: -1, Queued: -1, FreeSlots: -1, FreeMemory: -1, RunTime: -1}}
	case "unsent":
		return AttemptNotSent{Conn: p.conn(last)}
	case "left":
		l := ClientLeft{Job: policy.JobID(words[1])}
		if of, ok := strings.CutPrefix(last, "client="); ok {
			l.Client = caller(of)
		}
		return l
	case "reread":
		if last == "odd" {
			return ConfigReloaded{Detail: "listen: missing"}
		}
		r := ConfigReloaded{Discovery: words[1], MaxWork: 10 * time.Second, ShutdownTimeout: 3 * time.Second}
		for _, w := range words[2:] {
			name, rule, isTrack := strings.Cut(w, ":")
			if !isTrack {
				r.NeedRestart = append(r.NeedRestart, w)
				continue
			}
			t := p.n.classes.current[0].JobClass.JobClass
			t.Idempotency, t.MaxAttempts = policy.Idempotent, 0
			switch rule {
			case "once":
				t.Idempotency = policy.AtMostOnce
			case "1", "2":
				t.MaxAttempts, _ = strconv.Atoi(rule)
			}
			r.Classes = append(r.Classes, JobClass{name, t})
		}
		if r.Classes == nil {
			for _, t := range p.n.classes.current {
				r.Classes = append(r.Classes, t.JobClass)
			}
		}
		return r
	case "notfollowed":
		return DiscoverySwitchPending{Addr: last, Detail: "no answer"}
	case "joined", "parted", "heard":
		link, _ := strconv.Atoi(words[1])
		switch words[0] {
		case "joined":
			return HandoffLinkUp{HandoffLink(link)}
		case "parted":
			return HandoffLinkDown{HandoffLink(link), "it ended"}
		}
		kinds := map[string]HandoffKind{"yes": SuccessorReady, "ceded": PredecessorYielded, "done": RelayDone, "out": RelayCommand, "back": RelayCommand, "state": StateTransfer}
		w := HandoffMessage{Kind: kinds[words[2]]}
		switch words[2] {
		case "done":
			seq, _ := strconv.Atoi(last)
			w.Seq = uint64(seq)
		case "out", "back":
			w.Seq, w.Command, w.Executor = 9, map[string]AdminCommand{"out": ExcludeExecutor, "back": ReadmitExecutor}[words[2]], policy.ExecutorID(last)
		case "state":
			w.State = &HandoffState{}
			for _, word := range words[3:] {
				switch what, name, _ := strings.Cut(word, "="); what {
				case "out":
					w.State.Excluded = append(w.State.Excluded, policy.ExecutorID(name))
				case "back":
					w.State.Readmitted = append(w.State.Readmitted, ReadmittedExecutor{policy.ExecutorID(name), time.Second})
				case "listed":
					w.State.Endpoints = append(w.State.Endpoints, p.executors(now, []string{name})...)
				case "drained":
					w.State.Drained = true
				}
			}
		}
		return HandoffReceived{HandoffLink(link), w}
	case "stop":
		return ShutdownRequested{}
	case "shut":
		return FrontendClosed{}
	case "wait":
		return TimerFired{}
	case "check", "figures", "out", "back", "drain", "undrain":
		orders := map[string]AdminCommand{"check": CheckReady, "figures": ReadMetrics, "out": ExcludeExecutor, "back": ReadmitExecutor, "drain": DrainOn, "undrain": DrainOff}
		c := AdminCalled{Command: orders[words[0]]}
		if len(words) > 1 {
			c.Executor = policy.ExecutorID(last)
		}
		return c
	}
	p.t.Fatalf("unknown word %q", words[0])
	return nil
}

func (p *player) step(now time.Duration, ev Event) {
	for _, e := range p.n.Step(now, ev) {
		line := ""
		switch e := e.(type) {
		case Answer:
			line = [...]string{"handled", "pushed back", "broken off"}[e.Final] + " " + string(e.Job)
			if e.Final == Succeeded {
				line += " with " + string(e.Result)
			}
			if e.RetryAfter > 0 {
				line += ", come back in " + e.RetryAfter.String()
			}
		case Dial:
			line = fmt.Sprintf("dial %d to %s", e.Conn, e.Addr)
		case WriteAttempt:
			line = fmt.Sprintf("write %s on %d, %v left", e.Attempt.ID, e.Conn, e.Attempt.Budget)
		case CloseConn:
			line = fmt.Sprintf("close %d", e.Conn)
		case ProbeExecutor:
			line = fmt.Sprintf("probe %s at %s", e.Executor, e.Addr)
		case WatchEndpoints:
			line = "watch"
		case SendGossip:
			if len(e.Message.Drains) == 0 {
				continue
			}
			line = fmt.Sprintf("tell %s that %s drains, %v old", e.To, e.Message.Drains[0].Executor, e.Message.Drains[0].Age)
		case SwitchDiscovery:
			line = "follow " + e.Addr
		case SetReady:
			line = fmt.Sprint("ready: ", e.Yes)
		case CloseFrontend:
			line = "close the front"
		case SetTimer:
			p.armed = e.At
			continue
		case Log:
			text, _, _ := strings.Cut(e.Text, "\n") // without a stack
			line = strings.TrimRight(fmt.Sprintf("log: %s %s %s", text, e.Executor, e.Job), " ")
		case UpdateJobClasses:
			line = "tracks:"
			for _, t := range e.Classes {
				line += fmt.Sprintf(" %d %s", t.ID, t.Name)
			}
		case DrainClients:
			line = fmt.Sprint("send clients away: ", e.On)
		case AcceptConnections:
			line = fmt.Sprint("take new connections: ", e.Yes)
		case HalveLimits:
			line = fmt.Sprint("half of the limits: ", e.Half)
		case SendHandoff:
			line = fmt.Sprintf("to process %d: ", e.Link) + wordText(e.Message)
		case CloseHandoffLink:
			line = fmt.Sprintf("part from process %d", e.Link)
		case AdminReply:
			switch {
			case e.Refusal != "":
				line = "no: " + e.Refusal
			case e.Metrics != nil:
				line = fmt.Sprintf("figures: %+v", *e.Metrics)
			default:
				line = "yes"
			}
		case Exit:
			line = "exit"
		}
		p.lines = append(p.lines, fmt.Sprintf(golden.Arrow+"%v %s", now, line))
	}
}

func wordText(w HandoffMessage) string {
	switch w.Kind {
	case StateTransfer:
		text := fmt.Sprintf("state, out %v, back %v, drained %t, listed", w.State.Excluded, w.State.Readmitted, w.State.Drained)
		for _, e := range w.State.Endpoints {
			text += fmt.Sprintf(" %s@%s:%d", e.Executor, e.Addr, e.State)
		}
		return text
	case RelayCommand:
		return fmt.Sprintf("order %d: %d %s", w.Seq, w.Command, w.Executor)
	case RelayDone:
		return fmt.Sprintf("done %d", w.Seq)
	}
	return map[HandoffKind]string{SuccessorReady: "yes", PredecessorYielded: "ceded"}[w.Kind]
}

func TestTraces(t *testing.T) {
	golden.Replay(t, func(t *testing.T, lines []string) string {
		p := &player{t: t}
		p.n = fresh(nil)
		for _, line := range lines {
			words := strings.Fields(line)
			switch {
			case len(words) == 0 || words[0] == "#":
				p.lines = append(p.lines, line)
			case words[0] == "settings":
				p.n = fresh(words[1:])
				p.lines = append(p.lines, line)
			default:
				now := golden.Span(p.t, words[0])
				still := words[1] == "still"
				if still {
					words = words[1:]
				}
				for p.armed > 0 && p.armed < now && !still {
					at := p.armed
					p.armed = 0
					p.step(at, TimerFired{})
				}
				p.lines = append(p.lines, line)
				p.step(now, p.event(now, words[1:]))
			}
		}
		return strings.Join(p.lines, "\n") + "\n"
	})
}
