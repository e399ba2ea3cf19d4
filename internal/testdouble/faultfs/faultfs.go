// Package faultfs is an in-memory file system that injects faults into the journal: at the nth
// operation, a torn or short write, an I/O error or the death of the process; or a write that
// exceeds the capacity.
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

// ErrKilled is returned by every operation once a fault has killed the process.
var ErrKilled = errors.New("killed")

// Fault selects what happens at an operation.
type Fault int

// The faults of an operation.
const (
	None  Fault = iota
	Kill        // the process dies before the operation; all later ones return ErrKilled
	Torn        // as Kill, but half of a write, or all of another operation, is done first
	Error       // the operation fails with EIO and is not done
	Short       // a write takes half of the bytes and reports it; other operations fail with EIO
)

// FS is a directory of files in memory. It is safe for concurrent use.
type FS struct {
	mu             sync.Mutex
	files          map[string][]byte
	operationCount int
	faults         map[int]Fault // by operation number, from 1
	killed         bool
	capacity       int64 // bytes of all files, in whole blocks; 0: no limit
	maxFileSize    int64 // bytes; 0: no limit
	operations     []string
	peak           int64 // largest space of all files after a write
}

// New returns an empty file system without faults.
func New() *FS { return &FS{files: map[string][]byte{}, faults: map[int]Fault{}} }

// InjectFault sets the fault of the nth operation; operations that change something count, from 1.
func (fs *FS) InjectFault(n int, f Fault) { fs.mu.Lock(); fs.faults[n] = f; fs.mu.Unlock() }

// ClearFaults removes all faults that have not happened yet.
func (fs *FS) ClearFaults() { fs.mu.Lock(); clear(fs.faults); fs.mu.Unlock() }

// SetCapacity bounds the space of all files in bytes; 0 is no limit.
func (fs *FS) SetCapacity(bytes int64) { fs.mu.Lock(); fs.capacity = bytes; fs.mu.Unlock() }

// SetMaxFileSize bounds the size of each file in bytes; 0 is no limit.
func (fs *FS) SetMaxFileSize(bytes int64) { fs.mu.Lock(); fs.maxFileSize = bytes; fs.mu.Unlock() }

// OperationCount returns the number of operations so far that change something.
func (fs *FS) OperationCount() int { fs.mu.Lock(); defer fs.mu.Unlock(); return fs.operationCount }

// UsedBytes returns the space of all files, in whole blocks.
func (fs *FS) UsedBytes() (n int64) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.usedBytes()
}

// PeakBytes returns the largest space that all files took after a write, in whole blocks.
func (fs *FS) PeakBytes() int64 { fs.mu.Lock(); defer fs.mu.Unlock(); return fs.peak }

// usedBytes returns the space of all files, in whole blocks. The caller holds mu.
func (fs *FS) usedBytes() (n int64) {
	for _, b := range fs.files {
		n += int64(len(b)+511) / 512 * 512
	}
	return n
}

// Restart returns a copy for the next process: the same files and capacity, no faults.
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

// ModifyFile replaces the contents of a file, as by corruption. It is not an operation.
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

// OperationLog describes the operations so far, one a string: number, operation, fault.
func (fs *FS) OperationLog() []string {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return slices.Clone(fs.operations)
}

// List returns the names of the files, sorted.
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

// Read returns the contents of a file.
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

// run runs an operation that is done as a whole or not at all.
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

// Create creates an empty file, or empties an existing one.
func (fs *FS) Create(name string) (journal.File, error) {
	err := fs.run("create "+name, func() error { fs.files[name] = nil; return nil })
	if err != nil {
		return nil, err
	}
	return &file{fs, &name}, nil
}

// Rename renames a file and replaces a file with the new name.
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

// Remove removes a file.
func (fs *FS) Remove(name string) error {
	return fs.run("remove "+name, func() error {
		if _, ok := fs.files[name]; !ok {
			return os.ErrNotExist
		}
		delete(fs.files, name)
		return nil
	})
}

// Truncate shortens a file to size bytes. It fails with os.ErrNotExist if the file is missing or
// shorter.
func (fs *FS) Truncate(name string, size int64) error {
	return fs.run("truncate "+name, func() error { return fs.truncate(name, size) })
}

// truncate shortens a file. The caller holds mu.
func (fs *FS) truncate(name string, size int64) error {
	b, ok := fs.files[name]
	if !ok || size > int64(len(b)) {
		return os.ErrNotExist
	}
	fs.files[name] = b[:size:size]
	return nil
}

// file is an open file. It refers to its contents by name, so a rename while it is open is not
// followed.
type file struct {
	fs   *FS
	name *string
}

// Write appends b. It fails with EFBIG or ENOSPC after the bytes that fit.
func (f *file) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	fault := f.fs.nextFault(fmt.Sprint("write ", *f.name, " ", len(b)))
	write := func(n int) {
		f.fs.files[*f.name] = append(f.fs.files[*f.name], b[:n]...)
		f.fs.peak = max(f.fs.peak, f.fs.usedBytes())
	}
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
		// An upper bound: the last block may have space left.
		if free := f.fs.capacity - f.fs.usedBytes() + 511; int64(len(b)) > free {
			n := int(max(0, free-511))
			write(min(n, len(b)))
			return min(n, len(b)), syscall.ENOSPC
		}
	}
	write(len(b))
	return len(b), nil
}

// Truncate shortens the file to size bytes.
func (f *file) Truncate(size int64) error {
	return f.fs.run("cut "+*f.name, func() error { return f.fs.truncate(*f.name, size) })
}

// Close does nothing and never fails.
func (f *file) Close() error { return nil }
