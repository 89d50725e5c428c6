package admin

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"birchstair/internal/node"
	"birchstair/policy"
)

// The door's words; none of them goes beyond this file.

const (
	longestLine = 256 // bytes of a call
	longestID   = 128 // bytes of an executor's id
)

var orders = []string{node.CheckReady: "check", node.ReadMetrics: "vars", node.ExcludeExecutor: "set-down", node.ReadmitExecutor: "set-up",
	node.DrainOn: "drain-on", node.DrainOff: "drain-off", node.ReadFleet: "fleet"}

// Named is the order of a name; -1 where no call is named so.
func Named(name string) node.AdminCommand { return node.AdminCommand(slices.Index(orders, name)) }

// aboutOne are the orders that name an executor.
func aboutOne(o node.AdminCommand) bool {
	return o == node.ExcludeExecutor || o == node.ReadmitExecutor
}

// decode reads a call. Its error is the reason that the caller gets.
func decode(line string) (order node.AdminCommand, executor policy.ExecutorID, err error) {
	if !utf8.ValidString(line) {
		return 0, "", fmt.Errorf("the line is no text")
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return 0, "", fmt.Errorf("the line is empty")
	}
	order = Named(words[0])
	switch {
	case order < 0:
		return 0, "", fmt.Errorf("no call is named %.40q", words[0])
	case aboutOne(order) && (len(words) != 2 || len(words[1]) > longestID):
		return 0, "", fmt.Errorf("%s takes the id of one executor, of %d bytes at most", words[0], longestID)
	case !aboutOne(order) && len(words) > 1:
		return 0, "", fmt.Errorf("%s takes nothing behind it", words[0])
	}
	if aboutOne(order) {
		executor = policy.ExecutorID(words[1])
	}
	return order, executor, nil
}

// encode writes an answer.
func encode(r node.AdminReply) []byte {
	switch {
	case r.Refusal != "":
		return no(r.Refusal)
	case r.Lines != nil:
		return []byte(strings.Join(r.Lines, "\n") + "\neof\n")
	case r.Metrics == nil:
		return []byte("ok\n")
	}
	f, b := r.Metrics, make([]byte, 0, 1024)
	figure := func(name string, x int) {
		b = append(append(b, name...), '=')
		b = append(strconv.AppendInt(b, int64(x), 10), '\n')
	}
	for _, t := range f.Classes {
		figure("requests."+t.Name+".served", t.Succeeded)
		figure("requests."+t.Name+".refused", t.Rejected)
		figure("requests."+t.Name+".failed", t.Failed)
	}
	figure("attempts", f.Attempts)
	figure("in_flight", f.InFlight)
	figure("executors_known", f.KnownExecutors)
	figure("executors_excluded", f.ExcludedExecutors)
	figure("reloads_ok", f.ReloadsApplied)
	figure("reloads_failed", f.ReloadsRejected)
	return append(b, "eof\n"...)
}

func no(reason string) []byte { return []byte("fail " + strings.ReplaceAll(reason, "\n", " ") + "\n") }
