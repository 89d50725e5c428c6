// Package leases is the state machine of durable jobs: jobs that a node acknowledges only once their record is on disk, answers
// exactly once however often it crashes, and never runs twice if their class forbids it.
//
// A JobTable holds the state of all durable jobs of a node. It reads no clock and does no input or output: each method takes what
// happened and when, and returns the effects to carry out. Package durable carries them out and keeps the records. Where a
// job is sent and when it is retried is decided by package policy; the JobTable decides when the policy is given a job, for how long,
// and what its decisions mean for the records.
//
// Every attempt of a job has an epoch, which is on disk before the attempt goes out. An executor that takes part in leases
// refuses epochs that are not newer than all it has seen of the job, and can be asked what became of an epoch. So a node that has
// crashed can find out whether an attempt ran.
//
// # States
//
//	Storing       the job's record is being written
//	Waiting       the record is on disk; the job waits until the policy has room for it
//	Dispatched    the policy has it
//	Querying      an attempt was in flight when the node crashed, and its executor is asked what became of it
//	StoringFinal  the final answer is being written
//	Done          the final answer is on disk, and is kept for clients to fetch
//
// The transitions:
//
//	from          on                                                      to
//	              Accept                                                  Storing
//	              Recover: no attempt may have run, or it may run again   Waiting
//	              Recover: an attempt may have run                        Querying, or StoringFinal if executors can't be asked
//	              Recover: past the deadline, and nothing to ask          StoringFinal
//	              Recover: it has its final answer                        Done
//	Storing       JobStored                                               Waiting
//	Storing       JobNotStored                                            forgotten
//	Waiting       the policy has room                                     Dispatched
//	Waiting       deadline                                                StoringFinal
//	Dispatched    Answered                                                StoringFinal, or Waiting during a shutdown
//	Querying      AttemptQueried: the attempt never ran                   Waiting, or Querying about the next attempt
//	Querying      AttemptQueried: it has finished, or nothing is known    StoringFinal
//	Querying      AttemptQueried: it is running, or no answer             Querying again after an interval
//	Querying      deadline                                                StoringFinal
//	StoringFinal  FinalStored                                             Done
//	Done          Forget, or the answer was kept for long enough          forgotten
//
// Files:
//
//	job.go       jobs, their states, attempts and what executors say of them
//	effects.go   what a JobTable asks its caller to do
//	job_table.go JobTable, and the way of a job without a crash
//	recovery.go  what becomes of a job after a crash
//	timers.go    deadlines and other times at which a JobTable acts
package leases
