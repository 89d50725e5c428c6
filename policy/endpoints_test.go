package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestEndpointsTraces(t *testing.T) { golden.ReplayDir(t, "endpoints", play) }
