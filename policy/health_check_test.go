package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestHealthCheckTraces(t *testing.T) { golden.ReplayDir(t, "health_check", play) }
