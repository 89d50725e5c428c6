// Package node is the state machine of one node of the dispatcher.
//
// Node.Step takes one Event, changes the node's state and returns the Effects that follow from it. It reads no clock and does
// no input or output, so the same events at the same times always give the same effects in the same order. The packages at
// the node's edges (frontend, upstream, discovery, admin, hotrestart, gossip) do the input and output and report how it went
// in further events. Loop connects the two: it queues events, calls Step and carries out the effects.
//
// What the node decides about a job (whether to admit it, where to send it, when to retry) is decided by a Policy, normally
// *policy.Dispatcher. Step tells the policy what happened and does what the policy asks for.
//
// # Steps
//
// Each step runs in this order:
//
//  1. the fleet's tick, if it is due;
//  2. the event's handler;
//  3. jobs that have reached their deadlines, then handoff timeouts;
//  4. the policy's due tasks (placements, cancellations, probes, lease messages), until the policy has none;
//  5. one SetTimer effect, if the time of the next due work has changed;
//  6. the end of a graceful shutdown, once every job is answered.
//
// # Files
//
// Each area of the state has a struct of its own, whose fields the file that declares it writes; others call its
// methods, but for a reload, which also sets Limits.
//
//	events.go       events and the values they carry
//	effects.go      effects
//	node.go         Node, Limits, Policy and Step
//	dispatch.go     from an event to its handler
//	tasks.go        the policy's due tasks and the timer
//	jobs.go         jobs from arrival to final answer, and their deadlines
//	conns.go        connections to executors, attempts on them, load probes
//	idle_conns.go   idle connections by age
//	endpoints.go    the executors that the endpoint list names
//	job_classes.go  job classes
//	reload.go       configuration reloads
//	admin.go        operators' commands
//	metrics.go      counters that operators read
//	gossip.go       what the node exchanges with the rest of its fleet
//	handoff.go      hot restart: the handoff between two processes of a node
//	relay.go        operators' commands passed on to the node's other processes
//	shutdown.go     graceful shutdown
//	loop.go         Loop and the edges
//
// # Handoff
//
// In a hot restart the new process (the successor) and the old one (the predecessor) serve side by side until the predecessor
// has answered its last job. Each of the two goes through these states:
//
//	successor                                          predecessor
//
//	starting                                           serving
//	   | HandoffLinkUp                                    | HandoffLinkUp
//	   v                                                  v
//	awaiting state  <--------- StateTransfer ---------  serving
//	   | has the state and endpoints:                     |
//	   v accepts connections                              |
//	awaiting yield  --------- SuccessorReady -------->    | stops accepting connections,
//	   |                                                  v halves its limits
//	ready           <------- PredecessorYielded ------  yielded
//	   | HandoffLinkDown:                                 | ShutdownRequested, last job answered
//	   v takes back the whole limits                      v
//	serving alone                                       exited
//
// The successor's limits are halved from the start. Until its state has arrived it is not ready, and until the predecessor has
// yielded it accepts connections but tells operators that it is not ready; both waits are bounded (stateTimeout, yieldTimeout).
// If a link goes down early, the process that remains goes on alone: a successor without the state, a predecessor by
// accepting connections again. Only one of the two may send work to executors in slow start: the predecessor until it yields,
// and the successor once everything that the predecessor may have sent is out of the slow-start budget's window.
package node
