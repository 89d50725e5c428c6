package durable

import (
	"errors"
	"net/http"
	"time"

	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/internal/store"
)

// step passes one event to the job table, and carries out the effects that the job table returns.
func (m *Manager) step(event func(now time.Duration) []leases.Effect) {
	m.mu.Lock()
	m.effects = append(m.effects, event(now())...)
	m.mu.Unlock()
	m.applyEffects()
}

// applyEffects carries out the effects in m.effects. Effects of all goroutines are carried out in the order in which the job table
// returned them, by one goroutine at a time: records of a job must not change places, nor must the times at which the table is
// woken. If another goroutine carries out effects, it does these as well. applyEffects must be called without m.mu held.
func (m *Manager) applyEffects() {
	m.mu.Lock()
	if m.applying {
		m.mu.Unlock()
		return
	}
	m.applying = true
	for len(m.effects) > 0 {
		effects := m.effects
		m.effects = nil
		m.mu.Unlock()
		m.apply(effects)
		m.mu.Lock()
	}
	m.applying = false
	m.mu.Unlock()
}

// apply carries out effects in their order. Only applyEffects calls it.
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
		case leases.Withdraw:
			go m.post(node.ClientLeft{Job: stateMachineID(effect.Lease)}) // from a new goroutine for the same reason as in dispatch
		case leases.SendAttempt:
			m.sendAttempt(effect)
		case leases.DropAttempt:
			m.dropAttempt(effect)
		case leases.QueryAttempt:
			go m.queryLease(effect)
		case leases.Publish:
			m.publish(effect.ID)
		case leases.Wake:
			m.setTimer(effect.At)
		}
	}
}

// write appends a record to the store. Once the record is synced, onWritten is passed to step as an event. onWritten can be nil.
// If the record can't be written, onWritten is not used.
func (m *Manager) write(record store.Record, onWritten func(now time.Duration) []leases.Effect) {
	m.append(record, func(err error) {
		if err == nil && onWritten != nil {
			m.step(onWritten)
		}
	})
}

// append appends a record to the store, and calls done with the result. It logs an error, except the expected errors while the
// store is full or the manager is closing.
func (m *Manager) append(record store.Record, done func(error)) {
	m.store.Append(record, func(err error) {
		if err != nil && !errors.Is(err, store.ErrFull) && m.ctx.Err() == nil {
			m.log.Error().Err(err).Str("batch_job", record.ID).Msg("a record could not be written")
		}
		done(err)
	})
}

// writeAccepted writes the record of a submission. If that fails, the job is forgotten and its client gets an error.
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
				return m.jobTable.JobNotStored(now, id)
			}
			return m.jobTable.JobStored(now, id)
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
		Lease:    string(effect.Attempt.Lease),
	}
	m.write(record, func(now time.Duration) []leases.Effect {
		return m.jobTable.AttemptStored(now, effect.ID, effect.Attempt.Epoch)
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
	m.write(record, func(now time.Duration) []leases.Effect { return m.jobTable.FinalStored(now, effect.ID) })
}

// acknowledge passes the result of writing a submission's record to the client that waits for that result, if there is one. It
// must be called with m.mu held.
func (m *Manager) acknowledge(id leases.ID, err error) {
	if waiter := m.ackWaiters[id]; waiter != nil {
		delete(m.ackWaiters, id)
		waiter <- err
	}
}

// dispatch submits a job to the state machine. The event is posted from a new goroutine. Otherwise the event loop could
// deadlock: post can block until the loop takes an event, and the caller of dispatch can be the loop itself.
func (m *Manager) dispatch(effect leases.Submit) {
	stored, ok := m.store.Get(string(effect.ID))
	if !ok {
		return
	}
	record := stored.Accepted
	job := node.Job{
		Class: effect.Class,
		Work:  record.Work,
		Request: node.Request{
			ID:             stateMachineID(effect.Lease),
			Method:         http.MethodPost,
			URI:            record.URI,
			Host:           record.Host,
			ContentType:    record.ContentType,
			IdempotencyKey: record.IdempotencyKey,
			Body:           record.Body,
		},
	}
	go func() {
		job.Budget = max(0, effect.Until-now())
		m.post(node.JobArrived{Job: job})
	}()
}

// sendAttempt sends an attempt to its executor. It is called once the attempt's record is synced. It does nothing if the attempt
// has ended, or if the job has a later attempt. The executor is told what is left of the attempt's budget.
func (m *Manager) sendAttempt(effect leases.SendAttempt) {
	conn, sending := m.latestAttempt(effect.ID, effect.Epoch)
	if sending == nil {
		return
	}
	request := sending.request
	request.Budget -= time.Since(sending.startedAt)
	m.upstream.Write(conn, request)
}

// dropAttempt closes the connection of an attempt that is not sent. The state machine then knows that the attempt never ran.
func (m *Manager) dropAttempt(effect leases.DropAttempt) {
	if conn, dropped := m.latestAttempt(effect.ID, effect.Epoch); dropped != nil {
		m.upstream.Close(conn)
	}
}

// latestAttempt returns the connection and the attempt of this epoch, or nil if the attempt has ended or the job has a later one.
func (m *Manager) latestAttempt(id leases.ID, epoch leases.Epoch) (node.ConnID, *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	conn := m.latestConn[id]
	latest := m.attempts[conn]
	if latest == nil || latest.id != id || latest.epoch != epoch {
		return 0, nil
	}
	return conn, latest
}

// publish wakes the clients that wait for a job's final answer.
func (m *Manager) publish(id leases.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if waiter := m.doneWaiters[id]; waiter != nil {
		close(waiter)
		delete(m.doneWaiters, id)
	}
}

// setTimer sets the time at which the job table is woken next. It replaces the previous timer.
func (m *Manager) setTimer(at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer != nil {
		m.timer.Stop()
	}
	m.timer = time.AfterFunc(max(0, at-now()), func() { m.step(m.jobTable.Wake) })
}
