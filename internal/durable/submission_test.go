package durable_test

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"birchstair/internal/durable"
	"birchstair/internal/emulator"
	"birchstair/internal/memnet"
	"birchstair/internal/synctesting"
)

var submissionSeeds = flag.Uint64("submission-seeds", 200, "number of runs with drawn submissions")

// rawSubmission is a submission as a client writes it. Its values can hold any bytes but line feeds, which end a header.
type rawSubmission struct {
	target, host, key, contentType, path string
	body                                 []byte
	result                               string // result that the executor returns
}

// bytes returns the bytes that the client writes.
func (s rawSubmission) bytes() []byte {
	b := fmt.Appendf(nil, "PUT %s HTTP/1.1\r\nHost: %s\r\nX-Call-Class: page\r\nX-Budget-Ms: 600000\r\n", s.target, s.host)
	for _, header := range [...]struct{ name, value string }{{"Idempotency-Key", s.key}, {"Content-Type", s.contentType}, {"X-Path", s.path}} {
		if header.value != "" {
			b = fmt.Appendf(b, "%s: %s\r\n", header.name, header.value)
		}
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(s.body))
	return append(b, s.body...)
}

// receivedRequest holds the values of a request that an executor must receive as the client sent them.
type receivedRequest struct{ method, uri, host, callID, key, contentType, body string }

// expected returns the request that an executor must receive if the submission is accepted.
func (s rawSubmission) expected() (want receivedRequest, id string, err error) {
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(s.bytes()))))
	if err != nil {
		return want, "", err
	}
	want = received(request)
	id = strings.TrimPrefix(request.URL.Path, durable.Path)
	want.method, want.callID, want.uri = http.MethodPost, "durable-"+id, request.Header.Get("X-Path")
	if want.uri == "" {
		want.uri = "/"
	}
	return want, id, nil
}

// received returns the values of a request.
func received(r *http.Request) receivedRequest {
	body, _ := io.ReadAll(r.Body) //nolint:errcheck // an incomplete body differs from the expected one
	return receivedRequest{r.Method, r.RequestURI, r.Host, r.Header.Get("X-Call-Id"), r.Header.Get("Idempotency-Key"), r.Header.Get("Content-Type"), string(body)}
}

// recordingExecutor records the requests that it receives. While it is busy, it starts all of them and finishes none.
type recordingExecutor struct {
	mu       sync.Mutex
	busy     bool
	results  map[string]string // results by the ID that the client chose
	requests []receivedRequest
	errors   []error // errors of requests that could not be read
}

func (e *recordingExecutor) setBusy(busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = busy
}

func (e *recordingExecutor) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *recordingExecutor) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		request, err := http.ReadRequest(in)
		if err != nil {
			e.mu.Lock()
			e.errors = append(e.errors, err)
			e.mu.Unlock()
			return
		}
		got := received(request)
		e.mu.Lock()
		e.requests = append(e.requests, got)
		state, end := "done", "0\r\n\r\n"
		if e.busy {
			state, end = "started", ""
		}
		line, err := json.Marshal(map[string]string{"id": got.callID, "state": state, "result": e.results[clientID(got.callID)]})
		e.mu.Unlock()
		if err != nil {
			return
		}
		line = append(line, '\n')
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", len(line), line, end); err != nil {
			return
		}
	}
}

// submissionRun is one run: a node with its disk, discovery and recording executors, and clients that submit jobs.
type submissionRun struct {
	*simulation
	executor *recordingExecutor
	process  *nodeProcess
}

// send writes bytes on a new connection and returns the status of the response, or 0 if there is none.
func (r *submissionRun) send(name string, b []byte) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	c, err := r.net.Dial(ctx, "client", name, r.addr)
	if err != nil {
		return 0, nil
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute)) //nolint:errcheck // can't fail on an open connection
	if _, err := c.Write(b); err != nil {
		return 0, nil
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil
	}
	body, _ = io.ReadAll(answer.Body) //nolint:errcheck // an incomplete body can't be decoded
	return answer.StatusCode, body
}

// checkAnswer checks that a job's final answer can be fetched under the ID that the client submitted.
func (r *submissionRun) checkAnswer(title string, s rawSubmission, id string) {
	status, body := r.send(title, []byte("GET "+s.target+"?wait_ms=60000 HTTP/1.1\r\nHost: n\r\n\r\n"))
	var answer struct {
		ID, Final string
		Result    []byte
	}
	if err := json.Unmarshal(body, &answer); err != nil || status != http.StatusOK || answer.ID != id || answer.Final != "handled" || string(answer.Result) != s.result {
		r.violation("%s: job %q: answer %d %+v, want it handled with result %q", title, id, status, answer, s.result)
	}
}

// restart kills the node and starts it again. In between the executors become free.
func (r *submissionRun) restart() {
	r.process.kill()
	r.executor.setBusy(false)
	time.Sleep(time.Second)
	r.process = r.startNode()
	time.Sleep(2 * time.Second)
}

// runSubmissions submits jobs one after the other, with a kill of the node while they are in flight if killed is set, and another
// kill after they were answered. It returns what was wrong: an accepted submission that came to executors with other values, or
// not exactly once in each incarnation of the node, or whose answer is lost; or a rejected one that came to executors.
func runSubmissions(t *testing.T, submissions []rawSubmission, killed bool) (violations []string, accepted int) {
	t.Helper()
	synctesting.Test(t, func(t *testing.T) {
		r := &submissionRun{
			simulation: &simulation{t: t, rand: rand.New(rand.NewPCG(1, 2)), disk: emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))},
			executor:   &recordingExecutor{busy: killed, results: map[string]string{}},
		}
		r.net = memnet.New(1, func(_, _ string) memnet.Path { return memnet.Path{Delay: time.Millisecond} })
		for i := range 3 {
			l, err := r.net.Listen(fmt.Sprint("e", i), fmt.Sprintf("127.1.0.%d:9000", i+1))
			if err != nil {
				t.Fatal(err)
			}
			go r.executor.serve(l)
		}
		r.startDiscovery()
		r.process = r.startNode()
		time.Sleep(time.Second)
		byID := r.submitAll(submissions)
		accepted = len(byID)
		if killed {
			time.Sleep(100 * time.Millisecond) // until all jobs have started
			r.restart()
		}
		for _, step := range []string{"answer", "answer after a restart"} {
			for id, s := range byID {
				r.checkAnswer(step, s, id)
			}
			r.restart()
		}
		r.checkRequests(byID, killed)
		r.end(r.process.kill)
		violations = r.violations
	})
	return violations, accepted
}

// submitAll submits jobs and returns those that were accepted, by ID.
func (r *submissionRun) submitAll(submissions []rawSubmission) map[string]rawSubmission {
	byID := map[string]rawSubmission{}
	for i, s := range submissions {
		_, id, err := s.expected()
		if _, known := byID[id]; known {
			continue
		}
		r.executor.mu.Lock()
		r.executor.results[id] = s.result
		r.executor.mu.Unlock()
		status, body := r.send(fmt.Sprint("submission ", i), s.bytes())
		switch {
		case status == http.StatusCreated && err != nil:
			r.violation("%q was accepted, but is not a request: %v", s.bytes(), err)
		case status == http.StatusCreated:
			byID[id] = s
		case status < 400 && status != 0 || status >= 500 && status != http.StatusNotImplemented && status != http.StatusHTTPVersionNotSupported:
			r.violation("%q was answered with %d %q", s.bytes(), status, body)
		}
	}
	return byID
}

// checkRequests compares what executors received with what was submitted.
func (r *submissionRun) checkRequests(byID map[string]rawSubmission, killed bool) {
	r.executor.mu.Lock()
	defer r.executor.mu.Unlock()
	for _, err := range r.executor.errors {
		r.violation("an executor received a request that can't be read: %v", err)
	}
	runs := 1
	if killed {
		runs = 2 // the first one was not answered
	}
	counts := map[string]int{}
	for _, got := range r.executor.requests {
		id := clientID(got.callID)
		got.callID = "durable-" + id
		s, ok := byID[id]
		if !ok {
			r.violation("an executor received %+v, which nobody submitted", got)
			continue
		}
		counts[id]++
		if want, _, _ := s.expected(); got != want {
			r.violation("an executor received %+v, want %+v", got, want)
		}
	}
	for id := range byID {
		if counts[id] != runs {
			r.violation("job %q was received %d times, want %d", id, counts[id], runs)
		}
	}
}

// textPieces are what drawn values consist of: tidy text, text that is legal in one protocol only, and text that ends a field.
var textPieces = []string{
	"a", "order-17", "B2", "", "%2F", "%252F", "%0d%0aX-A:1", "%00", "%E9", "%zz", "%", "õ", "\u2028", "\U0001f333", "\xf5", "\xff\xfe", "\xed\xa0\x80",
	"\t", " ", "\r", "\x00", "\x1b[2J", "\x7f", "/", "..", ".", "?", "#", "&x=1", "=", ";", ",", ":", "@", "\"", "\\", "<", "{}", "durable-", "'", "+", "[", "]",
}

func drawText(r *rand.Rand, maxPieces int) string {
	text := ""
	for range r.IntN(maxPieces + 1) {
		text += textPieces[r.IntN(len(textPieces))]
	}
	return text
}

// drawSubmission draws a submission. Half of the IDs are escaped, so that they can hold any byte.
func drawSubmission(r *rand.Rand, number int) rawSubmission {
	id := fmt.Sprint(number, drawText(r, 3))
	if r.IntN(2) == 0 {
		id = url.PathEscape(id)
	}
	s := rawSubmission{target: durable.Path + id, host: "n", result: strings.ToValidUTF8(drawText(r, 4), "?"), body: []byte(drawText(r, 4) + "\r\n\r\nPOST / HTTP/1.1")}
	switch r.IntN(6) {
	case 0:
		s.key = drawText(r, 3)
	case 1:
		s.contentType = "text/plain; name=" + drawText(r, 3)
	case 2:
		s.path = "/" + drawText(r, 3)
	case 3:
		s.host = "n" + drawText(r, 1)
	case 4:
		s.target = "http://h" + drawText(r, 1) + s.target
	}
	return s
}

// TestSubmissionsArriveUnchanged draws submissions and checks the whole way of their values: from the client's bytes to the record,
// the recovered record, the request to the executor, and back to the answer. It guards against values that another protocol on the
// way can't carry: they must be refused, and all others arrive as they were sent, also after a restart.
func TestSubmissionsArriveUnchanged(t *testing.T) {
	const perRun, perKilledRun = 30, 3 // so few that none waits for a token while executors are busy
	accepted, total := 0, 0
	for seed := range *submissionSeeds {
		r := rand.New(rand.NewPCG(seed, 55))
		killed := seed%4 > 0
		count := perRun
		if killed {
			count = perKilledRun
		}
		var submissions []rawSubmission
		for i := range count {
			submissions = append(submissions, drawSubmission(r, i))
		}
		violations, n := runSubmissions(t, submissions, killed)
		for _, text := range violations {
			t.Errorf("seed %d, killed %v: %s", seed, killed, text)
		}
		accepted += n
		total += count
	}
	if accepted < total/4 || accepted > total*9/10 {
		t.Errorf("%d of %d submissions were accepted: the draw is too tidy or too wild", accepted, total)
	}
}

// FuzzSubmission checks the same for submissions that the fuzzer finds.
func FuzzSubmission(f *testing.F) {
	f.Add("order-17", "n", "key", "text/plain; name=\"J\xf5gi\"", "/x?y=1", []byte("body"), true)
	f.Add("verify-1%0d%0aX-A:1", "n", "", "", "", []byte("body"), false)
	f.Add("order%252F17", "h\xe9", "caf\xe9", "", "/caf\xe9", []byte("\r\n\r\nPOST / HTTP/1.1\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, id, host, key, contentType, path string, body []byte, killed bool) {
		for _, value := range []*string{&id, &host, &key, &contentType, &path} {
			*value = strings.ReplaceAll(*value, "\n", "") // a line feed ends a header, which would make another request
		}
		s := rawSubmission{target: durable.Path + id, host: host, key: key, contentType: contentType, path: path, body: body, result: "done"}
		violations, _ := runSubmissions(t, []rawSubmission{s}, killed)
		for _, text := range violations {
			t.Error(text)
		}
	})
}
