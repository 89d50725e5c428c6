package service_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/config"
	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/frontend"
	"birchstair/internal/memnet"
	"birchstair/internal/node"
	"birchstair/internal/service"
	"birchstair/internal/synctesting"
	"birchstair/policy"
)

// TestReadyWithSlowDiscovery checks that a complete node is ready within 10 s while discovery takes 1.5 s for each call, and if
// discovery also refuses connections or never answers during the first 8 s. It does so with pushed and with polled lists.
func TestReadyWithSlowDiscovery(t *testing.T) {
	for _, polled := range []bool{false, true} {
		for _, down := range []string{"is up", "refuses", "never answers"} {
			synctesting.Test(t, func(t *testing.T) {
				after := readyAfter(t, polled, down)
				if t.Logf("polled %v, discovery %s: ready after %v", polled, down, after); after > 10*time.Second {
					t.Errorf("polled %v, discovery %s: ready after %v", polled, down, after)
				}
			})
		}
	}
}

// readyAfter returns how long after its start a node is ready. down says what discovery does during the first 8 s.
func readyAfter(t *testing.T, polled bool, down string) time.Duration {
	how := "push"
	if polled {
		how = "ask"
	}
	s, err := config.ReadSettings([]byte(`{"balancers":300,"areas":["z"],"flavors":["plain"],"discovery":"` + how + `","rules":{"drain-grace-s":1,"ask-within-s":8},
		"caps":{"max-allocations":3},"tracks":[{"name":"page","quoted-time-s":20,"outer-limit-s":40,"repeat":"repeatable","earnings":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	network := memnet.New(1, func(string, string) memnet.Path { return memnet.Path{Delay: time.Millisecond} })
	const listen, discovery = "127.0.0.1:80", "127.0.0.1:8500"
	listener, err := network.Listen("n", listen)
	if err != nil {
		t.Fatal(err)
	}
	var unresponsive atomic.Bool
	up := func() {
		l, err := network.Listen("d", discovery)
		if err != nil {
			t.Error(err)
			return
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serveDiscoverySlowly(t, ctx, c, &unresponsive)
			}
		}()
	}
	unresponsive.Store(down == "never answers")
	if down != "refuses" {
		up()
	}
	var n atomic.Int64
	dial := func(from string) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, _, addr string) (net.Conn, error) {
			c, err := network.Dial(ctx, from, fmt.Sprint(from, n.Add(1)), addr)
			if err != nil {
				return nil, err
			}
			return c, nil
		}
	}
	ended, events := make(chan error, 1), make(chan node.Event)
	began := time.Now()
	go func() {
		ended <- service.Run(ctx, service.Options{Settings: s, StartTime: began, Listener: listener, DiscoveryAddr: discovery, Log: zerolog.Nop(),
			ClientLimits: frontend.ConnLimits{Max: 30, MaxShared: 15}, Policy: policy.New(s.Policy), DialDiscovery: dial("n"),
			DialExecutor: func(ctx context.Context, _ node.ConnID, addr string) (net.Conn, error) {
				return dial("x")(ctx, "", addr)
			},
			Limits: node.Limits{Quantum: time.Millisecond, MaxIdle: time.Minute, DialTimeout: time.Second, MaxConns: 10, MaxConnsShared: 5, MaxBodyBytes: 1 << 20,
				MaxWork: time.Hour, LameDuckPeriod: 10 * time.Millisecond, ShutdownTimeout: time.Second}}, events)
	}()
	time.AfterFunc(8*time.Second, func() {
		unresponsive.Store(false)
		if down == "refuses" {
			up()
		}
	})
	client := http.Client{Transport: &http.Transport{DialContext: dial("c"), DisableKeepAlives: true}}
	after := time.Hour
	for time.Since(began) < 20*time.Second {
		a, err := client.Get("http://" + listen + "/-/ready")
		if err != nil {
			t.Fatal(err)
		}
		a.Body.Close()
		if a.StatusCode == http.StatusOK {
			after = time.Since(began)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	close(events)
	network.Shutdown()
	time.Sleep(time.Minute)
	return after
}

// serveDiscoverySlowly answers each call to discovery after 1.5 s, and never answers calls that arrive while unresponsive is set.
func serveDiscoverySlowly(t *testing.T, ctx context.Context, c net.Conn, unresponsive *atomic.Bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		ask, err := platform.ReadWatch(in)
		if err != nil {
			return
		}
		if unresponsive.Load() {
			if b, err := in.ReadByte(); err == nil { // blocks until the node gives up the connection
				t.Errorf("byte %q arrives while the node waits for the list", b)
			}
			return
		}
		entries := []emulator.Entry{{Addr: "127.0.0.1:81", Endpoint: policy.Endpoint{Executor: "e", Weight: 1, StartedLongAgo: true}}}
		pause := 1500 * time.Millisecond
		if !ask.Complete {
			entries, pause = nil, pause+ask.Hold
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		if _, err := c.Write(platform.AppendList(nil, 1, ask.Complete, entries, []string{"z"}, time.Now())); err != nil {
			return
		}
	}
}
