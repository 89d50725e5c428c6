package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestSubsetTraces(t *testing.T) { golden.ReplayDir(t, "subset", play) }
