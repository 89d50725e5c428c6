package policy

import (
	"slices"
	"testing"
	"time"

	"birchstair/internal/golden"
)

func TestQuotaTraces(t *testing.T) { golden.ReplayDir(t, "quota", play) }

// TestTokens checks that the oldest free token is taken, that a raised quota gives a token, and that a lowered one takes the
// youngest free token or, if none is free, the next that is released.
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
		t.Fatalf("raise to what is taken already gave a token: %+v", tokens)
	}
	tokens.lower()
	tokens.release(5)
	if len(tokens.free) != 0 || tokens.taken != 1 {
		t.Fatalf("after release over the quota: %+v", tokens)
	}
	tokens.release(6)
	if !slices.Equal(tokens.free, []time.Duration{6}) {
		t.Fatalf("after release: %+v", tokens)
	}
}

// TestChargeFull checks that rejections as full count as waiting at the executor, unless only one tenant met them while
// others' jobs were started.
func TestChargeFull(t *testing.T) {
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
