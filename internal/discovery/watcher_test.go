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

func host(name string, fields string) string {
	return `{"host":"` + name + `","dial":"127.0.0.1:80","site":"tartu","class":"small","block":3,` + fields + `}`
}

// TestWatch pins the requests to a discovery that sends complete lists, changes, and malformed answers, closes connections and falls
// silent, and the events that the node is notified of.
func TestWatch(t *testing.T) {
	ready, draining := `"health":"ready","share":1.5,"born_ms":0`, `"health":"draining","share":1,"born_ms":5500`
	answers := []string{
		"close", // discovery is down
		"silent",
		`{"seq":41,"whole":true,"hosts":[` + host("a", ready) + `,` + host("b", draining) + `]}`,
		`{"seq":41,"whole":false,"hosts":[]}`,
		`{"seq":43,"whole":false,"hosts":[` + host("a", draining) + `,{"host":"b","health":"gone"}]}`,
		"silent", // a watch that hangs: it goes on from where it was
		`{"seq":44,"whole":true,"hosts":[` + host("c", ready) + `]}`,
		"close",
		`{"seq":45,"whole":false,"hosts":[` + host("d", ready) + `]}`,
		`{"seq":46,"whole":false,"hosts":[` + host("e", `"health":"asleep"`) + `]}`,
		`{"seq":47,"whole":false,"hosts":[]}`, // changes, where the whole list was asked for
		`{"seq":47,"whole":true,"hosts":[` + host("f", ready),
		`{"whole":true,"hosts":[]}`,
		`{"seq":48,"whole":true,"hosts":[{"host":"","dial":"127.0.0.1:80","health":"ready"}]}`,
		`{"seq":49,"whole":true,"hosts":[{"host":"g","dial":"nowhere","health":"ready"}]}`,
		"error",
		`{"seq":50,"whole":true,"hosts":[{"host":"h","dial":"127.0.0.1:81","health":"ready","site":"new","class":"new"}]}`,
	}
	golden.Compare(t, "watch.txt", playAnswers(t, NewTiming(time.Second, true), CachedList{}, answers))
}

// TestWatchFromTheCopy checks that the first watch on a shared service resumes from the version of the cached list, and completes that
// list by the changes. Versions that went back and malformed answers cause a request for the complete list; a rejection does not. Where
// lists are pushed, or the cached list is not complete, the complete list is requested.
func TestWatchFromTheCopy(t *testing.T) {
	ready, draining := `"health":"ready","share":1.5,"born_ms":0`, `"health":"draining","share":1,"born_ms":5500`
	entries := `"hosts":[` + host("a", ready) + `,` + host("b", ready) + `,` + host("c", ready) + `]}`
	whole := `{"seq":60,"whole":true,"hosts":[` + host("z", ready) + `]}`
	var out strings.Builder
	for _, c := range []struct {
		name, copy string
		pushed     bool
		answers    []string
	}{
		{"changes", `{"seq":41,"whole":true,` + entries, false, []string{"silent", "close", "busy",
			`{"seq":43,"whole":false,"hosts":[` + host("a", draining) + `,{"host":"b","health":"gone"},` + host("d", ready) + `]}`,
			`{"seq":44,"whole":false,"hosts":[` + host("d", draining) + `]}`}},
		{"nothing has changed", `{"seq":41,"whole":true,` + entries, false, []string{`{"seq":41,"whole":false,"hosts":[]}`}},
		{"the whole list", `{"seq":41,"whole":true,` + entries, false, []string{whole}},
		{"versions went back", `{"seq":41,"whole":true,` + entries, false, []string{`{"seq":7,"whole":false,"hosts":[]}`, whole}},
		{"no sense", `{"seq":41,"whole":true,` + entries, false, []string{"error", whole}},
		{"busy", `{"seq":41,"whole":true,` + entries, false, []string{"busy", "busy", "busy", whole}},
		{"a copy of changes", `{"seq":41,"whole":false,` + entries, false, []string{whole}},
		{"pushed", `{"seq":41,"whole":true,` + entries, true, []string{whole}},
		{"no copy", ``, false, []string{whole}},
	} {
		from, err := traceNames.DecodeCached([]byte(c.copy))
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString("-- " + c.name + "\n" + playAnswers(t, NewTiming(time.Second, c.pushed), from, c.answers))
	}
	golden.Compare(t, "copy.txt", out.String())
}

var traceNames = Names{Zones: []string{"tallinn", "tartu"}, Kinds: []string{"large", "small"}, Start: time.UnixMilli(5000)}

// playAnswers returns the requests to a discovery that gives these answers, and the events that the node is notified of.
func playAnswers(t *testing.T, timing Timing, cached CachedList, answers []string) string {
	var out strings.Builder
	steps := make(chan string)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i := int(requests.Add(1)) - 1
		if i >= len(answers) {
			cancel()
			return
		}
		answer := answers[i]
		steps <- fmt.Sprintf("%s %s: %.40s", r.Method, r.URL, answer)
		switch answer {
		case "close":
			panic(http.ErrAbortHandler)
		case "silent":
			<-r.Context().Done()
		case "error":
			w.WriteHeader(http.StatusInternalServerError)
		case "busy":
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.Write([]byte(answer))
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

// describe prints an event as the golden files have it.
func describe(updated node.EndpointsUpdated) string {
	kinds := map[policy.EndpointUpdateKind]string{policy.CompleteUpdate: "whole", policy.IncrementalUpdate: "changes", policy.WatchFailed: "lost"}
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

// TestFollow switches to another address: the old one is active until the new one brings the complete list, and not longer. Switching to
// the address that is watched already changes nothing.
func TestFollow(t *testing.T) {
	steps := make(chan string, 100)
	serve := func(name string, answers chan string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
				steps <- name + ": the watch has ended"
			case answer := <-answers:
				if answer == "error" {
					w.WriteHeader(http.StatusInternalServerError)
				}
				w.Write([]byte(answer))
			}
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	oldAnswers, newAnswers := make(chan string), make(chan string)
	from, to := serve("old", oldAnswers), serve("new", newAnswers)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := New(Names{}, NewTiming(time.Second, true), nil, func(ev node.Event) {
		switch ev := ev.(type) {
		case node.EndpointsUpdated:
			steps <- fmt.Sprintf("  -> list %d: %s", ev.Kind, ev.Endpoints[0].Executor)
		case node.DiscoverySwitchPending:
			steps <- "  -> " + strings.ReplaceAll(ev.Detail, to, "new") + " of " + strings.ReplaceAll(ev.Addr, to, "new")
		}
	})
	// Nothing here depends on time: an answer may take long on a busy machine.
	w.timing.HedgeDelay, w.timing.InitialHedgeDelay = 20*time.Second, 20*time.Second
	go w.Run(ctx, from)
	var out strings.Builder
	expect := func(n int) {
		news := make([]string, n)
		for i := range news {
			news[i] = <-steps
		}
		slices.Sort(news) // in whatever order
		out.WriteString(strings.Join(news, "\n") + "\n")
	}
	answer := func(name string, to chan string, text string) {
		out.WriteString(name + " answers " + text + "\n")
		to <- text
	}
	entry := func(seq, whole, name string) string {
		return `{"seq":` + seq + `,"whole":` + whole + `,"hosts":[` + host(name, `"health":"ready"`) + `]}`
	}
	answer("old", oldAnswers, entry("41", "true", "a"))
	expect(1)
	w.SwitchDiscovery(from)
	w.SwitchDiscovery(to) // takes the place of the one before, if that was not looked at
	answer("new", newAnswers, "error")
	expect(1)
	answer("old", oldAnswers, entry("42", "false", "b"))
	expect(1)
	answer("new", newAnswers, entry("7", "true", "c"))
	expect(2)
	w.SwitchDiscovery(to)
	answer("new", newAnswers, entry("8", "false", "d"))
	expect(1)
	golden.Compare(t, "follow.txt", out.String())
}

// TestKnown checks the cached list that a node is given at its start: it has discovery's wire form, and may be missing.
func TestKnown(t *testing.T) {
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

// TestSilence checks that a watch which falls silent is given up, and that requests are short until discovery answers: one that hangs
// does not delay what discovery has when it is back.
func TestSilence(t *testing.T) {
	var mu sync.Mutex
	var requests, notified strings.Builder
	count, answered := 0, make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		count++
		i := count
		if i <= 5 {
			fmt.Fprintln(&requests, "asked:", r.URL)
		}
		mu.Unlock()
		switch i {
		case 1:
			w.Write([]byte(`{"seq":1,"whole":true,"hosts":[` + host("a", `"health":"ready"`) + `]}`))
		case 2, 3: // a watch, and a call: never answered, not even when it is back
			<-r.Context().Done()
		case 4:
			w.Write([]byte(`{"seq":2,"whole":false,"hosts":[` + host("a", `"health":"draining"`) + `]}`))
		case 5:
			close(answered)
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	defer cancel()
	w := New(Names{}, NewTiming(400*time.Millisecond, true), nil, func(ev node.Event) {
		mu.Lock()
		defer mu.Unlock()
		if news := ev.(node.EndpointsUpdated); news.Kind == policy.WatchFailed {
			fmt.Fprintln(&notified, "told: lost")
		} else {
			fmt.Fprintf(&notified, "told: list %d: %s %d\n", news.Kind, news.Endpoints[0].Executor, news.Endpoints[0].State)
		}
	})
	// So long that no request is given up before it arrives, however busy the machine is.
	w.timing.LongPoll, w.timing.HedgeDelay = 50*time.Millisecond, 2*time.Second
	go w.Run(ctx, server.Listener.Addr().String())
	<-answered
	mu.Lock()
	defer mu.Unlock()
	golden.Compare(t, "silence.txt", requests.String()+notified.String())
}

// TestPatience pins how long an unanswered request, the backoff after it and the next request take together, by drain grace.
func TestPatience(t *testing.T) {
	var out strings.Builder
	for _, grace := range []time.Duration{50, 150, 400, 1000, 1500, 2000, 10000} {
		grace *= time.Millisecond
		for _, pushed := range []bool{true, false} {
			timing := NewTiming(grace, pushed)
			fmt.Fprintf(&out, "grace %v pushed %v: answer %v, backoffs up to %v, together %v\n", grace, pushed, timing.HedgeDelay, timing.MaxBackoff,
				2*(defaults.ProbeLongPoll+timing.HedgeDelay)+timing.MaxBackoff)
			if whole := 2*(defaults.ProbeLongPoll+timing.HedgeDelay) + timing.MaxBackoff; pushed && grace >= 400*time.Millisecond && whole > grace {
				t.Errorf("%v is over the grace %v", whole, grace)
			}
		}
	}
	golden.Compare(t, "patience.txt", out.String())
}
