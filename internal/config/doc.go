// Package config reads a node's configuration, validates it and fills in defaults; no other package does so. Its errors
// name the key at fault and, where it helps, its value.
//
//   - config.go: Config, read from the configuration file and the environment
//   - settings.go: Settings, the part of the configuration that the simulator sends as well
//   - codec.go: the JSON forms of both
//   - validate.go: validation of values
//   - limits.go: connection limits and durations derived from a configuration
//   - reload.go: comparison of a reloaded configuration with the running one
//   - load.go: decoding of executors' load reports
package config
