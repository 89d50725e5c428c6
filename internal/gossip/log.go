package gossip

import (
	stdlog "log"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// newLogger makes a logger for memberlist that hands what is relevant to operators to the node's log.
func newLogger(log zerolog.Logger) *stdlog.Logger {
	return stdlog.New(logWriter{log}, "", 0)
}

type logWriter struct{ log zerolog.Logger }

// Write takes one line of memberlist's log.
func (w logWriter) Write(b []byte) (int, error) {
	if line := strings.TrimSpace(string(b)); relevantToOperators(line) {
		w.log.Warn().Msg(line)
	}
	return len(b), nil
}

// routineWarnings are parts of memberlist's warnings about single packets that were lost or came by another way.
var routineWarnings = []string{"Failed to send", "Push/Pull with", "fallback", "Was able to connect"}

// relevantToOperators says whether a line of memberlist's log is a warning or an error that is not routine.
func relevantToOperators(line string) bool {
	if !strings.Contains(line, "[WARN]") && !strings.Contains(line, "[ERR]") {
		return false
	}
	return !slices.ContainsFunc(routineWarnings, func(part string) bool { return strings.Contains(line, part) })
}
