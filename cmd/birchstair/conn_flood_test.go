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

// crowd are clients that connect, send little or nothing, and connect again as soon as their connection is closed.
type crowd struct {
	addr  string
	stop  chan struct{}
	wait  sync.WaitGroup
	up    atomic.Int64 // connections that opened
	letGo atomic.Int64 // connections that the node closed
}

func (c *crowd) come(n int, first string) {
	c.stop = make(chan struct{})
	for range n {
		c.wait.Go(func() {
			for {
				conn, err := net.Dial("tcp", c.addr)
				if err != nil {
					return
				}
				c.up.Add(1)
				over := make(chan struct{})
				go func() {
					select {
					case <-c.stop:
					case <-over:
					}
					conn.Close()
				}()
				conn.Write([]byte(first)) //nolint:errcheck // the node may have closed it already, which reading shows
				for b := make([]byte, 512); ; {
					if _, err := conn.Read(b); err != nil {
						break
					}
				}
				close(over)
				c.letGo.Add(1)
				select {
				case <-c.stop:
					return
				default:
				}
			}
		})
	}
}

func (c *crowd) leave() {
	close(c.stop)
	c.wait.Wait()
}

// askAtOnce sends a request on a new connection and returns the status of the answer. Connecting and writing are two system calls in
// a row. A client of net/http writes after several switches of goroutines; each may wait for hundreds of the crowd's, and the node
// closes a connection without a request once enough newer ones have come.
func askAtOnce(addr, request string, timeout time.Duration) (status int, err error) {
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

// TestCrowdBeforeDiscovery has more idle clients than the node has descriptors connect before discovery is up, again and again.
// Once discovery is up the node has the list by the first call that is answered, is ready, reaches executors, and answers clients
// and operators. The system's limit on descriptors is the node's, so that one too many would show.
func TestCrowdBeforeDiscovery(t *testing.T) {
	binary := program(t)
	for _, c := range []struct {
		name, first string
		silent      bool // discovery accepts connections while it is down, and never answers
		sockets     int
		clients     int
	}{
		{"silent, discovery refuses", "", false, 64, 300},
		{"silent, discovery is silent", "", true, 64, 300},
		{"half a message, discovery is silent", "POST /x HTTP/1.1\r\nHost: n\r\n", true, 128, 300},
		{"asked once, discovery is silent", "GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n", true, 256, 400},
	} {
		t.Run(c.name, func(t *testing.T) { crowded(t, binary, c.first, c.silent, c.sockets, c.clients) })
	}
}

func crowded(t *testing.T, binary, first string, silent bool, sockets, clients int) {
	work := freeListener(t)
	var ran atomic.Int64
	go (&platform.Executor{ID: "e", RunTime: func() time.Duration { return time.Millisecond }, OnEffect: func(policy.JobID) { ran.Add(1) }}).Serve(work)
	dir, listen, door, list := t.TempDir(), freePort(t), freePort(t), freePort(t)
	text, _ := json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": list, "management": door,
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
	if silent {
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
	over := make(chan error, 1)
	go func() { over <- cmd.Wait() }()
	defer func() {
		cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-over:
			if err != nil {
				t.Errorf("the process ended with %v", err)
			}
		case <-time.After(20 * time.Second):
			cmd.Process.Kill()
			t.Error("the process never ended")
		}
		text, _ := os.ReadFile(logFile)
		if strings.Contains(string(text), "too many open files") || t.Failed() {
			t.Errorf("its log:\n%s", text)
		}
	}()
	until := func(what string, so func() bool) {
		t.Helper()
		for by := time.Now().Add(30 * time.Second); !so(); time.Sleep(time.Millisecond) {
			if time.Now().After(by) {
				t.Fatalf("never: %s", what)
			}
		}
	}
	figures := func() error {
		_, err := admin.Call(door, node.ReadMetrics, "", 5*time.Second)
		return err
	}
	until("the door answers", func() bool { return figures() == nil })
	descriptors := func() int {
		all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
		return len(all)
	}

	idle := &crowd{addr: listen}
	idle.come(clients, first)
	defer idle.leave()
	until("each of the crowd was let go once, on the average", func() bool { return idle.letGo.Load() >= int64(clients) })
	most := descriptors()
	if err := figures(); err != nil {
		t.Errorf("the door, under the crowd: %v", err)
	}

	if silent {
		down.Close()
	}
	up, err := net.Listen("tcp", list)
	if err != nil {
		t.Fatal(err)
	}
	defer up.Close()
	go (&platform.Discovery{Zones: []string{"z"}, Entries: []emulator.Entry{{Addr: work.Addr().String(),
		Endpoint: policy.Endpoint{Executor: "e", Weight: 1, StartedLongAgo: true}}}}).Serve(up)
	came, began := idle.letGo.Load(), time.Now()
	asked := 0
	until("it is ready", func() bool {
		asked++
		most = max(most, descriptors())
		status, err := askAtOnce(listen, "GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n", 10*time.Second)
		return err == nil && status == http.StatusOK
	})
	t.Logf("ready after %v, %d calls, %d of the crowd let go meanwhile, %d descriptors", time.Since(began), asked, idle.letGo.Load()-came, most)
	// A new connection may be closed before it is read; the client tries again then.
	var status int
	until("a batch job is answered", func() bool {
		var err error
		status, err = askAtOnce(listen, "POST /x HTTP/1.1\r\nHost: n\r\nX-Call-Id: page-1\r\nX-Call-Class: page\r\nX-Budget-Ms: 20000\r\n"+
			"Content-Length: 4\r\n\r\nbody", 20*time.Second)
		return err == nil
	})
	if status != http.StatusOK || ran.Load() != 1 {
		t.Errorf("status %d, ran %d times", status, ran.Load())
	}
	if err := figures(); err != nil {
		t.Errorf("the door, once ready: %v", err)
	}
	if most = max(most, descriptors()); most > sockets {
		t.Errorf("%d descriptors of %d", most, sockets)
	}
}
