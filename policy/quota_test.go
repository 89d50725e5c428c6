package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestQuotaTraces(t *testing.T) { golden.ReplayDir(t, "quota", play) }
