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
	leaderLockName = "baton"
	lockFileName   = "lock"
	spoolName      = "spool"
	clockMarkName  = "clock"
	runPrefix      = "life-"
	transferExt    = ".give"
	tmpExt         = ".tmp"
	blockSize      = 512 // files count in whole blocks
)

// The words that a process says in its room.
const (
	StatusReady   = "ready"   // it stands by, and can serve
	StatusServing = "serving" // it accepts clients
)

// StateDir is a state folder.
type StateDir struct {
	dir           string
	leaderLock    *os.File
	log           *slog.Logger
	transferCount int
	timeScale     clock.Scale
}

// Dir is where one process writes its journal. The zero name is the state folder itself.
type Dir struct {
	Path, Name string
	lockFile   *os.File
	successor  string // the room of the process that was taking this one over
	claimed    bool   // one was
}

// Open opens a state folder, which is there.
func Open(dir string, log *slog.Logger) (*StateDir, error) {
	lockFile, err := os.OpenFile(filepath.Join(dir, leaderLockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	stateDir := &StateDir{dir: dir, leaderLock: lockFile, log: log}
	stateDir.timeScale = stateDir.loadTimeScale()
	return stateDir, nil
}

// minClockStep is from which difference on the wall clock is said to have been stepped.
const minClockStep = time.Second

// TimeScale is the scale on which all processes of the relay date what they leave to others.
func (s *StateDir) TimeScale() clock.Scale { return s.timeScale }

// loadTimeScale goes on with the scale of the processes before, or begins one.
func (s *StateDir) loadTimeScale() clock.Scale {
	now, at := clock.Now()
	raw, err := os.ReadFile(s.path(clockMarkName))
	saved, decodeErr := clock.Decode(raw)
	if err == nil && decodeErr != nil {
		s.log.Warn("what the state folder says of the clock can't be read: dates go by the wall clock", "err", decodeErr)
	}
	scale, continued := clock.Continue(saved, now, at)
	if continued {
		if step := time.Duration(now.Date-scale.Date(at)) * time.Microsecond; step.Abs() >= minClockStep {
			s.log.Warn("the wall clock was stepped, dates go on as before", "by", step)
		}
		return scale
	}
	if err := s.writeFile(clockMarkName, now.Encode()); err != nil {
		s.log.Warn("the state folder keeps no mark of the clock: a step of the wall clock would move deadlines", "err", err)
	}
	return scale
}

// writeFile puts a file of the folder in place, whole or not at all.
func (s *StateDir) writeFile(name string, content []byte) error {
	tmp := s.path(name) + tmpExt
	if err := os.WriteFile(tmp, content, 0o600); err != nil {
		os.Remove(tmp)
		return err
	}
	return os.Rename(tmp, s.path(name))
}

// tryFlock takes a file's lock, or tells that another process has it. Where the system knows no such locks, nobody else can have it:
// the relay serves alone.
func tryFlock(file *os.File, how int) (bool, error) {
	for {
		switch err := unix.Flock(int(file.Fd()), how); {
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
func (s *StateDir) TryLeaderLock() (bool, error) {
	return tryFlock(s.leaderLock, unix.LOCK_EX|unix.LOCK_NB)
}

// WaitLeaderLock waits until the baton is this process's. It holds a thread meanwhile.
func (s *StateDir) WaitLeaderLock() error {
	_, err := tryFlock(s.leaderLock, unix.LOCK_EX)
	return err
}

// ReleaseLeaderLock gives the baton up.
func (s *StateDir) ReleaseLeaderLock() error { return unix.Flock(int(s.leaderLock.Fd()), unix.LOCK_UN) }

// SetCurrent writes whose journal is in force from now on. The holder of the baton does so before it takes anything over.
func (s *StateDir) SetCurrent(dir *Dir) error {
	name := dir.Name + "\n"
	if previous, err := os.ReadFile(s.leaderLock.Name()); err == nil && string(previous) == name {
		return nil // a disk that takes nothing now refuses no start for it
	}
	if _, err := s.leaderLock.WriteAt([]byte(name), 0); err != nil {
		return err
	}
	return s.leaderLock.Truncate(int64(len(name)))
}

// current is the room that the last holder of the baton wrote to, "" also if there was none.
func (s *StateDir) current() string {
	b := make([]byte, 64)
	n, _ := s.leaderLock.ReadAt(b, 0)
	return strings.TrimSpace(string(b[:n]))
}

func (s *StateDir) path(name string) string { return filepath.Join(s.dir, name) }

// dirNames lists the rooms that there are, the state folder itself first.
func (s *StateDir) dirNames() []string {
	names := []string{""}
	entries, _ := os.ReadDir(s.dir)
	for _, e := range entries {
		if _, err := strconv.Atoi(strings.TrimPrefix(e.Name(), runPrefix)); e.IsDir() && err == nil && strings.HasPrefix(e.Name(), runPrefix) {
			names = append(names, e.Name())
		}
	}
	return names
}

// TryLock takes a room if no process has it; nil if one does, or if it is gone.
func (s *StateDir) TryLock(name string) (*Dir, error) {
	path := filepath.Join(s.path(name), lockFileName)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	locked, err := tryFlock(file, unix.LOCK_EX|unix.LOCK_NB)
	if locked {
		// Guards against the lock of a room that its last user has just removed.
		current, currentErr := os.Stat(path)
		opened, openedErr := file.Stat()
		locked = currentErr == nil && openedErr == nil && os.SameFile(current, opened)
	}
	if !locked {
		file.Close()
		return nil, err
	}
	dir := &Dir{Path: s.path(name), Name: name, lockFile: file}
	if dir.successor, dir.claimed = s.readClaim(name); !dir.claimed {
		file.Truncate(0) // the last word of a process that is gone
	}
	return dir, nil
}

// OpenOwn takes the room that this process writes to. Who holds the baton goes on in the one that was in force; who stands by gets an empty one: the state
// folder itself if it can, so that every second upgrade leaves a folder that a version without rooms can read.
func (s *StateDir) OpenOwn(active bool) (*Dir, error) {
	var preferred []string
	if active {
		preferred = []string{s.current(), ""}
	} else if len(s.journalFiles("")) == 0 {
		preferred = []string{""}
	}
	for _, name := range preferred {
		dir, err := s.TryLock(name)
		if dir != nil && dir.claimed {
			dir.lockFile.Close() // it is taken over like any other: a part of its messages has gone on in its successor's room
			continue
		}
		if dir != nil || err != nil {
			return dir, err
		}
	}
	all := s.dirNames()
	for n := len(all); ; n++ {
		name := runPrefix + strconv.Itoa(n)
		if slices.Contains(all, name) {
			continue
		}
		if err := os.Mkdir(s.path(name), 0o700); err != nil && !errors.Is(err, os.ErrExist) {
			return nil, err
		}
		if dir, err := s.TryLock(name); dir != nil || err != nil {
			return dir, err
		}
	}
}

// SetStatus leaves a word in the room, for other processes.
func (d *Dir) SetStatus(status string) error {
	_, err := d.lockFile.WriteAt([]byte(status+"\n"), 0)
	if err == nil {
		err = d.lockFile.Truncate(int64(len(status) + 1))
	}
	return err
}

// Status is the last word in a room.
func (s *StateDir) Status(name string) string {
	b, _ := os.ReadFile(filepath.Join(s.path(name), lockFileName))
	return strings.TrimSpace(string(b))
}

// Others lists the rooms beside mine: those that a process has, and those whose lock has fallen, which are taken, each before the room of its successor.
// The state folder itself counts only if there is a journal in it.
func (s *StateDir) Others(own *Dir) (running []string, abandoned []*Dir, err error) {
	for _, name := range s.dirNames() {
		if name == own.Name || name == "" && len(s.journalFiles("")) == 0 {
			continue
		}
		dir, err := s.TryLock(name)
		switch {
		case err != nil:
			return running, abandoned, err
		case dir != nil:
			abandoned = append(abandoned, dir)
		default:
			if _, err := os.Stat(s.path(name)); err == nil {
				running = append(running, name)
			}
		}
	}
	return running, s.readableDirs(abandoned, running), nil
}

// journalFiles lists the files of a room's journal.
func (s *StateDir) journalFiles(name string) (paths []string) {
	entries, _ := os.ReadDir(s.path(name))
	for _, e := range entries {
		switch filepath.Ext(e.Name()) {
		case ".seg", ".log", tmpExt:
			paths = append(paths, filepath.Join(s.path(name), e.Name()))
		default:
			if e.Name() == "reserve" {
				paths = append(paths, filepath.Join(s.path(name), e.Name()))
			}
		}
	}
	return paths
}

// Remove removes a room that is taken: its journal has been taken over.
func (s *StateDir) Remove(dir *Dir) error {
	for _, path := range s.journalFiles(dir.Name) {
		if err := os.Remove(path); err != nil {
			return err
		}
	}
	if dir.Name == "" {
		dir.lockFile.Truncate(0)
		return dir.lockFile.Close()
	}
	os.Remove(filepath.Join(dir.Path, lockFileName))
	if err := os.Remove(dir.Path); err != nil {
		s.log.Warn("a room is taken over but stays", "room", dir.Name, "err", err)
	}
	return dir.lockFile.Close()
}

// Release gives the room's lock up. The room of a process that has never held the baton is empty, and goes.
func (s *StateDir) Release(dir *Dir, empty bool) {
	if empty && dir.Name != "" {
		s.Remove(dir)
		return
	}
	dir.lockFile.Close()
}

// UsedBytes is what all files take that are not in mine; all of them where that is nil.
func (s *StateDir) UsedBytes(own *Dir) (bytes int64) {
	for _, name := range append(s.dirNames(), spoolName) {
		if own != nil && name == own.Name {
			continue
		}
		entries, _ := os.ReadDir(s.path(name))
		for _, e := range entries {
			if info, err := e.Info(); err == nil && !e.IsDir() {
				bytes += (info.Size() + blockSize - 1) / blockSize * blockSize
			}
		}
	}
	return bytes
}

// --- the spool ---

// drainedName is there while the operators keep the relay empty.
const drainedName = "drained"

// Drained tells whether the operators had emptied the relay when a process last marked it.
func (s *StateDir) Drained() bool {
	_, err := os.Stat(s.path(drainedName))
	return err == nil
}

// SetDrained notes that the operators have emptied the relay, or that it is back at work, for a process that comes after a crash.
func (s *StateDir) SetDrained(drained bool) error {
	if !drained {
		if err := os.Remove(s.path(drainedName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	return os.WriteFile(s.path(drainedName), nil, 0o600)
}

// WriteTransfer adds a file to the spool. It is there whole, or not at all.
func (s *StateDir) WriteTransfer(content []byte) error {
	dir := s.path(spoolName)
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	s.transferCount++
	name := filepath.Join(dir, fmt.Sprintf("%020d-%d-%06d", s.timeScale.Date(time.Now())*1000, os.Getpid(), s.transferCount))
	if err := os.WriteFile(name+tmpExt, content, 0o600); err != nil {
		os.Remove(name + tmpExt)
		return err
	}
	return os.Rename(name+tmpExt, name+transferExt)
}

// TransferSender tells files of the spool apart by the process that gave them.
func TransferSender(name string) string {
	_, afterTime, _ := strings.Cut(name, "-")
	process, _, _ := strings.Cut(afterTime, "-")
	return process
}

// ReplaceTransfer puts another content in place of a file of the spool. At each moment the old one is there whole, or the new one.
func (s *StateDir) ReplaceTransfer(name string, content []byte) error {
	path := filepath.Join(s.path(spoolName), name)
	tmp := strings.TrimSuffix(path, transferExt) + tmpExt
	if err := os.WriteFile(tmp, content, 0o600); err != nil {
		os.Remove(tmp)
		return err
	}
	return os.Rename(tmp, path)
}

// Transfers lists the spool's files, the oldest first.
func (s *StateDir) Transfers() (names []string) {
	entries, _ := os.ReadDir(s.path(spoolName)) // sorted by name
	for _, e := range entries {
		if filepath.Ext(e.Name()) == transferExt {
			names = append(names, e.Name())
		}
	}
	return names
}

// ReadTransfer returns a file of the spool.
func (s *StateDir) ReadTransfer(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(s.path(spoolName), name))
}

// RemoveTransfer removes a file of the spool, whose content is taken over.
func (s *StateDir) RemoveTransfer(name string) error {
	return os.Remove(filepath.Join(s.path(spoolName), name))
}

// RemovePartialTransfers removes what half a write left in the spool. Nobody else may be giving.
func (s *StateDir) RemovePartialTransfers() {
	entries, _ := os.ReadDir(s.path(spoolName))
	for _, e := range entries {
		if filepath.Ext(e.Name()) == tmpExt {
			os.Remove(filepath.Join(s.path(spoolName), e.Name()))
		}
	}
}
