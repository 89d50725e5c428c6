package policy

import (
	"testing"
	"time"

	"birchstair/internal/golden"
)

func TestOutlierTraces(t *testing.T) { golden.ReplayDir(t, "outlier", play) }

// TestBackoffFactor checks how much longer repeated ejections get: doubled for each error in a row up to maxBackoffFactor, or
// one ejection time longer for each timeout in a row.
func TestBackoffFactor(t *testing.T) {
	for _, test := range []struct {
		errors, timeouts int
		want             time.Duration
	}{
		{0, 0, 1}, {1, 0, 2}, {2, 0, 4}, {3, 0, 8}, {4, 0, maxBackoffFactor}, {100, 0, maxBackoffFactor},
		{0, 1, 2}, {0, 2, 3}, {0, 20, 21}, {2, 1, 4}, {1, 3, 4},
	} {
		h := health{consecutiveErrors: test.errors, timeouts: test.timeouts}
		if got := h.backoffFactor(); got != test.want {
			t.Errorf("%d errors, %d timeouts: factor %d, want %d", test.errors, test.timeouts, got, test.want)
		}
	}
}

// TestBlamesExecutor checks which failures eject an executor. An error does so at once. Any other failure does if it follows
// one without a response in between, but not a rejection as full of only one tenant.
func TestBlamesExecutor(t *testing.T) {
	someTenant := &tenant{}
	for _, test := range []struct {
		name           string
		outcome        Outcome
		suspect        bool
		tenant         *tenant
		fullForSeveral bool
		want           bool
	}{
		{"an error", ExecutorError, false, someTenant, false, true},
		{"a first lost connection", ConnectionLost, false, someTenant, false, false},
		{"a second lost connection", ConnectionLost, true, someTenant, false, true},
		{"a first rejection", ExecutorFull, false, nil, false, false},
		{"a second rejection, no tenants", ExecutorFull, true, nil, false, true},
		{"a second rejection of one tenant", ExecutorFull, true, someTenant, false, false},
		{"a second rejection of one tenant, which proves nothing", RejectedUnproven, true, someTenant, false, false},
		{"a second rejection, several tenants", ExecutorFull, true, someTenant, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := &executor{}
			e.health.suspect = test.suspect
			e.queuing.fullForSeveral = test.fullForSeveral
			a := &attempt{job: &job{tenant: test.tenant}, executor: e}
			if got := isExecutorFault(a, test.outcome); got != test.want {
				t.Errorf("isExecutorFault returned %v, want %v", got, test.want)
			}
		})
	}
}
