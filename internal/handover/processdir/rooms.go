// Package rooms is the state folder that processes of one relay share: the baton, a room for each life with its journal, and the spool
// between them. It does the I/O that package handover knows nothing of, and decides nothing. Locks are flock's: they
// die with their process, whatever ends it.
package processdir

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"oatfold/internal/clock"
)

const (
	batonName = "baton"
	lockName  = "lock"
	spoolName = "spool"
	clockName = "clock"
	lifePart  = "life-"
	giveExt   = ".give"
	tmpExt    = ".tmp"
	block     = 512 // files count in whole blocks
)

// The words that a process says in its room.
const (
	StatusReady   = "ready"   // it stands by, and can serve
	StatusServing = "serving" // it accepts clients
)

// StateDir is a state folder.
type StateDir struct {
	dir   string
	baton *os.File
	log   *slog.Logger
	given int
	dates clock.Scale
}

// Dir is where one process writes its journal. The zero name is the state folder itself.
type Dir struct {
	Path, Name string
	lock       *os.File
	successor  string // the room of the process that was taking this one over
	claimed    bool   // one was
}

// Open opens a state folder, which is there.
func Open(dir string, log *slog.Logger) (*StateDir, error) {
	f, err := os.OpenFile(filepath.Join(dir, batonName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	folder := &StateDir{dir: dir, baton: f, log: log}
	folder.dates = folder.scale()
	return folder, nil
}

// steppedBy is from which difference on the wall clock is said to have been stepped.
const steppedBy = time.Second

// TimeScale is the scale on which all processes of the relay date what they leave to others.
func (f *StateDir) TimeScale() clock.Scale { return f.dates }

// scale goes on with the scale of the processes before, or begins one.
func (f *StateDir) scale() clock.Scale {
	now, at := clock.Now()
	raw, err := os.ReadFile(f.path(clockName))
	kept, bad := clock.Decode(raw)
	if err == nil && bad != nil {
		f.log.Warn("what the state folder says of the clock can't be read: dates go by the wall clock", "err", bad)
	}
	dates, goesOn := clock.Continue(kept, now, at)
	if goesOn {
		if by := time.Duration(now.DateUs-dates.Date(at)) * time.Microsecond; by.Abs() >= steppedBy {
			f.log.Warn("the wall clock was stepped, dates go on as before", "by", by)
		}
		return dates
	}
	if err := f.write(clockName, now.Encode()); err != nil {
		f.log.Warn("the state folder keeps no mark of the clock: a step of the wall clock would move deadlines", "err", err)
	}
	return dates
}

// write puts a file of the folder in place, whole or not at all.
func (f *StateDir) write(name string, b []byte) error {
	tmp := f.path(name) + tmpExt
	if err := os.WriteFile(tmp, b, 0o600); err != nil {
		os.Remove(tmp)
		return err
	}
	return os.Rename(tmp, f.path(name))
}

// lock takes a file's lock, or tells that another process has it. Where the system knows no such locks, nobody else can have it:
// the relay serves alone.
func lock(f *os.File, how int) (bool, error) {
	for {
		switch err := unix.Flock(int(f.Fd()), how); {
		case err == nil, errors.Is(err, unix.ENOSYS), errors.Is(err, unix.ENOTSUP), errors.Is(err, unix.EPERM):
			return true, nil
		case errors.Is(err, unix.EWOULDBLOCK):
			return false, nil
		case !errors.Is(err, unix.EINTR):
			return false, err
		}
	}
}

// TryLeaderLock takes the baton if nobody has it.
func (f *StateDir) TryLeaderLock() (bool, error) { return lock(f.baton, unix.LOCK_EX|unix.LOCK_NB) }

// WaitLeaderLock waits until the baton is this process's. It holds a thread meanwhile.
func (f *StateDir) WaitLeaderLock() error {
	_, err := lock(f.baton, unix.LOCK_EX)
	return err
}

// ReleaseLeaderLock gives the baton up.
func (f *StateDir) ReleaseLeaderLock() error { return unix.Flock(int(f.baton.Fd()), unix.LOCK_UN) }

// SetCurrent writes whose journal is in force from now on. The holder of the baton does so before it takes anything over.
func (f *StateDir) SetCurrent(r *Dir) error {
	name := r.Name + "\n"
	if have, err := os.ReadFile(f.baton.Name()); err == nil && string(have) == name {
		return nil // a disk that takes nothing now refuses no start for it
	}
	if _, err := f.baton.WriteAt([]byte(name), 0); err != nil {
		return err
	}
	return f.baton.Truncate(int64(len(name)))
}

// named is the room that the last holder of the baton wrote to, "" also if there was none.
func (f *StateDir) named() string {
	b := make([]byte, 64)
	n, _ := f.baton.ReadAt(b, 0)
	return strings.TrimSpace(string(b[:n]))
}

func (f *StateDir) path(name string) string { return filepath.Join(f.dir, name) }

// names lists the rooms that there are, the state folder itself first.
func (f *StateDir) names() []string {
	all := []string{""}
	entries, _ := os.ReadDir(f.dir)
	for _, e := range entries {
		if _, err := strconv.Atoi(strings.TrimPrefix(e.Name(), lifePart)); e.IsDir() && err == nil && strings.HasPrefix(e.Name(), lifePart) {
			all = append(all, e.Name())
		}
	}
	return all
}

// TryLock takes a room if no process has it; nil if one does, or if it is gone.
func (f *StateDir) TryLock(name string) (*Dir, error) {
	path := filepath.Join(f.path(name), lockName)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	got, err := lock(file, unix.LOCK_EX|unix.LOCK_NB)
	if got {
		// Guards against the lock of a room that its last user has just removed.
		a, errA := os.Stat(path)
		b, errB := file.Stat()
		got = errA == nil && errB == nil && os.SameFile(a, b)
	}
	if !got {
		file.Close()
		return nil, err
	}
	r := &Dir{Path: f.path(name), Name: name, lock: file}
	if r.successor, r.claimed = f.claim(name); !r.claimed {
		file.Truncate(0) // the last word of a process that is gone
	}
	return r, nil
}

// OpenOwn takes the room that this process writes to. Who holds the baton goes on in the one that was in force; who stands by gets an empty one: the state
// folder itself if it can, so that every second upgrade leaves a folder that a version without rooms can read.
func (f *StateDir) OpenOwn(active bool) (*Dir, error) {
	var first []string
	if active {
		first = []string{f.named(), ""}
	} else if len(f.files("")) == 0 {
		first = []string{""}
	}
	for _, name := range first {
		r, err := f.TryLock(name)
		if r != nil && r.claimed {
			r.lock.Close() // it is taken over like any other: a part of its messages has gone on in its successor's room
			continue
		}
		if r != nil || err != nil {
			return r, err
		}
	}
	all := f.names()
	for n := len(all); ; n++ {
		name := lifePart + strconv.Itoa(n)
		if slices.Contains(all, name) {
			continue
		}
		if err := os.Mkdir(f.path(name), 0o700); err != nil && !errors.Is(err, os.ErrExist) {
			return nil, err
		}
		if r, err := f.TryLock(name); r != nil || err != nil {
			return r, err
		}
	}
}

// SetStatus leaves a word in the room, for other processes.
func (r *Dir) SetStatus(word string) error {
	_, err := r.lock.WriteAt([]byte(word+"\n"), 0)
	if err == nil {
		err = r.lock.Truncate(int64(len(word) + 1))
	}
	return err
}

// Status is the last word in a room.
func (f *StateDir) Status(name string) string {
	b, _ := os.ReadFile(filepath.Join(f.path(name), lockName))
	return strings.TrimSpace(string(b))
}

// Others lists the rooms beside mine: those that a process has, and those whose lock has fallen, which are taken, each before the room of its successor.
// The state folder itself counts only if there is a journal in it.
func (f *StateDir) Others(mine *Dir) (held []string, fallen []*Dir, err error) {
	for _, name := range f.names() {
		if name == mine.Name || name == "" && len(f.files("")) == 0 {
			continue
		}
		r, err := f.TryLock(name)
		switch {
		case err != nil:
			return held, fallen, err
		case r != nil:
			fallen = append(fallen, r)
		default:
			if _, err := os.Stat(f.path(name)); err == nil {
				held = append(held, name)
			}
		}
	}
	return held, f.readable(fallen, held), nil
}

// files lists the files of a room's journal.
func (f *StateDir) files(name string) (all []string) {
	entries, _ := os.ReadDir(f.path(name))
	for _, e := range entries {
		switch filepath.Ext(e.Name()) {
		case ".seg", ".log", tmpExt:
			all = append(all, filepath.Join(f.path(name), e.Name()))
		default:
			if e.Name() == "reserve" {
				all = append(all, filepath.Join(f.path(name), e.Name()))
			}
		}
	}
	return all
}

// Remove removes a room that is taken: its journal has been taken over.
func (f *StateDir) Remove(r *Dir) error {
	for _, path := range f.files(r.Name) {
		if err := os.Remove(path); err != nil {
			return err
		}
	}
	if r.Name == "" {
		r.lock.Truncate(0)
		return r.lock.Close()
	}
	os.Remove(filepath.Join(r.Path, lockName))
	if err := os.Remove(r.Path); err != nil {
		f.log.Warn("a room is taken over but stays", "room", r.Name, "err", err)
	}
	return r.lock.Close()
}

// Release gives the room's lock up. The room of a process that has never held the baton is empty, and goes.
func (f *StateDir) Release(r *Dir, empty bool) {
	if empty && r.Name != "" {
		f.Remove(r)
		return
	}
	r.lock.Close()
}

// UsedBytes is what all files take that are not in mine; all of them where that is nil.
func (f *StateDir) UsedBytes(mine *Dir) (bytes int64) {
	for _, name := range append(f.names(), spoolName) {
		if mine != nil && name == mine.Name {
			continue
		}
		entries, _ := os.ReadDir(f.path(name))
		for _, e := range entries {
			if info, err := e.Info(); err == nil && !e.IsDir() {
				bytes += (info.Size() + block - 1) / block * block
			}
		}
	}
	return bytes
}

// --- the spool ---

// drainedName is there while the operators keep the relay empty.
const drainedName = "drained"

// Drained tells whether the operators had emptied the relay when a process last marked it.
func (f *StateDir) Drained() bool {
	_, err := os.Stat(f.path(drainedName))
	return err == nil
}

// SetDrained notes that the operators have emptied the relay, or that it is back at work, for a process that comes after a crash.
func (f *StateDir) SetDrained(drained bool) error {
	if !drained {
		if err := os.Remove(f.path(drainedName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	return os.WriteFile(f.path(drainedName), nil, 0o600)
}

// WriteTransfer adds a file to the spool. It is there whole, or not at all.
func (f *StateDir) WriteTransfer(b []byte) error {
	dir := f.path(spoolName)
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	f.given++
	name := filepath.Join(dir, fmt.Sprintf("%020d-%d-%06d", f.dates.Date(time.Now())*1000, os.Getpid(), f.given))
	if err := os.WriteFile(name+tmpExt, b, 0o600); err != nil {
		os.Remove(name + tmpExt)
		return err
	}
	return os.Rename(name+tmpExt, name+giveExt)
}

// TransferSender tells files of the spool apart by the process that gave them.
func TransferSender(name string) string {
	_, rest, _ := strings.Cut(name, "-")
	process, _, _ := strings.Cut(rest, "-")
	return process
}

// ReplaceTransfer puts another content in place of a file of the spool. At each moment the old one is there whole, or the new one.
func (f *StateDir) ReplaceTransfer(name string, b []byte) error {
	path := filepath.Join(f.path(spoolName), name)
	tmp := strings.TrimSuffix(path, giveExt) + tmpExt
	if err := os.WriteFile(tmp, b, 0o600); err != nil {
		os.Remove(tmp)
		return err
	}
	return os.Rename(tmp, path)
}

// Transfers lists the spool's files, the oldest first.
func (f *StateDir) Transfers() (names []string) {
	entries, _ := os.ReadDir(f.path(spoolName)) // sorted by name
	for _, e := range entries {
		if filepath.Ext(e.Name()) == giveExt {
			names = append(names, e.Name())
		}
	}
	return names
}

// ReadTransfer returns a file of the spool.
func (f *StateDir) ReadTransfer(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path(spoolName), name))
}

// RemoveTransfer removes a file of the spool, whose content is taken over.
func (f *StateDir) RemoveTransfer(name string) error {
	return os.Remove(filepath.Join(f.path(spoolName), name))
}

// RemovePartialTransfers removes what half a write left in the spool. Nobody else may be giving.
func (f *StateDir) RemovePartialTransfers() {
	entries, _ := os.ReadDir(f.path(spoolName))
	for _, e := range entries {
		if filepath.Ext(e.Name()) == tmpExt {
			os.Remove(filepath.Join(f.path(spoolName), e.Name()))
		}
	}
}
