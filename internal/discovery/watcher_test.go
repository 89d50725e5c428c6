package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/node"
	"birchstair/policy"
)

// host returns a list entry in discovery's wire form, with further fields appended.
func host(name string, fields string) string {
	return `{"host":"` + name + `","dial":"127.0.0.1:80","site":"tartu","class":"small","block":3,` + fields + `}`
}

// TestWatch pins the requests to a discovery service that sends complete lists, changes and malformed responses, closes
// connections and leaves requests unanswered, and the events that the node is notified of.
func TestWatch(t *testing.T) {
	ready, draining := `"health":"ready","share":1.5,"born_ms":0`, `"health":"draining","share":1,"born_ms":5500`
	responses := []string{
		"close", // discovery is down
		"hang",
		`{"seq":41,"whole":true,"hosts":[` + host("a", ready) + `,` + host("b", draining) + `]}`,
		`{"seq":41,"whole":false,"hosts":[]}`,
		`{"seq":43,"whole":false,"hosts":[` + host("a", draining) + `,{"host":"b","health":"gone"}]}`,
		"hang", // a long poll that hangs: the watch goes on from the same version
		`{"seq":44,"whole":true,"hosts":[` + host("c", ready) + `]}`,
		"close",
		`{"seq":45,"whole":false,"hosts":[` + host("d", ready) + `]}`,
		`{"seq":46,"whole":false,"hosts":[` + host("e", `"health":"asleep"`) + `]}`,
		`{"seq":47,"whole":false,"hosts":[]}`, // changes in place of the requested complete list
		`{"seq":47,"whole":true,"hosts":[` + host("f", ready),
		`{"whole":true,"hosts":[]}`,
		`{"seq":48,"whole":true,"hosts":[{"host":"","dial":"127.0.0.1:80","health":"ready"}]}`,
		`{"seq":49,"whole":true,"hosts":[{"host":"g","dial":"nowhere","health":"ready"}]}`,
		"error",
		`{"seq":50,"whole":true,"hosts":[{"host":"h","dial":"127.0.0.1:81","health":"ready","site":"new","class":"new"}]}`,
	}
	golden.Compare(t, "watch.txt", playResponses(t, NewTiming(time.Second, true), CachedList{}, responses))
}

// TestResumeFromCachedList checks that the first watch on a shared service resumes from the version of the cached list,
// and applies the changes to that list. Versions that restarted and error responses cause a request for the complete
// list; rejections do not. Where lists are pushed, or the cached list is not complete, the complete list is requested.
func TestResumeFromCachedList(t *testing.T) {
	ready, draining := `"health":"ready","share":1.5,"born_ms":0`, `"health":"draining","share":1,"born_ms":5500`
	entries := `"hosts":[` + host("a", ready) + `,` + host("b", ready) + `,` + host("c", ready) + `]}`
	complete := `{"seq":60,"whole":true,"hosts":[` + host("z", ready) + `]}`
	var out strings.Builder
	for _, c := range []struct {
		name, cached string
		pushed       bool
		responses    []string
	}{
		{"changes", `{"seq":41,"whole":true,` + entries, false, []string{"hang", "close", "reject",
			`{"seq":43,"whole":false,"hosts":[` + host("a", draining) + `,{"host":"b","health":"gone"},` + host("d", ready) + `]}`,
			`{"seq":44,"whole":false,"hosts":[` + host("d", draining) + `]}`}},
		{"nothing has changed", `{"seq":41,"whole":true,` + entries, false, []string{`{"seq":41,"whole":false,"hosts":[]}`}},
		{"complete list", `{"seq":41,"whole":true,` + entries, false, []string{complete}},
		{"versions restarted", `{"seq":41,"whole":true,` + entries, false, []string{`{"seq":7,"whole":false,"hosts":[]}`, complete}},
		{"error response", `{"seq":41,"whole":true,` + entries, false, []string{"error", complete}},
		{"rejections", `{"seq":41,"whole":true,` + entries, false, []string{"reject", "reject", "reject", complete}},
		{"cached list not complete", `{"seq":41,"whole":false,` + entries, false, []string{complete}},
		{"pushed", `{"seq":41,"whole":true,` + entries, true, []string{complete}},
		{"no cached list", ``, false, []string{complete}},
	} {
		cached, err := traceNames.DecodeCached([]byte(c.cached))
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString("-- " + c.name + "\n" + playResponses(t, NewTiming(time.Second, c.pushed), cached, c.responses))
	}
	golden.Compare(t, "cached_list.txt", out.String())
}

var traceNames = Names{Zones: []string{"tallinn", "tartu"}, Kinds: []string{"large", "small"}, Start: time.UnixMilli(5000)}

// playResponses runs a watcher against a discovery service that sends the given responses, and returns a trace of the
// requests, the responses and the events that the node is notified of. The responses close, hang, error and reject
// stand for a closed connection, a request left unanswered, status 500 and status 503.
func playResponses(t *testing.T, timing Timing, cached CachedList, responses []string) string {
	var out strings.Builder
	steps := make(chan string)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i := int(requests.Add(1)) - 1
		if i >= len(responses) {
			cancel()
			return
		}
		response := responses[i]
		steps <- fmt.Sprintf("%s %s: %.40s", r.Method, r.URL, response)
		switch response {
		case "close":
			panic(http.ErrAbortHandler)
		case "hang":
			<-r.Context().Done()
		case "error":
			w.WriteHeader(http.StatusInternalServerError)
		case "reject":
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.Write([]byte(response))
		}
	}))
	defer server.Close()

	w := New(traceNames, timing, nil, func(ev node.Event) {
		steps <- "  -> " + describe(ev.(node.EndpointsUpdated))
	})
	w.Cached = cached
	w.timing.LongPoll, w.timing.HedgeDelay, w.timing.InitialHedgeDelay = 20*time.Millisecond, time.Second, time.Second
	go func() {
		w.Run(ctx, server.Listener.Addr().String())
		close(steps)
	}()
	for step := range steps {
		out.WriteString(step + "\n")
		w.WatchEndpoints()
	}
	return out.String()
}

// describe returns an event in the form that the golden files use.
func describe(updated node.EndpointsUpdated) string {
	kinds := map[policy.EndpointUpdateKind]string{policy.CompleteUpdate: "complete", policy.IncrementalUpdate: "changes", policy.WatchFailed: "watch failed"}
	line := kinds[updated.Kind]
	for _, e := range updated.Endpoints {
		line += fmt.Sprintf("; %s at %s zone %d kind %d cell %d state %d weight %v", e.Executor, e.Addr, e.Zone,
			e.Kind, e.Cell, e.State, e.Weight)
		if !e.StartedLongAgo {
			line += " started " + e.StartedAt.String()
		}
	}
	return line
}

// TestSwitchDiscovery checks that after a switch to another address, the old one stays active until the new one has
// sent the complete list, and no longer. A switch to the current address has no effect.
func TestSwitchDiscovery(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	steps := make(chan string, 100)
	oldServer, newServer := newScriptedServer(t, "old", steps), newScriptedServer(t, "new", steps)
	w := New(Names{}, NewTiming(time.Second, true), nil, func(ev node.Event) {
		switch ev := ev.(type) {
		case node.EndpointsUpdated:
			if ev.Kind != policy.WatchFailed {
				steps <- fmt.Sprintf("  -> list %d: %s", ev.Kind, ev.Endpoints[0].Executor)
			} else if ctx.Err() == nil { // the end of the test makes requests fail too
				t.Error("the node was notified of a failed watch:", ev.Detail)
				steps <- "  -> watch failed"
				cancel()
			}
		case node.DiscoverySwitchPending:
			steps <- "  -> switch to " + strings.ReplaceAll(ev.Addr, newServer.addr, "new") + " pending: " + strings.ReplaceAll(ev.Detail, newServer.addr, "new")
		}
	})
	// The hedge delays are so long that no request is hedged, even if a response takes long on a busy machine.
	w.timing.HedgeDelay, w.timing.InitialHedgeDelay = 20*time.Second, 20*time.Second
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx, oldServer.addr)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	var out strings.Builder
	// The functions below end the test if the context has ended, which means that the watch has failed.
	expect := func(n int) {
		t.Helper()
		got := make([]string, n)
		for i := range got {
			select {
			case got[i] = <-steps:
			case <-ctx.Done():
				t.FailNow()
			}
		}
		slices.Sort(got) // they may arrive in any order
		out.WriteString(strings.Join(got, "\n") + "\n")
	}
	awaitRequest := func(s *scriptedServer) {
		t.Helper()
		select {
		case <-s.requests:
		case <-ctx.Done():
			t.FailNow()
		}
	}
	answer := func(s *scriptedServer, text string) {
		t.Helper()
		out.WriteString(s.name + " answers " + text + "\n")
		select {
		case s.answers <- text:
		case <-ctx.Done():
			t.FailNow()
		}
	}
	entry := func(seq, whole, name string) string {
		return `{"seq":` + seq + `,"whole":` + whole + `,"hosts":[` + host(name, `"health":"ready"`) + `]}`
	}
	awaitRequest(oldServer)
	answer(oldServer, entry("41", "true", "a"))
	expect(1)
	w.SwitchDiscovery(oldServer.addr)
	w.SwitchDiscovery(newServer.addr) // replaces the switch above if Run has not read it yet
	awaitRequest(newServer)
	answer(newServer, "error")
	expect(1)
	awaitRequest(oldServer)
	answer(oldServer, entry("42", "false", "b"))
	expect(1)
	awaitRequest(newServer)
	awaitRequest(oldServer) // without a request in flight, the old server could not notice the end of the old watch
	answer(newServer, entry("7", "true", "c"))
	expect(2)
	w.SwitchDiscovery(newServer.addr)
	awaitRequest(newServer)
	answer(newServer, entry("8", "false", "d"))
	expect(1)
	golden.Compare(t, "switch.txt", out.String())
}

// scriptedServer is a discovery service whose answers a test sends one by one.
type scriptedServer struct {
	name, addr string
	requests   chan struct{} // receives a value when a request has reached the handler
	answers    chan string   // each is the response to one request; "error" stands for status 500
}

// newScriptedServer starts a server, which reports to steps when a client cancels a request.
func newScriptedServer(t *testing.T, name string, steps chan<- string) *scriptedServer {
	s := &scriptedServer{name: name, requests: make(chan struct{}, 100), answers: make(chan string)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests <- struct{}{}
		select {
		case <-r.Context().Done():
			steps <- name + ": the watch has ended"
		case answer := <-s.answers:
			if answer == "error" {
				w.WriteHeader(http.StatusInternalServerError)
			}
			w.Write([]byte(answer))
		}
	}))
	t.Cleanup(server.Close)
	s.addr = server.Listener.Addr().String()
	return s
}

// TestDecodeCached checks that the cached list, which a node gets at its start, is decoded from discovery's wire form,
// and may be missing.
func TestDecodeCached(t *testing.T) {
	for text, want := range map[string]string{
		"":     "0 <nil>",
		"null": "0 <nil>",
		`{"seq":1,"whole":true,"hosts":[` + host("a", `"health":"ready"`) + `]}`: "1 <nil>",
		`{"seq":1,"hosts":[{}]}`: `0 known: malformed list: entry ""`,
	} {
		got, err := Names{}.DecodeCached([]byte(text))
		if s := fmt.Sprint(len(got.Endpoints), " ", err); s != want {
			t.Errorf("%s: %s, want %s", text, s, want)
		}
	}
}

// TestUnresponsiveDiscovery checks that a long poll is treated as failed if it stays unanswered, and that long polls
// are short until discovery answers again, so that a request that hangs does not delay the next update.
func TestUnresponsiveDiscovery(t *testing.T) {
	var mu sync.Mutex
	var requests, notified strings.Builder
	count, done := 0, make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		count++
		i := count
		if i <= 5 {
			fmt.Fprintln(&requests, "request:", r.URL)
		}
		mu.Unlock()
		switch i {
		case 1:
			w.Write([]byte(`{"seq":1,"whole":true,"hosts":[` + host("a", `"health":"ready"`) + `]}`))
		case 2, 3: // the long poll and the next request are never answered, not even after discovery is back
			<-r.Context().Done()
		case 4:
			w.Write([]byte(`{"seq":2,"whole":false,"hosts":[` + host("a", `"health":"draining"`) + `]}`))
		case 5:
			close(done)
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	defer cancel()
	w := New(Names{}, NewTiming(400*time.Millisecond, true), nil, func(ev node.Event) {
		mu.Lock()
		defer mu.Unlock()
		if updated := ev.(node.EndpointsUpdated); updated.Kind == policy.WatchFailed {
			fmt.Fprintln(&notified, "notified: watch failed")
		} else {
			fmt.Fprintf(&notified, "notified: list %d: %s %d\n", updated.Kind, updated.Endpoints[0].Executor, updated.Endpoints[0].State)
		}
	})
	// The hedge delay is so long that every request arrives before its end, even on a busy machine.
	w.timing.LongPoll, w.timing.HedgeDelay = 50*time.Millisecond, 2*time.Second
	go w.Run(ctx, server.Listener.Addr().String())
	<-done
	mu.Lock()
	defer mu.Unlock()
	golden.Compare(t, "unresponsive.txt", requests.String()+notified.String())
}

// TestRetryTimes pins how long an unanswered request, the backoff after it and the next request take in total, by drain
// grace. Where lists are pushed, they must fit in a drain grace of 400ms or more.
func TestRetryTimes(t *testing.T) {
	var out strings.Builder
	for _, grace := range []time.Duration{50, 150, 400, 1000, 1500, 2000, 10000} {
		grace *= time.Millisecond
		for _, pushed := range []bool{true, false} {
			timing := NewTiming(grace, pushed)
			total := 2*(defaults.ProbeLongPoll+timing.HedgeDelay) + timing.MaxBackoff
			fmt.Fprintf(&out, "grace %v pushed %v: hedge delay %v, backoffs up to %v, in total %v\n", grace, pushed, timing.HedgeDelay, timing.MaxBackoff, total)
			if pushed && grace >= 400*time.Millisecond && total > grace {
				t.Errorf("%v is over the drain grace %v", total, grace)
			}
		}
	}
	golden.Compare(t, "retry_times.txt", out.String())
}
