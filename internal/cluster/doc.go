// Package cluster is what a node knows of the other nodes of its fleet, and what it concludes from that. It does no input or
// output and reads no clock.
//
// Nodes exchange gossip messages, each with the sender's own load rates and the executors that it knows to be draining. A node
// sends a fixed number of messages per gossip interval, however large the fleet is, and nothing waits for an answer. Messages
// may be lost, late or duplicated. From what it has received, a State answers two questions:
//
//   - Is the fleet as a whole overloaded, and if so, jobs of which priority level are to be rejected? The answer is a
//     policy.AdmissionThreshold. It depends only on rates that nodes have seen, never on an earlier threshold, so that nodes that
//     have received the same messages compute the same one.
//   - Is an executor draining or gone, although this node's own endpoint list doesn't say so yet? Such a report counts for
//     Settings.DrainTTL from the last time that some node's own list said so.
//
// Files:
//
//	cluster.go   Settings, State and its tick
//	gossip.go    gossip messages and the state of peers
//	rates.go     load rates and their averages
//	drains.go    executors that are draining
//	overload.go  the fleet's rates and the admission threshold
//	describe.go  what operators are shown
//
// Rates are in seconds of work on a standard core per second. An age is a duration, counted on by the node that holds it, since
// the clocks of nodes are not compared.
package cluster
