package emulator

import "birchstair/policy"

// LeaseState is what an executor knows about a lease, which is identified by a durable batch job and an epoch. The
// values are the names of the states in the protocol.
type LeaseState string

// The states of a lease: what became of its attempt.
const (
	LeaseFinished LeaseState = "finished" // it ran, and its result is known
	LeaseRunning  LeaseState = "running"  // it runs
	LeaseLost     LeaseState = "lost"     // it may have run before a restart
	LeaseNever    LeaseState = "never"    // it has not run, and will not run
)

// LeaseTable is what an executor remembers of leases: the newest epoch of each durable batch job, and its result. A
// restart of the executor loses it. Leases that the executor does not know are then reported as lost. It is not safe
// for concurrent use.
type LeaseTable struct {
	jobs      map[policy.JobID]*leaseRecord
	restarted bool // unknown leases may have run before the restart
}

type leaseRecord struct {
	epoch    uint32
	begun    bool // the attempt has been accepted
	finished bool // the attempt has finished with the result
	result   []byte
}

// NewLeaseTable returns the empty table of an executor that has not restarted.
func NewLeaseTable() *LeaseTable { return &LeaseTable{jobs: map[policy.JobID]*leaseRecord{}} }

// Restart empties the table, as a restart of the executor does.
func (l *LeaseTable) Restart() { l.jobs, l.restarted = map[policy.JobID]*leaseRecord{}, true }

// Accept reports whether an attempt is allowed to run, and records it if so. It is refused if the table has its epoch
// or a newer one, from an earlier attempt or query. Epoch 0 stands for an attempt without a lease, which is always
// allowed.
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

// Finish records the result of an attempt, unless a newer epoch is known or a restart has lost the lease.
func (l *LeaseTable) Finish(job policy.JobID, epoch uint32, result []byte) {
	if record := l.jobs[job]; record != nil && record.epoch == epoch {
		record.finished, record.result = true, result
	}
}

// Query returns the state of a lease, and its result if it has finished. If it is reported as never run, an attempt of
// that epoch is refused from now on.
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
