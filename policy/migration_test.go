package policy

import (
	"testing"

	"birchstair/internal/golden"
)

func TestMigrationTraces(t *testing.T) { golden.ReplayDir(t, "migration", play) }
