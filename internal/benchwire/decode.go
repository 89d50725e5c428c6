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

// Messages received, by their names on the wire.
const (
	msgSync          = "SYNC"                // begins a batch
	msgCommit        = "COMMIT"              // ends a batch
	msgNewInstance   = "NEW_INSTANCE"        // an instance starts
	msgPowerOff      = "POWER_OFF"           // an instance is killed
	msgMembership    = "MEMBERSHIP"          // an update of the endpoint list
	msgEntry         = "ENTRY"               // an endpoint of the list
	msgSubmit        = "SUBMIT"              // a job has arrived
	msgAttemptEnded  = "DONE"                // an attempt has ended
	msgHeartbeat     = "HEARTBEAT"           // an attempt has started, or has made progress
	msgStreamStarted = "STARTED"             // a streamed answer has started
	msgClientLeft    = "CANCELLED_BY_CLIENT" // a job's client has left
	msgPeerMessage   = "HEARD"               // a message of another node
	msgProbeResult   = "PROBE_RESULT"        // the answer to a health check
	msgReminder      = "REMINDER"            // a timer is due
)

// Fields of messages received, by their names on the wire.
const (
	fieldInstance      = "who"
	fieldTime          = "time-s"
	fieldSeed          = "random-seed"
	fieldSettings      = "profile-data"
	fieldListKind      = "kind"
	fieldListLength    = "members-list"
	fieldEndpointState = "stage-state"
	fieldZone          = "campus"
	fieldExecutorKind  = "model"
	fieldCell          = "bay"
	fieldStartTime     = "start-time-s"
	fieldWeight        = "power-hint"
	fieldExecutor      = "executor"
	fieldJob           = "id"
	fieldAttempt       = "shot"
	fieldClass         = "category"
	fieldTenant        = "party"
	fieldWork          = "expected-s"
	fieldBudget        = "budget-s"
	fieldClientRetry   = "again-by-client"
	fieldOutcome       = "disposition"
	fieldSettled       = "settled"
	fieldLoad          = "gauge"
	fieldNotice        = "what"
	fieldProgress      = "level"
	fieldSender        = "by"
	fieldContent       = "content"
)

// updateKinds are the kinds of updates of the endpoint list.
var updateKinds = map[string]policy.EndpointUpdateKind{
	"incr":      policy.IncrementalUpdate,
	"total":     policy.CompleteUpdate,
	"warm_copy": policy.CachedUpdate,
	"lost":      policy.WatchFailed,
}

// endpointStates are the states of an endpoint.
var endpointStates = map[string]policy.EndpointState{
	"U": policy.Available,
	"L": policy.Draining,
	"D": policy.Removed,
}

// outcomeSucceeded is the outcome of an attempt or a probe that succeeded.
const outcomeSucceeded = "pass"

// outcomes are the outcomes of attempts.
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

// decodeEndpointList reads an update of the endpoint list, and how many entries follow.
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

// decodeEndpoint reads an entry of the list for an instance that was started at that clock time.
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

// decodeArrival reads a job that has arrived.
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

// decodeAttempt reads which attempt of which job a message is about.
func decodeAttempt(f *fields) (policy.JobID, policy.AttemptID, error) {
	job, err := f.required(fieldJob)
	if err != nil {
		return "", 0, err
	}
	attempt, err := f.requiredInt(fieldAttempt)
	return policy.JobID(job), policy.AttemptID(attempt), err
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	job          policy.JobID
	attempt      policy.AttemptID
	outcome      policy.Outcome
	settled      bool // the job is over, by this outcome or before it
	executor     policy.ExecutorID
	load         policy.Load
	loadReported bool
}

func decodeAttemptEnd(f *fields, at config.LoadFields) (end attemptEnd, err error) {
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
	end.load, end.loadReported = decodeLoad(f, at)
	executor, _ := f.get(fieldExecutor)
	end.executor = policy.ExecutorID(executor)
	return end, nil
}

// Kinds of notices.
const (
	noticeStarted  = 1
	noticeProgress = 2
)

// notice is news of an attempt that has not ended.
type notice struct {
	job      policy.JobID
	attempt  policy.AttemptID
	kind     int64
	progress float64 // of noticeProgress: the share done
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

// probeResult is the answer to a health check.
type probeResult struct {
	executor  policy.ExecutorID
	succeeded bool // with a load report
	load      policy.Load
}

func decodeProbe(f *fields, at config.LoadFields) (probe probeResult, err error) {
	executor, err := f.required(fieldExecutor)
	if err != nil {
		return probe, err
	}
	outcome, err := f.required(fieldOutcome)
	if err != nil {
		return probe, err
	}
	load, reported := decodeLoad(f, at)
	return probeResult{
		executor:  policy.ExecutorID(executor),
		succeeded: reported && string(outcome) == outcomeSucceeded,
		load:      load,
	}, nil
}

// maxLoadValues is how many values of a load report are read.
const maxLoadValues = 8

// decodeLoad reads a load report; ok is false where none came along, or a value of it is malformed.
func decodeLoad(f *fields, at config.LoadFields) (load policy.Load, ok bool) {
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
	return at.Decode(values[:count])
}

// peerMessage is a message of another node about an executor's leases.
type peerMessage struct {
	from     policy.NodeID
	kind     policy.LeaseMessage
	executor policy.ExecutorHash
}

// leaseMessageBytes is the length of a message between nodes: its kind, and the executor's hash.
const leaseMessageBytes = 1 + 4

// decodeLeaseMessage reads a message of another node; ok is false for one in another form, which is skipped.
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
