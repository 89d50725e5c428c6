package policy

import (
	"slices"
	"testing"
	"time"

	"birchstair/internal/golden"
)

func TestQuotaTraces(t *testing.T) { golden.ReplayDir(t, "quota", play) }

// TestTokens checks that take uses the oldest free token, that raise adds a token, and that lower drops the most recently
// freed token or, if none is free, the next one that is released.
func TestTokens(t *testing.T) {
	tokens := tokens{quota: 2, free: []time.Duration{1, 2}}
	tokens.take()
	if !slices.Equal(tokens.free, []time.Duration{2}) || tokens.taken != 1 {
		t.Fatalf("after take: %+v", tokens)
	}
	if !tokens.raise(3) || !slices.Equal(tokens.free, []time.Duration{2, 3}) {
		t.Fatalf("after raise: %+v", tokens)
	}
	tokens.lower()
	if !slices.Equal(tokens.free, []time.Duration{2}) || tokens.quota != 2 {
		t.Fatalf("after lower: %+v", tokens)
	}
	tokens.take()
	tokens.lower()
	if tokens.total() != 2 || tokens.quota != 1 {
		t.Fatalf("after lower with none free: %+v", tokens)
	}
	if tokens.raise(4) {
		t.Fatalf("raise to the number of taken tokens added a token: %+v", tokens)
	}
	tokens.lower()
	tokens.release(5)
	if len(tokens.free) != 0 || tokens.taken != 1 {
		t.Fatalf("after release with more tokens than the quota: %+v", tokens)
	}
	tokens.release(6)
	if !slices.Equal(tokens.free, []time.Duration{6}) {
		t.Fatalf("after release: %+v", tokens)
	}
}

// TestChargeRejections checks that rejections as full count as waiting at the executor, unless only one tenant's jobs were
// rejected while jobs of others were started.
func TestChargeRejections(t *testing.T) {
	for _, test := range []struct {
		name     string
		rejected []TenantID
		started  []TenantID // after the rejections
		charged  time.Duration
	}{
		{"none", nil, []TenantID{1}, 0},
		{"one tenant, nothing started", []TenantID{1, 1}, nil, 2 * time.Second},
		{"one tenant, its own job started", []TenantID{1}, []TenantID{1}, time.Second},
		{"one tenant, another's job started", []TenantID{1}, []TenantID{2}, 0},
		{"two tenants, another's job started", []TenantID{1, 2}, []TenantID{3}, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			var q queuing
			for _, tenant := range test.rejected {
				q.recordFull(tenant, time.Second)
			}
			for _, tenant := range test.started {
				q.recordStart(tenant)
			}
			q.chargeRejections()
			if q.atExecutor != test.charged || q.overTarget != (test.charged > 0) {
				t.Errorf("charged %v, over target %v; want %v", q.atExecutor, q.overTarget, test.charged)
			}
		})
	}
}
