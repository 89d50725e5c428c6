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

// initLine begins the line that GODEBUG=inittrace=1 prints when the package that catches SIGHUP is initialized.
const initLine = "init birchstair/internal/reload @"

// startUntilHangupCaught calls start to start a command whose standard error has the init trace, waits until the command catches
// SIGHUP, and returns the rest of its output.
func startUntilHangupCaught(t *testing.T, start func(stderr *os.File)) io.Reader {
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
			t.Fatalf("the output ends before SIGHUP is caught: %v", err)
		}
		if strings.HasPrefix(line, initLine) {
			if err := r.SetReadDeadline(time.Time{}); err != nil {
				t.Fatal(err)
			}
			return lines
		}
	}
}

// TestReloadDuringStart sends a process SIGHUP as soon as it catches the signal, long before it parses its command line. The
// process must not end, and must reload its configuration when it serves.
func TestReloadDuringStart(t *testing.T) {
	for range 12 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t, program(t))
			proc := p.prepare(p.discovery, false)
			proc.cmd.Env = append(proc.cmd.Env, "GODEBUG=inittrace=1")
			rest := startUntilHangupCaught(t, func(stderr *os.File) { p.startPrepared(proc, stderr) })
			proc.cmd.Process.Signal(syscall.SIGHUP)
			logged := make(chan struct{})
			go func() {
				defer close(logged)
				text, _ := io.ReadAll(rest)
				if err := os.WriteFile(proc.log, text, 0o600); err != nil {
					t.Error(err)
				}
			}()
			p.awaitReady(proc)
			var metrics []string
			for deadline := time.Now().Add(15 * time.Second); !slices.Contains(metrics, "reloads_ok=1"); time.Sleep(5 * time.Millisecond) {
				var err error
				if metrics, err = admin.Call(proc.adminAddr, node.ReadMetrics, "", time.Second); err != nil {
					t.Fatal(err)
				}
				if time.Now().After(deadline) {
					t.Fatalf("the configuration is not reloaded; metrics: %v", metrics)
				}
			}
			if err := p.awaitEnd(proc, syscall.SIGTERM); err != nil {
				t.Errorf("the process ended with %v", err)
			}
			<-logged // otherwise the log would be written while the directory is being removed
		})
	}
}

// TestHangupEndsOtherCommands checks that SIGHUP ends commands other than serve, both right after the program starts to catch the
// signal and while the command reads the configuration.
func TestHangupEndsOtherCommands(t *testing.T) {
	for _, early := range []bool{true, false} {
		t.Run(fmt.Sprintf("early %t", early), func(t *testing.T) {
			t.Parallel()
			config := filepath.Join(t.TempDir(), "config")
			if err := syscall.Mkfifo(config, 0o600); err != nil { // opening it for reading blocks
				t.Fatal(err)
			}
			cmd := exec.Command(program(t), "config", "check")
			cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "GODEBUG=inittrace=1")
			ended := make(chan error, 1)
			rest := startUntilHangupCaught(t, func(stderr *os.File) {
				cmd.Stderr = stderr
				if err := cmd.Start(); err != nil {
					t.Fatal(err)
				}
				go func() { ended <- cmd.Wait() }()
			})
			go io.Copy(io.Discard, rest) //nolint:errcheck // ends when the test closes the pipe
			t.Cleanup(func() { cmd.Process.Kill() })
			if !early {
				deadline := time.Now().Add(20 * time.Second)
				f, err := os.OpenFile(config, os.O_WRONLY|syscall.O_NONBLOCK, 0)
				for ; err != nil; f, err = os.OpenFile(config, os.O_WRONLY|syscall.O_NONBLOCK, 0) { // until the command has opened it
					if time.Now().After(deadline) {
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
					t.Errorf("the command ended with %v, want SIGHUP", cmd.ProcessState)
				}
			case <-time.After(20 * time.Second):
				t.Error("the command does not end")
			}
		})
	}
}
