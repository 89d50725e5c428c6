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
	maxSocketPathLen = 100 // maximum length in bytes; the operating system's limit is a few bytes higher
	dialTimeout      = time.Second
)

// Dial connects to the process that is already running. It fails if the directory contains no socket, or only a socket
// that a dead process has left behind.
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

// listen opens a socket in the directory and renames it to socketName. The socket of the process that listened there
// before loses this name.
func listen(dir string) (*net.UnixListener, error) {
	ownName := fmt.Sprintf("%s.%d", socketName, os.Getpid())
	var listener *net.UnixListener
	err := withSocketPath(dir, ownName, func(path string) (err error) {
		// An earlier process with the same process ID may have left its socket behind.
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		listener, err = net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", ownName, err)
	}
	// Closing the listener must not remove the file: by then the name may belong to the socket of another process.
	listener.SetUnlinkOnClose(false)
	ownPath := filepath.Join(dir, ownName)
	if err := os.Rename(ownPath, filepath.Join(dir, socketName)); err != nil {
		listener.Close()
		return nil, errors.Join(err, os.Remove(ownPath))
	}
	return listener, nil
}

// withSocketPath calls use with a path to a file in the directory. The path is short enough for a socket, even if the
// path of the directory itself is too long. The path is valid only until use returns.
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
