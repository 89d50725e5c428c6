package benchwire

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const start = `NEW_INSTANCE who=node/0 random-seed=7 profile-data={"balancers":1,"quantum-s":0.001,` +
	`"caps":{"max-allocations":3,"cancel":true},"new-key":[1],"domain":{"tells-start":true},` +
	`"score-parts":{"whole":1},"tracks":[{"quoted-time-s":0.3,"outer-limit-s":5,"repeat":"once","earnings":1}]}
MEMBERSHIP who=node/0 seq-no=1 kind=warm_copy members-list=1
ENTRY executor=executor-a stage-state=U new-key=5
`

// replies passes batches to the adapter, and returns what it wrote, followed by the error if it stopped with one.
func replies(batches ...string) string {
	var in strings.Builder
	for _, b := range batches {
		in.WriteString(b)
		in.WriteString("COMMIT\n\n")
	}
	var out bytes.Buffer
	if err := Run(strings.NewReader(in.String()), &out); err != nil {
		out.WriteString("stopped: " + err.Error() + "\n")
	}
	return out.String()
}

// TestBatches checks that batches are answered in order, and that late events and events for instances that are not
// running are ignored.
func TestBatches(t *testing.T) {
	got := replies(
		"SYNC time-s=10\n"+start,
		"SYNC time-s=11\nSUBMIT who=node/0 id=c:1 category=0 expected-s=0.2 budget-s=5 new-key=x\n",
		"SYNC time-s=11.1\nHEARTBEAT who=node/0 id=c:1 what=1 shot=0 executor=executor-a\n",
		"SYNC time-s=11.3\nDONE who=node/0 id=c:1 disposition=fault executor=executor-a shot=0\n",
		// An event of a finished job, and one for an instance that never ran, are ignored.
		"SYNC time-s=11.4\nDONE who=node/0 id=c:1 disposition=pass shot=0 settled=1\n"+
			"CANCELLED_BY_CLIENT who=node/9 id=c:7\n",
		// The instance is killed and started again within a batch: no action of the old one is sent.
		"SYNC time-s=20\nSUBMIT who=node/0 id=c:2 category=0 budget-s=5\nPOWER_OFF who=node/0\n"+start,
		"SYNC time-s=21\nDONE who=node/0 id=c:2 disposition=pass shot=0 settled=1\n",
	)
	want := `ARM who=node/0 mark=due due-at-s=12.000000
DONE
ISSUE who=node/0 id=c:1 executor=executor-a
ARM who=node/0 mark=due due-at-s=11.037500
DONE
DONE
RESPOND_ERROR who=node/0 id=c:1
PRINT who=node/0 msg=executor-a ejected for 300ms after a failed attempt
DONE
DONE
ARM who=node/0 mark=due due-at-s=22.000000
DONE
DONE
`
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("replies differ (-want +got):\n%s", diff)
	}
}

// TestMalformedInput checks that malformed input stops the adapter with the number of the invalid line, and that
// invalid settings fail the instance.
func TestMalformedInput(t *testing.T) {
	for _, c := range []struct{ batch, want string }{
		{"SYNC time-s=1\nWHAT who=node/0\n", "stopped: line 2: unknown message \"WHAT\"\n"},
		{"SYNC time-s=x\n", "stopped: line 1: field time-s: bad number \"x\"\n"},
		{"SYNC time-s=1\n" + start + "SUBMIT who=node/0 id=c:1 category=0\n",
			"stopped: line 5: field budget-s is missing\n"},
		{"SYNC time-s=1\nDONE who=node/0 id=c:1 shot=zero disposition=pass\n",
			"stopped: line 2: field shot: bad number \"zero\"\n"},
		{"SYNC time-s=1\nDONE who=node/0 id=c:1 shot=0 disposition=odd\n",
			"stopped: line 2: field disposition: unknown value \"odd\"\n"},
		{"SYNC time-s=1\nREMINDER who=node/0 mark\n",
			"stopped: line 2: malformed line: no name=value in \"mark\"\n"},
		{"SYNC time-s=1\n" + start + "HEARD who=node/0 by=-1 content=AA==\n",
			"stopped: line 5: field by: bad value -1\n"},
		{"SYNC time-s=1\nMEMBERSHIP who=node/0 kind=total members-list=1\n",
			"stopped: line 3: message \"COMMIT\" where a list entry is due\n"},
		{"SYNC time-s=1\nNEW_INSTANCE who=node/0 random-seed=1 profile-data={\"balancers\":0}\n",
			"GIVE_IN who=node/0 msg=settings.balancers: fewer than one node\nDONE\n"},
	} {
		if diff := cmp.Diff(c.want, replies(c.batch)); diff != "" {
			t.Errorf("%q (-want +got):\n%s", c.batch, diff)
		}
	}
}

// TestPeerMessagesAndReports checks that messages between nodes have five bytes and others are ignored, and that the
// values of a load report are identified by the names of the fields in the settings.
func TestPeerMessagesAndReports(t *testing.T) {
	many := strings.Replace(start, `"balancers":1,`, `"balancers":30,"my-number":3,"report":{"fields":["x0","active",`+
		`"cpu","waiting"]},`, 1)
	many = strings.Replace(many, `"cancel":true`, `"cancel":true,"peers":true`, 1)
	many = strings.Replace(many, `"domain":{`, `"domain":{"report-x0":"free slots",`, 1)
	got := replies(
		"SYNC time-s=10\n"+many,
		"SYNC time-s=11\nSUBMIT who=node/0 id=c:1 category=0 expected-s=0.2 budget-s=5\n",
		"SYNC time-s=11.01\nHEARD who=node/0 by=17 content=aGkgNw==\nHEARD who=node/0 by=17 content=?\n",
		"SYNC time-s=11.02\nHEARD who=node/0 by=17 content=A8R4tB8=\n",
		"SYNC time-s=11.3\nDONE who=node/0 id=c:1 disposition=pass shot=0 settled=1 executor=executor-a gauge=1,2.9,0.5,0\n"+
			"DONE who=node/0 id=c:9 disposition=pass shot=0 executor=executor-a gauge=1,x\n",
	)
	want := `ARM who=node/0 mark=due due-at-s=12.000000
DONE
SHARE who=node/0 dest=17 content=AcR4tB8=
ARM who=node/0 mark=due due-at-s=11.075000
DONE
DONE
ISSUE who=node/0 id=c:1 executor=executor-a
ARM who=node/0 mark=due due-at-s=11.057500
DONE
SHARE who=node/0 dest=17 content=BsR4tB8=
DONE
`
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("replies differ (-want +got):\n%s", diff)
	}
}
