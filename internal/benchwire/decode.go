package benchwire

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"

	"birchstair/internal/config"
	"birchstair/policy"
)

// Names of the simulator's messages on the wire.
const (
	msgSync              = "SYNC"                // begins a batch
	msgCommit            = "COMMIT"              // ends a batch
	msgNewInstance       = "NEW_INSTANCE"        // an instance starts
	msgPowerOff          = "POWER_OFF"           // an instance is killed
	msgMembership        = "MEMBERSHIP"          // an update of the endpoint list
	msgEntry             = "ENTRY"               // an endpoint of the list
	msgSubmit            = "SUBMIT"              // a job has arrived
	msgAttemptEnded      = "DONE"                // an attempt has ended
	msgHeartbeat         = "HEARTBEAT"           // an attempt has started, or has made progress
	msgStreamStarted     = "STARTED"             // a streamed answer has started
	msgClientLeft        = "CANCELLED_BY_CLIENT" // the client of a job has left
	msgPeerMessage       = "HEARD"               // a message from another node
	msgHealthCheckResult = "PROBE_RESULT"        // the result of a health check
	msgReminder          = "REMINDER"            // a timer is due
)

// Names of the fields on the wire.
const (
	fieldInstance      = "who"
	fieldTime          = "time-s" // time of the batch on the simulator's clock
	fieldSeed          = "random-seed"
	fieldSettings      = "profile-data" // JSON to the end of the line
	fieldListKind      = "kind"
	fieldListLength    = "members-list" // how many ENTRY lines follow
	fieldEndpointState = "stage-state"
	fieldZone          = "campus"
	fieldExecutorKind  = "model"
	fieldCell          = "bay"
	fieldStartTime     = "start-time-s" // start of an executor's process; 0 if it started long ago
	fieldWeight        = "power-hint"
	fieldExecutor      = "executor"
	fieldJob           = "id"
	fieldAttempt       = "shot"
	fieldClass         = "category"
	fieldTenant        = "party"
	fieldWork          = "expected-s" // estimated running time of a job
	fieldBudget        = "budget-s"   // how long the client of a job waits for its answer
	fieldClientRetry   = "again-by-client"
	fieldOutcome       = "disposition"
	fieldSettled       = "settled"
	fieldLoad          = "gauge" // load report: numbers with commas between them
	fieldNotice        = "what"  // 1 for a start, 2 for progress
	fieldProgress      = "level" // fraction of an attempt's work that is done
	fieldSender        = "by"    // number of the node that sent the message
	fieldContent       = "content"
)

// updateKinds maps the names on the wire to the kinds of updates of the endpoint list.
var updateKinds = map[string]policy.EndpointUpdateKind{
	"incr":      policy.IncrementalUpdate,
	"total":     policy.CompleteUpdate,
	"warm_copy": policy.CachedUpdate,
	"lost":      policy.WatchFailed,
}

// endpointStates maps the names on the wire to the states of an endpoint.
var endpointStates = map[string]policy.EndpointState{
	"U": policy.Available,
	"L": policy.Draining,
	"D": policy.Removed,
}

// outcomeSucceeded is the name on the wire for the outcome of an attempt or health check that succeeded.
const outcomeSucceeded = "pass"

// outcomes maps the names on the wire to the outcomes of attempts.
var outcomes = map[string]policy.Outcome{
	outcomeSucceeded: policy.Succeeded,
	"fault":          policy.ExecutorError,
	"no_room":        policy.ExecutorFull,
	"too_slow":       policy.TimedOut,
	"no_route":       policy.ConnectFailed,
	"cut":            policy.ConnectionLost,
	"undone":         policy.Canceled,
	"stale_send":     policy.NotSent,
}

// decodeEndpointList decodes the kind of an update of the endpoint list, and how many entries follow.
func decodeEndpointList(f *fields) (kind policy.EndpointUpdateKind, count int64, err error) {
	text, err := f.required(fieldListKind)
	if err != nil {
		return 0, 0, err
	}
	kind, ok := updateKinds[string(text)]
	if !ok {
		return 0, 0, fmt.Errorf("field %s: unknown value %q", fieldListKind, text)
	}
	count, err = f.integer(fieldListLength)
	if err == nil && count < 0 {
		err = fmt.Errorf("field %s: bad value %d", fieldListLength, count)
	}
	return kind, count, err
}

// decodeEndpoint decodes an entry of the endpoint list. Its start time becomes relative to startedAt, the start of the
// instance.
func decodeEndpoint(f *fields, startedAt time.Duration) (policy.Endpoint, error) {
	executor, err := f.required(fieldExecutor)
	if err != nil {
		return policy.Endpoint{}, err
	}
	text, err := f.required(fieldEndpointState)
	if err != nil {
		return policy.Endpoint{}, err
	}
	state, ok := endpointStates[string(text)]
	if !ok {
		return policy.Endpoint{}, fmt.Errorf("field %s: unknown value %q", fieldEndpointState, text)
	}
	zone, zoneErr := f.integer(fieldZone)
	kind, kindErr := f.integer(fieldExecutorKind)
	cell, cellErr := f.integer(fieldCell)
	start, startErr := f.seconds(fieldStartTime)
	weight, weightErr := f.number(fieldWeight)
	return policy.Endpoint{
		Executor:       policy.ExecutorID(executor),
		State:          state,
		Zone:           policy.ZoneID(zone),
		Kind:           policy.KindID(kind),
		Cell:           policy.CellID(cell),
		StartedAt:      start - startedAt,
		StartedLongAgo: start == 0,
		Weight:         weight,
	}, errors.Join(zoneErr, kindErr, cellErr, startErr, weightErr)
}

// decodeArrival decodes a job that has arrived.
func decodeArrival(f *fields) (policy.Arrival, error) {
	job, err := f.required(fieldJob)
	if err != nil {
		return policy.Arrival{}, err
	}
	class, err := f.requiredInt(fieldClass)
	if err != nil {
		return policy.Arrival{}, err
	}
	tenant, err := f.integer(fieldTenant)
	if err != nil {
		return policy.Arrival{}, err
	}
	work, err := f.seconds(fieldWork)
	if err != nil {
		return policy.Arrival{}, err
	}
	budget, err := f.requiredSeconds(fieldBudget)
	if err != nil {
		return policy.Arrival{}, err
	}
	retry, err := f.integer(fieldClientRetry)
	if err != nil {
		return policy.Arrival{}, err
	}
	return policy.Arrival{
		Job:         policy.JobID(job),
		Class:       policy.JobClassID(class),
		Tenant:      policy.TenantID(tenant),
		Work:        work,
		Budget:      budget,
		ClientRetry: retry == 1,
	}, nil
}

// decodeAttempt decodes the job and the number of the attempt that a message is about.
func decodeAttempt(f *fields) (policy.JobID, policy.AttemptID, error) {
	job, err := f.required(fieldJob)
	if err != nil {
		return "", 0, err
	}
	attempt, err := f.requiredInt(fieldAttempt)
	return policy.JobID(job), policy.AttemptID(attempt), err
}

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	job          policy.JobID
	attempt      policy.AttemptID
	outcome      policy.Outcome
	settled      bool // the job is finished, by this outcome or an earlier one
	executor     policy.ExecutorID
	load         policy.Load
	loadReported bool // whether the executor sent a load report
}

func decodeAttemptEnd(f *fields, loadFields config.LoadFields) (end attemptEnd, err error) {
	if end.job, end.attempt, err = decodeAttempt(f); err != nil {
		return end, err
	}
	text, err := f.required(fieldOutcome)
	if err != nil {
		return end, err
	}
	var ok bool
	if end.outcome, ok = outcomes[string(text)]; !ok {
		return end, fmt.Errorf("field %s: unknown value %q", fieldOutcome, text)
	}
	settled, err := f.integer(fieldSettled)
	if err != nil {
		return end, err
	}
	end.settled = settled == 1
	end.load, end.loadReported = decodeLoad(f, loadFields)
	executor, _ := f.get(fieldExecutor)
	end.executor = policy.ExecutorID(executor)
	return end, nil
}

// Kinds of notices, by their numbers on the wire.
const (
	noticeStarted  = 1
	noticeProgress = 2
)

// notice reports the start or the progress of an attempt.
type notice struct {
	job      policy.JobID
	attempt  policy.AttemptID
	kind     int64
	progress float64 // fraction of the work that is done, if the kind is noticeProgress
}

func decodeNotice(f *fields) (n notice, err error) {
	if n.job, n.attempt, err = decodeAttempt(f); err != nil {
		return n, err
	}
	if n.kind, err = f.requiredInt(fieldNotice); err != nil {
		return n, err
	}
	n.progress, err = f.number(fieldProgress)
	return n, err
}

// healthCheckResult is the result of a health check.
type healthCheckResult struct {
	executor  policy.ExecutorID
	succeeded bool // the executor has answered with a load report
	load      policy.Load
}

func decodeHealthCheck(f *fields, loadFields config.LoadFields) (result healthCheckResult, err error) {
	executor, err := f.required(fieldExecutor)
	if err != nil {
		return result, err
	}
	outcome, err := f.required(fieldOutcome)
	if err != nil {
		return result, err
	}
	load, reported := decodeLoad(f, loadFields)
	return healthCheckResult{
		executor:  policy.ExecutorID(executor),
		succeeded: reported && string(outcome) == outcomeSucceeded,
		load:      load,
	}, nil
}

// maxLoadValues is how many values of a load report are read. Further ones are ignored.
const maxLoadValues = 8

// decodeLoad decodes a load report. ok is false if the message has no report, or one with a malformed value.
func decodeLoad(f *fields, loadFields config.LoadFields) (load policy.Load, ok bool) {
	text, ok := f.get(fieldLoad)
	if !ok || len(text) == 0 {
		return load, false
	}
	var values [maxLoadValues]float64
	count := 0
	for ; len(text) > 0 && count < len(values); count++ {
		var value []byte
		value, text, _ = bytes.Cut(text, []byte{','})
		x, err := strconv.ParseFloat(string(value), 64)
		if err != nil {
			return load, false
		}
		values[count] = x
	}
	return loadFields.Decode(values[:count])
}

// peerMessage is a message from another node about the leases of an executor.
type peerMessage struct {
	from     policy.NodeID
	kind     policy.LeaseMessage
	executor policy.ExecutorHash
}

// leaseMessageBytes is the length of a message between nodes: a byte for its kind, and four for the hash of the
// executor's id.
const leaseMessageBytes = 1 + 4

// decodeLeaseMessage decodes a message from another node. If its content has an unknown form, ok is false, and the
// message is ignored.
func decodeLeaseMessage(f *fields) (message peerMessage, ok bool, err error) {
	from, err := f.requiredInt(fieldSender)
	if err != nil {
		return message, false, err
	}
	if from < 0 {
		return message, false, fmt.Errorf("field %s: bad value %d", fieldSender, from)
	}
	text, err := f.required(fieldContent)
	if err != nil {
		return message, false, err
	}
	b, err := base64.StdEncoding.DecodeString(string(text))
	if err != nil || len(b) != leaseMessageBytes {
		return message, false, nil
	}
	return peerMessage{
		from:     policy.NodeID(from),
		kind:     policy.LeaseMessage(b[0]),
		executor: policy.ExecutorHash(binary.BigEndian.Uint32(b[1:])),
	}, true, nil
}
