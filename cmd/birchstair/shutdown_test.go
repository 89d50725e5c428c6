package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestShutdownWithNewConns sends a process SIGTERM, SIGHUP and SIGTERM while one client has only connected and another has sent half
// of its request. Both must still get their answers, and the process must exit with status 0. The clients send the rest either right
// after the signals, or when the shutdown has begun; then each answer must close its connection.
func TestShutdownWithNewConns(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprintf("shutdown begun %t", begun), func(t *testing.T) { shutDownWithNewConns(t, begun) })
	}
}

// shutDownWithNewConns runs the test. begun says that the clients go on only when the shutdown has begun.
func shutDownWithNewConns(t *testing.T, begun bool) {
	p := newPlatform(t, program(t))
	proc := p.start(p.discovery, false)
	p.awaitReady(proc)
	request := func(id string) string {
		return "POST /x HTTP/1.1\r\nHost: n\r\nX-Call-Id: " + id + "\r\nX-Call-Class: order\r\nX-Budget-Ms: 2000\r\nContent-Length: 4\r\n\r\nbody"
	}
	var conns []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(15 * time.Second))
		conns = append(conns, c)
	}
	half := len(request("order-1")) - 2
	send(t, conns[1], request("order-1")[:half])
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		proc.cmd.Process.Signal(sig)
	}
	if begun {
		awaitShutdown(t, proc)
	}
	send(t, conns[0], request("order-0"))
	send(t, conns[1], request("order-1")[half:])
	for i, c := range conns {
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		if a.StatusCode != http.StatusOK || begun && !a.Close {
			t.Errorf("connection %d: status %d, closing %t", i, a.StatusCode, a.Close)
		}
	}
	if err := p.awaitEnd(proc, nil); err != nil {
		t.Errorf("the process ended with %v", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs["order-0"] != 1 || p.runs["order-1"] != 1 {
		t.Errorf("number of runs: %v, want one each", p.runs)
	}
}

// awaitShutdown waits until a process has logged that its shutdown was requested. A process may receive a signal late.
func awaitShutdown(t *testing.T, proc *process) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(time.Millisecond) {
		text, err := os.ReadFile(proc.log)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), "shutdown requested") {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the process has not logged a shutdown:\n%s", text)
		}
	}
}
