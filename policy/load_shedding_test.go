package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestLoadSheddingTraces(t *testing.T) { golden.ReplayDir(t, "load_shedding", play) }
