// Package reload catches SIGHUP, which tells a node to reload its configuration.
//
// The package starts to catch the signal when it is initialized, so that a signal during the start of the process does
// not end the process. Go initializes this package early, because the package imports little more than os/signal, and
// because its import path sorts before nearly all others. A signal before the initialization still ends the process.
package reload

import (
	"os"
	"os/signal"
	"syscall"
)

// pending buffers one signal. One is enough, because the reload after it reads the latest state of the file.
var pending = catch()

// catch starts to catch SIGHUP, and returns the channel that receives it.
func catch() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Requests returns the channel that receives a value after each SIGHUP, including one that arrived before this call.
// Several signals in quick succession can yield a single value.
func Requests() <-chan os.Signal { return pending }

// RestoreDefault restores the default effect of SIGHUP, which is to end the process. A SIGHUP that has already arrived
// ends the process too. Commands that do not reload anything call RestoreDefault, so that they end when their terminal
// is closed.
func RestoreDefault() {
	signal.Stop(pending) // after Stop returns, the channel receives no more signals
	select {
	case <-pending:
		syscall.Kill(os.Getpid(), syscall.SIGHUP) //nolint:errcheck // a process may always signal itself
	default:
	}
}
