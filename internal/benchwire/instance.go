package benchwire

import (
	"fmt"
	"time"

	"birchstair/internal/config"
	"birchstair/policy"
)

// instance is a node of the simulator, with its dispatcher. The times that the dispatcher gets are relative to the
// start of the instance.
type instance struct {
	name       string             // empty for an instance that is not running
	startedAt  time.Duration      // start of the instance on the simulator's clock
	timerAt    time.Duration      // when the earliest timer is due, relative to the start of the instance; 0 for none
	dispatcher *policy.Dispatcher // nil if the settings are invalid, after a failure, and if the instance is not running
	loadFields config.LoadFields
	actions    actionEncoder // actions of the present batch
	active     bool          // the instance had an event in the present batch
}

func newInstance(name string, startedAt time.Duration) *instance {
	return &instance{name: name, startedAt: startedAt, actions: actionEncoder{instance: name}}
}

// configure creates the dispatcher from the text of its settings. Invalid settings fail the instance.
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

// discard drops the dispatcher, and the actions that it has decided on in the present batch.
func (n *instance) discard() {
	n.dispatcher = nil
	n.actions.reset()
}

// fail reports to the simulator that the instance has failed, which ends the simulated day.
func (n *instance) fail(reason string) {
	n.discard()
	n.actions.failInstance(reason)
}

// guard runs a call of the dispatcher, and fails the instance if the call panics. For an instance that is not running
// it does nothing.
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

// event decodes an event, and passes it to the dispatcher.
func (n *instance) event(now time.Duration, message string, f *fields) error {
	switch message {
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
	case msgHealthCheckResult:
		return n.healthCheckEnded(now, f)
	}
	return fmt.Errorf("unknown message %q", message)
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

// streamStarted handles the start of a streamed answer as the start of its attempt.
func (n *instance) streamStarted(now time.Duration, f *fields) error {
	job, attempt, err := decodeAttempt(f)
	if err != nil {
		return err
	}
	if _, err := f.number(fieldProgress); err != nil { // the value is not used, but must be valid
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

func (n *instance) healthCheckEnded(now time.Duration, f *fields) error {
	check, err := decodeHealthCheck(f, n.loadFields)
	if err != nil {
		return err
	}
	n.guard(func() { n.dispatcher.HealthCheckEnded(now, check.executor, check.succeeded, check.load) })
	return nil
}

// runTasks carries out all tasks of the dispatcher that are due at a time of the simulator's clock, and sets a timer
// for the next one.
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
			n.actions.checkHealth(task.Executor)
		case policy.WriteLog:
			n.actions.log(task.Text)
		case policy.Sleep:
			n.setTimer(task.At)
			return
		}
	}
}

// setTimer sets a timer, unless a timer is already set that is due no later. The simulator has no way to cancel a
// timer.
func (n *instance) setTimer(at time.Duration) {
	if n.timerAt == 0 || at < n.timerAt {
		n.timerAt = at
		n.actions.setTimer(at + n.startedAt)
	}
}

// apply encodes the action for a decision about a job.
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
