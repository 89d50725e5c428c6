// Package node is the state machine of one node of the dispatcher.
//
// Node.Step takes one Event, changes the node's state and returns the Effects that follow from the event. Step reads no
// clock and does no input or output, so the same events at the same times always give the same effects in the same
// order. The edges of a node are the packages that connect it to the outside (frontend, upstream, discovery, admin,
// hotrestart, gossip). They do the input and output, and report the results as further events. Loop connects Node and
// edges: it queues events, calls Step and passes the effects to the edges.
//
// A Policy, normally *policy.Dispatcher, makes the decisions about jobs: whether a job is admitted, where it is sent
// and when it is retried. Step reports to the policy what happened, and does what the policy asks for.
//
// # Steps
//
// Each step runs in this order:
//
//  1. the cluster's tick, if it is due;
//  2. the event's handler;
//  3. jobs that have reached their deadlines, then handoff timeouts;
//  4. the policy's due tasks (placements, cancellations, health checks, lease messages), until there are none;
//  5. one SetTimer effect, if the time at which work is due next has changed;
//  6. in a graceful shutdown, the closing of the frontend once every job is answered.
//
// # Files
//
// Each area of the state is a struct of its own. As a rule, a struct's fields are written only by the file that
// declares the struct, and other files call its methods. There are four exceptions: reload.go sets fields of Limits,
// relay.go maintains handoff.deferred, the commands that are run again after a handoff, idle_conns.go maintains the
// lists of idle connections, and attempts.go sets the fields of a connection that describe its attempt.
//
//	events.go       events and the values they carry
//	effects.go      effects
//	reason.go       why jobs are answered without a result
//	node.go         Node, Limits, Policy and Step
//	dispatch.go     calls the handler of an event
//	tasks.go        the policy's due tasks and the timer
//	jobs.go         jobs from arrival to final answer, and their deadlines
//	used_ids.go     IDs of jobs that must not run again
//	conns.go        connections to executors, health checks
//	attempts.go     attempts, from the policy's decision to their outcome
//	idle_conns.go   idle connections, ordered by how long they have been idle
//	endpoints.go    the executors that the endpoint list names
//	job_classes.go  job classes
//	reload.go       configuration reloads
//	admin.go        operators' commands
//	metrics.go      counters that operators read
//	gossip.go       messages exchanged with the other nodes of the cluster
//	handoff.go      hot restart: the handoff between two processes of a node
//	claims.go       claims on IDs between the node's processes
//	relay.go        operators' commands passed on to the node's other processes
//	shutdown.go     graceful shutdown
//	loop.go         Loop and the interfaces of the edges
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
// The successor's limits are halved from the start. The successor is not ready until the predecessor's state has
// arrived. After that it accepts connections, but still reports to operators that it is not ready until the predecessor
// has yielded. Both waits are bounded (stateTimeout, yieldTimeout). If a link goes down early, the remaining process
// continues alone: a successor continues without the state, and a predecessor accepts connections again.
//
// A job that is not idempotent can come to both processes under the same ID, because a client whose connection ends submits
// it again. From SuccessorReady on, each process therefore claims the ID of such a job from the other one (ClaimID) before it
// gives the job to the policy. With the state, and again when the successor is ready, the predecessor transfers the IDs that
// were used before.
//
// Only one of the two processes sends work to executors in slow start at any time. Until the predecessor yields, this
// is the predecessor. The successor begins when everything that the predecessor may have sent has left the window of
// the slow-start budget.
package node
