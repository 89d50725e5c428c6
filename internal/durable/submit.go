package durable

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"birchstair/internal/leases"
	"birchstair/internal/store"
)

// Errors of the operations that clients request. errorResponses maps them to HTTP responses.
var (
	errNotReady = errors.New("the node is not ready")
	errWriting  = errors.New("an earlier submission of this job is still being written")
	errConflict = errors.New("another job has this id")
	errNotFound = errors.New("no such job")
	errNotFinal = errors.New("the job has no final answer")
	errStore    = errors.New("the submission could not be written")
	errResult   = errors.New("the result could not be read")
)

// submission is a job that a client submits.
type submission struct {
	record store.Record  // the record to be written; submit sets the times in the record
	budget time.Duration // time from the call of submit until the deadline
}

// submit accepts a job and waits until its record is synced. created is false if the job had already been submitted, or if there
// is an error. The error is errNotReady, errWriting or errConflict, or wraps errStore and the store's error.
func (m *Manager) submit(ctx context.Context, job submission) (created bool, err error) {
	id := leases.ID(job.record.ID)
	record := &job.record
	record.At = time.Now()
	record.Deadline = record.At.Add(job.budget)
	m.mu.Lock()
	if !m.ready {
		m.mu.Unlock()
		return false, errNotReady
	}
	if state, ok := m.jobTable.State(id); ok {
		unwritten := m.unwritten[id]
		m.mu.Unlock()
		return false, m.checkRepeat(record, state, unwritten)
	}
	m.unwritten[id] = record
	written := make(chan error, 1)
	m.ackWaiters[id] = written
	class := m.classes[record.JobClass]
	record.RetryTerms = retryTerms(class.lease)
	lease := newLease(id)
	record.Lease = string(lease)
	accepted := leases.Job{ID: id, Lease: lease, Class: class.lease, Deadline: sinceEpoch(record.Deadline), PolicyClass: class.id}
	effects, _ := m.jobTable.Accept(sinceEpoch(record.At), accepted) // can't fail, because State has found no job with this ID
	m.effects = append(m.effects, effects...)
	m.mu.Unlock()
	m.applyEffects()
	select {
	case err := <-written:
		if err != nil {
			return false, fmt.Errorf("%w: %w", errStore, err)
		}
		return true, nil
	case <-ctx.Done():
		// The client has disconnected and can't read the response. If the client submits the job again, that request finds this
		// job, unless this job's record could not be written.
		return true, nil
	}
}

// checkRepeat checks a submission under an ID that a job already has. The submission is a repeat if it has the same content as
// that job. previous is the record of the earlier submission if that record is not in the store yet, and nil otherwise.
func (m *Manager) checkRepeat(record *store.Record, state leases.State, previous *store.Record) error {
	if stored, ok := m.store.Get(record.ID); previous == nil && ok {
		previous = stored.Accepted
	}
	switch {
	case previous == nil || !sameJob(previous, record):
		return errConflict
	case state == leases.Storing:
		return errWriting
	}
	return nil
}

// sameJob reports whether two submissions have the same class, idempotency key, URI and body. It does not compare other fields,
// such as the deadline.
func sameJob(a, b *store.Record) bool {
	return a.JobClass == b.JobClass && a.IdempotencyKey == b.IdempotencyKey && a.URI == b.URI && bytes.Equal(a.Body, b.Body)
}

// wait waits until a job has its final answer. It also returns when the timeout has passed, when the client has disconnected or
// when the manager is closed. The error is errNotFound if there is no such job.
func (m *Manager) wait(ctx context.Context, id leases.ID, timeout time.Duration) error {
	m.mu.Lock()
	state, ok := m.jobTable.State(id)
	if !ok {
		m.mu.Unlock()
		return errNotFound
	}
	if state == leases.Done || timeout == 0 {
		m.mu.Unlock()
		return nil
	}
	done := m.doneWaiters[id]
	if done == nil {
		done = make(chan struct{})
		m.doneWaiters[id] = done
	}
	m.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
	return nil
}

// remove removes a job that has its final answer. It returns errNotFinal if the job has no final answer yet, and errNotFound if
// there is no such job.
func (m *Manager) remove(id leases.ID) error {
	m.mu.Lock()
	_, known := m.jobTable.State(id)
	effects, ok := m.jobTable.Forget(now(), id)
	m.effects = append(m.effects, effects...)
	m.mu.Unlock()
	m.applyEffects()
	switch {
	case !known:
		return errNotFound
	case !ok:
		return errNotFinal
	}
	return nil
}

// status returns the status of a job, as clients receive it. The error is that of reading the result from the store.
func (m *Manager) status(id leases.ID) (jobStatus, error) {
	m.mu.Lock()
	state, known := m.jobTable.State(id)
	var final leases.Outcome
	if state == leases.Done {
		final = m.jobTable.Answer(id)
	}
	m.mu.Unlock()
	switch {
	case !known:
		return jobStatus{ID: string(id), State: removedState}, nil
	case state != leases.Done:
		return jobStatus{ID: string(id), State: stateNames[state]}, nil
	}
	result, err := m.store.Result(string(id))
	if errors.Is(err, store.ErrNoResult) { // the job was removed since
		return jobStatus{ID: string(id), State: removedState}, nil
	}
	return jobStatus{ID: string(id), State: stateNames[state], Final: finalNames[final], Result: result}, err
}
