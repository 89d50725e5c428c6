package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestAdmissionTraces(t *testing.T) { golden.ReplayDir(t, "admission", play) }
