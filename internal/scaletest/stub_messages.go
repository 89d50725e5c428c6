package scaletest

import (
	"time"

	"birchstair/policy"
)

// A stub process runs many stub executors or many stub nodes. It reads a stubJob as a line of JSON and answers with a
// stubReady. Each further line of input holds the id of an executor, or an empty id. The process answers the line with
// Counts that include the drain of this executor. The process ends with its input.

// stubJob describes the executors or nodes that a stub process runs.
type stubJob struct {
	Host         string         `json:"Host"` // address that the executors listen on
	Executors    []stubExecutor `json:"Executors"`
	TaskDuration time.Duration  `json:"Work"` // duration of each task at the executors
	Nodes        []stubNode     `json:"Nodes"`
	Cluster      stubCluster    `json:"Fleet"`
	// If set, the process measures the policy alone, answers with policyFigures, and ends.
	Policy *policyJob `json:"Module"`
}

// stubExecutor describes an executor of a stub process.
type stubExecutor struct {
	ID    policy.ExecutorID `json:"ID"`
	Slots int               `json:"Places"`
}

// stubReady is the first answer of a stub process.
type stubReady struct {
	Addrs []string `json:"Addrs"` // addresses of the executors, in the order of the job
	Error string   `json:"Wrong"` // why the process could not start; empty if it did
}

// Counts are what a stub process has counted since its start.
type Counts struct {
	TasksStarted      int64 `json:"Ran"`    // tasks started
	ConnsAccepted     int64 `json:"Opened"` // connections accepted
	BytesRead         int64 `json:"In"`     // bytes read
	BytesWritten      int64 `json:"Out"`    // bytes written
	OverfullExecutors int   `json:"Over"`   // executors that have run more tasks at a time than they have slots

	Gossip gossipCounts `json:"Fleet"`
}
