package admin

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"birchstair/internal/golden"
	"birchstair/internal/node"
	"birchstair/policy"
)

// TestCodec pins the text of each command and of each kind of reply, and how the client decodes replies.
func TestCodec(t *testing.T) {
	var out strings.Builder
	for _, call := range []string{"check", "vars", "set-down executor-1", "set-up executor-1", "drain-on", "drain-off", "fleet",
		"  check  ", "", "set-up", "set-up a b", "set-up " + strings.Repeat("x", 129), "check now", "nothing", "\xff"} {
		command, executor, err := decode(call)
		fmt.Fprintf(&out, "call %.40q: ", call)
		if err != nil {
			fmt.Fprintf(&out, "refused: %v\n", err)
			continue
		}
		fmt.Fprintf(&out, "command %d, executor %q, named %d\n", command, executor, CommandByName(strings.Fields(call)[0]))
	}
	fmt.Fprintf(&out, "no command: %d\n", CommandByName("nothing"))
	metrics := &node.Metrics{
		Classes: []node.ClassMetrics{
			{Name: "page", Succeeded: 1, Rejected: 2, Failed: 3},
			{Name: "order", Succeeded: 4, Rejected: 5, Failed: 6},
		},
		Attempts: 7, InFlight: 8, KnownExecutors: 9, ExcludedExecutors: 10, ReloadsApplied: 11, ReloadsRejected: 12,
	}
	for _, r := range []struct {
		name  string
		reply node.AdminReply
	}{
		{"accepted", node.AdminReply{}},
		{"refused", node.AdminReply{Refusal: "not\nhere"}},
		{"lines", node.AdminReply{Lines: []string{"neighbors=2", "cut=3"}}},
		{"no lines", node.AdminReply{Lines: []string{}}},
		{"metrics", node.AdminReply{Metrics: metrics}},
		{"metrics of no class", node.AdminReply{Metrics: &node.Metrics{}}},
	} {
		fmt.Fprintf(&out, "reply, %s:\n%s", r.name, encode(r.reply))
	}
	for _, a := range []struct {
		command node.AdminCommand
		answer  string
	}{
		{node.CheckReady, "ok"}, {node.CheckReady, "fail not ready"}, {node.CheckReady, "fail"}, {node.CheckReady, "maybe"}, {node.CheckReady, ""},
		{node.ReadMetrics, "attempts=7\neof"}, {node.ReadMetrics, "attempts=7"}, {node.ReadMetrics, "eof"}, {node.ReadCluster, "cut=3\neof"},
	} {
		lines := strings.Split(a.answer, "\n")
		if a.answer == "" {
			lines = nil
		}
		got, err := decodeReply(a.command, lines)
		fmt.Fprintf(&out, "answer %q to %d: %q, error %v\n", a.answer, a.command, got, err)
	}
	for _, command := range []node.AdminCommand{node.ExcludeExecutor, node.ReadmitExecutor} {
		_, err := Call("", command, policy.ExecutorID("a b"), 0)
		fmt.Fprintf(&out, "call with two executors: %v\n", err)
	}
	golden.Compare(t, "codec.txt", out.String())
}

// TestNamesInReplies guards against a reply that is cut off, or that has lines which the node did not write: the name of a peer or of
// an executor in a line of the reply can hold line breaks.
func TestNamesInReplies(t *testing.T) {
	sent := []string{"neighbour=n1\neof age_ms=3", "drains=e\nfleet offered=9 age_ms=1", "node=caf\xe9"}
	got, err := decodeReply(node.ReadCluster, strings.Split(string(encode(node.AdminReply{Lines: sent})), "\n"))
	want := []string{`neighbour=n1\neof age_ms=3`, `drains=e\nfleet offered=9 age_ms=1`, `node=caf\xe9`}
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("decoded %q, error %v, want %q", got, err, want)
	}
}
