package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchstair/internal/admin"
	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/node"
	"birchstair/policy"
)

// connFlood is a number of clients that each connect, send little or nothing, and connect again when the connection is closed.
type connFlood struct {
	addr         string
	stop         chan struct{}
	wait         sync.WaitGroup
	opened       atomic.Int64 // connections that clients have opened
	closedByNode atomic.Int64 // connections that the node has closed
}

// start starts n clients. Each sends first on each of its connections.
func (c *connFlood) start(n int, first string) {
	c.stop = make(chan struct{})
	for range n {
		c.wait.Go(func() {
			for {
				conn, err := net.Dial("tcp", c.addr)
				if err != nil {
					return
				}
				c.opened.Add(1)
				closed := make(chan struct{})
				go func() {
					select {
					case <-c.stop:
					case <-closed:
					}
					conn.Close()
				}()
				conn.Write([]byte(first)) //nolint:errcheck // if the node has closed the connection, the read fails too
				for b := make([]byte, 512); ; {
					if _, err := conn.Read(b); err != nil {
						break
					}
				}
				close(closed)
				c.closedByNode.Add(1)
				select {
				case <-c.stop:
					return
				default:
				}
			}
		})
	}
}

// end closes all connections and waits until the clients have ended.
func (c *connFlood) end() {
	close(c.stop)
	c.wait.Wait()
}

// requestStatus sends a request on a new connection and returns the status of the answer. It connects and writes by two consecutive
// system calls. net/http would switch between goroutines before it writes, and hundreds of the flood's goroutines could run first;
// by then the node may have evicted the connection, because many newer ones had no request either.
func requestStatus(addr, request string, timeout time.Duration) (status int, err error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	socket := os.NewFile(uintptr(fd), addr)
	defer socket.Close() //nolint:errcheck // the connection has a descriptor of its own
	limit := syscall.NsecToTimeval(timeout.Nanoseconds())
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_SNDTIMEO, &limit); err != nil {
		return 0, err
	}
	if err := syscall.Connect(fd, &syscall.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}); err != nil {
		return 0, err
	}
	if _, err := syscall.Write(fd, []byte(request)); err != nil {
		return 0, err
	}
	conn, err := net.FileConn(socket)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return answer.StatusCode, answer.Body.Close()
}

// TestConnFloodBeforeDiscovery has more clients than the node has file descriptors connect repeatedly before discovery is up.
// When discovery is up, the node must get the endpoint list by its first answered call, become ready, reach executors, and answer
// clients and operators. The process runs with the configured number of descriptors as its system limit, so that using one too
// many fails.
func TestConnFloodBeforeDiscovery(t *testing.T) {
	binary := program(t)
	for _, c := range []struct {
		name, first  string
		unresponsive bool // while discovery is down it accepts connections and never answers; otherwise it refuses them
		sockets      int
		clients      int
	}{
		{"no request, discovery refuses connections", "", false, 64, 300},
		{"no request, discovery never answers", "", true, 64, 300},
		{"half a request, discovery never answers", "POST /x HTTP/1.1\r\nHost: n\r\n", true, 128, 300},
		{"readiness request, discovery never answers", "GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n", true, 256, 400},
	} {
		t.Run(c.name, func(t *testing.T) { testConnFlood(t, binary, c.first, c.unresponsive, c.sockets, c.clients) })
	}
}

// testConnFlood runs the test with clients that send first, and a node with this limit on sockets.
func testConnFlood(t *testing.T, binary, first string, unresponsive bool, sockets, clients int) {
	work := freeListener(t)
	var ran atomic.Int64
	go (&platform.Executor{ID: "e", RunTime: func() time.Duration { return time.Millisecond }, OnEffect: func(policy.JobID) { ran.Add(1) }}).Serve(work)
	dir, listen, adminAddr, list := t.TempDir(), freePort(t), freePort(t), freePort(t)
	text, _ := json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": list, "management": adminAddr,
		"limits": map[string]any{"memory_mb": 64, "sockets": sockets},
		"settings": map[string]any{"balancers": 1, "areas": []string{"z"}, "flavors": []string{"plain"}, "caps": map[string]any{"max-allocations": 3},
			"domain": map[string]any{"tells-start": true},
			"tracks": []any{map[string]any{"name": "page", "quoted-time-s": 10, "outer-limit-s": 20, "repeat": "repeatable", "earnings": 1}}}})
	file, logFile := filepath.Join(dir, "config"), filepath.Join(dir, "log")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(logFile)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, log)
	var down net.Listener
	if unresponsive {
		if down, err = net.Listen("tcp", list); err != nil {
			t.Fatal(err)
		}
		defer down.Close()
	}
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\" serve", sockets), binary)
	cmd.Env, cmd.Stderr = append(os.Environ(), "ROUTER_CONFIG="+file, "TMPDIR="+dir), log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer func() {
		cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the process ended with %v", err)
			}
		case <-time.After(20 * time.Second):
			cmd.Process.Kill()
			t.Error("the process does not end")
		}
		text, _ := os.ReadFile(logFile)
		if strings.Contains(string(text), "too many open files") || t.Failed() {
			t.Errorf("log of the process:\n%s", text)
		}
	}()
	waitUntil := func(what string, condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("timeout while waiting until %s", what)
			}
		}
	}
	readMetrics := func() error {
		_, err := admin.Call(adminAddr, node.ReadMetrics, "", 5*time.Second)
		return err
	}
	waitUntil("the node answers operators", func() bool { return readMetrics() == nil })
	descriptors := func() int {
		all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
		return len(all)
	}

	flood := &connFlood{addr: listen}
	flood.start(clients, first)
	defer flood.end()
	waitUntil("the node has closed as many connections as there are clients", func() bool {
		return flood.closedByNode.Load() >= int64(clients)
	})
	mostDescriptors := descriptors()
	if err := readMetrics(); err != nil {
		t.Errorf("reading metrics during the connection flood: %v", err)
	}

	if unresponsive {
		down.Close()
	}
	up, err := net.Listen("tcp", list)
	if err != nil {
		t.Fatal(err)
	}
	defer up.Close()
	go (&platform.Discovery{Zones: []string{"z"}, Entries: []emulator.Entry{{Addr: work.Addr().String(),
		Endpoint: policy.Endpoint{Executor: "e", Weight: 1, StartedLongAgo: true}}}}).Serve(up)
	closedBefore, began := flood.closedByNode.Load(), time.Now()
	requests := 0
	waitUntil("the node is ready", func() bool {
		requests++
		mostDescriptors = max(mostDescriptors, descriptors())
		status, err := requestStatus(listen, "GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n", 10*time.Second)
		return err == nil && status == http.StatusOK
	})
	t.Logf("ready after %v and %d requests; meanwhile the node closed %d connections; %d descriptors in use",
		time.Since(began), requests, flood.closedByNode.Load()-closedBefore, mostDescriptors)
	// The node may evict the connection before it reads the request; the client then tries again.
	var status int
	waitUntil("a batch job is answered", func() bool {
		var err error
		status, err = requestStatus(listen, "POST /x HTTP/1.1\r\nHost: n\r\nX-Call-Id: page-1\r\nX-Call-Class: page\r\nX-Budget-Ms: 20000\r\n"+
			"Content-Length: 4\r\n\r\nbody", 20*time.Second)
		return err == nil
	})
	if status != http.StatusOK || ran.Load() != 1 {
		t.Errorf("the batch job got status %d and ran %d times, want 200 and once", status, ran.Load())
	}
	if err := readMetrics(); err != nil {
		t.Errorf("reading metrics after the node is ready: %v", err)
	}
	if mostDescriptors = max(mostDescriptors, descriptors()); mostDescriptors > sockets {
		t.Errorf("%d descriptors in use, want at most %d", mostDescriptors, sockets)
	}
}
