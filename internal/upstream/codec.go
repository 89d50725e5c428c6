package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"birchstair/internal/node"
	"birchstair/policy"
)

// This file has all headers and texts of the protocol between the node and executors.

const loadReportHeader = "X-Load-Report"

// fieldError means that a value can't stand in a request, because it would end its field or start another one.
type fieldError struct {
	field string // name of the header, or "request target"
	value string
}

// Error returns the field and the start of its value.
func (e *fieldError) Error() string {
	return fmt.Sprintf("request can't be encoded: %s: invalid value %.40q", e.field, e.value)
}

// encodeRequest returns the HTTP request of an attempt. The error is a *fieldError if a value can't stand in its field.
func encodeRequest(a node.Attempt) ([]byte, error) {
	if err := checkFields(a); err != nil {
		return nil, err
	}
	const headersSize = 320 // estimated size of the headers in bytes, so that the request is allocated only once
	b := make([]byte, 0, headersSize+len(a.URI)+len(a.Body))
	b = append(b, a.Method...)
	b = append(b, ' ')
	b = append(b, a.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, "Host", a.Host)
	b = appendHeader(b, "X-Call-Id", string(a.ID))
	b = appendHeader(b, "Idempotency-Key", a.IdempotencyKey)
	b = appendHeader(b, "Content-Type", a.ContentType)
	if a.Epoch > 0 {
		b = appendHeader(b, "X-Lease-Epoch", strconv.FormatUint(uint64(a.Epoch), 10))
	}
	b = append(b, "X-Budget-Ms: "...)
	b = strconv.AppendInt(b, max(1, a.Budget.Milliseconds()), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(a.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, a.Body...), nil
}

// checkFields checks the values of an attempt that are text on the wire. The frontend and package durable accept no other values.
// Without this check, a line break that they overlook would become a header or a request of its own.
func checkFields(a node.Attempt) error {
	if !validTarget(a.URI) {
		return &fieldError{"request target", a.URI}
	}
	if !utf8.ValidString(string(a.ID)) { // the response names the job in JSON
		return &fieldError{"X-Call-Id", string(a.ID)}
	}
	for _, header := range [...]fieldError{
		{"Host", a.Host},
		{"X-Call-Id", string(a.ID)},
		{"Idempotency-Key", a.IdempotencyKey},
		{"Content-Type", a.ContentType},
	} {
		if !validFieldValue(header.value) {
			return &header
		}
	}
	return nil
}

// validTarget reports whether a request line can have this target.
func validTarget(target string) bool {
	for i := range len(target) {
		if target[i] == ' ' || isControl(target[i]) {
			return false
		}
	}
	return true
}

// validFieldValue reports whether a header can have this value (RFC 9110, section 5.5). Bytes over 0x7f are allowed.
func validFieldValue(value string) bool {
	for i := range len(value) {
		if isControl(value[i]) && value[i] != '\t' {
			return false
		}
	}
	return true
}

// isControl reports whether a byte is an ASCII control character.
func isControl(b byte) bool {
	const space, del = 0x20, 0x7f
	return b < space || b == del
}

// appendHeader appends a header, unless its value is empty.
func appendHeader(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, '\r', '\n')
}

// encodeHealthCheck returns the HTTP request of a health check. The error is a *fieldError if a value can't stand in its field.
func encodeHealthCheck(path, addr string) ([]byte, error) {
	if !validTarget(path) {
		return nil, &fieldError{"request target", path}
	}
	if !validFieldValue(addr) {
		return nil, &fieldError{"Host", addr}
	}
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, addr), nil
}

// responseLine is a decoded line of a response.
type responseLine struct {
	progressed bool           // the line reports that the attempt is running
	progress   float64        // completed fraction of the work
	ended      bool           // the line ends the attempt
	outcome    policy.Outcome // outcome of the attempt; valid only if ended is set
	result     []byte         // the job's result; empty unless the job has succeeded
	load       node.Load      // the executor's load, if the line reports it
}

// finalStates maps each state that ends an attempt to the attempt's outcome.
var finalStates = map[string]policy.Outcome{
	"done":     policy.Succeeded,
	"failed":   policy.ExecutorError,
	"returned": policy.ExecutorFull,
	"lost":     policy.ConnectionLost,
}

// decodeLine decodes a line of the response to an attempt of a job. A line with an unknown state neither reports progress nor
// ends the attempt; a later line ends the attempt.
func (p *Pool) decodeLine(text []byte, job policy.JobID) (line responseLine, err error) {
	var wire struct { // encoding/json matches keys to these names case-insensitively
		ID     policy.JobID
		State  string
		Share  float64
		Result json.RawMessage
		Load   map[string]float64
	}
	if err := json.Unmarshal(text, &wire); err != nil {
		return line, fmt.Errorf("malformed response line: %w", err)
	}
	if wire.ID != job {
		return line, fmt.Errorf("response line of another batch job, %q", wire.ID)
	}
	line.load = p.loadFromValues(wire.Load)
	switch wire.State {
	case "started":
		line.progressed = true
	case "running":
		line.progressed, line.progress = true, min(max(wire.Share, 0), 1)
	default:
		line.outcome, line.ended = finalStates[wire.State]
	}
	if line.ended && line.outcome == policy.Succeeded {
		if len(wire.Result) == 0 {
			return line, errors.New("state done without a result")
		}
		line.result = decodeResult(wire.Result)
	}
	return line, nil
}

// decodeResult decodes a result that is a JSON string. It returns any other JSON value unchanged.
func decodeResult(result json.RawMessage) []byte {
	var text string
	if json.Unmarshal(result, &text) == nil {
		return []byte(text)
	}
	return result
}

// outcomeOfStatus returns the outcome for a response with a status other than 200, and a detail for the log. For a response that
// the protocol does not define, the outcome is policy.ExecutorError, because the attempt may have run.
func outcomeOfStatus(response *http.Response) (outcome policy.Outcome, detail string) {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if response.Header.Get("X-Rejected") == "1" {
			return policy.ExecutorFull, ""
		}
	case http.StatusInternalServerError:
		return policy.ExecutorError, ""
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity,
		http.StatusRequestHeaderFieldsTooLarge:
		return policy.InvalidRequest, "executor refused the request: " + response.Status
	}
	return policy.ExecutorError, "unexpected response: " + response.Status
}

// maxLoadValue is the largest valid value in a load report.
const maxLoadValue = 1e6

// loadField identifies a value of a load report by its two names.
type loadField struct {
	setting string // the value's name in the settings
	wire    string // the value's name in the protocol
}

// value looks up the field's value by either of its names. ok reports that the value exists and is from 0 to maxLoadValue.
func (f loadField) value(values map[string]float64) (value float64, ok bool) {
	value, ok = values[f.setting]
	if !ok {
		value, ok = values[f.wire]
	}
	return value, ok && value >= 0 && value <= maxLoadValue
}

var (
	loadInFlight   = loadField{"inflight", "active"}
	loadQueued     = loadField{"queue", "waiting"}
	loadFreeSlots  = loadField{"x0", "x0"}
	loadFreeMemory = loadField{"x1", "x1"}
	loadRunTime    = loadField{"latency_ms", "avg_ms"}
)

// loadFromValues returns the load in a report that came with a response. If the number of running or waiting jobs or of free
// slots is missing or out of bounds, the whole report is ignored.
func (p *Pool) loadFromValues(values map[string]float64) node.Load {
	if !p.usesReports {
		return node.Load{}
	}
	inFlight, ok1 := loadInFlight.value(values)
	queued, ok2 := loadQueued.value(values)
	freeSlots, ok3 := loadFreeSlots.value(values)
	if !ok1 || !ok2 || !ok3 {
		return node.Load{}
	}
	return node.Load{
		Load:  policy.Load{InFlight: inFlight, Queued: queued, FreeSlots: freeSlots, FreeMemory: unknownLoad, RunTime: unknownLoad},
		Known: true,
	}
}

// loadFromHeader returns the load in the load report header of a response.
func (p *Pool) loadFromHeader(header string) node.Load {
	return p.loadFromValues(parseLoadReport(header))
}

// parseLoadReport parses the value of a load report header, such as "TEXT active=1, waiting=2". It skips values that are not
// numbers.
func parseLoadReport(header string) map[string]float64 {
	text, ok := strings.CutPrefix(header, "TEXT ")
	if !ok {
		return nil
	}
	values := map[string]float64{}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if value, err := strconv.ParseFloat(number, 64); err == nil {
			values[name] = value
		}
	}
	return values
}
