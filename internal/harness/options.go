package harness

// Options control how a scenario is played.
type Options struct {
	Binary string // path of the birchstair executable
	Dir    string // empty directory for the nodes' files and the timeline
	Seed   uint64 // seed of all random draws

	injectDefect func(*cluster) // injects a defect before the load begins, to test the checks themselves; may be nil
}

// Result is the result of a run. The run failed if there are violations. All other fields are informational.
type Result struct {
	Seed      uint64  `json:"Seed"`
	Requested float64 `json:"Asked"`  // value of all submitted work
	Earned    float64 `json:"Earned"` // value of the work that was answered within its latency objective
	// Upper bound of Earned: the value that results if the executors' actual capacity serves the work with the highest
	// value density first.
	Best          float64        `json:"Best"`
	Works         int            `json:"Works"`       // work items, each with one request or more
	Requests      map[string]int `json:"Tries"`       // number of requests, by how they ended
	Attempts      int            `json:"Allocations"` // attempts that reached an executor
	Work          float64        `json:"Work"`        // work of the attempts that reached executors, in seconds
	Finished      float64        `json:"Finished"`    // work of the attempts that executors completed, in seconds
	Overloaded    int            `json:"Fell"`        // executor crashes caused by overload during slow start
	SlowStartPeak float64        `json:"ColdMost"`    // largest used fraction of an executor's slow-start budget
	// Attempts at draining executors by nodes that were still not notified long after another node was.
	LateAttempts int `json:"Late"`
	// Clients that disconnected while their batch jobs had no attempt in flight.
	LeftWhileQueued int `json:"WentWaiting"`
	// Attempts that reached an executor too long after the client had disconnected; see checkClientPresent.
	SentAfterClientLeft int        `json:"SentLate"`
	ClusterViews        [][]string `json:"Views"` // lines in which each node describes the cluster at the end of the run
	Violations          []string   `json:"Wrong"` // description of each violation
}
