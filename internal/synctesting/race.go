//go:build race

package synctesting

// UnderRace says that the race detector watches.
const UnderRace = true
