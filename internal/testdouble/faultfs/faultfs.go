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
	mu             sync.Mutex
	files          map[string][]byte
	operationCount int
	faults         map[int]Fault // by number of the operation, from 1 on
	killed         bool
	capacity       int64 // bytes that all files may take; 0: any number
	maxFileSize    int64 // bytes that each file may have; 0: any number
	operations     []string
}

// New returns an empty folder.
func New() *FS { return &FS{files: map[string][]byte{}, faults: map[int]Fault{}} }

// InjectFault makes the nth operation from the start on fail so.
func (fs *FS) InjectFault(n int, f Fault) { fs.mu.Lock(); fs.faults[n] = f; fs.mu.Unlock() }

// SetCapacity bounds what all files may take; 0 is any number.
func (fs *FS) SetCapacity(bytes int64) { fs.mu.Lock(); fs.capacity = bytes; fs.mu.Unlock() }

// SetMaxFileSize bounds the size of each file; 0 is any.
func (fs *FS) SetMaxFileSize(bytes int64) { fs.mu.Lock(); fs.maxFileSize = bytes; fs.mu.Unlock() }

// OperationCount counts the operations that change something so far.
func (fs *FS) OperationCount() int { fs.mu.Lock(); defer fs.mu.Unlock(); return fs.operationCount }

// UsedBytes is what all files take.
func (fs *FS) UsedBytes() (n int64) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.usedBytes()
}

func (fs *FS) usedBytes() (n int64) {
	for _, b := range fs.files {
		n += int64(len(b)+511) / 512 * 512
	}
	return n
}

// Restart is the next life of the process: the files as they are, no fault.
func (fs *FS) Restart() *FS {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	next := New()
	for name, b := range fs.files {
		next.files[name] = slices.Clone(b)
	}
	next.capacity = fs.capacity
	return next
}

// ModifyFile changes a file behind everybody's back.
func (fs *FS) ModifyFile(name string, f func([]byte) []byte) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.files[name] = f(slices.Clone(fs.files[name]))
}

// nextFault counts an operation that changes something and returns its fault. The caller holds mu.
func (fs *FS) nextFault(operation string) Fault {
	if fs.killed {
		return Kill
	}
	fs.operationCount++
	f := fs.faults[fs.operationCount]
	if f == Kill || f == Torn {
		fs.killed = true
	}
	fs.operations = append(fs.operations, fmt.Sprint(fs.operationCount, " ", operation, " ", f))
	return f
}

// OperationLog tells the operations so far.
func (fs *FS) OperationLog() []string {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return slices.Clone(fs.operations)
}

// List names the files.
func (fs *FS) List() (names []string, err error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.killed {
		return nil, ErrKilled
	}
	for name := range fs.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Read returns a file.
func (fs *FS) Read(name string) ([]byte, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	b, ok := fs.files[name]
	switch {
	case fs.killed:
		return nil, ErrKilled
	case !ok:
		return nil, os.ErrNotExist
	}
	return slices.Clone(b), nil
}

// run runs an operation that is done or not done.
func (fs *FS) run(operation string, f func() error) error {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	switch fs.nextFault(operation) {
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
func (fs *FS) Create(name string) (journal.File, error) {
	err := fs.run("create "+name, func() error { fs.files[name] = nil; return nil })
	if err != nil {
		return nil, err
	}
	return &file{fs, &name}, nil
}

// Rename renames a file.
func (fs *FS) Rename(from, to string) error {
	return fs.run("rename "+from, func() error {
		b, ok := fs.files[from]
		if !ok {
			return os.ErrNotExist
		}
		delete(fs.files, from)
		fs.files[to] = b
		return nil
	})
}

// Remove drops a file.
func (fs *FS) Remove(name string) error {
	return fs.run("remove "+name, func() error {
		if _, ok := fs.files[name]; !ok {
			return os.ErrNotExist
		}
		delete(fs.files, name)
		return nil
	})
}

// Truncate cuts a file.
func (fs *FS) Truncate(name string, size int64) error {
	return fs.run("truncate "+name, func() error { return fs.truncate(name, size) })
}

func (fs *FS) truncate(name string, size int64) error {
	b, ok := fs.files[name]
	if !ok || size > int64(len(b)) {
		return os.ErrNotExist
	}
	fs.files[name] = b[:size:size]
	return nil
}

// file is an open file, known by its name: nothing here renames one that is open for longer than its making.
type file struct {
	fs   *FS
	name *string
}

// Write appends.
func (f *file) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	fault := f.fs.nextFault(fmt.Sprint("write ", *f.name, " ", len(b)))
	write := func(n int) { f.fs.files[*f.name] = append(f.fs.files[*f.name], b[:n]...) }
	switch fault {
	case Kill:
		return 0, ErrKilled
	case Torn:
		write(len(b) / 2)
		return 0, ErrKilled
	case Error:
		return 0, syscall.EIO
	case Short:
		write(len(b) / 2)
		return len(b) / 2, nil
	}
	if free := f.fs.maxFileSize - int64(len(f.fs.files[*f.name])); f.fs.maxFileSize > 0 && int64(len(b)) > free {
		write(int(free))
		return int(free), syscall.EFBIG
	}
	if f.fs.capacity > 0 {
		if free := f.fs.capacity - f.fs.usedBytes() + 511; int64(len(b)) > free { // its last block may have room
			n := int(max(0, free-511))
			write(min(n, len(b)))
			return min(n, len(b)), syscall.ENOSPC
		}
	}
	write(len(b))
	return len(b), nil
}

// Truncate cuts the file.
func (f *file) Truncate(size int64) error {
	return f.fs.run("cut "+*f.name, func() error { return f.fs.truncate(*f.name, size) })
}

// Close does nothing that could fail.
func (f *file) Close() error { return nil }
