package hotrestart

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/node"
)

// TestClaimLines checks byte for byte the lines about the IDs of jobs that must not run twice.
func TestClaimLines(t *testing.T) {
	digest := node.IDDigest{0xab, 15: 0x01}
	used := []node.UsedID{{Digest: digest, Age: 1500 * time.Millisecond}, {Digest: node.IDDigest{1}}}
	var lines strings.Builder
	for _, message := range []node.HandoffMessage{
		{Kind: node.StateTransfer, State: &node.HandoffState{UsedIDs: used, Claims: true}},
		{Kind: node.SuccessorReady, Claims: true},
		{Kind: node.ClaimID, Seq: 7, Digest: digest},
		{Kind: node.ClaimAnswered, Seq: 7, Granted: true},
		{Kind: node.ClaimAnswered, Seq: 8},
		{Kind: node.TransferUsedIDs, UsedIDs: used},
		{Kind: node.ClaimsEnded},
	} {
		line, err := encode(message)
		if err != nil {
			t.Fatal(err)
		}
		lines.Write(line)
		if got, err := decode(line); err != nil || !reflect.DeepEqual(got, message) {
			t.Errorf("decode(%s) = %+v, %v, want %+v", line, got, err, message)
		}
	}
	golden.Compare(t, "claims.jsonl", lines.String())
}

// TestMalformedDigest checks that a digest of another size or form makes the message unreadable.
func TestMalformedDigest(t *testing.T) {
	for _, digest := range []string{"", "ab", "zz", strings.Repeat("ab", 17)} {
		for _, line := range []string{
			`{"Version":1,"Kind":"claim","Seq":1,"Digest":"` + digest + `"}`,
			`{"Version":1,"Kind":"ids","Used":[{"Digest":"` + digest + `"}]}`,
			`{"Version":1,"Kind":"state","State":{"Used":[{"Digest":"` + digest + `"}]}}`,
		} {
			if message, err := decode([]byte(line)); err == nil {
				t.Errorf("decode(%s) = %+v, want an error", line, message)
			}
		}
	}
}
