// Package reload catches SIGHUP, by which a node is told to read its configuration again. It does so when it is initialised, which
// Go does for this package among the first: it needs nothing but package os/signal, and its path sorts before nearly all others.
// Before that the signal ends the process.
package reload

import (
	"os"
	"os/signal"
	"syscall"
)

// asked holds one: whoever reads the configuration later than a second one came finds the file as it is then.
var asked = catch()

func catch() chan os.Signal {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGHUP)
	return asked
}

// Asked brings something once SIGHUP has come, also where that was before this was called.
func Asked() <-chan os.Signal { return asked }

// Release gives SIGHUP its usual effect back, also to one that has come already. Guards against commands that go on when their
// terminal is gone.
func Release() {
	signal.Stop(asked) // one that is on its way here arrives first
	select {
	case <-asked:
		syscall.Kill(os.Getpid(), syscall.SIGHUP) //nolint:errcheck // a process may always signal itself
	default:
	}
}
