package admin

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/memnet"
	"birchstair/internal/node"
	"birchstair/internal/synctesting"
)

// TestServer runs a server for two callers on in-memory connections. The test replaces the state machine: it accepts commands,
// refuses them for the executor "nobody", and never replies to them for the executor "never".
func TestServer(t *testing.T) {
	var out strings.Builder
	synctesting.Test(t, func(t *testing.T) {
		net := memnet.New(1, func(string, string) memnet.Path { return memnet.Path{Delay: time.Millisecond} })
		listener, err := net.Listen("n0", "door")
		if err != nil {
			t.Fatal(err)
		}
		var server *Server
		server = New(2, func(ev node.Event) {
			c := ev.(node.AdminCalled)
			r := node.AdminReply{Caller: c.Caller}
			switch {
			case c.Command == node.ReadMetrics:
				r.Metrics = &node.Metrics{Classes: []node.ClassMetrics{{Name: "page", Succeeded: 3, Rejected: 1}}, Attempts: 5, InFlight: 2,
					KnownExecutors: 4, ExcludedExecutors: 1, ReloadsApplied: 6, ReloadsRejected: 7}
			case c.Executor == "nobody":
				r.Refusal = "not\nhere"
			case c.Executor == "never":
				return
			}
			server.Reply(r)
		})
		ended := make(chan error)
		go func() {
			server.Serve(listener)
			close(ended)
		}()
		callers := 0
		call := func(pieces ...string) *memnet.Conn {
			callers++
			c, err := net.Dial(context.Background(), "staff", fmt.Sprint("caller", callers), "door")
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range pieces {
				if _, err := io.WriteString(c, p); err != nil {
					t.Error(err)
				}
				time.Sleep(10 * time.Millisecond)
			}
			return c
		}
		read := func(name string, c *memnet.Conn) {
			began := time.Now()
			text, _ := io.ReadAll(c)
			fmt.Fprintf(&out, "%s: %q after %v\n", name, text, time.Since(began).Round(100*time.Millisecond))
			c.Close()
		}
		for _, line := range []string{"check\n", "vars\n", "set-down s-1\n", "set-up nobody\n", "drain-on\r\n", "drain-off\n", "\n", "set-down\n", "set-down a b\n",
			"check now\n", "restart\n", "\xff\xfe\n", strings.Repeat("x", 300) + "\n", "check\nvars\n", "set-down never\n"} {
			read(fmt.Sprintf("%.20q", line), call(line))
		}
		read("in pieces", call("che", "ck", "\n"))
		half := call("che")
		half.CloseWrite()
		read("half a line", half)
		idle := []*memnet.Conn{call(), call("drain"), call()}
		read("behind three who say nothing", call("check\n"))
		for i, c := range idle {
			read(fmt.Sprint("silent ", i), c)
		}
		pending := call()
		server.Close()
		read("at the end", pending)
		fmt.Fprintln(&out, "ended:", <-ended)
	})
	golden.Compare(t, "door.txt", out.String())
}
