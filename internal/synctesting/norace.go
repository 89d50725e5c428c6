//go:build !race

package synctesting

// UnderRace reports whether the race detector is enabled.
const UnderRace = false
