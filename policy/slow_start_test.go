package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestSlowStartTraces(t *testing.T) { golden.ReplayDir(t, "slow_start", play) }
