// Package durable serves durable batch jobs, which survive a crash of their node.
//
// A client submits a job over HTTP under an ID that the client chooses. The ID makes submission idempotent: repeating a
// submission with the same content has no further effect. A submission is acknowledged once its record is synced to the store.
// The store keeps the final answer until the client removes the job or the retention time ends.
//
// Manager stands between the node's state machine and two interfaces: node.Frontend, through which the state machine reaches
// clients, and node.Upstream, through which it reaches executors. Manager sends an attempt to an executor only after a record
// with the attempt's epoch is synced. The epoch is a fencing token: after a restart, the node queries executors that support
// leases about the last epoch of a job. If an executor has not started that epoch when it is queried, it must refuse the epoch from
// then on. Package leases decides which effects follow from an event, and this package carries out these effects.
//
//   - http.go: the HTTP handler, which also validates clients' requests
//   - codec.go: response bodies, and the mapping of errors to responses
//   - submit.go: submission, waiting for a final answer, removal
//   - effects.go: execution of the effects of package leases
//   - interceptors.go: interception of the state machine's calls of node.Frontend and node.Upstream
//   - recover.go: recovery of the jobs in the store when the node starts
//   - lease_query.go: queries to executors about attempts that were sent before a restart
//   - class.go: the durable job classes
//   - job_id.go: the IDs of durable jobs in the state machine and at executors
package durable
