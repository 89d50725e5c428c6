package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestQueueTraces(t *testing.T) { golden.ReplayDir(t, "queue", play) }
