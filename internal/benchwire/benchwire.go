// Package benchwire puts the decision module on the simulator's wire: it decodes lines, keeps the instances,
// their timers and the batch jobs' bodies, and carries out what the module decides. It decides nothing.
package benchwire

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"birchstair/internal/config"
	"birchstair/policy"
)

const longestLine = 1 << 28

// instance is one node of the simulator.
type instance struct {
	who   string
	base  time.Duration // the clock at its start; the module's times are spans since then
	armed time.Duration // when its timer is due; 0 for none
	brain *policy.Dispatcher
	out   []byte // this batch's actions
	load  config.LoadFields
	busy  bool // it has had an event in this batch
}

type adapter struct {
	in    *bufio.Scanner
	line  int
	now   time.Duration
	nodes map[string]*instance
	order []*instance // those with an event in this batch, in the order of their first one
	f     fields
	list  []policy.Endpoint
}

// Run answers batches until the input ends.
func Run(in io.Reader, out io.Writer) error {
	a := &adapter{in: bufio.NewScanner(in), nodes: map[string]*instance{}}
	a.in.Buffer(make([]byte, 1<<20), longestLine)
	var reply bytes.Buffer
	inBatch := false
	for a.scan() {
		name, err := a.f.split(a.in.Bytes())
		if err != nil {
			return a.wrong(err)
		}
		switch {
		case name == "":
			continue
		case !inBatch && name != "SYNC", inBatch && name == "SYNC":
			return a.wrong(fmt.Errorf("message %q out of place", name))
		case name == "SYNC":
			inBatch = true
			a.now, err = a.f.seconds("time-s")
		case name == "COMMIT":
			inBatch = false
			reply.Reset()
			a.commit(&reply)
			if _, err := out.Write(reply.Bytes()); err != nil {
				return fmt.Errorf("reply: %w", err)
			}
		default:
			err = a.event(name)
		}
		if err != nil {
			return a.wrong(err)
		}
	}
	if err := a.in.Err(); err != nil {
		return a.wrong(err)
	}
	if inBatch {
		return a.wrong(errors.New("the input ends inside a batch"))
	}
	return nil
}

func (a *adapter) scan() bool {
	a.line++
	return a.in.Scan()
}

func (a *adapter) wrong(err error) error { return fmt.Errorf("line %d: %w", a.line, err) }

// commit lets each instance that had an event do all that is due, and writes the reply.
func (a *adapter) commit(reply *bytes.Buffer) {
	for _, n := range a.order {
		if n.brain != nil {
			n.guard(func() { n.doDue(a.now) })
		}
		reply.Write(n.out)
		n.out, n.busy = n.out[:0], false
	}
	a.order = a.order[:0]
	reply.WriteString("DONE\n")
}

// touch marks an instance as one that may act in this batch.
func (a *adapter) touch(n *instance) {
	if !n.busy {
		n.busy = true
		a.order = append(a.order, n)
	}
}

// event hands one event to its instance. Instances and ids that are no longer held are passed over.
func (a *adapter) event(name string) error {
	f := &a.f
	who, err := f.need("who")
	if err != nil {
		return err
	}
	switch name {
	case "NEW_INSTANCE":
		return a.start(string(who))
	case "POWER_OFF":
		if n := a.nodes[string(who)]; n != nil {
			n.brain, n.out = nil, n.out[:0]
			delete(a.nodes, n.who)
		}
		return nil
	case "MEMBERSHIP":
		return a.membership(string(who))
	}
	n := a.nodes[string(who)]
	if n != nil {
		a.touch(n)
	} else {
		n = &instance{} // not held: the line is still read, and goes nowhere
	}
	now := a.now - n.base
	switch name {
	case "REMINDER":
		if now >= n.armed {
			n.armed = 0
		}
		return nil
	case "SUBMIT":
		return n.submit(now, f)
	case "DONE":
		return n.done(now, f)
	case "HEARTBEAT", "STARTED":
		return n.notice(now, f, name == "STARTED")
	case "CANCELLED_BY_CLIENT":
		id, err := f.need("id")
		if err == nil {
			n.guard(func() { n.brain.ClientLeft(now, policy.JobID(id)) })
		}
		return err
	case "HEARD":
		return n.heard(now, f)
	case "PROBE_RESULT":
		return n.probed(now, f)
	}
	return fmt.Errorf("unknown message %q", name)
}

func (a *adapter) start(who string) error {
	seed, err := a.f.whole("random-seed", true)
	if err != nil {
		return err
	}
	text, err := a.f.need("profile-data")
	if err != nil {
		return err
	}
	n := &instance{who: who, base: a.now}
	if old := a.nodes[who]; old != nil {
		old.brain, old.out = nil, old.out[:0]
	}
	a.nodes[who] = n
	a.touch(n)
	settings, err := config.ReadSettings(text)
	n.load = settings.LoadFields
	if err == nil {
		settings.Policy.Seed = uint32(seed) ^ uint32(uint64(seed)>>32)
		n.guard(func() { n.brain = policy.New(settings.Policy) })
	}
	if err != nil {
		n.giveIn(err.Error())
	}
	return nil
}

var listKinds = map[string]policy.EndpointUpdateKind{
	"incr": policy.IncrementalUpdate, "total": policy.CompleteUpdate, "warm_copy": policy.CachedUpdate, "lost": policy.WatchFailed,
}

var states = map[string]policy.EndpointState{"U": policy.Available, "L": policy.Draining, "D": policy.Removed}

func (a *adapter) membership(who string) error {
	f := &a.f
	text, err := f.need("kind")
	if err != nil {
		return err
	}
	what, ok := listKinds[string(text)]
	if !ok {
		return fmt.Errorf("field kind: unknown value %q", text)
	}
	count, err := f.whole("members-list", false)
	if err != nil {
		return err
	}
	if count < 0 {
		return fmt.Errorf("field members-list: bad value %d", count)
	}
	n := a.nodes[who]
	base := time.Duration(0)
	if n != nil {
		a.touch(n)
		base = n.base
	}
	a.list = a.list[:0]
	for range count {
		if !a.scan() {
			return errors.New("the input ends inside a list")
		}
		name, err := f.split(a.in.Bytes())
		if err != nil {
			return err
		}
		if name != "ENTRY" {
			return fmt.Errorf("message %q where a list entry is due", name)
		}
		entry, err := readEntry(f, base)
		if err != nil {
			return err
		}
		a.list = append(a.list, entry)
	}
	if n != nil {
		n.guard(func() { n.brain.UpdateEndpoints(a.now-base, what, a.list) })
	}
	return nil
}

func readEntry(f *fields, base time.Duration) (policy.Endpoint, error) {
	var n policy.Endpoint
	id, err := f.need("executor")
	if err != nil {
		return n, err
	}
	state, err := f.need("stage-state")
	if err != nil {
		return n, err
	}
	var ok bool
	if n.State, ok = states[string(state)]; !ok {
		return n, fmt.Errorf("field stage-state: unknown value %q", state)
	}
	zone, err1 := f.whole("campus", false)
	kind, err2 := f.whole("model", false)
	cell, err3 := f.whole("bay", false)
	started, err4 := f.secondsOr0("start-time-s")
	weight, err5 := f.number("power-hint")
	n.Executor, n.Zone, n.Kind = policy.ExecutorID(id), policy.ZoneID(zone), policy.KindID(kind)
	n.Cell, n.StartedAt, n.StartedLongAgo = policy.CellID(cell), started-base, started == 0
	n.Weight = weight
	return n, errors.Join(err1, err2, err3, err4, err5)
}

func (n *instance) submit(now time.Duration, f *fields) error {
	id, err := f.need("id")
	if err != nil {
		return err
	}
	track, err := f.whole("category", true)
	if err != nil {
		return err
	}
	tenant, err := f.whole("party", false)
	if err != nil {
		return err
	}
	work, err := f.secondsOr0("expected-s")
	if err != nil {
		return err
	}
	budget, err := f.seconds("budget-s")
	if err != nil {
		return err
	}
	again, err := f.whole("again-by-client", false)
	if err != nil {
		return err
	}
	n.guard(func() {
		n.brain.JobArrived(now, policy.Arrival{Job: policy.JobID(id), Class: policy.JobClassID(track), Tenant: policy.TenantID(tenant),
			Work: work, Budget: budget, ClientRetry: again == 1})
	})
	return nil
}

var outcomes = map[string]policy.Outcome{
	"pass": policy.Succeeded, "fault": policy.ExecutorError, "no_room": policy.ExecutorFull, "too_slow": policy.TimedOut,
	"no_route": policy.ConnectFailed, "cut": policy.ConnectionLost, "undone": policy.Canceled, "stale_send": policy.NotSent,
}

func (n *instance) done(now time.Duration, f *fields) error {
	id, shot, err := f.allocation()
	if err != nil {
		return err
	}
	text, err := f.need("disposition")
	if err != nil {
		return err
	}
	how, ok := outcomes[string(text)]
	if !ok {
		return fmt.Errorf("field disposition: unknown value %q", text)
	}
	settled, err := f.whole("settled", false)
	if err != nil {
		return err
	}
	load, reported := f.report(n.load)
	executor, _ := f.get("executor")
	n.guard(func() {
		if reported {
			n.brain.LoadReported(policy.ExecutorID(executor), load)
		}
		job := policy.JobID(id)
		n.carryOut(job, n.brain.AttemptEnded(now, job, policy.AttemptID(shot), how, settled == 1))
	})
	return nil
}

func (n *instance) probed(now time.Duration, f *fields) error {
	executor, err := f.need("executor")
	if err != nil {
		return err
	}
	text, err := f.need("disposition")
	if err != nil {
		return err
	}
	load, ok := f.report(n.load)
	n.guard(func() { n.brain.ProbeEnded(now, policy.ExecutorID(executor), ok && string(text) == "pass", load) })
	return nil
}

// What one node says to another: the word and the executor's sum, as five bytes.
const wordBytes = 5

func (n *instance) tell(due policy.DueTask) {
	n.out = append(n.out, "SHARE who="...)
	n.out = append(n.out, n.who...)
	n.out = append(n.out, " dest="...)
	n.out = strconv.AppendInt(n.out, int64(due.Node), 10)
	n.out = append(n.out, " content="...)
	var b [wordBytes]byte
	b[0] = byte(due.Message)
	binary.BigEndian.PutUint32(b[1:], uint32(due.Hash))
	n.out = base64.StdEncoding.AppendEncode(n.out, b[:])
	n.out = append(n.out, '\n')
}

func (n *instance) heard(now time.Duration, f *fields) error {
	from, err := f.whole("by", true)
	if err != nil {
		return err
	}
	if from < 0 {
		return fmt.Errorf("field by: bad value %d", from)
	}
	text, err := f.need("content")
	if err != nil {
		return err
	}
	b, err := base64.StdEncoding.DecodeString(string(text))
	if err != nil || len(b) != wordBytes {
		return nil // from a node that speaks otherwise: passed over
	}
	sum := policy.ExecutorHash(binary.BigEndian.Uint32(b[1:]))
	n.guard(func() { n.brain.ReceiveLeaseMessage(now, policy.NodeID(from), policy.LeaseMessage(b[0]), sum) })
	return nil
}

func (n *instance) notice(now time.Duration, f *fields, stream bool) error {
	id, shot, err := f.allocation()
	if err != nil {
		return err
	}
	what := int64(1)
	if !stream {
		if what, err = f.whole("what", true); err != nil {
			return err
		}
	}
	level, err := f.number("level")
	if err != nil {
		return err
	}
	n.guard(func() {
		switch what {
		case 1:
			n.brain.AttemptStarted(now, policy.JobID(id), policy.AttemptID(shot))
		case 2:
			n.brain.AttemptProgressed(now, policy.JobID(id), policy.AttemptID(shot), level)
		}
	})
	return nil
}

// doDue carries out all that is due now, then arms the one timer.
func (n *instance) doDue(now time.Duration) {
	now -= n.base
	for {
		due := n.brain.NextTask(now)
		switch due.Task {
		case policy.PlaceJob:
			n.carryOut(due.Job, n.brain.Place(now, due.Job))
		case policy.CancelAttempt:
			n.say("STOP_ATTEMPT", "id", string(due.Job))
			n.out = append(n.out, " shot="...)
			n.out = strconv.AppendInt(n.out, int64(due.Attempt), 10)
			n.out = append(n.out, '\n')
		case policy.WatchEndpoints:
			n.say("WATCH", "enable", "1")
			n.out = append(n.out, '\n')
		case policy.SendLeaseMessage:
			n.tell(due)
		case policy.ProbeExecutor:
			n.say("ASK_LOAD", "executor", string(due.Executor))
			n.out = append(n.out, '\n')
		case policy.WriteLog:
			n.say("PRINT", "msg", due.Text)
			n.out = append(n.out, '\n')
		case policy.Sleep:
			if n.armed == 0 || due.At < n.armed {
				n.armed = due.At
				n.say("ARM", "mark", "due")
				n.time(" due-at-s=", due.At+n.base+time.Microsecond-1)
				n.out = append(n.out, '\n')
			}
			return
		}
	}
}

func (n *instance) carryOut(job policy.JobID, what policy.Decision) {
	switch what.Action {
	case policy.Send:
		n.say("ISSUE", "id", string(job))
		n.out = append(n.out, " executor="...)
		n.out = append(n.out, what.Executor...)
	case policy.Reject:
		n.say("TURN_AWAY", "id", string(job))
		if what.RetryAfter > 0 {
			n.time(" wait-s=", what.RetryAfter)
		}
	case policy.Fail:
		n.say("RESPOND_ERROR", "id", string(job))
	default:
		return
	}
	n.out = append(n.out, '\n')
}

func (n *instance) say(name, key, value string) {
	n.out = append(n.out, name...)
	n.out = append(n.out, " who="...)
	n.out = append(n.out, n.who...)
	n.out = append(n.out, ' ')
	n.out = append(n.out, key...)
	n.out = append(n.out, '=')
	n.out = append(n.out, value...)
}

// time writes a time in seconds, to the microsecond.
func (n *instance) time(key string, t time.Duration) {
	n.out = append(n.out, key...)
	n.out = strconv.AppendFloat(n.out, float64(t/time.Microsecond)/1e6, 'f', 6, 64)
}

// guard keeps a panic in the module to its instance.
func (n *instance) guard(call func()) {
	if n.brain == nil && n.who == "" {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			n.giveIn(fmt.Sprint("the decision module broke: ", p))
		}
	}()
	call()
}

func (n *instance) giveIn(text string) {
	n.brain, n.out = nil, n.out[:0]
	n.say("GIVE_IN", "msg", text)
	n.out = append(n.out, '\n')
}
