package simulation

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/memnet"
)

// executorSocket is the executor's end of a connection.
type executorSocket struct {
	conn     *memnet.Conn
	response platform.Answer // state of the response that is being written
}

// host returns the name of the executor's process in the network.
func (x *executor) host() string { return fmt.Sprintf("%s#%d", x.ID, x.incarnation) }

// startExecutor starts the executor's process, which listens on the executor's address.
func (ns *networkedSimulation) startExecutor(x *executor) {
	x.incarnation++
	x.sockets = map[emulator.ConnID]*executorSocket{}
	ns.setZone(x.host(), x.Zone)
	ns.setZone(x.addr, x.Zone)
	ns.setUnreachable(x.addr, false)
	incarnation := x.incarnation
	ns.listen(x.host(), x.addr, func(conn *memnet.Conn) { ns.serveExecutor(x, incarnation, conn) })
}

// endExecutor ends the executor's process. If the executor's machine vanishes too, nothing reaches the executor's
// address any more.
func (ns *networkedSimulation) endExecutor(x *executor, vanishes bool) {
	if vanishes {
		ns.setUnreachable(x.addr, true)
	}
	x.sockets = map[emulator.ConnID]*executorSocket{}
	ns.net.Kill(x.host(), vanishes)
}

// serveExecutor reads attempts from a connection until the connection ends.
func (ns *networkedSimulation) serveExecutor(x *executor, incarnation int, conn *memnet.Conn) {
	defer conn.Close()
	key, accepted := ns.acceptAtExecutor(x, incarnation, conn)
	if !accepted {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		attempt, err := platform.ReadAttempt(reader)
		ns.locked(func() {
			switch {
			case x.incarnation != incarnation || x.sockets[key] == nil:
				err = net.ErrClosed
			case err != nil:
				delete(x.sockets, key)
				x.apply(x.ConnClosed(ns.sim.now, key))
			default:
				conn.SetReadDeadline(time.Time{})
				if request := ns.requests[attempt.Job]; request != nil {
					x.apply(x.Accept(ns.sim.now, ns.sim.newAttempt(request, request.node.id, key, x)))
				}
			}
		})
		if err != nil {
			return
		}
	}
}

// acceptAtExecutor lets the executor accept a connection. accepted is false if the executor's process has ended or has
// reached its connection limit.
func (ns *networkedSimulation) acceptAtExecutor(x *executor, incarnation int, conn *memnet.Conn) (key emulator.ConnID, accepted bool) {
	ns.locked(func() {
		if x.incarnation != incarnation {
			return
		}
		ns.sim.lastConnID++
		key = ns.sim.lastConnID
		var outputs []emulator.Output
		accepted, outputs = x.Open(ns.sim.now, key)
		if accepted {
			x.sockets[key] = &executorSocket{conn: conn}
		}
		x.apply(outputs)
	})
	return key, accepted
}

// answerAttempt writes an executor's answer or notice to its connection.
func (ns *networkedSimulation) answerAttempt(x *executor, answer emulator.Message) {
	socket, request := x.sockets[answer.Conn], ns.requests[answer.Job]
	if socket == nil || request == nil {
		return
	}
	text, complete := socket.response.Append(nil, answer, x.ID, platform.Result(string(request.work.ID)))
	socket.conn.Write(text) //nolint:errcheck // if the connection is broken, the goroutine that reads from it records that
	if answer.Kind == emulator.AttemptStarted && ns.sim.now-request.sentAt > queuedStart {
		ns.sim.result.QueuedStarts++
	}
	if complete {
		socket.conn.SetReadDeadline(time.Now().Add(time.Duration(ns.sim.scenario.Fleet.IdleTimeout)))
		ns.scheduleSecondAnswer(x, socket, answer)
	}
}

// maxSecondAnswerDelay is the longest time from an answer to the second answer that emulator.SecondAnswers brings about.
const maxSecondAnswerDelay = 60 * time.Millisecond

// scheduleSecondAnswer has an executor send a second answer to an attempt with the probability of the current fault: the same answer or,
// after half of the others, a rejection, which names no job.
func (ns *networkedSimulation) scheduleSecondAnswer(x *executor, socket *executorSocket, answer emulator.Message) {
	name := fmt.Sprint(answer.Job, answer.Conn)
	if ns.net.Chance("second"+name) >= ns.sim.secondAnswerRate {
		return
	}
	if ns.net.Chance("second kind"+name) < 0.5 {
		answer.Kind = emulator.AttemptRejected
	}
	text, _ := new(platform.Answer).Append(nil, answer, x.ID, platform.Result(string(ns.requests[answer.Job].work.ID)))
	delay := time.Duration(ns.net.Chance("second delay"+name) * float64(maxSecondAnswerDelay))
	ns.sim.after(delay, func() {
		if x.sockets[answer.Conn] == socket {
			socket.conn.Write(text) //nolint:errcheck // the node may have closed the connection
		}
	})
}
