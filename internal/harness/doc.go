// Package harness plays a simulation scenario with real processes. Each node is a process of the program on loopback,
// with its own ports, directory and files. Executors, discovery and clients are emulated in this process. All gossip
// passes through relays, which can partition nodes and lose, duplicate or delay datagrams. Emulated discovery can stop
// answering single nodes.
//
// The harness checks the rules from both ends and across all processes: it compares the answers that clients received
// with what executors ran. The seed determines the random draws and the schedule of faults, but not the timing of the
// processes. A run therefore reports violations and counts instead of a trace.
//
// cluster.go plays a scenario. node.go runs the processes, and node_files.go and node_config.go write their
// configuration. gossip_relay.go has the links between nodes, executor.go and discovery.go the emulated services, and
// clients.go the load. faults.go schedules the faults, and fault_targets.go applies them.
package harness
