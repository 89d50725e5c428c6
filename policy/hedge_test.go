package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestHedgeTraces(t *testing.T) { golden.ReplayDir(t, "hedge", play) }
