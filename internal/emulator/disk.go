package emulator

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"birchstair/internal/store"
)

// Disk is a disk in memory. A crash keeps what was synced and a random part of the rest. It implements store.Disk, and
// is safe for concurrent use. Its exported fields must not be set while a call runs.
type Disk struct {
	rand *rand.Rand

	mu          sync.Mutex
	files       map[string]*diskFile
	incarnation int  // number of the process that uses the disk; each crash begins a new one
	locked      bool // a process holds the lock
	// FreeBytes is how many more bytes can be written; negative for no limit.
	FreeBytes int
	// FailSync selects a sync that fails: 1 is the next one, 2 the one after it, 0 none. A file whose sync fails keeps
	// what a crash would leave of it.
	FailSync int
	// IgnoresSyncs makes syncs succeed without an effect.
	IgnoresSyncs bool
	// Syncs counts the syncs of files.
	Syncs     int
	syncDelay time.Duration // how long a sync takes
	// OnSync, unless nil, is called with the number of each sync before it takes effect.
	OnSync func(n int)
}

type diskFile struct {
	synced      []byte // content that survives a crash
	written     []byte // synced content, and what was written since
	nameDurable bool   // the directory entry of the file survives a crash
	removed     bool   // the file was removed, but may exist again after a crash
}

// Errors of injected faults.
var (
	ErrDiskFull = errors.New("no space left on the disk")
	ErrDiskSync = errors.New("the disk failed to sync")
	errCrashed  = errors.New("the process that opened the file has crashed")
)

// NewDisk returns an empty disk without a limit.
func NewDisk(r *rand.Rand) *Disk { return &Disk{rand: r, files: map[string]*diskFile{}, FreeBytes: -1} }

// Crash ends the process that uses the disk. Content, creations and removals that were not synced may be lost or kept,
// and the pages of a file independently of each other.
func (d *Disk) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnation++
	d.locked = false
	names := d.names(true)
	for _, n := range names {
		f := d.files[n]
		if !f.nameDurable && d.rand.IntN(2) == 0 || f.removed && d.rand.IntN(2) == 0 {
			delete(d.files, n)
			continue
		}
		f.removed, f.nameDurable = false, true
		f.written = d.torn(f)
		f.synced = slices.Clone(f.written)
	}
}

// pageSize is the size in bytes of the pieces of a file that a crash keeps or loses as a whole.
const pageSize = 64

// torn returns what a crash leaves of a file: its synced content, and none, a prefix or some pages of what was written
// since.
func (d *Disk) torn(f *diskFile) []byte {
	b := slices.Clone(f.written)
	if len(b) <= len(f.synced) {
		return b
	}
	switch d.rand.IntN(3) {
	case 0:
		return b[:len(f.synced)]
	case 1:
		return b[:len(f.synced)+d.rand.IntN(len(b)-len(f.synced)+1)]
	}
	for at := len(f.synced); at < len(b); at += pageSize {
		if d.rand.IntN(3) == 0 {
			clear(b[at:min(at+pageSize, len(b))])
		}
	}
	return b
}

// names returns the sorted names of the files. If all is set, they include removed files that may exist again after a
// crash.
func (d *Disk) names(all bool) (names []string) {
	for n, f := range d.files {
		if all || !f.removed {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

type diskLock struct {
	disk        *Disk
	incarnation int
}

// Close releases the lock, unless its process has crashed.
func (l diskLock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.disk.incarnation == l.incarnation {
		l.disk.locked = false
	}
	return nil
}

// Lock implements store.Disk. A lock ends with the process that holds it.
func (d *Disk) Lock() (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, errors.New("another process uses it")
	}
	d.locked = true
	return diskLock{d, d.incarnation}, nil
}

// List implements store.Disk.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.names(false), nil
}

// Read implements store.Disk.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil || f.removed {
		return nil, errors.New(name + ": file does not exist")
	}
	return slices.Clone(f.written), nil
}

// ReadAt implements store.Disk.
func (d *Disk) ReadAt(name string, offset int64, size int) ([]byte, error) {
	b, err := d.Read(name)
	if err != nil {
		return nil, err
	}
	if offset+int64(size) > int64(len(b)) {
		return nil, fmt.Errorf("%s: read beyond the end of the file: %w", name, io.ErrUnexpectedEOF)
	}
	return b[offset : offset+int64(size)], nil
}

// Create implements store.Disk. The file is certain to survive a crash only after SyncDir.
func (d *Disk) Create(name string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil && !f.removed {
		return nil, errors.New(name + ": file already exists")
	}
	f := &diskFile{}
	d.files[name] = f
	return &openFile{d, f, d.incarnation}, nil
}

// Remove implements store.Disk. The removal is certain to survive a crash only after SyncDir.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		f.removed = true
	}
	return nil
}

// Truncate implements store.Disk. The remaining content counts as synced.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.written = f.written[:size]
	f.synced = slices.Clone(f.written)
	return nil
}

// SyncDir implements store.Disk. The creations and removals of files so far then survive a crash.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, f := range d.files {
		f.nameDurable = true
		if f.removed {
			delete(d.files, n)
		}
	}
	return nil
}

// SetSyncDelay sets how long a sync takes.
func (d *Disk) SetSyncDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDelay = delay
}

// Flip inverts a bit of the byte at an offset in a file, like silent corruption on a real disk.
func (d *Disk) Flip(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.written[at] ^= 0x10
	f.synced = slices.Clone(f.written)
}

type openFile struct {
	disk        *Disk
	file        *diskFile
	incarnation int
}

// Write implements store.File.
func (o *openFile) Write(b []byte) (int, error) {
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	if o.incarnation != o.disk.incarnation {
		return 0, errCrashed
	}
	n := len(b)
	if o.disk.FreeBytes >= 0 {
		n = min(n, o.disk.FreeBytes)
		o.disk.FreeBytes -= n
	}
	o.file.written = append(o.file.written, b[:n]...)
	if n < len(b) {
		return n, ErrDiskFull
	}
	return n, nil
}

// Sync implements store.File.
func (o *openFile) Sync() error {
	o.disk.mu.Lock()
	delay := o.disk.syncDelay
	o.disk.mu.Unlock()
	time.Sleep(delay)
	o.disk.mu.Lock()
	n, onSync := o.disk.Syncs+1, o.disk.OnSync
	o.disk.mu.Unlock()
	if onSync != nil {
		onSync(n)
	}
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	if o.incarnation != o.disk.incarnation {
		return errCrashed
	}
	o.disk.Syncs++
	if o.disk.FailSync > 0 {
		if o.disk.FailSync--; o.disk.FailSync == 0 {
			// As on a real system, a later sync does not write the lost pages again.
			o.file.written = o.disk.torn(o.file)
			return ErrDiskSync
		}
	}
	if !o.disk.IgnoresSyncs {
		o.file.synced = slices.Clone(o.file.written)
	}
	return nil
}

// Close implements store.File.
func (o *openFile) Close() error { return nil }
