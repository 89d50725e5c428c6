package frontend

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"birchstair/internal/node"
	"birchstair/policy"
)

// headerLines returns header lines with different short names.
func headerLines(n int) string {
	var lines strings.Builder
	for i := range n {
		lines.WriteString("f" + strconv.Itoa(i) + ":\r\n")
	}
	return lines.String()
}

// TestTooManyHeaderFields sends headers with as many fields as the limit and with more, at once and byte by byte, behind another
// request and ahead of an answer. The first must be served, the others answered with 431, and their rest must never be taken for a
// request.
func TestTooManyHeaderFields(t *testing.T) {
	const ownFields = 4 // of jobRequest
	withFields := func(id string, more int) string {
		return strings.Replace(jobRequest(id), "\r\n\r\n", "\r\n"+headerLines(more)+"\r\n", 1)
	}
	if n := strings.Count(jobRequest("handled-1"), ":"); n != ownFields {
		t.Fatalf("jobRequest has %d fields", n)
	}
	for _, c := range []struct {
		name string
		text string
		want []int // statuses of the answers, in order
	}{
		{"as many as allowed", withFields("handled-1", maxHeaderFields-ownFields), []int{200}},
		{"one more", withFields("handled-1", maxHeaderFields-ownFields+1), []int{431}},
		{"far more", withFields("handled-1", 3000), []int{431}},
		{"far more, and no end", "POST /x HTTP/1.1\r\nHost: n\r\n" + headerLines(3000), []int{431}},
		{"behind another request", jobRequest("handled-1") + withFields("handled-2", 3000), []int{200, 431}},
		{"followed by another request", withFields("handled-1", 3000) + jobRequest("handled-2"), []int{431}},
		{"chunked and with a length", strings.Replace(withFields("handled-1", 3000), "Host", "Transfer-Encoding: chunked\r\nContent-Length: 9\r\nHost", 1), []int{431}},
	} {
		for _, pieces := range []int{len(c.text), 1} {
			n, _ := newHaltableNode(t, 10)
			from := n.dial()
			go func() {
				for text := c.text; text != ""; text = text[min(pieces, len(text)):] {
					if _, err := from.Write([]byte(text[:min(pieces, len(text))])); err != nil {
						return // the server has closed the connection
					}
				}
			}()
			var got []int
			for range c.want {
				a, err := http.ReadResponse(from.in, nil)
				if err != nil {
					t.Fatalf("%s: %v after answers %v", c.name, err, got)
				}
				if _, err := from.in.Discard(int(a.ContentLength)); err != nil {
					t.Fatal(err)
				}
				got = append(got, a.StatusCode)
				if a.StatusCode == http.StatusRequestHeaderFieldsTooLarge && !a.Close {
					t.Errorf("%s: the connection stays open", c.name)
				}
			}
			for i := range c.want {
				if got[i] != c.want[i] {
					t.Errorf("%s, %d bytes at a time: statuses %v, want %v", c.name, pieces, got, c.want)
				}
			}
			from.Close()
			n.server.http.Close()
			for range len(n.events) {
				<-n.events
			}
		}
	}
}

// TestTooManyHeaderFieldsReadAhead sends a header with too many fields while an answer is pending.
func TestTooManyHeaderFieldsReadAhead(t *testing.T) {
	n, _ := newHaltableNode(t, 10)
	from := n.dial()
	from.send(jobRequest("wait-1"))
	client := n.nextJob().Client
	from.send("POST /y HTTP/1.1\r\nHost: n\r\n" + headerLines(3000))
	n.waitUntil("the connection is read ahead", func() bool {
		ahead := false
		n.eachConn(func(conn *clientConn) { ahead = conn.readAhead.running })
		return ahead
	})
	if client.State() != node.ClientWaits {
		t.Error("a client that sends a long header is not known to wait")
	}
	n.server.Answer(answerTo("wait-1"))
	n.printAnswer(from)
	n.printAnswer(from)
	if got := n.out.String(); !strings.Contains(got, "200 \"at last\"") || !strings.Contains(got, "431") {
		t.Errorf("got %s, want the answer and status 431", got)
	}
}

// answerTo returns a successful answer.
func answerTo(id policy.JobID) node.Answer { return node.Answer{Job: id, Result: []byte("at last")} }

// rejectionOf returns a rejection.
func rejectionOf(id policy.JobID) node.Answer { return node.Answer{Job: id, Final: node.Rejected} }
