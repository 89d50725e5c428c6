package eventlog

import (
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// outcomes names the outcomes of attempts.
var outcomes = map[policy.Outcome]string{
	policy.ExecutorError:    "executor error",
	policy.InvalidRequest:   "invalid request",
	policy.ExecutorFull:     "executor full",
	policy.ConnectFailed:    "connect failed",
	policy.ConnectionLost:   "connection lost",
	policy.RejectedUnproven: "executor full, or a late response to an earlier attempt",
}

// clientStates names the states of a client for which an attempt is not sent.
var clientStates = map[node.ClientState]string{
	node.ClientGone:    "the client has left",
	node.ClientUnknown: "the client may have left",
}

// Observe logs an event of the state machine and its effects. It implements node.Observer.
func (l *Logger) Observe(_ time.Duration, event node.Event, effects []node.Effect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeEvent(event)
	for _, effect := range effects {
		l.observeEffect(effect)
	}
}

func (l *Logger) observeEvent(event node.Event) {
	switch event := event.(type) {
	case node.ClientLeft:
		l.write(line{message: "client left", job: event.Job})
	case node.AttemptEnded:
		if event.Outcome != policy.Succeeded {
			l.attemptOver(event.Conn, "attempt failed", outcomes[event.Outcome])
		}
		delete(l.attempts, event.Conn)
	case node.AttemptNotSent:
		l.attemptOver(event.Conn, "attempt not sent", clientStates[event.Client])
		delete(l.attempts, event.Conn)
	case node.ConnClosed:
		l.attemptOver(event.Conn, "attempt not sent", "the connection closed before its first byte")
		delete(l.attempts, event.Conn)
	}
}

// attemptOver logs the end of the attempt in flight on a connection, if there is one.
func (l *Logger) attemptOver(conn node.ConnID, message, reason string) {
	if a, ok := l.attempts[conn]; ok {
		l.write(line{message: message, job: a.job, executor: a.executor, attempt: a.number, reason: reason})
	}
}

func (l *Logger) observeEffect(effect node.Effect) {
	switch effect := effect.(type) {
	case node.Answer:
		l.answered(effect)
	case node.WriteAttempt:
		a := attempt{job: effect.Attempt.ID, executor: effect.Executor, number: effect.Number}
		l.attempts[effect.Conn] = a
		if a.number > 0 {
			l.write(line{message: "job retried", job: a.job, executor: a.executor, attempt: a.number})
		}
	case node.CloseConn:
		l.attemptOver(effect.Conn, "attempt given up", "")
	}
}

// answered logs a final answer that is no success.
func (l *Logger) answered(answer node.Answer) {
	switch answer.Final {
	case node.Rejected:
		l.write(line{message: "job rejected", job: answer.Job, reason: answer.Reason.String()})
	case node.Failed:
		l.write(line{message: "job failed", job: answer.Job, reason: answer.Reason.String()})
	}
}
