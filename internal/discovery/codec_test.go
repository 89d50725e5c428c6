package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/node"
)

// TestGoldenRequests pins the bytes of the requests to discovery: one for the complete list, and one long poll.
func TestGoldenRequests(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	requests := make(chan string)
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for range 2 {
			request := ""
			for !strings.HasSuffix(request, "\r\n\r\n") {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				request += line
			}
			select {
			case requests <- request:
			case <-ctx.Done():
				return
			}
			const response = `{"seq":41,"whole":true,"hosts":[]}`
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(response), response); err != nil {
				return
			}
		}
	}
	dial := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go serve(server)
		return client, nil
	}
	w := New(Names{}, NewTiming(time.Second, true), dial, func(node.Event) {})
	go w.Run(ctx, "127.0.0.1:8500")
	var out strings.Builder
	for range 2 {
		for line := range strings.Lines(<-requests) {
			fmt.Fprintf(&out, "%q\n", line)
		}
	}
	golden.Compare(t, "requests.txt", out.String())
}

// TestGoldenDecode pins the decoding of discovery's responses, and the errors for malformed ones.
func TestGoldenDecode(t *testing.T) {
	names := Names{Zones: []string{"tallinn", "tartu"}, Kinds: []string{"large", "small"}, Start: time.UnixMilli(5000)}
	var out strings.Builder
	for _, response := range []string{
		`{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:80","site":"tartu","class":"small","block":3,"health":"ready","share":0.5,"born_ms":5500}]}`,
		`{"seq":42,"hosts":[{"host":"a","dial":"[::1]:80","site":"tallinn","class":"large","health":"draining","share":0}]}`,
		`{"seq":43,"whole":false,"hosts":[{"host":"a","health":"gone"},{"host":"b","dial":"127.0.0.1:81","site":"new","class":"new","health":"ready"}]}`,
		`{"seq":44,"later":{},"hosts":null}`,
		`{"seq":9223372036854775807,"whole":true}`,
		`{"whole":true,"hosts":[]}`,
		`{"seq":null}`,
		`{"seq":"41"}`,
		`{"seq":41,"hosts":[`,
		`{"seq":41,"hosts":[{}]}`,
		`{"seq":41,"hosts":[{"host":"a","dial":"127.0.0.1:80","health":"asleep"}]}`,
		`{"seq":41,"hosts":[{"host":"","dial":"127.0.0.1:80","health":"ready"}]}`,
		`{"seq":41,"hosts":[{"host":"a","dial":"nowhere","health":"ready"}]}`,
		`{"seq":41,"hosts":[{"host":"a","dial":"nowhere","health":"draining"}]}`,
		``,
	} {
		fmt.Fprintln(&out, response)
		got, err := names.decode([]byte(response))
		if err != nil {
			fmt.Fprintln(&out, "  error:", err)
			continue
		}
		fmt.Fprintf(&out, "  version %d, complete %v\n", got.version, got.complete)
		for _, e := range got.endpoints {
			fmt.Fprintf(&out, "  %s at %q: zone %d, kind %d, cell %d, state %d, weight %v, started %v, long ago %v\n", e.Executor, e.Addr,
				e.Zone, e.Kind, e.Cell, e.State, e.Weight, e.StartedAt, e.StartedLongAgo)
		}
	}
	golden.Compare(t, "decode.txt", out.String())
}

// TestEntriesThatGoOnElsewhere guards against an entry of discovery's list that becomes a header of a health check, or a record that
// is too long for the store: the zone of an IPv6 address can hold any characters, and an executor's ID any number of them.
func TestEntriesThatGoOnElsewhere(t *testing.T) {
	for _, c := range []struct {
		executor, addr string
		valid          bool
	}{
		{"a", "[fe80::1%eth0]:80", true},
		{"a", "[fe80::1%a\r\nX-A: 1]:80", false},
		{"a", "[fe80::1%a b]:80", false},
		{"a", "[fe80::1%caf\u00e9]:80", false},
		{strings.Repeat("x", 4096), "127.0.0.1:80", true},
		{strings.Repeat("x", 4097), "127.0.0.1:80", false},
	} {
		response, err := json.Marshal(map[string]any{"seq": 1, "hosts": []map[string]any{{"host": c.executor, "dial": c.addr, "health": "ready"}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := (Names{}).decode(response); (err == nil) != c.valid {
			t.Errorf("executor %.40q at %q: error %v, want valid %v", c.executor, c.addr, err, c.valid)
		}
	}
}
