package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestOutlierTraces(t *testing.T) { golden.ReplayDir(t, "outlier", play) }
