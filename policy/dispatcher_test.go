package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestDispatcherTraces(t *testing.T) { golden.ReplayDir(t, "dispatcher", play) }
