package emulator

import (
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"birchstair/internal/store"
)

// Disk is a disk in memory that keeps what was synced, and of the rest whatever chance leaves at a crash.
type Disk struct {
	rand *rand.Rand

	mu          sync.Mutex
	files       map[string]*diskFile
	incarnation int
	locked      bool
	// Room is how many more bytes it takes; under 0 for no end.
	Room int
	// FailSync makes the sync that many syncs ahead fail, and what it was for is lost or not as at a crash; 0 for none.
	FailSync int
	// Lies makes syncs do nothing, and say that they did.
	Lies      bool
	Syncs     int
	syncDelay time.Duration
	// OnSync is told of each sync before it counts, or nil.
	OnSync func(n int)
}

type diskFile struct {
	synced      []byte
	written     []byte // with what was written since
	nameDurable bool   // its name stands for good
	removed     bool   // it was removed, and that does not stand for good yet
}

// Errors of a disk.
var (
	ErrDiskFull = errors.New("no space left on the disk")
	ErrDiskSync = errors.New("the disk failed to sync")
	errCrashed  = errors.New("this process is no more")
)

// NewDisk makes an empty disk.
func NewDisk(r *rand.Rand) *Disk { return &Disk{rand: r, files: map[string]*diskFile{}, Room: -1} }

// Crash ends the process that uses it: what was not synced is lost, kept or torn, in any order of its pages.
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

// pageSize is what a disk writes at once.
const pageSize = 64

// torn is what a crash leaves of a file: its synced part, and of what came after it some pages, in any order.
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

func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil || f.removed {
		return nil, errors.New(name + ": not there")
	}
	return slices.Clone(f.written), nil
}

// Create implements store.Disk. The file outlives a power failure only after SyncDir.
func (d *Disk) Create(name string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil && !f.removed {
		return nil, errors.New(name + ": there already")
	}
	f := &diskFile{}
	d.files[name] = f
	return &openFile{d, f, d.incarnation}, nil
}

// Remove implements store.Disk. The file is gone for good only after SyncDir.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		f.removed = true
	}
	return nil
}

// Truncate implements store.Disk; what is left of the file counts as synced.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.written = f.written[:size]
	f.synced = slices.Clone(f.written)
	return nil
}

// SyncDir implements store.Disk: files that were created or removed outlive a power failure from now on.
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

// Slow sets how long a sync takes from now on.
func (d *Disk) Slow(span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDelay = span
}

// Flip changes a bit of a file.
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

func (o *openFile) Write(b []byte) (int, error) {
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	if o.incarnation != o.disk.incarnation {
		return 0, errCrashed
	}
	n := len(b)
	if o.disk.Room >= 0 {
		n = min(n, o.disk.Room)
		o.disk.Room -= n
	}
	o.file.written = append(o.file.written, b[:n]...)
	if n < len(b) {
		return n, ErrDiskFull
	}
	return n, nil
}

func (o *openFile) Sync() error {
	o.disk.mu.Lock()
	slow := o.disk.syncDelay
	o.disk.mu.Unlock()
	time.Sleep(slow)
	o.disk.mu.Lock()
	n, told := o.disk.Syncs+1, o.disk.OnSync
	o.disk.mu.Unlock()
	if told != nil {
		told(n)
	}
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	if o.incarnation != o.disk.incarnation {
		return errCrashed
	}
	o.disk.Syncs++
	if o.disk.FailSync > 0 {
		if o.disk.FailSync--; o.disk.FailSync == 0 {
			o.file.written = o.disk.torn(o.file) // and the system takes it for clean from now on
			return ErrDiskSync
		}
	}
	if !o.disk.Lies {
		o.file.synced = slices.Clone(o.file.written)
	}
	return nil
}

func (o *openFile) Close() error { return nil }
