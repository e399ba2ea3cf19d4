// Package disk is a folder in memory that fails as it is told: the nth operation, with half of what was written; all
// from then on, as when the process is killed; or for want of room. It stands in for the journal's file layer.
package faultfs

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"

	"oatfold/internal/memory/journal"
)

// ErrKilled is what every operation returns once the process is dead.
var ErrKilled = errors.New("killed")

// Fault is what happens at an operation.
type Fault int

// The faults.
const (
	None  Fault = iota
	Kill        // the process dies before it; nothing works from then on
	Torn        // it dies half way: half the bytes are written, or the operation is done and its answer lost
	Error       // it fails, and the process lives on
	Short       // a write that takes only half and says so; others fail
)

// FS is the folder. It is safe for concurrent use.
type FS struct {
	mu    sync.Mutex
	files map[string][]byte
	ops   int
	at    map[int]Fault // by number of the operation, from 1 on
	dead  bool
	room  int64 // bytes that all files may take; 0: any number
	file  int64 // bytes that each file may have; 0: any number
	log   []string
}

// New returns an empty folder.
func New() *FS { return &FS{files: map[string][]byte{}, at: map[int]Fault{}} }

// InjectFault makes the nth operation from the start on fail so.
func (d *FS) InjectFault(n int, f Fault) { d.mu.Lock(); d.at[n] = f; d.mu.Unlock() }

// SetCapacity bounds what all files may take; 0 is any number.
func (d *FS) SetCapacity(bytes int64) { d.mu.Lock(); d.room = bytes; d.mu.Unlock() }

// SetMaxFileSize bounds the size of each file; 0 is any.
func (d *FS) SetMaxFileSize(bytes int64) { d.mu.Lock(); d.file = bytes; d.mu.Unlock() }

// OperationCount counts the operations that change something so far.
func (d *FS) OperationCount() int { d.mu.Lock(); defer d.mu.Unlock(); return d.ops }

// UsedBytes is what all files take.
func (d *FS) UsedBytes() (n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used()
}

func (d *FS) used() (n int64) {
	for _, b := range d.files {
		n += int64(len(b)+511) / 512 * 512
	}
	return n
}

// Restart is the next life of the process: the files as they are, no fault.
func (d *FS) Restart() *FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := New()
	for name, b := range d.files {
		next.files[name] = slices.Clone(b)
	}
	next.room = d.room
	return next
}

// ModifyFile changes a file behind everybody's back.
func (d *FS) ModifyFile(name string, f func([]byte) []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name] = f(slices.Clone(d.files[name]))
}

// step counts an operation that changes something and returns its fault. The caller holds mu.
func (d *FS) step(what string) Fault {
	if d.dead {
		return Kill
	}
	d.ops++
	f := d.at[d.ops]
	if f == Kill || f == Torn {
		d.dead = true
	}
	d.log = append(d.log, fmt.Sprint(d.ops, " ", what, " ", f))
	return f
}

// OperationLog tells the operations so far.
func (d *FS) OperationLog() []string { d.mu.Lock(); defer d.mu.Unlock(); return slices.Clone(d.log) }

// List names the files.
func (d *FS) List() (names []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dead {
		return nil, ErrKilled
	}
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Read returns a file.
func (d *FS) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.files[name]
	switch {
	case d.dead:
		return nil, ErrKilled
	case !ok:
		return nil, os.ErrNotExist
	}
	return slices.Clone(b), nil
}

// do runs an operation that is done or not done.
func (d *FS) do(what string, f func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch d.step(what) {
	case Kill:
		return ErrKilled
	case Torn:
		f()
		return ErrKilled
	case Error, Short:
		return syscall.EIO
	}
	return f()
}

// Create makes an empty file.
func (d *FS) Create(name string) (journal.File, error) {
	err := d.do("create "+name, func() error { d.files[name] = nil; return nil })
	if err != nil {
		return nil, err
	}
	return &file{d, &name}, nil
}

// Rename renames a file.
func (d *FS) Rename(from, to string) error {
	return d.do("rename "+from, func() error {
		b, ok := d.files[from]
		if !ok {
			return os.ErrNotExist
		}
		delete(d.files, from)
		d.files[to] = b
		return nil
	})
}

// Remove drops a file.
func (d *FS) Remove(name string) error {
	return d.do("remove "+name, func() error {
		if _, ok := d.files[name]; !ok {
			return os.ErrNotExist
		}
		delete(d.files, name)
		return nil
	})
}

// Truncate cuts a file.
func (d *FS) Truncate(name string, size int64) error {
	return d.do("truncate "+name, func() error { return d.cut(name, size) })
}

func (d *FS) cut(name string, size int64) error {
	b, ok := d.files[name]
	if !ok || size > int64(len(b)) {
		return os.ErrNotExist
	}
	d.files[name] = b[:size:size]
	return nil
}

// file is an open file, known by its name: nothing here renames one that is open for longer than its making.
type file struct {
	d    *FS
	name *string
}

// Write appends.
func (f *file) Write(b []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	fault := f.d.step(fmt.Sprint("write ", *f.name, " ", len(b)))
	put := func(n int) { f.d.files[*f.name] = append(f.d.files[*f.name], b[:n]...) }
	switch fault {
	case Kill:
		return 0, ErrKilled
	case Torn:
		put(len(b) / 2)
		return 0, ErrKilled
	case Error:
		return 0, syscall.EIO
	case Short:
		put(len(b) / 2)
		return len(b) / 2, nil
	}
	if free := f.d.file - int64(len(f.d.files[*f.name])); f.d.file > 0 && int64(len(b)) > free {
		put(int(free))
		return int(free), syscall.EFBIG
	}
	if f.d.room > 0 {
		if free := f.d.room - f.d.used() + 511; int64(len(b)) > free { // its last block may have room
			n := int(max(0, free-511))
			put(min(n, len(b)))
			return min(n, len(b)), syscall.ENOSPC
		}
	}
	put(len(b))
	return len(b), nil
}

// Truncate cuts the file.
func (f *file) Truncate(size int64) error {
	return f.d.do("cut "+*f.name, func() error { return f.d.cut(*f.name, size) })
}

// Close does nothing that could fail.
func (f *file) Close() error { return nil }
