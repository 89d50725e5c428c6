package durable

import (
	"slices"
	"strings"
	"time"

	"birchstair/internal/leases"
	"birchstair/internal/store"
	"birchstair/policy"
)

// recover hands all jobs in the store to the book, in the order of their ids. What follows of it waits until the node is ready.
func (m *Manager) recover() {
	began := time.Now()
	jobs, lastWrite := m.storedJobs()
	m.mu.Lock()
	at := now()
	if at < lastWrite {
		m.log.Warn().Dur("behind", lastWrite-at).Msg("the clock is behind the store's last record: no dedup window is counted on it")
	}
	unknownClasses := 0
	for _, job := range jobs {
		if _, ok := m.classes[job.Accepted.JobClass]; !ok {
			unknownClasses++
		}
		m.deferred = append(m.deferred, m.recoverJob(at, lastWrite, job)...)
	}
	counts := m.book.Counts()
	m.mu.Unlock()
	figures := m.store.Stats()
	m.log.Info().
		Int("waiting", counts[leases.Waiting]+counts[leases.Dispatched]).
		Int("asking", counts[leases.Querying]).
		Int("closing", counts[leases.StoringFinal]).
		Int("done", counts[leases.Done]).
		Int("unknown_tracks", unknownClasses).
		Int64("bytes", figures.Bytes).
		Int("segments", figures.Segments).
		Dur("took", time.Since(began)).
		Msg("durable batch jobs recovered")
}

// storedJobs gives the jobs in the store by id, and the time of the latest record.
func (m *Manager) storedJobs() (jobs []store.JobState, lastWrite time.Duration) {
	m.store.ForEach(func(job store.JobState) {
		jobs = append(jobs, job)
		lastWrite = max(lastWrite, sinceEpoch(job.Accepted.At))
		for _, send := range job.Attempts {
			lastWrite = max(lastWrite, sinceEpoch(send.At))
		}
		if job.Final != nil {
			lastWrite = max(lastWrite, sinceEpoch(job.Final.At))
		}
	})
	slices.SortFunc(jobs, func(a, b store.JobState) int { return strings.Compare(a.Accepted.ID, b.Accepted.ID) })
	return jobs, lastWrite
}

// recoverJob hands one job to the book. A job whose class is not configured any more must not run again, since nothing is
// known of its idempotency, and its deadline ends now. Called with the lock held.
func (m *Manager) recoverJob(at, lastWrite time.Duration, job store.JobState) []leases.Effect {
	class, known := m.classes[job.Accepted.JobClass]
	deadline := sinceEpoch(job.Accepted.Deadline)
	if !known {
		class.lease.Idempotency = policy.AtMostOnce
		deadline = min(deadline, at)
	}
	var sends []leases.Attempt
	for _, send := range job.Attempts {
		sends = append(sends, leases.Attempt{
			Epoch:    leases.Epoch(send.Epoch),
			Executor: policy.ExecutorID(send.Executor),
			At:       sinceEpoch(send.At),
			NeverRan: send.Ended && send.NeverRan,
		})
	}
	var final *leases.Outcome
	var result []byte
	var finalAt time.Duration
	if job.Final != nil {
		answer := leases.Outcome(job.Final.Outcome)
		final, result, finalAt = &answer, job.Final.Body, sinceEpoch(job.Final.At)
	}
	recovered := leases.Job{ID: leases.ID(job.Accepted.ID), Class: class.lease, Deadline: deadline}
	return m.book.Recover(at, lastWrite, recovered, sends, final, result, finalAt)
}
