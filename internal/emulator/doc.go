// Package emulator models the systems around a node: executors, discovery, clients, and the faults of each. The models do no I/O and read
// no clock: a caller passes the time and what happens, and gets what follows. Random numbers come from the caller's source, and the
// order in which they are drawn is part of the contract, since simulations repeat by their seed. The simulation runs the models on a
// virtual clock, with the reducer alone or with the network code on connections in memory; the cluster test harness runs them in real time.
//
// Executor (executor.go and executor_*.go) runs attempts (attempt.go) and returns outputs (output.go). Discovery publishes the endpoint
// list, Clients make the load, and fault.go defines the kinds of faults.
//
// Two files are tools for tests of the code that does I/O. Disk is a disk in memory for the store, which loses what a crash may lose.
// Halts stops calls of real connections at chosen points, to force an order of events.
package emulator
