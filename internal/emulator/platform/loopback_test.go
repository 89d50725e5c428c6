package platform

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
)

// TestFreeAddressWhileProcessesStart checks that a free address can be listened on at once, even while child processes
// are started.
func TestFreeAddressWhileProcessesStart(t *testing.T) {
	const (
		starters  = 6
		addresses = 1000
	)
	if err := exec.Command("true").Run(); err != nil { // with the first process, package os forks another one without syscall.ForkLock
		t.Fatal(err)
	}
	var done atomic.Bool
	var wait sync.WaitGroup
	for range starters {
		wait.Go(func() {
			for !done.Load() {
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	defer wait.Wait()
	defer done.Store(true)
	for range addresses {
		addr, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Error(err)
			continue
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}
}
