package hotrestart

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	socketName       = "birchstair.sock"
	maxSocketPathLen = 100 // bytes: the system allows few more
	dialTimeout      = time.Second
)

// Dial connects to the process that runs already. It fails where the socket is missing, or left behind by a dead process.
func Dial(dir string) (conn net.Conn, err error) {
	err = withSocketPath(dir, socketName, func(path string) error {
		conn, err = net.DialTimeout("unix", path, dialTimeout)
		return err
	})
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// listen takes the socket's name in the directory over for this process.
func listen(dir string) (*net.UnixListener, error) {
	ownName := fmt.Sprintf("%s.%d", socketName, os.Getpid())
	var listener *net.UnixListener
	err := withSocketPath(dir, ownName, func(path string) (err error) {
		// A dead process that had this process's number may have left one behind.
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		listener, err = net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", ownName, err)
	}
	listener.SetUnlinkOnClose(false) // its name is another process's by then
	ownPath := filepath.Join(dir, ownName)
	if err := os.Rename(ownPath, filepath.Join(dir, socketName)); err != nil {
		listener.Close()
		return nil, errors.Join(err, os.Remove(ownPath))
	}
	return listener, nil
}

// withSocketPath calls use with a path to a file of the directory that is short enough for a socket. The path is valid until use
// returns.
func withSocketPath(dir, file string, use func(path string) error) error {
	path := filepath.Join(dir, file)
	if len(path) <= maxSocketPathLen {
		return use(path)
	}
	opened, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = use(fmt.Sprintf("/proc/self/fd/%d/%s", opened.Fd(), file))
	return errors.Join(err, opened.Close())
}
