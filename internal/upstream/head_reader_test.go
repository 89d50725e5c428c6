package upstream

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// responseWithFields returns a complete response with this many further header fields, whose body has more lines than a header may.
func responseWithFields(fields int) string {
	var lines strings.Builder
	for i := range fields {
		fmt.Fprintf(&lines, "f%d:\r\n", i)
	}
	body := strings.Repeat("\n", 3*maxHeaderFields) + `{"id":"j1","state":"done","result":"r"}` + "\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", lines.String(), len(body), body)
}

// TestHeaderFieldsOfResponse has an executor send responses with as many header fields as allowed and with more. Of the latter, net/http
// must not see more than allowed.
func TestHeaderFieldsOfResponse(t *testing.T) {
	for fields, want := range map[int]policy.Outcome{0: policy.Succeeded, maxHeaderFields - 1: policy.Succeeded, maxHeaderFields: policy.ConnectionLost, 2000: policy.ConnectionLost} {
		events := make(chan node.Event, 100)
		addr, _ := fakeExecutor(t, responseWithFields(fields))
		pool := New(TCP(10*time.Second), false, HealthCheckConfig{}, func(ev node.Event) { events <- ev })
		pool.Dial(1, addr)
		for ended := false; !ended; {
			select {
			case ev := <-events:
				switch ev := ev.(type) {
				case node.ConnReady:
					pool.Write(1, attempt("j1"))
				case node.AttemptEnded:
					ended = true
					if ev.Outcome != want {
						t.Errorf("%d fields: outcome %v (%s), want %v", fields, ev.Outcome, ev.Detail, want)
					}
				}
			case <-time.After(20 * time.Second):
				t.Fatalf("%d fields: the attempt does not end", fields)
			}
		}
		pool.Close(1)
	}
}

// TestHeadReader reads headers at once and byte by byte.
func TestHeadReader(t *testing.T) {
	for _, read := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader} {
		for fields, want := range map[int]error{maxHeaderFields - 1: nil, maxHeaderFields: errTooManyFields, 2000: errTooManyFields} {
			r := &headReader{from: read(strings.NewReader(responseWithFields(fields)))}
			r.begin()
			text, err := io.ReadAll(r)
			if !errors.Is(err, want) {
				t.Errorf("%d fields: %v, want %v", fields, err, want)
			}
			if want == nil && string(text) != responseWithFields(fields) {
				t.Errorf("%d fields: %d bytes are read", fields, len(text))
			}
		}
	}
}
