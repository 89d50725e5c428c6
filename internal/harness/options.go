package harness

// Options are how a scenario is played.
type Options struct {
	Binary string // the program birchstair
	Dir    string // an empty directory for logs, configurations and the timeline
	Seed   uint64

	injectDefect func(*cluster) // called when the load begins, to inject a defect; nil for none
}

// Result is the result of a run. Violations alone are a verdict, all others are counts.
type Result struct {
	Seed                uint64         `json:"Seed"`
	Requested           float64        `json:"Asked"`       // value of all work
	Earned              float64        `json:"Earned"`      // part of it that was answered by the latency objective
	Best                float64        `json:"Best"`        // upper bound of it by the capacity that there was, most valuable work first
	Works               int            `json:"Works"`       // pieces of work
	Requests            map[string]int `json:"Tries"`       // requests, by how they ended
	Attempts            int            `json:"Allocations"` // attempts that reached an executor
	Work                float64        `json:"Work"`        // seconds of work that reached executors
	Finished            float64        `json:"Finished"`    // seconds of work that they finished
	Overloaded          int            `json:"Fell"`        // crashes of executors from overload in slow start
	SlowStartPeak       float64        `json:"ColdMost"`    // largest share of its slow-start budget that an executor got
	LateAttempts        int            `json:"Late"`        // attempts to draining executors from nodes that had not been notified, long after another node had been
	LeftWhileQueued     int            `json:"WentWaiting"` // clients that left while their batch jobs had no attempt in flight
	SentAfterClientLeft int            `json:"SentLate"`    // attempts that arrived too long after their clients had left
	FleetViews          [][]string     `json:"Views"`       // the fleet as each node sees it at the end
	Violations          []string       `json:"Wrong"`       // violations
}
