package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"birchstair/internal/node"
	"birchstair/policy"
)

// The protocol between the node and executors. Its headers and texts occur in this file alone.

const loadReportHeader = "X-Load-Report"

// encodeRequest returns the bytes of an attempt.
func encodeRequest(a node.Attempt) []byte {
	const headersSize = 320 // about
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
	return append(b, a.Body...)
}

// appendHeader appends a header, unless it is empty.
func appendHeader(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, '\r', '\n')
}

// encodeProbe returns the bytes of a load probe.
func encodeProbe(path, addr string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, addr)
}

// responseLine is a decoded line of a response.
type responseLine struct {
	progressed bool    // the attempt runs
	progress   float64 // the part done, from 0 to 1
	ended      bool
	outcome    policy.Outcome // where it has ended
	result     []byte         // where it has succeeded
	load       node.Load
}

// finalStates are the states that end an attempt.
var finalStates = map[string]policy.Outcome{
	"done":     policy.Succeeded,
	"failed":   policy.ExecutorError,
	"returned": policy.ExecutorFull,
	"lost":     policy.ConnectionLost,
}

// decodeLine decodes a line of the response to an attempt of job. A state that is not known is neither progress nor an
// end: another line ends the response.
func (p *Pool) decodeLine(text []byte, job policy.JobID) (line responseLine, err error) {
	var wire struct { // keys are matched to these names without regard to case
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

// decodeResult returns the text of a result that is a string, and the JSON of any other.
func decodeResult(result json.RawMessage) []byte {
	var text string
	if json.Unmarshal(result, &text) == nil {
		return []byte(text)
	}
	return result
}

// outcomeOfStatus returns the outcome that a response other than 200 stands for, and a detail for the log. After one that
// the protocol does not know the attempt may have run.
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

// maxLoadValue is more than any value of a load report can be.
const maxLoadValue = 1e6

// loadField is a value of a load report, which has two names.
type loadField struct {
	setting string // in the settings
	wire    string // in the protocol
}

// value returns the value, which may go by either name. ok: there is one that an executor can have.
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

// loadFromValues returns the load that a report with a response tells. A report where a value is missing or out of bounds
// counts as none.
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

// loadFromHeader returns the load that the header of a response tells.
func (p *Pool) loadFromHeader(header string) node.Load {
	return p.loadFromValues(parseLoadReport(header))
}

// parseLoadReport parses the value of a load report's header, such as "TEXT active=1, waiting=2". Pairs that are no
// numbers are left out.
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
