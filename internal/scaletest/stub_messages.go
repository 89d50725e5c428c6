package scaletest

import (
	"time"

	"birchstair/policy"
)

// A hollow process has many executors, or many hollow nodes. It reads a hollowJob as a line of JSON, answers with a hollowReady, and then
// answers each further line, the id of an executor, with Counts, until its input ends.

// stubJob says what a hollow process has.
type stubJob struct {
	Host         string         `json:"Host"` // address that its executors listen on
	Executors    []stubExecutor `json:"Executors"`
	TaskDuration time.Duration  `json:"Work"` // of each task
	Nodes        []stubNode     `json:"Nodes"`
	Fleet        stubFleet      `json:"Fleet"`
	Policy       *policyJob     `json:"Module"` // if set: measure the policy alone, answer with moduleFigures, and end
}

// stubExecutor is an executor of a hollow process.
type stubExecutor struct {
	ID    policy.ExecutorID `json:"ID"`
	Slots int               `json:"Places"`
}

// stubReady is the first answer of a hollow process.
type stubReady struct {
	Addrs []string `json:"Addrs"` // of the executors, in order
	Error string   `json:"Wrong"`
}

// Counts are what a hollow process has counted since its start.
type Counts struct {
	TasksStarted      int64 `json:"Ran"`    // tasks started
	ConnsAccepted     int64 `json:"Opened"` // connections accepted
	BytesRead         int64 `json:"In"`     // bytes read
	BytesWritten      int64 `json:"Out"`    // bytes written
	OverfullExecutors int   `json:"Over"`   // executors that have run more tasks at a time than they have slots

	Fleet gossipCounts `json:"Fleet"`
}
