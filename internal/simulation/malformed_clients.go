package simulation

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// malformedReplyTimeout is the time within which a node must answer a malformed request with an error, or close the
// client's connection.
const malformedReplyTimeout = 3 * time.Second

// classPlaceholder stands for the name of a job class in malformedRequests.
const classPlaceholder = "TRACK"

// malformedRequests are the requests that misbehaving clients send. One of them hides a second request in its body. The
// node must not serve this hidden request.
var malformedRequests = []string{
	"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	"GET",
	"",
	requestHead("X-Call-Id: bad", "Content-Length: 10") + "half",
	requestHead("X-Call-Id: bad", "X-Call-Class: TRACK", "X-Budget-Ms: 900", "Content-Length: -5"),
	requestHead("X-Call-Id: bad", "X-Call-Class: TRACK", "X-Budget-Ms: 900", "Content-Length: 60000000") + strings.Repeat("x", 4096),
	requestHead("X-Call-Id: bad", "X-Call-Class: nothing", "X-Budget-Ms: 900", "Content-Length: 0"),
	requestHead("X-Call-Class: TRACK", "X-Budget-Ms: 900", "Content-Length: 0"),
	requestHead("X-Call-Id: bad", "X-Call-Class: TRACK", "X-Budget-Ms: soon", "Content-Length: 0"),
	requestHead("X-Call-Id: bad", "X-Call-Class: TRACK", "X-Budget-Ms: -1", "Content-Length: 0"),
	requestHead("X-Call-Id: bad", "X-Call-Class: TRACK", "X-Budget-Ms: 900", "Content-Length: 5", "Transfer-Encoding: chunked") +
		"0\r\n\r\n" + requestHead("X-Call-Id: hidden", "X-Call-Class: TRACK", "X-Budget-Ms: 900", "Content-Length: 0"),
	"POST /x HTTP/1.1\r\n" + strings.Repeat("X-Long: "+strings.Repeat("y", 1000)+"\r\n", 40),
}

// requestHead returns the head of a request with the given header fields.
func requestHead(fields ...string) string {
	return "POST /x HTTP/1.1\r\nHost: backend.local\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}

// startMalformedClients sends malformed requests to each node at the scenario's rate, cycling through malformedRequests.
func (ns *networkedSimulation) startMalformedClients() {
	sim := ns.sim
	gap, turn := time.Duration(1e9/sim.scenario.Load.MalformedRate), 0
	var next func()
	next = func() {
		if sim.now >= time.Duration(sim.scenario.Length) {
			return
		}
		turn++
		request := strings.ReplaceAll(malformedRequests[turn%len(malformedRequests)], classPlaceholder, sim.scenario.Classes[0].Name)
		for _, n := range sim.nodes {
			if n.up && n.process != nil {
				go ns.sendMalformed(n.process, fmt.Sprint("bad", turn), request)
			}
		}
		sim.after(gap, next)
	}
	sim.after(clientsStartAfter, next)
}

// sendMalformed sends a malformed request to a node. The node's reaction counts as wrong if the node answers with a
// status other than an error, or neither answers nor closes the connection in time.
func (ns *networkedSimulation) sendMalformed(p *nodeProcess, id, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), malformedReplyTimeout)
	defer cancel()
	conn, err := ns.net.Dial(ctx, "bad", id, p.addr)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.Write([]byte(request)) //nolint:errcheck // reading the answer reports an error of the connection
	conn.SetReadDeadline(time.Now().Add(malformedReplyTimeout))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	ns.locked(func() {
		ns.sim.result.Malformed++
		if p.ended {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) || err == nil && answer.StatusCode < http.StatusBadRequest {
			ns.sim.result.Wrong++
		}
	})
}
