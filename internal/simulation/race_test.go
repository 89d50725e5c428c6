package simulation

import "birchstair/internal/synctesting"

// underRace says that the race detector watches, with which worlds take some eight times as long. Event worlds are one goroutine each, so all of
// them are played in the run without it (make test), and each scenario once under it.
const underRace = synctesting.UnderRace
