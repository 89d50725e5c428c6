package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestLatencyTraces(t *testing.T) { golden.ReplayDir(t, "latency", play) }
