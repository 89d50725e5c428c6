package admin

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"birchstair/internal/node"
	"birchstair/internal/oneline"
	"birchstair/policy"
)

// This file has all text of the protocol between operators and the node. A command is one line. A reply has one of three forms:
// "ok", or "fail" and a reason, or any number of lines followed by an end marker.

const (
	maxLineBytes = 256 // longest line with a command, in bytes
	maxIDBytes   = 128 // longest ID of an executor, in bytes

	replyOK   = "ok"
	replyFail = "fail"
	replyEnd  = "eof" // end marker; a reply of lines that lacks it was cut off
)

// commandNames are the names of commands in the protocol.
var commandNames = []string{
	node.CheckReady:      "check",
	node.ReadMetrics:     "vars",
	node.ExcludeExecutor: "set-down",
	node.ReadmitExecutor: "set-up",
	node.DrainOn:         "drain-on",
	node.DrainOff:        "drain-off",
	node.ReadCluster:     "fleet",
}

// CommandByName returns the command of this name, or -1 if there is none.
func CommandByName(name string) node.AdminCommand {
	return node.AdminCommand(slices.Index(commandNames, name))
}

// takesExecutor reports whether a command names an executor.
func takesExecutor(command node.AdminCommand) bool {
	return command == node.ExcludeExecutor || command == node.ReadmitExecutor
}

// repliesLines reports whether the reply to a command consists of lines and an end marker.
func repliesLines(command node.AdminCommand) bool {
	return command == node.ReadMetrics || command == node.ReadCluster
}

// decode decodes a command. If it returns an error, the text of the error is sent to the caller as the reason for the failure.
func decode(line string) (command node.AdminCommand, executor policy.ExecutorID, err error) {
	if !utf8.ValidString(line) {
		return 0, "", errors.New("the line is no text")
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return 0, "", errors.New("the line is empty")
	}
	command = CommandByName(words[0])
	switch {
	case command < 0:
		return 0, "", fmt.Errorf("no call is named %.40q", words[0])
	case takesExecutor(command) && (len(words) != 2 || len(words[1]) > maxIDBytes):
		return 0, "", fmt.Errorf("%s takes the id of one executor, of %d bytes at most", words[0], maxIDBytes)
	case !takesExecutor(command) && len(words) > 1:
		return 0, "", fmt.Errorf("%s takes nothing behind it", words[0])
	}
	if takesExecutor(command) {
		executor = policy.ExecutorID(words[1])
	}
	return command, executor, nil
}

// encode encodes a reply.
func encode(r node.AdminReply) []byte {
	switch {
	case r.Refusal != "":
		return encodeFailure(r.Refusal)
	case r.Lines != nil:
		return encodeLines(r.Lines)
	case r.Metrics != nil:
		return encodeMetrics(r.Metrics)
	}
	return []byte(replyOK + "\n")
}

// encodeLines encodes a reply of lines. A line can hold names that come from discovery or from peers. An escaped line can't end the
// reply, or add lines to it.
func encodeLines(lines []string) []byte {
	escaped := make([]string, len(lines))
	for i, line := range lines {
		escaped[i] = oneline.Escape(line)
	}
	return []byte(strings.Join(escaped, "\n") + "\n" + replyEnd + "\n")
}

func encodeFailure(reason string) []byte {
	return []byte(replyFail + " " + strings.ReplaceAll(reason, "\n", " ") + "\n")
}

func encodeMetrics(m *node.Metrics) []byte {
	b := make([]byte, 0, 1024)
	metric := func(name string, value int) {
		b = append(append(b, name...), '=')
		b = append(strconv.AppendInt(b, int64(value), 10), '\n')
	}
	for _, c := range m.Classes {
		metric("requests."+c.Name+".served", c.Succeeded)
		metric("requests."+c.Name+".refused", c.Rejected)
		metric("requests."+c.Name+".failed", c.Failed)
	}
	metric("attempts", m.Attempts)
	metric("in_flight", m.InFlight)
	metric("executors_known", m.KnownExecutors)
	metric("executors_excluded", m.ExcludedExecutors)
	metric("reloads_ok", m.ReloadsApplied)
	metric("reloads_failed", m.ReloadsRejected)
	return append(b, replyEnd+"\n"...)
}

// decodeReply decodes the reply to a command. It returns the lines before the end marker, or nil if the reply is "ok". The error
// says why the node refused the command, or what is wrong with the reply. Operators' scripts may match the error texts, so the
// texts must not change. In them, "callers" are admin connections, "ends" means that the node is shutting down, and "figures"
// are the lines of the reply.
func decodeReply(command node.AdminCommand, lines []string) ([]string, error) {
	if len(lines) == 0 {
		return nil, errors.New("the node closed without an answer: it has too many callers, or ends")
	}
	if reason, failed := strings.CutPrefix(lines[0], replyFail); failed {
		return nil, fmt.Errorf("the node says no: %s", strings.TrimSpace(reason))
	}
	if repliesLines(command) {
		end := slices.Index(lines, replyEnd)
		if end < 0 {
			return nil, errors.New("the figures have no end: the answer was cut off")
		}
		return lines[:end], nil
	}
	if lines[0] != replyOK {
		return nil, fmt.Errorf("an answer that makes no sense: %.40q", lines[0])
	}
	return nil, nil
}
