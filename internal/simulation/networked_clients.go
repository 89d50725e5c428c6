package simulation

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/invariants"
)

// submit starts a goroutine that sends a request to its node and waits for the answer.
func (ns *networkedSimulation) submit(request *clientRequest) {
	sim, p, work := ns.sim, request.node.process, request.work
	from := "clients-" + sim.scenario.Fleet.Zones[request.clients.zone]
	ns.setZone(from, request.clients.zone)
	ns.requests[request.job] = request
	message := platform.Request{Job: request.job, Class: sim.scenario.Classes[work.Class].Name, IdempotencyKey: sim.idempotencyKey(work),
		StatedCost: secondsOf(work.StatedCost), Body: sim.requestBody()}
	go func() {
		end, retryAfter := ns.call(from, p.addr, message, request)
		ns.locked(func() {
			if end == emulator.EndFailed && work.LeavesAt <= sim.now {
				sim.result.Left++
				ns.recordClientGone(request, from, p.host)
			}
			request.finishUnsent(end, retryAfter)
		})
	}()
}

// recordClientGone records that a client has closed its connection. The time of the record is that at which the close
// arrives at the node's machine, because the node can't detect it earlier.
func (ns *networkedSimulation) recordClientGone(request *clientRequest, from, host string) {
	path := ns.path(from, host)
	if path.Lost {
		return
	}
	ns.sim.after(path.Hold+path.Delay, func() {
		ns.sim.observe(invariants.Event{Kind: invariants.ClientLeft, Node: request.node.id, Job: request.job})
	})
}

// call sends a client's request to a node and returns the end of the request.
func (ns *networkedSimulation) call(from, addr string, message platform.Request, request *clientRequest) (end emulator.End, retryAfter time.Duration) {
	work := request.work
	until := ns.start.Add(min(work.LeavesAt, work.Deadline+answerTolerance+time.Millisecond))
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	conn, err := ns.net.Dial(ctx, from, string(message.Job), addr)
	if err != nil {
		return emulator.EndUnreached, 0
	}
	defer conn.Close()
	message.Budget = (work.Deadline - time.Since(ns.start)).Truncate(time.Millisecond)
	if message.Budget <= 0 {
		return emulator.EndFailed, 0
	}
	ns.locked(func() { request.conn = conn })
	conn.SetDeadline(until)
	if _, err := conn.Write(message.Append(nil)); err != nil {
		return emulator.EndLost, 0
	}
	final, err := platform.ReadFinal(bufio.NewReader(conn))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return emulator.EndFailed, 0
	case err != nil:
		return emulator.EndLost, 0
	}
	wrongResult := final.End == emulator.EndSucceeded && !platform.IsSuccess(final, string(work.ID))
	// A well-formed request must not fail with the status of a client error.
	wrongError := final.End == emulator.EndFailed && final.Status < http.StatusInternalServerError
	if wrongResult || wrongError {
		ns.locked(func() { ns.sim.result.Wrong++ })
	}
	return final.End, final.RetryAfter
}
