package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestTraces(t *testing.T) { golden.Replay(t, play) }
