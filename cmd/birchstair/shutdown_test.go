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

// TestShutdownWithNewConns sends a process SIGTERM, SIGHUP and SIGTERM: a client that has only connected, and one whose request
// has come in half, still get their answers, and the process exits with status 0. The rest of the requests is sent right after the
// signals, or once the shutdown has begun: then each answer closes its connection.
func TestShutdownWithNewConns(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprintf("shutdown begun %t", begun), func(t *testing.T) { shutDownWithNewConns(t, begun) })
	}
}

func shutDownWithNewConns(t *testing.T, begun bool) {
	p := newPlatform(t, program(t))
	pr := p.start(p.work, false)
	p.awaitReady(pr)
	message := func(id string) string {
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
	half := len(message("order-1")) - 2
	send(t, conns[1], message("order-1")[:half])
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		pr.cmd.Process.Signal(sig)
	}
	if begun {
		awaitShutdown(t, pr)
	}
	send(t, conns[0], message("order-0"))
	send(t, conns[1], message("order-1")[half:])
	for i, c := range conns {
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		if a.StatusCode != http.StatusOK || begun && !a.Close {
			t.Errorf("connection %d: status %d, closing %t", i, a.StatusCode, a.Close)
		}
	}
	if err := p.awaitEnd(pr, nil); err != nil {
		t.Errorf("the process ended with %v", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ran["order-0"] != 1 || p.ran["order-1"] != 1 {
		t.Errorf("they ran %v times", p.ran)
	}
}

// awaitShutdown waits until a process has logged that its shutdown was requested: a signal that was sent may not have been received.
func awaitShutdown(t *testing.T, pr *process) {
	t.Helper()
	for by := time.Now().Add(15 * time.Second); ; time.Sleep(time.Millisecond) {
		text, err := os.ReadFile(pr.log)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), "shutdown requested") {
			return
		}
		if time.Now().After(by) {
			t.Fatalf("no shutdown was requested:\n%s", text)
		}
	}
}
