package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"birchstair/internal/admin"
	"birchstair/internal/node"
)

// initLine begins the line by which GODEBUG=inittrace=1 tells that the package that catches SIGHUP is initialized.
const initLine = "init birchstair/internal/reload @"

// untilCaught starts a command with that trace on its standard error, and returns the rest of it once SIGHUP is caught.
func untilCaught(t *testing.T, start func(stderr *os.File)) io.Reader {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, r)
	start(w)
	mustClose(t, w)
	if err := r.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for lines := bufio.NewReader(r); ; {
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatalf("it is not told that SIGHUP is caught: %v", err)
		}
		if strings.HasPrefix(line, initLine) {
			if err := r.SetReadDeadline(time.Time{}); err != nil {
				t.Fatal(err)
			}
			return lines
		}
	}
}

// TestReloadAtTheStart sends a process SIGHUP as soon as it catches that, long before it has read its command line: it does not
// end, and reloads its configuration once it serves.
func TestReloadAtTheStart(t *testing.T) {
	for range 12 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t, program(t))
			pr := p.prepare(p.work, false)
			pr.cmd.Env = append(pr.cmd.Env, "GODEBUG=inittrace=1")
			rest := untilCaught(t, func(stderr *os.File) { p.startPrepared(pr, stderr) })
			pr.cmd.Process.Signal(syscall.SIGHUP)
			logged := make(chan struct{})
			go func() {
				defer close(logged)
				text, _ := io.ReadAll(rest)
				if err := os.WriteFile(pr.log, text, 0o600); err != nil {
					t.Error(err)
				}
			}()
			p.awaitReady(pr)
			var figures []string
			for by := time.Now().Add(15 * time.Second); !slices.Contains(figures, "reloads_ok=1"); time.Sleep(5 * time.Millisecond) {
				var err error
				if figures, err = admin.Call(pr.door, node.ReadMetrics, "", time.Second); err != nil {
					t.Fatal(err)
				}
				if time.Now().After(by) {
					t.Fatalf("it was never read again: %v", figures)
				}
			}
			if err := p.awaitEnd(pr, syscall.SIGTERM); err != nil {
				t.Errorf("the process ended with %v", err)
			}
			<-logged // otherwise it would be written while the directory is removed
		})
	}
}

// TestOtherCommandsEndByHangup checks that commands other than serve end by SIGHUP, right after it is caught and while they read
// the configuration.
func TestOtherCommandsEndByHangup(t *testing.T) {
	for _, early := range []bool{true, false} {
		t.Run(fmt.Sprintf("early %t", early), func(t *testing.T) {
			t.Parallel()
			config := filepath.Join(t.TempDir(), "config")
			if err := syscall.Mkfifo(config, 0o600); err != nil { // whoever reads it waits
				t.Fatal(err)
			}
			cmd := exec.Command(program(t), "config", "check")
			cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "GODEBUG=inittrace=1")
			ended := make(chan error, 1)
			rest := untilCaught(t, func(stderr *os.File) {
				cmd.Stderr = stderr
				if err := cmd.Start(); err != nil {
					t.Fatal(err)
				}
				go func() { ended <- cmd.Wait() }()
			})
			go io.Copy(io.Discard, rest) //nolint:errcheck // ends when the test closes it
			t.Cleanup(func() { cmd.Process.Kill() })
			if !early {
				by := time.Now().Add(20 * time.Second)
				f, err := os.OpenFile(config, os.O_WRONLY|syscall.O_NONBLOCK, 0)
				for ; err != nil; f, err = os.OpenFile(config, os.O_WRONLY|syscall.O_NONBLOCK, 0) { // until it reads
					if time.Now().After(by) {
						t.Fatal(err)
					}
					time.Sleep(time.Millisecond)
				}
				closeAtEnd(t, f)
			}
			cmd.Process.Signal(syscall.SIGHUP)
			select {
			case err := <-ended:
				if s := cmd.ProcessState.Sys().(syscall.WaitStatus); err == nil || s.Signal() != syscall.SIGHUP {
					t.Errorf("it ended with %v", cmd.ProcessState)
				}
			case <-time.After(20 * time.Second):
				t.Error("it goes on")
			}
		})
	}
}
