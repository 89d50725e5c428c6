package benchwire

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"birchstair/internal/golden"
)

// dialogue passes batches to the adapter, each completed with COMMIT, and returns them with the replies. Lines of a
// reply begin with golden.Arrow.
func dialogue(title string, batches ...string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "# %s\n", title)
	var in, replies bytes.Buffer
	for _, batch := range batches {
		in.WriteString(batch)
		in.WriteString("COMMIT\n")
	}
	err := Run(strings.NewReader(in.String()), &replies)
	answers := strings.SplitAfter(replies.String(), "DONE\n")
	for i, batch := range batches {
		out.WriteString(batch)
		out.WriteString("COMMIT\n")
		if i < len(answers) {
			for line := range strings.Lines(answers[i]) {
				out.WriteString(golden.Arrow + line)
			}
		}
	}
	if err != nil {
		fmt.Fprintf(&out, "%sstopped: %v\n", golden.Arrow, err)
	}
	return out.String()
}

// instanceOf returns the message that starts an instance, with settings and capabilities in addition to the usual ones.
func instanceOf(settings, caps string) string {
	return `NEW_INSTANCE who=node/3 random-seed=7 profile-data={"balancers":1,"quantum-s":0.001,` + settings +
		`"caps":{"max-allocations":3,"cancel":true,"retry-after":true,"max-retry-after-s":2` + caps + `},` +
		`"domain":{"tells-start":true,"progress-s":0.5,"report-x0":"free slots"},"report":{"how":"on_probe","fields":["active","waiting","x0"]},` +
		`"score-parts":{"whole":1},"tracks":[{"name":"t","quoted-time-s":0.3,"outer-limit-s":5,"repeat":"repeatable","earnings":1},` +
		`{"name":"u","quoted-time-s":0.3,"outer-limit-s":5,"repeat":"once","earnings":1}]}` + "\n"
}

const twoExecutors = "MEMBERSHIP who=node/3 seq-no=1 kind=warm_copy members-list=2\n" +
	"ENTRY executor=executor-a stage-state=U campus=0 model=0 bay=1 power-hint=1 start-time-s=0\n" +
	"ENTRY executor=executor-b stage-state=U campus=0 model=0 bay=2 power-hint=1.5 start-time-s=6.1\n"

// TestWire pins every kind of message in both directions, and every named value of a field, as the simulator's protocol
// defines them.
func TestWire(t *testing.T) {
	var out strings.Builder
	out.WriteString(dialogue("endpoint lists: each kind, each state; a watch is asked for",
		"SYNC time-s=10\n"+instanceOf(`"discovery":"ask",`, "")+twoExecutors,
		"SYNC time-s=20\nREMINDER who=node/3 mark=due\n",
		"SYNC time-s=20.5\nMEMBERSHIP who=node/3 seq-no=2 kind=lost members-list=0\n",
		"SYNC time-s=40\nREMINDER who=node/3 mark=due\n",
		"SYNC time-s=41\nMEMBERSHIP who=node/3 seq-no=3 kind=total members-list=3\n"+
			"ENTRY executor=executor-a stage-state=U campus=0 model=0 bay=1 power-hint=1\n"+
			"ENTRY executor=executor-b stage-state=U campus=0 model=0 bay=2 power-hint=1.5\n"+
			"ENTRY executor=executor-c stage-state=L campus=0 model=0 bay=2 power-hint=1.5\n",
		"SYNC time-s=42\nMEMBERSHIP who=node/3 seq-no=4 kind=incr members-list=2\nENTRY executor=executor-a stage-state=L\nENTRY executor=executor-b stage-state=D\n",
		"SYNC time-s=43\nSUBMIT who=node/3 id=c:1 category=0 party=0 expected-s=0.2 budget-s=0.5 again-by-client=0\n",
		"SYNC time-s=43.6\nREMINDER who=node/3 mark=due\n",
	))
	for _, disposition := range []string{"pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"} {
		out.WriteString(dialogue("an attempt that ends as "+disposition,
			"SYNC time-s=10\n"+instanceOf("", "")+twoExecutors,
			"SYNC time-s=11\nSUBMIT who=node/3 id=c:1 key=5 category=1 party=0 slots=1 expected-s=0.2 budget-s=5 again-by-client=0\n",
			"SYNC time-s=11.1\nHEARTBEAT who=node/3 id=c:1 what=1 shot=0 executor=executor-a\nHEARTBEAT who=node/3 id=c:1 what=2 level=0.5 shot=0 executor=executor-a\n",
			"SYNC time-s=11.2\nDONE who=node/3 id=c:1 disposition="+disposition+" shot=0 executor=executor-a cost-time-s=0.2 gauge=1,0,3\n",
			"SYNC time-s=11.9\nREMINDER who=node/3 mark=due\n",
			"SYNC time-s=12\nDONE who=node/3 id=c:1 disposition=pass shot=1 executor=executor-b settled=1 gauge=1,0,3\n",
		))
	}
	out.WriteString(dialogue("an attempt that starts as a stream, and a client that leaves",
		"SYNC time-s=10\n"+instanceOf("", "")+twoExecutors,
		"SYNC time-s=11\nSUBMIT who=node/3 id=c:1 category=0 expected-s=0.2 budget-s=5\nSUBMIT who=node/3 id=c:2 category=0 expected-s=0.2 budget-s=5\n",
		"SYNC time-s=11.1\nSTARTED who=node/3 id=c:1 shot=0 executor=executor-a cost-time-s=0.1\n",
		"SYNC time-s=11.2\nCANCELLED_BY_CLIENT who=node/3 id=c:2\n",
		"SYNC time-s=11.3\nDONE who=node/3 id=c:2 disposition=undone shot=0 executor=executor-a settled=1\n",
	))
	out.WriteString(dialogue("executors without room: rejected, with advice when to come back",
		"SYNC time-s=10\n"+instanceOf("", "")+"MEMBERSHIP who=node/3 seq-no=1 kind=warm_copy members-list=0\n",
		"SYNC time-s=11\nSUBMIT who=node/3 id=c:1 category=0 expected-s=0.2 budget-s=0.5 again-by-client=1\n",
		"SYNC time-s=11.45\nREMINDER who=node/3 mark=due\n",
		"SYNC time-s=11.5\nREMINDER who=node/3 mark=due\n",
		"SYNC time-s=11.6\nREMINDER who=node/3 mark=due\n",
	))
	out.WriteString(dialogue("health checks after a failure",
		"SYNC time-s=10\n"+instanceOf("", `,"probes":true`)+twoExecutors,
		"SYNC time-s=11\nSUBMIT who=node/3 id=c:1 category=0 expected-s=0.2 budget-s=5\n",
		"SYNC time-s=11.2\nDONE who=node/3 id=c:1 disposition=no_route shot=0 executor=executor-a\n",
		"SYNC time-s=11.5\nREMINDER who=node/3 mark=due\n",
		"SYNC time-s=12\nREMINDER who=node/3 mark=due\n",
		"SYNC time-s=13\nPROBE_RESULT who=node/3 executor=executor-a disposition=pass cost-time-s=0.0014 gauge=0,0,3\nPROBE_RESULT who=node/3 executor=executor-b disposition=no_route\n",
	))
	out.WriteString(dialogue("instances that come and go, and give in",
		"SYNC time-s=10\n"+instanceOf("", "")+twoExecutors,
		"SYNC time-s=11\nPOWER_OFF who=node/3\n",
		"SYNC time-s=12\nSUBMIT who=node/3 id=c:1 category=0 budget-s=5\nHEARD who=node/3 by=1 content=AQAAAAA=\n",
		"SYNC time-s=13\nNEW_INSTANCE who=node/3 random-seed=-7 profile-data={\"balancers\":1}\n",
		"SYNC time-s=14\n"+instanceOf("", "")+twoExecutors+"SUBMIT who=node/3 id=c:1 category=9 budget-s=5\n",
		"SYNC time-s=15\nSUBMIT who=node/3 id=c:2 category=-1 budget-s=5\n",
	))
	fmt.Fprintln(&out, "# values by their names on the wire")
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(&out, "disposition=%s: outcome %d\n", name, outcomes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(updateKinds)) {
		fmt.Fprintf(&out, "kind=%s: update %d\n", name, updateKinds[name])
	}
	for _, name := range slices.Sorted(maps.Keys(endpointStates)) {
		fmt.Fprintf(&out, "stage-state=%s: state %d\n", name, endpointStates[name])
	}
	golden.Compare(t, "wire.txt", out.String())
}

// TestMalformed pins the errors for malformed input, each with the number of the line and the name of the invalid field.
func TestMalformed(t *testing.T) {
	var out strings.Builder
	begin := "SYNC time-s=10\n" + instanceOf("", "") + twoExecutors
	for _, line := range []string{
		"SYNC time-s=11", "ENTRY executor=executor-a", "WHAT who=node/3", "SUBMIT id=c:1", "SUBMIT who=", "SUBMIT who=node/3",
		"SUBMIT who=node/3 id=c:1 budget-s=1", "SUBMIT who=node/3 id=c:1 category=x", "SUBMIT who=node/3 id=c:1 category=0 party=x",
		"SUBMIT who=node/3 id=c:1 category=0 expected-s=NaN", "SUBMIT who=node/3 id=c:1 category=0", "SUBMIT who=node/3 id=c:1 category=0 budget-s=Inf",
		"SUBMIT who=node/3 id=c:1 category=0 budget-s=1 again-by-client=x",
		"DONE who=node/3", "DONE who=node/3 id=c:1", "DONE who=node/3 id=c:1 shot=0", "DONE who=node/3 id=c:1 shot=0 disposition=odd",
		"DONE who=node/3 id=c:1 shot=0 disposition=pass settled=x",
		"HEARTBEAT who=node/3 id=c:1 shot=0", "HEARTBEAT who=node/3 id=c:1 shot=0 what=2 level=x", "STARTED who=node/3 id=c:1",
		"CANCELLED_BY_CLIENT who=node/3", "HEARD who=node/3", "HEARD who=node/3 by=-1", "HEARD who=node/3 by=1",
		"PROBE_RESULT who=node/3", "PROBE_RESULT who=node/3 executor=executor-a",
		"MEMBERSHIP who=node/3", "MEMBERSHIP who=node/3 kind=odd", "MEMBERSHIP who=node/3 kind=incr members-list=-1", "MEMBERSHIP who=node/3 kind=incr members-list=x",
		"MEMBERSHIP who=node/3 kind=incr members-list=1\nENTRY stage-state=U", "MEMBERSHIP who=node/3 kind=incr members-list=1\nENTRY executor=a",
		"MEMBERSHIP who=node/3 kind=incr members-list=1\nENTRY executor=a stage-state=X",
		"MEMBERSHIP who=node/3 kind=incr members-list=1\nENTRY executor=a stage-state=U campus=x model=x bay=x start-time-s=x power-hint=x",
		"MEMBERSHIP who=node/3 kind=incr members-list=2\nENTRY executor=a stage-state=U",
		"NEW_INSTANCE who=node/4", "NEW_INSTANCE who=node/4 random-seed=1", "NEW_INSTANCE who=node/4 random-seed=x", "REMINDER =x", "REMINDER who=node/3 a b=c",
	} {
		var replies bytes.Buffer
		err := Run(strings.NewReader(begin+line+"\nCOMMIT\n"), &replies)
		fmt.Fprintf(&out, "%s\n%s%v, replied %q\n", line, golden.Arrow, err, replies.String())
	}
	for _, input := range []string{"COMMIT\n", "SYNC\n", "SYNC time-s=1\n", "SYNC time-s=1\nMEMBERSHIP who=node/3 kind=incr members-list=1\n", "\n\n"} {
		var replies bytes.Buffer
		err := Run(strings.NewReader(input), &replies)
		fmt.Fprintf(&out, "alone: %q\n%s%v, replied %q\n", input, golden.Arrow, err, replies.String())
	}
	golden.Compare(t, "malformed.txt", out.String())
}
