// Package durable serves batch jobs that survive a crash of their node.
//
// A client submits a job over HTTP under an id of its own, which makes submission idempotent: a repeat with the same content
// finds the job that is there. The submission is acknowledged once its record is synced to the store. The final answer is
// retained there until the client removes it or its retention ends.
//
// Manager stands between the reducer and its edges, node.Frontend and node.Upstream. Each attempt is written to its executor
// only after a record with its epoch is synced. The epoch is a fencing token: after a restart, executors that support leases are
// polled about the last epoch, and an executor that has not begun it must refuse it from then on. Package leases decides
// which effect follows which event; this package carries the effects out.
//
//   - http.go: the HTTP handler, and the checks of what clients send
//   - codec.go: the forms on the wire, and the responses to errors
//   - submit.go: submission, waiting for a final answer, removal
//   - effects.go: the effects of package leases
//   - edges.go: the wrappers of the reducer's edges
//   - recover.go: recovery of the jobs in the store at a start
//   - lease_poll.go: polling executors about attempts of an earlier incarnation
//   - class.go: the durable job classes
package durable
