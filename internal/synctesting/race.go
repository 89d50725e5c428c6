//go:build race

package bubble

// UnderRace says that the race detector watches.
const UnderRace = true
