package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestLeaseTraces(t *testing.T) { golden.ReplayDir(t, "lease", play) }

// TestLeaseLedgerOrder checks that nodes are granted leases in the order of their requests, nodes with late jobs last, and
// that a node is queued only once.
func TestLeaseLedgerOrder(t *testing.T) {
	var ledger leaseLedger
	ledger.addWaiting(1, true)
	ledger.addWaiting(2, false)
	ledger.addWaiting(3, false)
	ledger.addWaiting(4, true)
	ledger.addWaiting(3, true)
	ledger.removeWaiting(2)
	for _, want := range []NodeID{3, 1, 4} {
		if got := ledger.popWaiting(); got != want {
			t.Errorf("next node is %d, want %d", got, want)
		}
	}
	if ledger.anyWaiting() {
		t.Error("a node is still queued")
	}
}

// TestLeaseLedgerQuota checks how a lease quota is adjusted. It is lowered after many delayed starts, and then not raised for
// leaseQuotaCooldown intervals. It is raised after a shortage without many delayed starts; if executors answer health checks,
// one of these must also have shown a free slot.
func TestLeaseLedgerQuota(t *testing.T) {
	ledger := leaseLedger{quota: 3}
	interval := func(returns, delayed int, shortage, canProbe, freeSlot bool) int {
		ledger.returns, ledger.delayedStarts, ledger.shortage, ledger.freeSlotSeen = returns, delayed, shortage, freeSlot
		ledger.adjustQuota(canProbe)
		return ledger.quota
	}
	if got := interval(10, 2, true, false, false); got != 3 {
		t.Errorf("some delayed starts: %d, want 3", got)
	}
	if got := interval(10, 4, true, false, false); got != 2 {
		t.Errorf("many delayed starts: %d, want 2", got)
	}
	for i := range leaseQuotaCooldown - 1 {
		if got := interval(10, 0, true, false, false); got != 2 {
			t.Errorf("interval %d after the quota was lowered: %d, want 2", i+1, got)
		}
	}
	if got := interval(10, 0, true, false, false); got != 3 {
		t.Errorf("after the cooldown: %d, want 3", got)
	}
	if got := interval(10, 0, true, true, false); got != 3 {
		t.Errorf("no free slot seen: %d, want 3", got)
	}
	if got := interval(10, 0, true, true, true); got != 4 {
		t.Errorf("a free slot seen: %d, want 4", got)
	}
	if got := interval(10, 0, false, true, true); got != 4 {
		t.Errorf("no shortage: %d, want 4", got)
	}
}
