package simulation

import "birchstair/internal/synctesting"

// underRace says that the race detector is on, with which worlds take some eight times as long. An event world is one goroutine, so all of them
// are played in the run without it (make test), and each scenario once with it.
const underRace = synctesting.UnderRace
