package durable

import (
	"strings"
	"time"

	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/policy"
)

// Observe is called after each step of the node's state machine. It records the addresses of endpoints, and reports the ends of
// attempts to the job table.
func (m *Manager) Observe(_ time.Duration, event node.Event, _ []node.Effect) {
	switch event := event.(type) {
	case node.EndpointsUpdated:
		m.updateEndpoints(event)
	case node.AttemptEnded:
		m.attemptEnded(event.Conn, event.Outcome.NeverRan(), false)
	case node.ConnClosed:
		// If an attempt is still recorded for the connection, no part of it was sent: otherwise AttemptEnded would have come first.
		m.attemptEnded(event.Conn, true, true)
	}
}

// updateEndpoints updates the recorded addresses of executors after an update of the endpoint list. An address leads to one executor
// alone: a lease query that reaches another one would be answered "never" about an attempt that may have run.
func (m *Manager) updateEndpoints(event node.EndpointsUpdated) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if event.Kind == policy.CompleteUpdate {
		clear(m.addrByExecutor)
	}
	for _, endpoint := range event.Endpoints {
		if endpoint.State == policy.Removed {
			delete(m.addrByExecutor, endpoint.Executor)
			continue
		}
		if previous := m.executorByAddr[endpoint.Addr]; previous != endpoint.Executor && m.addrByExecutor[previous] == endpoint.Addr {
			delete(m.addrByExecutor, previous)
		}
		m.addrByExecutor[endpoint.Executor] = endpoint.Addr
		m.executorByAddr[endpoint.Addr] = endpoint.Executor
	}
}

// attemptEnded reports the end of the attempt on a connection to the job table, if the connection carried an attempt of a durable
// job. connClosed reports that the connection is closed as well.
func (m *Manager) attemptEnded(conn node.ConnID, neverRan, connClosed bool) {
	m.mu.Lock()
	ended := m.attempts[conn]
	delete(m.attempts, conn)
	if connClosed {
		delete(m.connAddrs, conn)
	}
	if ended == nil {
		m.mu.Unlock()
		return
	}
	if m.latestConn[ended.id] == conn {
		delete(m.latestConn, ended.id)
	}
	if _, known := m.jobTable.JobOf(ended.lease); known {
		m.effects = append(m.effects, m.jobTable.AttemptEnded(now(), ended.id, ended.epoch, neverRan || m.faults.allEndsAsNeverRan)...)
	}
	m.mu.Unlock()
	m.applyEffects()
}

// frontendInterceptor implements node.Frontend. It handles the state machine's calls that concern durable jobs, and passes the
// other calls on to the frontend.
type frontendInterceptor Manager

// Answer handles the answers to durable jobs, and passes the answers to ordinary jobs on to the frontend.
func (e *frontendInterceptor) Answer(answer node.Answer) {
	m := (*Manager)(e)
	lease, durable := durableLease(answer.Job)
	if !durable {
		m.frontend.Answer(answer)
		return
	}
	m.step(func(now time.Duration) []leases.Effect {
		id, known := m.jobTable.JobOf(lease)
		if !known {
			return nil
		}
		return m.jobTable.Answered(now, id, leases.Outcome(answer.Final), answer.Result)
	})
}

// SetReady releases the recovered jobs when the node becomes ready for the first time, which is when it has an endpoint list. When
// the node becomes unready, SetReady stops the job table, because a node becomes unready only when it shuts down.
func (e *frontendInterceptor) SetReady(ready bool) {
	m := (*Manager)(e)
	m.mu.Lock()
	m.ready = ready
	if ready {
		m.effects = append(m.effects, m.jobTable.Release(now())...)
	} else {
		m.effects = append(m.effects, m.jobTable.Stop(now())...)
	}
	m.mu.Unlock()
	m.frontend.SetReady(ready)
	m.applyEffects()
}

// UpdateJobClasses updates the durable classes, and passes the ordinary classes on to the frontend. The durable classes are not
// passed on, because clients that submit ordinary jobs must not use them.
func (e *frontendInterceptor) UpdateJobClasses(classes []node.NumberedClass) {
	m := (*Manager)(e)
	m.mu.Lock()
	for name, class := range m.classes {
		class.removed = true
		m.classes[name] = class
	}
	var ordinary []node.NumberedClass
	for _, class := range classes {
		if name, durable := strings.CutPrefix(class.Name, ClassPrefix); durable {
			m.classes[name] = newJobClass(class.ID, class.JobClass.JobClass)
		} else {
			ordinary = append(ordinary, class)
		}
	}
	m.mu.Unlock()
	m.frontend.UpdateJobClasses(ordinary)
}

// DrainClients passes the call on to the frontend.
func (e *frontendInterceptor) DrainClients(on bool) { e.frontend.DrainClients(on) }

// AcceptConnections passes the call on to the frontend.
func (e *frontendInterceptor) AcceptConnections(on bool) { e.frontend.AcceptConnections(on) }

// HalveLimits passes the call on to the frontend.
func (e *frontendInterceptor) HalveLimits(on bool) { e.frontend.HalveLimits(on) }

// Close passes the call on to the frontend.
func (e *frontendInterceptor) Close() { e.frontend.Close() }

// upstreamInterceptor implements node.Upstream. It handles the state machine's calls that concern durable jobs, and passes the
// other calls on to the upstream.
type upstreamInterceptor Manager

// Dial records the connection's address and passes the call on to the upstream. Write uses the address to find the executor of an
// attempt.
func (e *upstreamInterceptor) Dial(conn node.ConnID, addr string) {
	m := (*Manager)(e)
	m.mu.Lock()
	m.connAddrs[conn] = addr
	m.mu.Unlock()
	m.upstream.Dial(conn, addr)
}

// Write passes attempts of ordinary jobs on to the upstream at once. For a durable job in state leases.Dispatched, it appends a
// record of the attempt to the store; the attempt is sent once that record is synced. For a durable job in any other state, it
// appends nothing and closes the connection.
func (e *upstreamInterceptor) Write(conn node.ConnID, request node.Attempt) {
	m := (*Manager)(e)
	lease, durable := durableLease(request.ID)
	if !durable {
		m.upstream.Write(conn, request)
		return
	}
	m.mu.Lock()
	id, _ := m.jobTable.JobOf(lease) // the table starts no attempt of a job that is forgotten
	epoch, effects := m.jobTable.AttemptStarted(now(), id, m.executorByAddr[m.connAddrs[conn]])
	m.effects = append(m.effects, effects...)
	if epoch > 0 {
		request.Request = m.fencedRequest(request.Request, lease, epoch)
		m.attempts[conn] = &attempt{id: id, lease: lease, epoch: epoch, request: request, startedAt: time.Now()}
		m.latestConn[id] = conn
	}
	sendBeforeWrite := m.faults.sendBeforeWrite
	m.mu.Unlock()
	if sendBeforeWrite && epoch > 0 {
		m.upstream.Write(conn, request)
	}
	if epoch == 0 {
		m.upstream.Close(conn)
	}
	m.applyEffects()
}

// fencedRequest returns a copy of a job's request as an executor receives it, with this epoch.
func (m *Manager) fencedRequest(request *node.Request, lease leases.LeaseID, epoch leases.Epoch) *node.Request {
	fenced := *request
	fenced.ID = callID(lease)
	fenced.Epoch = uint32(epoch)
	if m.faults.omitEpoch {
		fenced.Epoch = 0
	}
	return &fenced
}

// Close passes the call on to the upstream.
func (e *upstreamInterceptor) Close(conn node.ConnID) { e.upstream.Close(conn) }

// CheckHealth passes the call on to the upstream.
func (e *upstreamInterceptor) CheckHealth(executor policy.ExecutorID, addr string) {
	e.upstream.CheckHealth(executor, addr)
}
