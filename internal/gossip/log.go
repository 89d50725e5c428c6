package gossip

import (
	stdlog "log"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// newLogger returns a logger for memberlist. It copies the lines that are relevant to operators into the node's log.
func newLogger(log zerolog.Logger) *stdlog.Logger {
	return stdlog.New(logWriter{log}, "", 0)
}

type logWriter struct{ log zerolog.Logger }

// Write receives one line of memberlist's log.
func (w logWriter) Write(b []byte) (int, error) {
	if line := strings.TrimSpace(string(b)); relevantToOperators(line) {
		w.log.Warn().Msg(line)
	}
	return len(b), nil
}

// routineWarnings are texts by which routine warnings and errors of memberlist are recognized. Each of these is about a
// single message or exchange that failed, or that succeeded over TCP after UDP had failed. Such failures are expected,
// and later exchanges make up for them.
var routineWarnings = []string{"Failed to send", "Push/Pull with", "fallback", "Was able to connect"}

// relevantToOperators reports whether a line of memberlist's log is a warning or an error that is not routine.
func relevantToOperators(line string) bool {
	if !strings.Contains(line, "[WARN]") && !strings.Contains(line, "[ERR]") {
		return false
	}
	return !slices.ContainsFunc(routineWarnings, func(part string) bool { return strings.Contains(line, part) })
}
