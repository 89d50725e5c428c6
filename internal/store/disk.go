package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"
)

// Disk is a directory that a store owns. Tests use an implementation that loses or tears unsynced data and returns errors.
type Disk interface {
	// Lock locks the directory for this process until the returned Closer is closed. It fails if another process has locked the
	// directory.
	Lock() (io.Closer, error)
	// List returns the names of the files in the directory, in alphabetical order.
	List() ([]string, error)
	// Read returns the contents of a file.
	Read(name string) ([]byte, error)
	// ReadAt returns size bytes of a file, from an offset on. It fails if the file has fewer.
	ReadAt(name string, offset int64, size int) ([]byte, error)
	// Create creates a file. It fails if the file exists. The new name is durable after SyncDir.
	Create(name string) (File, error)
	// Remove removes a file. The removal is durable after SyncDir.
	Remove(name string) error
	// Truncate shortens a file to a size in bytes. The new size is durable when Truncate returns.
	Truncate(name string, size int64) error
	// SyncDir makes all earlier creations and removals of files durable.
	SyncDir() error
}

// File is a file that is open for appending.
type File interface {
	io.WriteCloser
	// Sync makes all earlier writes to the file durable.
	Sync() error
}

const (
	lockName          = "lock"
	dirMode, fileMode = 0o700, 0o600
)

// Directory is the path of a directory in the file system. It implements Disk.
type Directory string

func (d Directory) path(name string) string { return filepath.Join(string(d), name) }

// Lock implements Disk. It creates the directory if it is missing, and locks the file named lockName in the directory. The error
// wraps ErrLocked if another process has locked that file.
func (d Directory) Lock() (io.Closer, error) {
	if err := os.MkdirAll(string(d), dirMode); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(d.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = fmt.Errorf("%s: %w", d, ErrLocked)
		}
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// List implements Disk.
func (d Directory) List() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	sort.Strings(names)
	return names, err
}

// Read implements Disk.
func (d Directory) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// ReadAt implements Disk.
func (d Directory) ReadAt(name string, offset int64, size int) ([]byte, error) {
	file, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	_, err = file.ReadAt(b, offset)
	return b, errors.Join(err, file.Close())
}

// Create implements Disk.
func (d Directory) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

// Remove implements Disk.
func (d Directory) Remove(name string) error { return os.Remove(d.path(name)) }

// Truncate implements Disk.
func (d Directory) Truncate(name string, size int64) error {
	file, err := os.OpenFile(d.path(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	err = errors.Join(file.Truncate(size), file.Sync())
	return errors.Join(err, file.Close())
}

// SyncDir implements Disk.
func (d Directory) SyncDir() error {
	dir, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
