package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestLeaseTraces(t *testing.T) { golden.ReplayDir(t, "lease", play) }
