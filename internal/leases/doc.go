// Package leases implements the state machine of durable jobs. A durable job is acknowledged only once its record is on
// disk. It has exactly one final answer, however often its node crashes, and never runs twice if its class forbids that.
//
// A JobTable holds the state of all durable jobs of a node. It reads no clock and does no input or output: each method
// reports an event and its time, and returns the effects to carry out. Three packages share the work. Package policy
// decides where a job is sent and when it is retried. The JobTable decides when a job is submitted to the policy and
// with which time limit. It also decides what must be on disk before a decision of the policy is carried out. Package
// durable carries out the effects and keeps the records.
//
// Every attempt of a job has a number, its epoch. The epoch is on disk before the attempt is sent. An executor that
// supports leases accepts an attempt of a job only if its epoch is greater than all epochs of that job that the
// executor has seen. The executor also answers queries about the state of an attempt. So a node that has crashed can find out
// after its restart whether an attempt ran.
//
// # States
//
//	Storing       the job's record is being written
//	Waiting       the record is on disk; the job waits until the policy has room for it
//	Dispatched    the policy has the job
//	Querying      an attempt may have run before the node restarted, and the node queries its executor about it
//	StoringFinal  the final answer is being written
//	Done          the final answer is on disk, where clients can fetch it until it is forgotten
//
// The transitions:
//
//	from          event                                                   to
//	              Accept                                                  Storing
//	              Recover: no attempt can have run, or a retry is safe    Waiting
//	              Recover: an attempt may have run                        Querying, or StoringFinal if executors can't be queried
//	              Recover: past the deadline, and no attempt to query     StoringFinal
//	              Recover: the final answer is on disk                    Done
//	Storing       JobStored                                               Waiting
//	Storing       JobNotStored                                            forgotten
//	Waiting       the policy has room                                     Dispatched
//	Waiting       deadline, or too late for another attempt               StoringFinal
//	Dispatched    Answered                                                StoringFinal, or Waiting during a shutdown
//	Querying      AttemptQueried: the attempt never ran                   Waiting, or Querying about the next attempt
//	Querying      AttemptQueried: it finished, or can't be known          StoringFinal
//	Querying      AttemptQueried: it is running, or no answer             Querying again after Settings.QueryInterval
//	Querying      AttemptQueried past the deadline, or deadline           StoringFinal
//	StoringFinal  FinalStored                                             Done
//	Done          Forget, or Settings.AnswerTTL is over                   forgotten
//
// Files:
//
//	job.go        jobs, their states, attempts and query results
//	effects.go    the effects that a JobTable asks its caller to carry out
//	job_table.go  JobTable, and the transitions of a job while its node runs
//	recovery.go   the transitions of a job after a restart of its node
//	timers.go     deadlines and other times at which a JobTable acts
package leases
