package upstream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"birchstair/internal/node"
	"birchstair/policy"
)

// The protocol's words; none of them goes beyond this file.

// encodeRequest writes an allocation as it goes over the wire.
func encodeRequest(a node.Attempt) []byte {
	b := make([]byte, 0, 320+len(a.URI)+len(a.Body))
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

func appendHeader(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, '\r', '\n')
}

// responseLine is a line of an answer.
type responseLine struct {
	progressed bool // it has started or goes on
	progress   float64
	ended      bool
	outcome    policy.Outcome
	result     []byte
	load       node.Load
}

var finalStates = map[string]policy.Outcome{
	"done": policy.Succeeded, "failed": policy.ExecutorError, "returned": policy.ExecutorFull, "lost": policy.ConnectionLost,
}

// decodeLine reads a line. A state that is not known is passed over: another line ends the answer.
func (p *Pool) decodeLine(line []byte, job policy.JobID) (o responseLine, err error) {
	var w struct {
		ID     policy.JobID
		State  string
		Share  float64
		Result json.RawMessage
		Load   map[string]float64
	}
	if err := json.Unmarshal(line, &w); err != nil {
		return o, fmt.Errorf("a line that makes no sense: %w", err)
	}
	if w.ID != job {
		return o, fmt.Errorf("a line about another batch job, %q", w.ID)
	}
	o.load = p.loadFromValues(w.Load)
	switch w.State {
	case "started":
		o.progressed = true
	case "running":
		o.progressed, o.progress = true, min(max(w.Share, 0), 1)
	default:
		o.outcome, o.ended = finalStates[w.State]
	}
	if o.ended && o.outcome == policy.Succeeded {
		if len(w.Result) == 0 {
			return o, fmt.Errorf("done, without a result")
		}
		var text string
		if json.Unmarshal(w.Result, &text) == nil {
			o.result = []byte(text)
		} else {
			o.result = w.Result
		}
	}
	return o, nil
}

// outcomeOfStatus reads an answer that is no stream of lines. One that the protocol does not know may have run.
func outcomeOfStatus(answer *http.Response) (policy.Outcome, string) {
	switch answer.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if answer.Header.Get("X-Rejected") == "1" {
			return policy.ExecutorFull, ""
		}
	case http.StatusInternalServerError:
		return policy.ExecutorError, ""
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity,
		http.StatusRequestHeaderFieldsTooLarge:
		return policy.InvalidRequest, "the executor can't use it: " + answer.Status
	}
	return policy.ExecutorError, "an answer that is not in the protocol: " + answer.Status
}

// A load report's values may go by the settings' names or by the protocol's. One that no executor could have makes
// the report count as none.
const maxLoadValue = 1e6

var loadFields = [3][2]string{{"inflight", "active"}, {"queue", "waiting"}, {"x0", "x0"}}

func (p *Pool) loadFromValues(values map[string]float64) (load node.Load) {
	if !p.usesReports {
		return load
	}
	var x [3]float64
	for i, names := range loadFields {
		ok := false
		if x[i], ok = values[names[0]]; !ok {
			if x[i], ok = values[names[1]]; !ok {
				return load
			}
		}
		if !(x[i] >= 0 && x[i] <= maxLoadValue) {
			return load
		}
	}
	return node.Load{Load: policy.Load{InFlight: x[0], Queued: x[1], FreeSlots: x[2], FreeMemory: -1, RunTime: -1}, Known: true}
}

// loadFromHeader reads a load report in an answer's head.
func (p *Pool) loadFromHeader(header string) node.Load {
	return p.loadFromValues(parseLoadReport(header))
}

// parseLoadReport reads a load report in a head: TEXT name=value, name=value.
func parseLoadReport(header string) map[string]float64 {
	text, ok := strings.CutPrefix(header, "TEXT ")
	if !ok {
		return nil
	}
	values := map[string]float64{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if x, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = x
		}
	}
	return values
}
