package gossip

import (
	stdlog "log"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// newLogger returns a logger for memberlist that copies the lines relevant to operators into the node's log.
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

// routineWarnings are texts that occur in memberlist's warnings and errors about a single message or exchange that
// failed, or that succeeded over TCP only. Such failures are expected and are repaired by later exchanges.
var routineWarnings = []string{"Failed to send", "Push/Pull with", "fallback", "Was able to connect"}

// relevantToOperators reports whether a line of memberlist's log is a warning or an error that is not routine.
func relevantToOperators(line string) bool {
	if !strings.Contains(line, "[WARN]") && !strings.Contains(line, "[ERR]") {
		return false
	}
	return !slices.ContainsFunc(routineWarnings, func(part string) bool { return strings.Contains(line, part) })
}
