package emulator

import "birchstair/policy"

// Leaser is the memory of an executor that supports leases: the newest epoch of each durable batch job, and its outcome. A restart loses
// it, and the executor then answers that it did.
type Leaser struct {
	jobs      map[policy.JobID]*leaseRecord
	restarted bool // what it does not know may have run before the restart
}

type leaseRecord struct {
	epoch    uint32
	begun    bool
	finished bool
	result   []byte
}

// NewLeaser returns an empty memory that has lost nothing.
func NewLeaser() *Leaser { return &Leaser{jobs: map[policy.JobID]*leaseRecord{}} }

// Restart loses everything.
func (l *Leaser) Restart() { l.jobs, l.restarted = map[policy.JobID]*leaseRecord{}, true }

// Take reports whether an attempt may run, and records it if so. It may not if its epoch, or a newer one, was seen before. Epoch 0 is an
// attempt without a lease.
func (l *Leaser) Take(job policy.JobID, epoch uint32) bool {
	if epoch == 0 {
		return true
	}
	j := l.jobs[job]
	if j != nil && (epoch < j.epoch || epoch == j.epoch) {
		return false
	}
	l.jobs[job] = &leaseRecord{epoch: epoch, begun: true}
	return true
}

// Finish records a result.
func (l *Leaser) Finish(job policy.JobID, epoch uint32, result []byte) {
	if j := l.jobs[job]; j != nil && j.epoch == epoch {
		j.finished, j.result = true, result
	}
}

// Ask returns the state of an epoch, as the protocol has it, and its result. An epoch that has not arrived yet is refused from now on.
func (l *Leaser) Ask(job policy.JobID, epoch uint32) (state string, result []byte) {
	j := l.jobs[job]
	switch {
	case j != nil && j.epoch == epoch && j.finished:
		return "finished", j.result
	case j != nil && j.epoch == epoch && j.begun:
		return "running", nil
	case l.restarted:
		return "lost", nil
	case j == nil || j.epoch < epoch:
		l.jobs[job] = &leaseRecord{epoch: epoch}
	}
	return "never", nil
}
