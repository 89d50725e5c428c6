// Package cluster keeps what a node knows of its peers, the other nodes of its cluster, and draws conclusions from it.
// The package does no input or output and reads no clock.
//
// Nodes exchange gossip messages. A message carries the sender's own load rates and a list of executors that are
// draining, as far as the sender knows. A node sends a fixed number of messages per gossip interval, however large the
// cluster is, and never waits for an answer. Messages can be lost, late or duplicated. From the messages that it has
// received, a State answers two questions:
//
//   - Is the cluster as a whole overloaded, and if so, below which priority level must jobs be rejected? The answer is a
//     policy.AdmissionThreshold. Its level is computed from the rates that nodes measured, never from an earlier level,
//     so that nodes that have received the same messages agree on the level. The past only influences whether jobs are
//     rejected at all: rejections start at a higher load than the load at which they end.
//   - Is an executor draining or removed, although this node's own endpoint list doesn't show it yet? The node believes
//     a peer's report of a drain for Settings.DrainTTL after some node's own endpoint list last showed the drain.
//
// Files:
//
//	cluster.go   Settings, State and its Tick
//	gossip.go    gossip messages and the state of the peers
//	rates.go     load rates and their moving averages
//	drains.go    executors that are draining
//	overload.go  the cluster's total rates and the admission threshold
//	describe.go  the state as text for operators
//
// Rates are in seconds of work on a standard core per second. Messages carry ages, not points in time, because the
// clocks of two nodes can differ: the receiver subtracts the age from its own time.
package cluster
