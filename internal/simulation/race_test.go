package simulation

import "birchstair/internal/synctesting"

// underRace is true if the race detector is on, with which simulations take about eight times as long. A simulation that is not networked
// is a single goroutine. Therefore the run without the detector (make test) plays all of them, and the run with it each scenario once.
const underRace = synctesting.UnderRace
