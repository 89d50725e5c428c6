// Package simulation runs nodes, executors, discovery and clients on a virtual clock, injects faults from a script, and
// checks the invariants of internal/invariants at every step. The same scenario and seed give the same trace.
//
// # Simulations
//
// A [Simulation] runs a [Scenario] with a seed. All future events are in one heap, ordered by time; events at the same
// instant run in an order that is drawn from the seed. Each use of randomness has a random stream of its own, so that
// removing one fault from a scenario changes little else. [Shrink] relies on this: it removes faults and plays the
// scenario again with the same seed.
//
// There are two ways to run a simulation:
//
//   - [Simulation.Play] steps the nodes' state machines (internal/node) event by event. Connections, gossip and clients
//     are modeled. Play is single-threaded and fast. Searches over many seeds use it.
//   - [Simulation.PlayNetworked] runs the nodes' network code over in-memory connections (internal/memnet) in a
//     testing/synctest bubble. Executors, discovery, clients and faults are the same models as in Play. They exchange
//     bytes with the nodes.
//
// # Faults and invariants
//
// A [Fault] begins and ends at given times and affects executors, nodes, zones or the whole simulation. Everything that
// nodes send and executors receive is reported to the checker. The checker reports violated invariants. If nodes
// gossip, the bounds of docs/design/fleet.md are checked too. Tests inject defects to verify that the checker finds
// them.
//
// # Results
//
// A [Result] states the fraction of the offered value that was earned, and the violations. An [Account] states the
// causes of the lost value. The baselines [RandomPolicy] and [BestPolicy] show what other policies earn in the same
// scenario. [Draw] makes a scenario from a seed, [Hunt] plays the scenarios of many seeds, and [Shrink] reduces a
// scenario that violates an invariant. [KillTest] uses none of these: it kills real processes with durable jobs on
// loopback.
//
// # Files
//
//   - Scenarios: scenario.go (format), scenario_defaults.go, scenario_check.go.
//   - Core: simulation.go (setup and main loop), events.go (event heap), random.go (random streams), observe.go (trace
//     and checker).
//   - Models: node.go, endpoints.go (a node's endpoint list), executor.go, conn.go, dial.go and attempt.go (between
//     node and executor), health_check.go, link.go (delays and partitions between zones), clients.go, requests.go,
//     gossip.go, baseline.go, policy_recorder.go.
//   - Faults: faults.go, executor_faults.go, conn_faults.go.
//   - Networked simulations: networked.go and networked_*.go, malformed_clients.go.
//   - Checks: gossip_bounds.go.
//   - Results: result.go, result_print.go, best.go (upper bound of the value), recovery.go, account.go and
//     account_*.go.
//   - Many scenarios: draw.go, draw_slow_start.go, hunt.go, shrink.go.
//   - Killed processes: kill_run.go, kill_setup.go, kill_clients.go.
package simulation
