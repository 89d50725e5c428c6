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

	mu     sync.Mutex
	files  map[string]*diskFile
	life   int
	locked bool
	// Room is how many more bytes it takes; under 0 for no end.
	Room int
	// FailSync makes the sync that many syncs ahead fail, and what it was for is lost or not as at a crash; 0 for none.
	FailSync int
	// Lies makes syncs do nothing, and say that they did.
	Lies  bool
	Syncs int
	slow  time.Duration
	// OnSync is told of each sync before it counts, or nil.
	OnSync func(n int)
}

type diskFile struct {
	synced []byte
	whole  []byte // with what was written since
	named  bool   // its name stands for good
	gone   bool   // it was removed, and that does not stand for good yet
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
	d.life++
	d.locked = false
	names := d.names(true)
	for _, n := range names {
		f := d.files[n]
		if !f.named && d.rand.IntN(2) == 0 || f.gone && d.rand.IntN(2) == 0 {
			delete(d.files, n)
			continue
		}
		f.gone, f.named = false, true
		f.whole = d.torn(f)
		f.synced = slices.Clone(f.whole)
	}
}

// page is what a disk writes at once.
const page = 64

// torn is what a crash leaves of a file: its synced part, and of what came after it some pages, in any order.
func (d *Disk) torn(f *diskFile) []byte {
	b := slices.Clone(f.whole)
	if len(b) <= len(f.synced) {
		return b
	}
	switch d.rand.IntN(3) {
	case 0:
		return b[:len(f.synced)]
	case 1:
		return b[:len(f.synced)+d.rand.IntN(len(b)-len(f.synced)+1)]
	}
	for at := len(f.synced); at < len(b); at += page {
		if d.rand.IntN(3) == 0 {
			clear(b[at:min(at+page, len(b))])
		}
	}
	return b
}

func (d *Disk) names(all bool) (names []string) {
	for n, f := range d.files {
		if all || !f.gone {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

type diskLock struct {
	d    *Disk
	life int
}

func (l diskLock) Close() error {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	if l.d.life == l.life {
		l.d.locked = false
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
	return diskLock{d, d.life}, nil
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
	if f == nil || f.gone {
		return nil, errors.New(name + ": not there")
	}
	return slices.Clone(f.whole), nil
}

// Create implements store.Disk. The file outlives a power failure only after SyncDir.
func (d *Disk) Create(name string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil && !f.gone {
		return nil, errors.New(name + ": there already")
	}
	f := &diskFile{}
	d.files[name] = f
	return &openFile{d, f, d.life}, nil
}

// Remove implements store.Disk. The file is gone for good only after SyncDir.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		f.gone = true
	}
	return nil
}

// Truncate implements store.Disk; what is left of the file counts as synced.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.whole = f.whole[:size]
	f.synced = slices.Clone(f.whole)
	return nil
}

// SyncDir implements store.Disk: files that were created or removed outlive a power failure from now on.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, f := range d.files {
		f.named = true
		if f.gone {
			delete(d.files, n)
		}
	}
	return nil
}

// Slow sets how long a sync takes from now on.
func (d *Disk) Slow(span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = span
}

// Flip changes a bit of a file.
func (d *Disk) Flip(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.whole[at] ^= 0x10
	f.synced = slices.Clone(f.whole)
}

type openFile struct {
	d    *Disk
	f    *diskFile
	life int
}

func (o *openFile) Write(b []byte) (int, error) {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	if o.life != o.d.life {
		return 0, errCrashed
	}
	n := len(b)
	if o.d.Room >= 0 {
		n = min(n, o.d.Room)
		o.d.Room -= n
	}
	o.f.whole = append(o.f.whole, b[:n]...)
	if n < len(b) {
		return n, ErrDiskFull
	}
	return n, nil
}

func (o *openFile) Sync() error {
	o.d.mu.Lock()
	slow := o.d.slow
	o.d.mu.Unlock()
	time.Sleep(slow)
	o.d.mu.Lock()
	n, told := o.d.Syncs+1, o.d.OnSync
	o.d.mu.Unlock()
	if told != nil {
		told(n)
	}
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	if o.life != o.d.life {
		return errCrashed
	}
	o.d.Syncs++
	if o.d.FailSync > 0 {
		if o.d.FailSync--; o.d.FailSync == 0 {
			o.f.whole = o.d.torn(o.f) // and the system takes it for clean from now on
			return ErrDiskSync
		}
	}
	if !o.d.Lies {
		o.f.synced = slices.Clone(o.f.whole)
	}
	return nil
}

func (o *openFile) Close() error { return nil }
