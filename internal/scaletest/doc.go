// Package scaletest measures how the cost of a node grows with the number of executors, nodes, tenants and so on. Real
// nodes of the program run on loopback. Their surroundings are stubs, like the hollow nodes of Kubernetes' kubemark:
// stub executors speak the platform's protocol, and their work is a timer; stub nodes are cluster members that gossip
// but have no batch jobs.
//
// A sweep measures points along several dimensions, one after another, in several rounds. If the machine is busy for a
// while, this shows as spread and not as slope. Each slope is fitted by least squares. CPU time is what the kernel
// accounts to a process, never wall clock time.
//
// sweep.go describes a run and points.go its points. measurement.go, setup.go, load_figures.go and changes.go measure a
// point, with samples.go and process_stats.go. bounds.go refuses a sweep that is too large for the machine.
// real_node.go runs the real nodes, stub_process.go and members.go the stubs; stub_messages.go has the JSON messages
// between the processes. policy_only.go measures the policy without processes and sockets. load.go has the clients,
// traffic.go counts bytes, and fit.go fits the slopes.
package scaletest
