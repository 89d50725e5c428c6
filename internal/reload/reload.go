// Package reload catches SIGHUP, which tells a node to read its configuration again.
//
// It catches the signal when the package is initialized, so that one that comes while the process still starts does not
// end it. Go initializes this package among the first: it imports nothing but package os/signal, and its path sorts before
// nearly all others. A signal before that ends the process.
package reload

import (
	"os"
	"os/signal"
	"syscall"
)

// pending has room for one signal: whoever reads the configuration after a second one reads the file as it is then.
var pending = catch()

func catch() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Requests returns the channel that gets a value after each SIGHUP, also after one that came before this call. Signals in
// quick succession may count as one.
func Requests() <-chan os.Signal { return pending }

// RestoreDefault gives SIGHUP its usual effect back, which is to end the process, also to one that has come already.
// Commands that do not reload anything call it: they are to end with their terminal.
func RestoreDefault() {
	signal.Stop(pending) // after it returns, no signal is on its way to the channel
	select {
	case <-pending:
		syscall.Kill(os.Getpid(), syscall.SIGHUP) //nolint:errcheck // a process may always signal itself
	default:
	}
}
