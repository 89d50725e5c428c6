package harness

// Options control how a scenario is played.
type Options struct {
	Binary string // path of the birchstair executable
	Dir    string // empty directory for the nodes' files and the timeline
	Seed   uint64 // seed of all random draws

	injectDefect func(*cluster) // injects a defect before the load begins, to test the checks themselves; may be nil
}

// Result is the result of a run. The run failed if there are violations. All other fields are informational.
// LateAttempts counts attempts by nodes that had not been notified of a drain long after another node had been.
type Result struct {
	Seed                uint64         `json:"Seed"`
	Requested           float64        `json:"Asked"`       // value of all submitted work
	Earned              float64        `json:"Earned"`      // value of the work that was answered within its latency objective
	Best                float64        `json:"Best"`        // upper bound of Earned: capacity serves the most valuable work first
	Works               int            `json:"Works"`       // work items, each with one request or more
	Requests            map[string]int `json:"Tries"`       // number of requests, by how they ended
	Attempts            int            `json:"Allocations"` // attempts that reached an executor
	Work                float64        `json:"Work"`        // work of the attempts that reached executors, in seconds
	Finished            float64        `json:"Finished"`    // work of the attempts that executors completed, in seconds
	Overloaded          int            `json:"Fell"`        // executor crashes caused by overload during slow start
	SlowStartPeak       float64        `json:"ColdMost"`    // largest fraction of its slow-start budget that any executor received
	LateAttempts        int            `json:"Late"`        // attempts at draining executors by nodes that learned of the drain too late
	LeftWhileQueued     int            `json:"WentWaiting"` // clients that disconnected while their batch jobs had no attempt in flight
	SentAfterClientLeft int            `json:"SentLate"`    // attempts that reached an executor too long after the client had disconnected
	ClusterViews        [][]string     `json:"Views"`       // cluster as each node reports it at the end, by node
	Violations          []string       `json:"Wrong"`       // description of each violation
}
