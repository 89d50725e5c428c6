package durable

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"birchstair/internal/leases"
	"birchstair/internal/store"
	"birchstair/policy"
)

// recover adds all jobs in the store to the job table, in the order of their IDs. No job is submitted and no executor is queried
// before the node is ready, but jobs whose deadlines pass until then are answered.
func (m *Manager) recover() {
	began := time.Now()
	jobs, lastWrite := m.storedJobs()
	m.mu.Lock()
	at := now()
	if at < lastWrite {
		m.log.Warn().Dur("behind", lastWrite-at).Msg("the clock is behind the store's last record: dedup windows are taken to be over")
	}
	m.jobTable.Hold()
	unknownClasses := 0
	for _, job := range jobs {
		if _, ok := m.classes[job.Accepted.JobClass]; !ok {
			unknownClasses++
		}
		m.effects = append(m.effects, m.recoverJob(at, lastWrite, job)...)
	}
	counts := m.jobTable.Counts()
	m.mu.Unlock()
	m.applyEffects()
	stats := m.store.Stats()
	m.log.Info().
		Int("waiting", counts[leases.Waiting]+counts[leases.Dispatched]).
		Int("asking", counts[leases.Querying]).
		Int("closing", counts[leases.StoringFinal]).
		Int("done", counts[leases.Done]).
		Int("unknown_tracks", unknownClasses).
		Int64("bytes", stats.Bytes).
		Int("segments", stats.Segments).
		Dur("took", time.Since(began)).
		Msg("durable batch jobs recovered")
}

// storedJobs returns the jobs in the store, ordered by ID, and the time of the latest record of acceptance, attempt start or
// final answer.
func (m *Manager) storedJobs() (jobs []store.JobState, lastWrite time.Duration) {
	m.store.ForEach(func(job store.JobState) {
		jobs = append(jobs, job)
		lastWrite = max(lastWrite, sinceEpoch(job.Accepted.At))
		for _, stored := range job.Attempts {
			lastWrite = max(lastWrite, sinceEpoch(stored.At))
		}
		if job.Final != nil {
			lastWrite = max(lastWrite, sinceEpoch(job.Final.At))
		}
	})
	slices.SortFunc(jobs, func(a, b store.JobState) int { return strings.Compare(a.Accepted.ID, b.Accepted.ID) })
	return jobs, lastWrite
}

// storedLease returns the lease of a job in the store, under which it is sent from now on. A job that an earlier version accepted has
// none, and gets one with its first attempt here: under its ID alone executors may know another job.
func storedLease(job store.JobState) leases.LeaseID {
	lease := job.Accepted.Lease
	for _, attempt := range job.Attempts {
		lease = cmp.Or(attempt.Lease, lease)
	}
	if lease == "" {
		return newLease(leases.ID(job.Accepted.ID))
	}
	return leases.LeaseID(lease)
}

// recoverJob adds one job to the job table. The job keeps the terms with which it was accepted, whatever its class is now. If the
// job's class is no longer configured, the job can't be submitted to the policy. Such a job is treated as an at-most-once job whose
// deadline has passed. recoverJob must be called with m.mu held.
func (m *Manager) recoverJob(at, lastWrite time.Duration, job store.JobState) []leases.Effect {
	class, known := m.classes[job.Accepted.JobClass]
	accepted := storedClass(job.Accepted.RetryTerms)
	deadline := sinceEpoch(job.Accepted.Deadline)
	if !known {
		accepted = storedClass(nil)
		deadline = min(deadline, at)
	}
	var attempts []leases.Attempt
	for _, stored := range job.Attempts {
		attempts = append(attempts, leases.Attempt{
			Epoch:    leases.Epoch(stored.Epoch),
			Lease:    leases.LeaseID(stored.Lease),
			Executor: policy.ExecutorID(stored.Executor),
			At:       sinceEpoch(stored.At),
			NeverRan: stored.Ended && stored.NeverRan,
		})
	}
	var final *leases.Outcome
	var finalAt time.Duration
	if job.Final != nil {
		answer := leases.Outcome(job.Final.Outcome)
		final, finalAt = &answer, sinceEpoch(job.Final.At)
	}
	recovered := leases.Job{
		ID:          leases.ID(job.Accepted.ID),
		Lease:       storedLease(job),
		Class:       accepted,
		Deadline:    deadline,
		PolicyClass: class.id,
		LaxPolicy:   accepted != class.lease,
	}
	return m.jobTable.Recover(at, lastWrite, recovered, attempts, final, finalAt)
}
