package benchwire

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"time"

	"birchstair/policy"
)

// Names of the actions on the wire.
const (
	actionSend         = "ISSUE"         // send an attempt of a job to an executor
	actionReject       = "TURN_AWAY"     // give a job its final answer: rejected
	actionFail         = "RESPOND_ERROR" // give a job its final answer: failed
	actionCancel       = "STOP_ATTEMPT"  // cancel an attempt
	actionWatch        = "WATCH"         // begin a watch of the endpoint list
	actionHealthCheck  = "ASK_LOAD"      // send a health check to an executor
	actionSendMessage  = "SHARE"         // send a message to another node
	actionLog          = "PRINT"         // write a line to the simulator's report
	actionFailInstance = "GIVE_IN"       // report that the instance has failed
	actionSetTimer     = "ARM"           // set a timer, which comes back as a REMINDER message
)

// Names on the wire of the fields that only actions have. Actions share their other fields with the messages in
// decode.go.
const (
	fieldRetryAfter = "wait-s"   // when the client should retry, in seconds from now
	fieldEnable     = "enable"   // 1 to begin a watch
	fieldReceiver   = "dest"     // number of the node that gets the message
	fieldText       = "msg"      // text to the end of the line
	fieldTimer      = "mark"     // name of the timer
	fieldDueAt      = "due-at-s" // time of the timer, in seconds on the simulator's clock
)

// timerName is the name of the only timer of an instance.
const timerName = "due"

// endOfReply ends the reply to a batch.
const endOfReply = "DONE\n"

// actionEncoder encodes the actions of one instance, each as a line.
type actionEncoder struct {
	instance string
	buf      []byte
}

func (e *actionEncoder) reset() { e.buf = e.buf[:0] }

// send encodes that an attempt of a job is sent to an executor.
func (e *actionEncoder) send(job policy.JobID, executor policy.ExecutorID) {
	e.begin(actionSend)
	e.field(fieldJob, string(job))
	e.field(fieldExecutor, string(executor))
	e.end()
}

// reject encodes the rejection of a job. If retryAfter is 0, the client gets no advice when to retry.
func (e *actionEncoder) reject(job policy.JobID, retryAfter time.Duration) {
	e.begin(actionReject)
	e.field(fieldJob, string(job))
	if retryAfter > 0 {
		e.seconds(fieldRetryAfter, retryAfter)
	}
	e.end()
}

// fail encodes the failure of a job.
func (e *actionEncoder) fail(job policy.JobID) {
	e.begin(actionFail)
	e.field(fieldJob, string(job))
	e.end()
}

// cancel encodes the cancellation of an attempt.
func (e *actionEncoder) cancel(job policy.JobID, attempt policy.AttemptID) {
	e.begin(actionCancel)
	e.field(fieldJob, string(job))
	e.integer(fieldAttempt, int64(attempt))
	e.end()
}

// watch encodes that the instance begins to watch the endpoint list.
func (e *actionEncoder) watch() {
	e.begin(actionWatch)
	e.field(fieldEnable, "1")
	e.end()
}

// checkHealth encodes a health check of an executor.
func (e *actionEncoder) checkHealth(executor policy.ExecutorID) {
	e.begin(actionHealthCheck)
	e.field(fieldExecutor, string(executor))
	e.end()
}

// sendLeaseMessage encodes a message to another node about the leases of an executor.
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

// log encodes a line for the simulator's report.
func (e *actionEncoder) log(text string) {
	e.begin(actionLog)
	e.field(fieldText, text)
	e.end()
}

// failInstance encodes that the instance has failed.
func (e *actionEncoder) failInstance(reason string) {
	e.begin(actionFailInstance)
	e.field(fieldText, reason)
	e.end()
}

// setTimer encodes a timer at a time of the simulator's clock. The wire has microseconds: the time is rounded up, so
// that the timer is not due early.
func (e *actionEncoder) setTimer(at time.Duration) {
	e.begin(actionSetTimer)
	e.field(fieldTimer, timerName)
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

// seconds appends a field with a time in seconds, truncated to microseconds.
func (e *actionEncoder) seconds(name string, t time.Duration) {
	e.key(name)
	e.buf = strconv.AppendFloat(e.buf, float64(t/time.Microsecond)/1e6, 'f', 6, 64)
}

func (e *actionEncoder) end() { e.buf = append(e.buf, '\n') }
