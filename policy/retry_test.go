package policy

import (
	"testing"
	"time"

	"birchstair/internal/golden"
)

func TestRetryTraces(t *testing.T) { golden.ReplayDir(t, "retry", play) }

// TestRetryRules checks the protection from duplicate effects (rule 2) after an attempt that may have run: whether a retry is
// allowed, whether a rejection is allowed, and which executors are in the dedup group.
func TestRetryRules(t *testing.T) {
	const window = 2 * time.Second
	first := &executor{zone: 1, cell: 11}
	sameCell := &executor{zone: 1, cell: 11}
	sameZone := &executor{zone: 1, cell: 12}
	otherZone := &executor{zone: 2, cell: 21}
	for _, test := range []struct {
		name                          string
		idempotency                   Idempotency
		group                         DedupGroup
		retry, retryAfterWindow       bool
		rejection                     bool
		sameCell, sameZone, otherZone bool
	}{
		{"idempotent", Idempotent, DedupAllExecutors, true, true, true, true, true, true},
		{"key known to all", IdempotentWithKey, DedupAllExecutors, true, false, true, true, true, true},
		{"key known in the zone", IdempotentWithKey, DedupZone, true, false, false, true, true, false},
		{"key known in the cell", IdempotentWithKey, DedupCell, true, false, false, true, false, false},
		{"at most once", AtMostOnce, DedupAllExecutors, false, false, false, true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := New(testSettings(t))
			class := &jobClass{idempotency: test.idempotency, dedupGroup: test.group, dedupWindow: window}
			j := &job{class: class}
			if !d.retryAllowed(j, 0) || !j.rejectionAllowed() || !j.inDedupGroup(otherZone) {
				t.Error("a retry or a rejection is limited although no attempt may have run")
			}
			j.mayHaveRun = &attempt{job: j, executor: first, zone: first.zone, cell: first.cell}
			for _, check := range []struct {
				name      string
				got, want bool
			}{
				{"a retry", d.retryAllowed(j, window/2), test.retry},
				{"a retry after the window", d.retryAllowed(j, window), test.retryAfterWindow},
				{"a rejection", j.rejectionAllowed(), test.rejection},
				{"an executor of the same cell", j.inDedupGroup(sameCell), test.sameCell},
				{"an executor of the same zone", j.inDedupGroup(sameZone), test.sameZone},
				{"an executor of another zone", j.inDedupGroup(otherZone), test.otherZone},
			} {
				if check.got != check.want {
					t.Errorf("%s: %v, want %v", check.name, check.got, check.want)
				}
			}
		})
	}
}
