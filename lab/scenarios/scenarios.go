// Package scenarios embeds the scenarios that tests and birchstair-sim play. Their keys are described in internal/simulation.
package scenarios

import "embed"

// Files are the scenarios, one a TOML file.
//
//go:embed *.toml
var Files embed.FS
