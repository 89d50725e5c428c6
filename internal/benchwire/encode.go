package benchwire

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"time"

	"birchstair/policy"
)

// Actions sent, by their names on the wire.
const (
	actionSend         = "ISSUE"         // an attempt of a job goes to an executor
	actionReject       = "TURN_AWAY"     // a final answer: rejected
	actionFail         = "RESPOND_ERROR" // a final answer: failed
	actionCancel       = "STOP_ATTEMPT"  // an attempt is canceled
	actionWatch        = "WATCH"         // discovery is asked for watch events
	actionProbe        = "ASK_LOAD"      // a health check
	actionSendMessage  = "SHARE"         // a message to another node
	actionLog          = "PRINT"         // a line of the report
	actionFailInstance = "GIVE_IN"       // the module has failed
	actionArmTimer     = "ARM"           // a reminder is asked for
)

// Fields of actions, by their names on the wire; others are those of messages received.
const (
	fieldRetryAfter = "wait-s"
	fieldEnable     = "enable"
	fieldReceiver   = "dest"
	fieldText       = "msg"
	fieldTimer      = "mark"
	fieldDueAt      = "due-at-s"
)

// timerMark names the one timer of an instance.
const timerMark = "due"

// endOfReply ends the reply to a batch.
const endOfReply = "DONE\n"

// actionEncoder encodes the actions of one instance, a line each.
type actionEncoder struct {
	instance string
	buf      []byte
}

func (e *actionEncoder) reset() { e.buf = e.buf[:0] }

// send sends an attempt of a job.
func (e *actionEncoder) send(job policy.JobID, executor policy.ExecutorID) {
	e.begin(actionSend)
	e.field(fieldJob, string(job))
	e.field(fieldExecutor, string(executor))
	e.end()
}

// reject rejects a job; no time to come back after is no advice.
func (e *actionEncoder) reject(job policy.JobID, retryAfter time.Duration) {
	e.begin(actionReject)
	e.field(fieldJob, string(job))
	if retryAfter > 0 {
		e.seconds(fieldRetryAfter, retryAfter)
	}
	e.end()
}

// fail fails a job.
func (e *actionEncoder) fail(job policy.JobID) {
	e.begin(actionFail)
	e.field(fieldJob, string(job))
	e.end()
}

// cancel cancels an attempt.
func (e *actionEncoder) cancel(job policy.JobID, attempt policy.AttemptID) {
	e.begin(actionCancel)
	e.field(fieldJob, string(job))
	e.integer(fieldAttempt, int64(attempt))
	e.end()
}

// watch asks discovery for watch events.
func (e *actionEncoder) watch() {
	e.begin(actionWatch)
	e.field(fieldEnable, "1")
	e.end()
}

// probe sends a health check.
func (e *actionEncoder) probe(executor policy.ExecutorID) {
	e.begin(actionProbe)
	e.field(fieldExecutor, string(executor))
	e.end()
}

// sendLeaseMessage sends another node a message about an executor's leases.
func (e *actionEncoder) sendLeaseMessage(to policy.NodeID, message policy.LeaseMessage, executor policy.ExecutorHash) {
	var content [leaseMessageBytes]byte
	content[0] = byte(message)
	binary.BigEndian.PutUint32(content[1:], uint32(executor))
	e.begin(actionSendMessage)
	e.integer(fieldReceiver, int64(to))
	e.key(fieldContent)
	e.buf = base64.StdEncoding.AppendEncode(e.buf, content[:])
	e.end()
}

// log writes a line of the report.
func (e *actionEncoder) log(text string) {
	e.begin(actionLog)
	e.field(fieldText, text)
	e.end()
}

// failInstance declares that the module has failed.
func (e *actionEncoder) failInstance(reason string) {
	e.begin(actionFailInstance)
	e.field(fieldText, reason)
	e.end()
}

// armTimer asks for a reminder at a clock time, rounded up to the wire's microseconds.
func (e *actionEncoder) armTimer(at time.Duration) {
	e.begin(actionArmTimer)
	e.field(fieldTimer, timerMark)
	e.seconds(fieldDueAt, at+time.Microsecond-1)
	e.end()
}

func (e *actionEncoder) begin(name string) {
	e.buf = append(e.buf, name...)
	e.field(fieldInstance, e.instance)
}

func (e *actionEncoder) key(name string) {
	e.buf = append(e.buf, ' ')
	e.buf = append(e.buf, name...)
	e.buf = append(e.buf, '=')
}

func (e *actionEncoder) field(name, value string) {
	e.key(name)
	e.buf = append(e.buf, value...)
}

func (e *actionEncoder) integer(name string, value int64) {
	e.key(name)
	e.buf = strconv.AppendInt(e.buf, value, 10)
}

// seconds writes a time in seconds, cut to the microsecond.
func (e *actionEncoder) seconds(name string, t time.Duration) {
	e.key(name)
	e.buf = strconv.AppendFloat(e.buf, float64(t/time.Microsecond)/1e6, 'f', 6, 64)
}

func (e *actionEncoder) end() { e.buf = append(e.buf, '\n') }
