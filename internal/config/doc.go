// Package config reads a node's configuration, checks it and fills in defaults. It is the one place where this happens. Its errors name
// the key at fault and its value.
//
//   - config.go: Config and its reading from the file and the environment
//   - settings.go: Settings, the part that the simulator sends as well
//   - codec.go: the forms of both in JSON
//   - validate.go: which values are refused
//   - limits.go: connection limits and times that follow from a configuration
//   - reload.go: what a changed configuration may change
//   - load.go: the values of executors' load reports
package config
