package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestPlacementTraces(t *testing.T) { golden.ReplayDir(t, "placement", play) }
