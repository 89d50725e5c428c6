package emulator

import "birchstair/policy"

// LeaseState is what an executor knows of an epoch of a durable batch job, by its name in the protocol.
type LeaseState string

// The states of an epoch.
const (
	LeaseFinished LeaseState = "finished" // it ran, and its result is known
	LeaseRunning  LeaseState = "running"  // it runs
	LeaseLost     LeaseState = "lost"     // it may have run before a restart
	LeaseNever    LeaseState = "never"    // it has not run, and will not
)

// LeaseTable is the memory of an executor that supports leases: the newest epoch of each durable batch job, and its outcome. A restart
// loses it, and the executor then answers that it did. It is not safe for concurrent use.
type LeaseTable struct {
	jobs      map[policy.JobID]*leaseRecord
	restarted bool // what it does not know may have run before the restart
}

type leaseRecord struct {
	epoch    uint32
	begun    bool
	finished bool
	result   []byte
}

// NewLeaseTable returns an empty table that has lost nothing.
func NewLeaseTable() *LeaseTable { return &LeaseTable{jobs: map[policy.JobID]*leaseRecord{}} }

// Restart loses everything.
func (l *LeaseTable) Restart() { l.jobs, l.restarted = map[policy.JobID]*leaseRecord{}, true }

// Accept reports whether an attempt may run, and records it if so. It may not if its epoch, or a newer one, was seen before. Epoch 0 is an
// attempt without a lease.
func (l *LeaseTable) Accept(job policy.JobID, epoch uint32) bool {
	if epoch == 0 {
		return true
	}
	if record := l.jobs[job]; record != nil && epoch <= record.epoch {
		return false
	}
	l.jobs[job] = &leaseRecord{epoch: epoch, begun: true}
	return true
}

// Finish records a result.
func (l *LeaseTable) Finish(job policy.JobID, epoch uint32, result []byte) {
	if record := l.jobs[job]; record != nil && record.epoch == epoch {
		record.finished, record.result = true, result
	}
}

// Query returns the state of an epoch, and its result if it has finished. An epoch that has not arrived yet is refused from now on.
func (l *LeaseTable) Query(job policy.JobID, epoch uint32) (state LeaseState, result []byte) {
	record := l.jobs[job]
	switch {
	case record != nil && record.epoch == epoch && record.finished:
		return LeaseFinished, record.result
	case record != nil && record.epoch == epoch && record.begun:
		return LeaseRunning, nil
	case l.restarted:
		return LeaseLost, nil
	case record == nil || record.epoch < epoch:
		l.jobs[job] = &leaseRecord{epoch: epoch}
	}
	return LeaseNever, nil
}
