// Package emulator models the systems around a node: executors, discovery and clients, with their faults. The models do
// no I/O and read no clock: a caller passes in the time and the events, and gets the outputs. Random numbers come from
// the caller's source. The order in which they are drawn must not change, since a simulation is repeated by its seed.
// Simulations run the models on a virtual clock, either with the state machines of the nodes alone or with the network
// code on connections in memory. The cluster test harness runs the models in real time.
//
//   - executor.go and executor_*.go: an executor, which runs attempts (attempt.go) and returns outputs (output.go)
//   - discovery.go: the service that publishes the endpoint list
//   - clients.go: clients, which make the load
//   - fault.go: the kinds of faults
//   - lease.go: what an executor knows about the leases of durable batch jobs
//
// Two files help to test code that does I/O:
//
//   - disk.go: a disk in memory for the store, which loses in a crash what a real disk may lose
//   - breakpoint.go: breakpoints in calls of real connections, which force the order of two events
package emulator
