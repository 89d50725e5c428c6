package durable

import (
	"errors"
	"net/http"
	"time"

	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/internal/store"
	"birchstair/policy"
)

// step hands one event to the book and applies the effects.
func (m *Manager) step(event func(now time.Duration) []leases.Effect) {
	m.mu.Lock()
	effects := event(now())
	m.mu.Unlock()
	m.apply(effects)
}

// apply carries effects out in their order. Called without the lock.
func (m *Manager) apply(effects []leases.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case leases.StoreJob:
			m.writeAccepted(effect.ID)
		case leases.StoreAttempt:
			m.writeAttempt(effect)
		case leases.StoreNeverRan:
			m.write(store.Record{Kind: store.AttemptEnded, ID: string(effect.ID), At: time.Now(), Epoch: uint32(effect.Epoch), NeverRan: true}, nil)
		case leases.StoreFinal:
			m.writeFinal(effect)
		case leases.StoreForget:
			m.write(store.Record{Kind: store.Released, ID: string(effect.ID), At: time.Now()}, nil)
		case leases.Acknowledge:
			m.mu.Lock()
			m.acknowledge(effect.ID, nil)
			m.mu.Unlock()
		case leases.Submit:
			m.dispatch(effect)
		case leases.SendAttempt:
			m.sendAttempt(effect)
		case leases.QueryAttempt:
			go m.pollLease(effect)
		case leases.Publish:
			m.publish(effect.ID)
		case leases.Wake:
			m.setTimer(effect.At)
		}
	}
}

// write appends a record to the store. After it is synced onWritten takes the event, if there is one; after a failure nothing follows.
func (m *Manager) write(record store.Record, onWritten func(now time.Duration) []leases.Effect) {
	m.append(record, func(err error) {
		if err == nil && onWritten != nil {
			m.step(onWritten)
		}
	})
}

// append appends a record to the store and logs a failure, unless the store is full or closing, which is no fault.
func (m *Manager) append(record store.Record, done func(error)) {
	m.store.Append(record, func(err error) {
		if err != nil && !errors.Is(err, store.ErrFull) && m.ctx.Err() == nil {
			m.log.Error().Err(err).Str("batch_job", record.ID).Msg("a record could not be written")
		}
		done(err)
	})
}

// writeAccepted writes the record of a submission. If that fails, its client gets an error and the job is forgotten.
func (m *Manager) writeAccepted(id leases.ID) {
	m.mu.Lock()
	record := m.unwritten[id]
	if m.faults.ackBeforeWrite {
		m.acknowledge(id, nil)
	}
	m.mu.Unlock()
	m.append(*record, func(err error) {
		m.step(func(now time.Duration) []leases.Effect {
			delete(m.unwritten, id)
			if err != nil {
				m.acknowledge(id, err)
				return m.book.JobNotStored(now, id)
			}
			return m.book.JobStored(now, id)
		})
	})
}

func (m *Manager) writeAttempt(effect leases.StoreAttempt) {
	record := store.Record{
		Kind:     store.AttemptStarted,
		ID:       string(effect.ID),
		At:       time.Now(),
		Epoch:    uint32(effect.Attempt.Epoch),
		Executor: string(effect.Attempt.Executor),
	}
	m.write(record, func(now time.Duration) []leases.Effect {
		return m.book.AttemptStored(now, effect.ID, effect.Attempt.Epoch)
	})
}

func (m *Manager) writeFinal(effect leases.StoreFinal) {
	record := store.Record{
		Kind:    store.Final,
		ID:      string(effect.ID),
		At:      time.Now(),
		Outcome: uint8(effect.Final),
		Body:    effect.Result,
	}
	m.write(record, func(now time.Duration) []leases.Effect { return m.book.FinalStored(now, effect.ID) })
}

// acknowledge answers the client that waits for its submission's record, if one does. Called with the lock held.
func (m *Manager) acknowledge(id leases.ID, err error) {
	if waiter := m.ackWaiters[id]; waiter != nil {
		delete(m.ackWaiters, id)
		waiter <- err
	}
}

// dispatch hands a job to the reducer, from a goroutine of its own: the reducer's own goroutine, which may be the caller, would wait for itself.
func (m *Manager) dispatch(effect leases.Submit) {
	stored, ok := m.store.Get(string(effect.ID))
	if !ok {
		return
	}
	record := stored.Accepted
	m.mu.Lock()
	class := m.classes[record.JobClass]
	m.mu.Unlock()
	job := node.Job{
		Class:  class.id,
		Work:   record.Work,
		Budget: effect.Budget,
		Request: node.Request{
			ID:             policy.JobID(jobIDPrefix + string(effect.ID)),
			Method:         http.MethodPost,
			URI:            record.URI,
			Host:           record.Host,
			ContentType:    record.ContentType,
			IdempotencyKey: record.IdempotencyKey,
			Body:           record.Body,
		},
	}
	go m.post(node.JobArrived{Job: job})
}

// sendAttempt writes an attempt whose record is synced to its executor, if it is still the latest on its connection.
func (m *Manager) sendAttempt(effect leases.SendAttempt) {
	m.mu.Lock()
	conn := m.latestConn[effect.ID]
	sending := m.attempts[conn]
	m.mu.Unlock()
	if sending != nil && sending.id == effect.ID && sending.epoch == effect.Epoch {
		m.upstream.Write(conn, sending.request)
	}
}

// publish wakes the clients that wait for a final answer.
func (m *Manager) publish(id leases.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if waiter := m.doneWaiters[id]; waiter != nil {
		close(waiter)
		delete(m.doneWaiters, id)
	}
}

// setTimer replaces the one timer of the book.
func (m *Manager) setTimer(at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer != nil {
		m.timer.Stop()
	}
	m.timer = time.AfterFunc(max(0, at-now()), func() { m.step(m.book.Wake) })
}
