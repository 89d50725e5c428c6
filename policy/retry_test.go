package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestRetryTraces(t *testing.T) { golden.ReplayDir(t, "retry", play) }
