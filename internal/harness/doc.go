// Package harness is a cluster test harness: it plays a scenario of the simulation with real processes. Nodes are processes of the program
// on loopback, each with ports, a directory and files of its own; executors, discovery and clients are emulated in this process. All
// traffic between nodes passes relays that can be partitioned, and the emulated services can stop answering some nodes alone.
//
// The rules are checked from both ends, by what clients got and what executors ran, over all processes. Draws and the script of faults
// repeat by their seed; the timing of the processes does not. So a run reports violations and counts, not a trace.
//
// cluster.go runs a scenario, node.go the processes, node_files.go their configuration, gossip_relay.go the links between nodes,
// executor.go and discovery.go the emulated services, clients.go the load, and faults.go the script.
package harness
