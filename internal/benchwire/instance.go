package benchwire

import (
	"fmt"
	"time"

	"birchstair/internal/config"
	"birchstair/policy"
)

// instance is one node of the simulator, with its decision module. The module's times are since the instance's start.
type instance struct {
	name       string // empty for one that is not running
	startedAt  time.Duration
	timerAt    time.Duration // when the earliest timer is due; 0 for none
	dispatcher *policy.Dispatcher
	loadFields config.LoadFields
	actions    actionEncoder // of this batch
	active     bool          // it has had an event in this batch
}

func newInstance(name string, startedAt time.Duration) *instance {
	return &instance{name: name, startedAt: startedAt, actions: actionEncoder{instance: name}}
}

// configure makes the decision module of its settings. Settings that are refused fail the instance.
func (n *instance) configure(settingsText []byte, seed int64) {
	settings, err := config.ReadSettings(settingsText)
	n.loadFields = settings.LoadFields
	if err != nil {
		n.fail(err.Error())
		return
	}
	settings.Policy.Seed = uint32(seed) ^ uint32(uint64(seed)>>32)
	n.guard(func() { n.dispatcher = policy.New(settings.Policy) })
}

// discard drops the module and what it has decided in this batch.
func (n *instance) discard() {
	n.dispatcher = nil
	n.actions.reset()
}

// fail declares that the module has failed, which ends the simulated day.
func (n *instance) fail(reason string) {
	n.discard()
	n.actions.failInstance(reason)
}

// guard makes a call of the module. A panic fails the instance; one that is not running is not called.
func (n *instance) guard(call func()) {
	if n.dispatcher == nil && n.name == "" {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			n.fail(fmt.Sprint("the decision module broke: ", p))
		}
	}()
	call()
}

// event decodes an event and hands it to the module.
func (n *instance) event(now time.Duration, name string, f *fields) error {
	switch name {
	case msgReminder:
		if now >= n.timerAt {
			n.timerAt = 0
		}
		return nil
	case msgSubmit:
		return n.jobArrived(now, f)
	case msgAttemptEnded:
		return n.attemptEnded(now, f)
	case msgHeartbeat:
		return n.attemptNotice(now, f)
	case msgStreamStarted:
		return n.streamStarted(now, f)
	case msgClientLeft:
		return n.clientLeft(now, f)
	case msgPeerMessage:
		return n.leaseMessage(now, f)
	case msgProbeResult:
		return n.probeEnded(now, f)
	}
	return fmt.Errorf("unknown message %q", name)
}

func (n *instance) jobArrived(now time.Duration, f *fields) error {
	arrival, err := decodeArrival(f)
	if err != nil {
		return err
	}
	n.guard(func() { n.dispatcher.JobArrived(now, arrival) })
	return nil
}

func (n *instance) attemptEnded(now time.Duration, f *fields) error {
	end, err := decodeAttemptEnd(f, n.loadFields)
	if err != nil {
		return err
	}
	n.guard(func() {
		if end.loadReported {
			n.dispatcher.LoadReported(end.executor, end.load)
		}
		n.apply(end.job, n.dispatcher.AttemptEnded(now, end.job, end.attempt, end.outcome, end.settled))
	})
	return nil
}

func (n *instance) attemptNotice(now time.Duration, f *fields) error {
	notice, err := decodeNotice(f)
	if err != nil {
		return err
	}
	n.guard(func() {
		switch notice.kind {
		case noticeStarted:
			n.dispatcher.AttemptStarted(now, notice.job, notice.attempt)
		case noticeProgress:
			n.dispatcher.AttemptProgressed(now, notice.job, notice.attempt, notice.progress)
		}
	})
	return nil
}

// streamStarted takes a streamed answer that has started as the job's start.
func (n *instance) streamStarted(now time.Duration, f *fields) error {
	job, attempt, err := decodeAttempt(f)
	if err != nil {
		return err
	}
	if _, err := f.number(fieldProgress); err != nil {
		return err
	}
	n.guard(func() { n.dispatcher.AttemptStarted(now, job, attempt) })
	return nil
}

func (n *instance) clientLeft(now time.Duration, f *fields) error {
	job, err := f.required(fieldJob)
	if err != nil {
		return err
	}
	n.guard(func() { n.dispatcher.ClientLeft(now, policy.JobID(job)) })
	return nil
}

func (n *instance) leaseMessage(now time.Duration, f *fields) error {
	message, ok, err := decodeLeaseMessage(f)
	if err != nil || !ok {
		return err
	}
	n.guard(func() { n.dispatcher.ReceiveLeaseMessage(now, message.from, message.kind, message.executor) })
	return nil
}

func (n *instance) probeEnded(now time.Duration, f *fields) error {
	probe, err := decodeProbe(f, n.loadFields)
	if err != nil {
		return err
	}
	n.guard(func() { n.dispatcher.HealthCheckEnded(now, probe.executor, probe.succeeded, probe.load) })
	return nil
}

// runTasks carries out all tasks that are due at a clock time, then arms the timer for the next.
func (n *instance) runTasks(clock time.Duration) {
	now := clock - n.startedAt
	for {
		task := n.dispatcher.NextTask(now)
		switch task.Task {
		case policy.PlaceJob:
			n.apply(task.Job, n.dispatcher.Place(now, task.Job))
		case policy.CancelAttempt:
			n.actions.cancel(task.Job, task.Attempt)
		case policy.WatchEndpoints:
			n.actions.watch()
		case policy.SendLeaseMessage:
			n.actions.sendLeaseMessage(task.Node, task.Message, task.Hash)
		case policy.SendHealthCheck:
			n.actions.probe(task.Executor)
		case policy.WriteLog:
			n.actions.log(task.Text)
		case policy.Sleep:
			n.armTimer(task.At)
			return
		}
	}
}

// armTimer arms a timer unless an earlier one is armed; timers can't be taken back.
func (n *instance) armTimer(at time.Duration) {
	if n.timerAt == 0 || at < n.timerAt {
		n.timerAt = at
		n.actions.armTimer(at + n.startedAt)
	}
}

// apply sends a decision about a job.
func (n *instance) apply(job policy.JobID, decision policy.Decision) {
	switch decision.Action {
	case policy.Send:
		n.actions.send(job, decision.Executor)
	case policy.Reject:
		n.actions.reject(job, decision.RetryAfter)
	case policy.Fail:
		n.actions.fail(job)
	}
}
