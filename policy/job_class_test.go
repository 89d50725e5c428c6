package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestJobClassTraces(t *testing.T) { golden.ReplayDir(t, "job_class", play) }
