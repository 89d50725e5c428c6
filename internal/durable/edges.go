package durable

import (
	"strings"
	"time"

	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/policy"
)

// Observe sees the reducer's steps: the endpoints' addresses, and how attempts end.
func (m *Manager) Observe(_ time.Duration, event node.Event, _ []node.Effect) {
	switch event := event.(type) {
	case node.EndpointsUpdated:
		m.updateEndpoints(event)
	case node.AttemptEnded:
		m.attemptEnded(event.Conn, event.Outcome.NeverRan(), false)
	case node.ConnClosed:
		m.attemptEnded(event.Conn, true, true) // nothing of the attempt was sent, or its outcome would have come first
	}
}

func (m *Manager) updateEndpoints(event node.EndpointsUpdated) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, endpoint := range event.Endpoints {
		if endpoint.State == policy.Removed {
			delete(m.addrByExecutor, endpoint.Executor)
			continue
		}
		m.addrByExecutor[endpoint.Executor] = endpoint.Addr
		m.executorByAddr[endpoint.Addr] = endpoint.Executor
	}
}

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
	effects := m.book.AttemptEnded(now(), ended.id, ended.epoch, neverRan || m.faults.allEndsAsNeverRan)
	m.mu.Unlock()
	m.apply(effects)
}

// frontendEdge stands between the reducer and the frontend of ordinary batch jobs.
type frontendEdge Manager

// Answer takes the answers to durable jobs, and passes those to ordinary ones on.
func (e *frontendEdge) Answer(answer node.Answer) {
	m := (*Manager)(e)
	id, durable := strings.CutPrefix(string(answer.Job), jobIDPrefix)
	if !durable {
		m.frontend.Answer(answer)
		return
	}
	m.step(func(now time.Duration) []leases.Effect {
		return m.book.Answered(now, leases.ID(id), leases.Outcome(answer.Final), answer.Result)
	})
}

// SetReady lets recovered jobs go on the first time that the endpoint list has come. A node that is not ready any more ends.
func (e *frontendEdge) SetReady(ready bool) {
	m := (*Manager)(e)
	m.mu.Lock()
	effects := m.deferred
	m.deferred = nil
	m.ready = ready
	if !ready {
		effects = append(effects, m.book.Stop(now())...)
	}
	m.mu.Unlock()
	m.frontend.SetReady(ready)
	m.apply(effects)
}

// UpdateJobClasses takes the durable classes over, and passes the ordinary ones on: clients name no others.
func (e *frontendEdge) UpdateJobClasses(classes []node.NumberedClass) {
	m := (*Manager)(e)
	m.mu.Lock()
	for name, class := range m.classes {
		class.dropped = true
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

// DrainClients passes the call on.
func (e *frontendEdge) DrainClients(on bool) { e.frontend.DrainClients(on) }

// AcceptConnections passes the call on.
func (e *frontendEdge) AcceptConnections(on bool) { e.frontend.AcceptConnections(on) }

// HalveLimits passes the call on.
func (e *frontendEdge) HalveLimits(on bool) { e.frontend.HalveLimits(on) }

// Close passes the call on.
func (e *frontendEdge) Close() { e.frontend.Close() }

// upstreamEdge stands between the reducer and the connections to executors.
type upstreamEdge Manager

// Dial notes the connection's address, from which an attempt's executor is known.
func (e *upstreamEdge) Dial(conn node.ConnID, addr string) {
	m := (*Manager)(e)
	m.mu.Lock()
	m.connAddrs[conn] = addr
	m.mu.Unlock()
	m.upstream.Dial(conn, addr)
}

// Write holds an attempt of a durable job until its record is synced. One whose job is over by now closes its connection instead.
func (e *upstreamEdge) Write(conn node.ConnID, request node.Attempt) {
	m := (*Manager)(e)
	id, durable := strings.CutPrefix(string(request.ID), jobIDPrefix)
	if !durable {
		m.upstream.Write(conn, request)
		return
	}
	m.mu.Lock()
	epoch, effects := m.book.AttemptStarted(now(), leases.ID(id), m.executorByAddr[m.connAddrs[conn]])
	if epoch > 0 {
		request.Request = m.withEpoch(request.Request, epoch)
		m.attempts[conn] = &attempt{id: leases.ID(id), epoch: epoch, request: request}
		m.latestConn[leases.ID(id)] = conn
	}
	sendBeforeWrite := m.faults.sendBeforeWrite
	m.mu.Unlock()
	if sendBeforeWrite && epoch > 0 {
		m.upstream.Write(conn, request)
	}
	if epoch == 0 {
		m.upstream.Close(conn)
	}
	m.apply(effects)
}

// withEpoch copies a request and sets its epoch.
func (m *Manager) withEpoch(request *node.Request, epoch leases.Epoch) *node.Request {
	fenced := *request
	fenced.Epoch = uint32(epoch)
	if m.faults.omitEpoch {
		fenced.Epoch = 0
	}
	return &fenced
}

// Close passes the call on.
func (e *upstreamEdge) Close(conn node.ConnID) { e.upstream.Close(conn) }

// CheckHealth passes the call on.
func (e *upstreamEdge) CheckHealth(executor policy.ExecutorID, addr string) {
	e.upstream.CheckHealth(executor, addr)
}
