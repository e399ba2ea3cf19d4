package journal

import (
	"os"
	"path/filepath"
)

// FS is the file system interface of the journal: one directory, with file names relative to it.
// Errors are returned unchanged.
type FS interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // creates the file or empties it
	Rename(from, to string) error
	Remove(name string) error
	Truncate(name string, size int64) error
}

// File is a file opened for appending.
type File interface {
	Write(b []byte) (int, error)
	Truncate(size int64) error // later writes append at the new end
	Close() error
}

// Dir is a directory of the operating system.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// List returns the names of the directory entries.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, err
}

// Read returns the content of a file.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Create creates an empty file, truncating an existing one.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return file{f}, nil
}

// Rename renames a file, replacing an existing one.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove deletes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Truncate changes the size of a file.
func (d Dir) Truncate(name string, size int64) error { return os.Truncate(d.path(name), size) }

// file is opened with O_APPEND, so that writes continue at the end after truncation.
type file struct{ *os.File }
