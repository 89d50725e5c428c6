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

// badWithin is how soon a bad client is owed an error or a close, after it has sent all that it sends.
const badWithin = 3 * time.Second

// badTexts are what bad clients send. One that holds a batch job within another must not have it go on.
var badTexts = []string{
	"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	"GET",
	"",
	head("X-Call-Id: bad", "Content-Length: 10") + "half",
	head("X-Call-Id: bad", "X-Call-Class: TRACK", "X-Budget-Ms: 900", "Content-Length: -5"),
	head("X-Call-Id: bad", "X-Call-Class: TRACK", "X-Budget-Ms: 900", "Content-Length: 60000000") + strings.Repeat("x", 4096),
	head("X-Call-Id: bad", "X-Call-Class: nothing", "X-Budget-Ms: 900", "Content-Length: 0"),
	head("X-Call-Class: TRACK", "X-Budget-Ms: 900", "Content-Length: 0"),
	head("X-Call-Id: bad", "X-Call-Class: TRACK", "X-Budget-Ms: soon", "Content-Length: 0"),
	head("X-Call-Id: bad", "X-Call-Class: TRACK", "X-Budget-Ms: -1", "Content-Length: 0"),
	head("X-Call-Id: bad", "X-Call-Class: TRACK", "X-Budget-Ms: 900", "Content-Length: 5", "Transfer-Encoding: chunked") +
		"0\r\n\r\n" + head("X-Call-Id: hidden", "X-Call-Class: TRACK", "X-Budget-Ms: 900", "Content-Length: 0"),
	"POST /x HTTP/1.1\r\n" + strings.Repeat("X-Long: "+strings.Repeat("y", 1000)+"\r\n", 40),
}

// head makes the head of a batch job with these fields.
func head(fields ...string) string {
	return "POST /x HTTP/1.1\r\nHost: backend.local\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}

// letBadCome lets bad clients come to all nodes at a steady rate, with each text in turn.
func (v *wired) letBadCome() {
	gap, turn := time.Duration(1e9/v.w.s.Load.Bad), 0
	var come func()
	come = func() {
		if v.w.now >= time.Duration(v.w.s.Length) {
			return
		}
		turn++
		for _, n := range v.w.nodes {
			if n.up && n.life != nil {
				text := strings.ReplaceAll(badTexts[turn%len(badTexts)], "TRACK", v.w.s.Tracks[0].Name)
				go v.bad(n.life, fmt.Sprint("bad", turn), text)
			}
		}
		v.w.after(gap, come)
	}
	v.w.after(warmUp, come)
}

// bad is a bad client: it sends its text and reads what comes.
func (v *wired) bad(l *life, id, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), badWithin)
	defer cancel()
	c, err := v.net.Dial(ctx, "bad", id, l.addr)
	if err != nil {
		return
	}
	defer c.Close()
	c.Write([]byte(text)) //nolint:errcheck // reading the answer shows what became of the connection
	c.SetReadDeadline(time.Now().Add(badWithin))
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	v.enter(func() {
		v.w.result.Bad++
		if l.dead {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) || err == nil && answer.StatusCode < http.StatusBadRequest {
			v.w.result.Wrong++
		}
	})
}
