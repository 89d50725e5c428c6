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

// malformedReplyLimit is how soon a bad client is owed an error or a close, after it has sent all that it sends.
const malformedReplyLimit = 3 * time.Second

// malformedRequests are what bad clients send. One that holds a batch job within another must not have it go on.
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

// requestHead makes the head of a batch job with these fields.
func requestHead(fields ...string) string {
	return "POST /x HTTP/1.1\r\nHost: backend.local\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}

// startMalformedClients lets bad clients come to all nodes at a steady rate, with each text in turn.
func (v *wiredWorld) startMalformedClients() {
	gap, turn := time.Duration(1e9/v.world.scenario.Load.Bad), 0
	var come func()
	come = func() {
		if v.world.now >= time.Duration(v.world.scenario.Length) {
			return
		}
		turn++
		for _, n := range v.world.nodes {
			if n.up && n.process != nil {
				text := strings.ReplaceAll(malformedRequests[turn%len(malformedRequests)], "TRACK", v.world.scenario.Tracks[0].Name)
				go v.malformedClient(n.process, fmt.Sprint("bad", turn), text)
			}
		}
		v.world.after(gap, come)
	}
	v.world.after(clientsStartAfter, come)
}

// malformedClient is a bad client: it sends its text and reads what comes.
func (v *wiredWorld) malformedClient(l *nodeProcess, id, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), malformedReplyLimit)
	defer cancel()
	c, err := v.net.Dial(ctx, "bad", id, l.addr)
	if err != nil {
		return
	}
	defer c.Close()
	c.Write([]byte(text)) //nolint:errcheck // reading the answer shows what became of the connection
	c.SetReadDeadline(time.Now().Add(malformedReplyLimit))
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	v.update(func() {
		v.world.result.Bad++
		if l.dead {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) || err == nil && answer.StatusCode < http.StatusBadRequest {
			v.world.result.Wrong++
		}
	})
}
