package emulator

import "birchstair/policy"

// Leaser is what an executor that knows of leases remembers: the newest epoch of each durable batch job, and what became of it. A restart forgets all
// of it, and the executor says so.
type Leaser struct {
	jobs      map[policy.JobID]*leaseRecord
	restarted bool // it has started anew: what it does not know may have run before
}

type leaseRecord struct {
	epoch    uint32
	begun    bool
	finished bool
	result   []byte
}

// NewLeaser makes one that has run for long and knows of nothing.
func NewLeaser() *Leaser { return &Leaser{jobs: map[policy.JobID]*leaseRecord{}} }

// Restart forgets all.
func (l *Leaser) Restart() { l.jobs, l.restarted = map[policy.JobID]*leaseRecord{}, true }

// Take says whether an allocation may run: none under an older epoch than was heard of, and none twice.
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

// Finish notes a result.
func (l *Leaser) Finish(job policy.JobID, epoch uint32, result []byte) {
	if j := l.jobs[job]; j != nil && j.epoch == epoch {
		j.finished, j.result = true, result
	}
}

// Ask says what became of an epoch, and refuses it from now on if it has not come yet.
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
