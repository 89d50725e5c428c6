// Package simulation plays a fleet of nodes with its executors, discovery and clients on a virtual clock, injects faults from a
// script, and checks the invariants of internal/invariants at every step. The same scenario and seed give the same trace.
//
// # Worlds
//
// A [World] is a [Scenario] played with a seed. All that is to happen is in one heap of events, ordered by time; events of one
// instant are ordered by a permutation drawn from the seed. Every use of randomness has a stream of its own, named by its use, so that
// removing one fault changes as little else as possible, which is what makes shrinking work.
//
// There are two ways to play a world:
//
//   - [World.Play] steps the nodes' state machines (internal/node) event by event. Connections, gossip and clients are modeled. It is
//     fast and single-threaded, and is used for hunting.
//   - [World.PlayWired] runs the nodes' network code on connections in memory (internal/memnet), inside a testing/synctest bubble.
//     Executors, discovery, clients and faults are the same models; what passes between them is bytes.
//
// # Faults and invariants
//
// A [Fault] begins and ends at given times on executors, nodes, zones or the whole world. Everything that nodes do and executors see is
// reported to the checker, which says which invariant was violated; a world with gossip also checks the bounds of
// docs/design/fleet.md. Tests inject defects to show that the checker finds them.
//
// # Results
//
// A [Result] says what share of the value offered was earned and what was violated. An [Account] attributes the value that was not
// earned to causes, and baselines ([RandomPolicy], [BestPolicy]) show what other policies earn in the same world. [Draw] makes a
// scenario from a seed, [Hunt] plays many of them, and [Shrink] reduces one that violates an invariant to a small one. [Killing] is
// apart from these: it kills real processes with durable jobs on loopback.
//
// # Files
//
//   - Scenarios: scenario.go (form), scenario_defaults.go, scenario_check.go.
//   - Worlds: world.go (setup and main loop), events.go (event heap), random.go (random streams), observe.go (trace and checker).
//   - Models: node.go, endpoints.go (endpoint list at a node), executor.go, conn.go, dial.go and attempt.go (between node and
//     executor), probe.go, link.go (delays and partitions between zones), clients.go, requests.go, gossip.go, baseline.go.
//   - Faults: faults.go, executor_faults.go, conn_faults.go.
//   - Wired worlds: wired.go and wired_*.go, malformed_clients.go.
//   - Checks: gossip_bounds.go.
//   - Results: result.go, result_print.go, best.go (upper bound of the value), recovery.go, account.go and account_*.go.
//   - Many worlds: draw.go, draw_slow_start.go, hunt.go, shrink.go.
//   - Killed processes: kill_run.go, kill_setup.go, kill_clients.go.
package simulation
