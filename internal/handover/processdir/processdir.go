// Package processdir manages the state folder that the processes of one relay share: the leader
// lock, a directory for each process with its journal, and the spool of transfers between them. It
// does the I/O for package handover and decides nothing. Locks are taken with flock, so they end
// with their process, however it ends.
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
	blockSize      = 512 // disk usage counts whole blocks
)

// Statuses that a process writes to its directory.
const (
	StatusReady   = "ready"   // stands by and can serve
	StatusServing = "serving" // accepts clients
)

// StateDir is an open state folder.
type StateDir struct {
	dir           string
	leaderLock    *os.File
	log           *slog.Logger
	transferCount int
	timeScale     clock.Scale
	unsavedMark   []byte // clock mark that could not be written yet; nil: none
}

// Dir is the directory where one process writes its journal. An empty name is the state folder
// itself.
type Dir struct {
	Path, Name string
	lockFile   *os.File
	successor  string // directory name of the process that was taking this one over
	claimed    bool   // a successor is recorded
}

// Open opens an existing state folder.
func Open(dir string, log *slog.Logger) (*StateDir, error) {
	lockFile, err := os.OpenFile(filepath.Join(dir, leaderLockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	stateDir := &StateDir{dir: dir, leaderLock: lockFile, log: log}
	stateDir.timeScale = stateDir.loadTimeScale()
	return stateDir, nil
}

// minClockStep is the smallest step of the wall clock that is logged.
const minClockStep = time.Second

// TimeScale returns the scale for dates that processes of the relay exchange.
func (s *StateDir) TimeScale() clock.Scale { return s.timeScale }

// loadTimeScale continues the time scale of earlier processes, or starts one.
func (s *StateDir) loadTimeScale() clock.Scale {
	now, at := clock.Now()
	raw, err := os.ReadFile(s.path(clockMarkName))
	saved, decodeErr := clock.Decode(raw)
	if err == nil && decodeErr != nil {
		s.log.Warn("the state folder's clock mark can't be read; dates follow the wall clock", "err", decodeErr)
	}
	scale, continued := clock.Continue(saved, now, at)
	if continued {
		if step := time.Duration(now.DateUs-scale.Date(at)) * time.Microsecond; step.Abs() >= minClockStep {
			s.log.Warn("the wall clock was stepped; dates continue on the earlier scale", "by", step)
		}
		return scale
	}
	s.unsavedMark = now.Encode()
	if err := s.SaveClockMark(); err != nil {
		s.log.Warn("the clock mark can't be written to the state folder; a step of the wall clock would move deadlines",
			"err", err)
	}
	return scale
}

// ClockMarkSaved reports whether later processes can continue the time scale of this one.
func (s *StateDir) ClockMarkSaved() bool { return s.unsavedMark == nil }

// SaveClockMark writes the clock mark if that has failed so far. It holds at any later time.
func (s *StateDir) SaveClockMark() error {
	if s.unsavedMark == nil {
		return nil
	}
	err := s.writeFile(clockMarkName, s.unsavedMark)
	if err == nil {
		s.unsavedMark = nil
	}
	return err
}

// writeFile replaces a file of the folder atomically.
func (s *StateDir) writeFile(name string, content []byte) error {
	tmp := s.path(name) + tmpExt
	if err := os.WriteFile(tmp, content, 0o600); err != nil {
		os.Remove(tmp)
		return err
	}
	return os.Rename(tmp, s.path(name))
}

// flock locks a file and reports whether it did; false if how contains LOCK_NB and another process
// holds the lock. Where the system has no such locks it succeeds: no other process can hold one, so
// the relay serves alone.
func flock(file *os.File, how int) (bool, error) {
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

// TryLeaderLock takes the leader lock if no process holds it.
func (s *StateDir) TryLeaderLock() (bool, error) {
	return flock(s.leaderLock, unix.LOCK_EX|unix.LOCK_NB)
}

// WaitLeaderLock blocks its thread until this process holds the leader lock.
func (s *StateDir) WaitLeaderLock() error {
	_, err := flock(s.leaderLock, unix.LOCK_EX)
	return err
}

// ReleaseLeaderLock releases the leader lock.
func (s *StateDir) ReleaseLeaderLock() error { return unix.Flock(int(s.leaderLock.Fd()), unix.LOCK_UN) }

// SetCurrent records which directory holds the current journal. The holder of the leader lock calls
// it before it takes anything over.
func (s *StateDir) SetCurrent(dir *Dir) error {
	name := dir.Name + "\n"
	if previous, err := os.ReadFile(s.leaderLock.Name()); err == nil && string(previous) == name {
		return nil // no write, so that a full disk does not prevent the start
	}
	if _, err := s.leaderLock.WriteAt([]byte(name), 0); err != nil {
		return err
	}
	return s.leaderLock.Truncate(int64(len(name)))
}

// current returns the name of the directory that the last holder of the leader lock wrote to; "" if
// there was none.
func (s *StateDir) current() string {
	b := make([]byte, 64)
	n, _ := s.leaderLock.ReadAt(b, 0)
	return strings.TrimSpace(string(b[:n]))
}

func (s *StateDir) path(name string) string { return filepath.Join(s.dir, name) }

// dirNames lists the process directories, the state folder itself first.
func (s *StateDir) dirNames() []string {
	names := []string{""}
	entries, _ := os.ReadDir(s.dir)
	for _, e := range entries {
		if _, err := strconv.Atoi(strings.TrimPrefix(e.Name(), runPrefix)); e.IsDir() && err == nil &&
			strings.HasPrefix(e.Name(), runPrefix) {
			names = append(names, e.Name())
		}
	}
	return names
}

// TryLock locks a process directory. It returns nil if a process holds it or it no longer exists.
func (s *StateDir) TryLock(name string) (*Dir, error) {
	path := filepath.Join(s.path(name), lockFileName)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	locked, err := flock(file, unix.LOCK_EX|unix.LOCK_NB)
	if locked {
		// Its last user may just have removed the directory and its lock file.
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
		file.Truncate(0) // the status of a process that no longer runs
	}
	return dir, nil
}

// OpenOwn locks the directory that this process writes to. The active process continues in the
// current one. A process that stands by gets an empty one, if possible the state folder itself, so
// that after every second upgrade the folder can be read by versions without process directories.
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
			dir.lockFile.Close() // adopted like any other: some of its messages have moved to its successor
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

// SetStatus writes a status for other processes to the directory.
func (d *Dir) SetStatus(status string) error {
	_, err := d.lockFile.WriteAt([]byte(status+"\n"), 0)
	if err == nil {
		err = d.lockFile.Truncate(int64(len(status) + 1))
	}
	return err
}

// Status returns the last status that was written to a directory.
func (s *StateDir) Status(name string) string {
	b, _ := os.ReadFile(filepath.Join(s.path(name), lockFileName))
	return strings.TrimSpace(string(b))
}

// Others lists the other process directories: the names of those that a running process holds, and
// the abandoned ones, which it locks, each before the directory of its successor. The state folder
// itself counts only if it contains a journal. With an error it returns what it found until then;
// the caller has to release those directories too.
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

// journalFiles lists the files of a directory's journal.
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

// Remove deletes a locked directory whose journal has been adopted.
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
		s.log.Warn("an adopted process directory can't be removed", "room", dir.Name, "err", err)
	}
	return dir.lockFile.Close()
}

// Release unlocks the directory. empty says that its process never held the leader lock, so that it
// has nothing to be adopted and is removed.
func (s *StateDir) Release(dir *Dir, empty bool) {
	if empty && dir.Name != "" {
		s.Remove(dir)
		return
	}
	dir.lockFile.Close()
}

// Usage is the space that the files of the state folder take on disk, in bytes.
type Usage struct {
	Dirs  map[string]int64 // by name of the process directory
	Spool map[string]int64 // transfers, by sender
}

// Usage measures the files of the state folder.
func (s *StateDir) Usage() Usage {
	usage := Usage{Dirs: map[string]int64{}, Spool: map[string]int64{}}
	for _, name := range s.dirNames() {
		usage.Dirs[name] = 0
		s.eachFile(name, func(_ string, bytes int64) { usage.Dirs[name] += bytes })
	}
	s.eachFile(spoolName, func(file string, bytes int64) { usage.Spool[TransferSender(file)] += bytes })
	return usage
}

// eachFile calls f with each file of a directory and the space that it takes.
func (s *StateDir) eachFile(dir string, f func(name string, bytes int64)) {
	entries, _ := os.ReadDir(s.path(dir))
	for _, e := range entries {
		if info, err := e.Info(); err == nil && !e.IsDir() {
			f(e.Name(), (info.Size()+blockSize-1)/blockSize*blockSize)
		}
	}
}

// UsedBytes returns the bytes of disk that all files outside the directory own take.
func (s *StateDir) UsedBytes(own *Dir) (bytes int64) {
	usage := s.Usage()
	for name, used := range usage.Dirs {
		if name != own.Name {
			bytes += used
		}
	}
	for _, used := range usage.Spool {
		bytes += used
	}
	return bytes
}

// drainedName is a file that exists while operators keep the relay drained.
const drainedName = "drained"

// Drained reports whether the relay is recorded as drained by operators.
func (s *StateDir) Drained() bool {
	_, err := os.Stat(s.path(drainedName))
	return err == nil
}

// SetDrained records whether operators have drained the relay, for a process that starts after a
// crash.
func (s *StateDir) SetDrained(drained bool) error {
	if !drained {
		if err := os.Remove(s.path(drainedName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	return os.WriteFile(s.path(drainedName), nil, 0o600)
}

// WriteTransfer adds a file to the spool atomically.
func (s *StateDir) WriteTransfer(content []byte) error {
	dir := s.path(spoolName)
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	s.transferCount++
	name := filepath.Join(dir,
		fmt.Sprintf("%020d-%d-%06d", s.timeScale.Date(time.Now())*1000, os.Getpid(), s.transferCount))
	if err := os.WriteFile(name+tmpExt, content, 0o600); err != nil {
		os.Remove(name + tmpExt)
		return err
	}
	return os.Rename(name+tmpExt, name+transferExt)
}

// TransferSender returns the id of the process that wrote a file of the spool, from the file's
// name.
func TransferSender(name string) string {
	_, afterTime, _ := strings.Cut(name, "-")
	process, _, _ := strings.Cut(afterTime, "-")
	return process
}

// ReplaceTransfer replaces the content of a file of the spool atomically.
func (s *StateDir) ReplaceTransfer(name string, content []byte) error {
	path := filepath.Join(s.path(spoolName), name)
	tmp := strings.TrimSuffix(path, transferExt) + tmpExt
	if err := os.WriteFile(tmp, content, 0o600); err != nil {
		os.Remove(tmp)
		return err
	}
	return os.Rename(tmp, path)
}

// Transfers lists the names of the spool's files, the oldest first.
func (s *StateDir) Transfers() (names []string) {
	entries, _ := os.ReadDir(s.path(spoolName)) // sorted by name
	for _, e := range entries {
		if filepath.Ext(e.Name()) == transferExt {
			names = append(names, e.Name())
		}
	}
	return names
}

// Sender returns the id of this process as the sender of transfers.
func Sender() string { return strconv.Itoa(os.Getpid()) }

// OwnTransfers counts the files of the spool that this process wrote.
func (s *StateDir) OwnTransfers() (count int) {
	for _, name := range s.Transfers() {
		if TransferSender(name) == Sender() {
			count++
		}
	}
	return count
}

// ReadTransfer reads a file of the spool.
func (s *StateDir) ReadTransfer(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(s.path(spoolName), name))
}

// RemoveTransfer removes a file of the spool after its content has been adopted.
func (s *StateDir) RemoveTransfer(name string) error {
	return os.Remove(filepath.Join(s.path(spoolName), name))
}

// RemovePartialTransfers removes the remains of interrupted writes from the spool. No other process
// may be writing to it.
func (s *StateDir) RemovePartialTransfers() {
	entries, _ := os.ReadDir(s.path(spoolName))
	for _, e := range entries {
		if filepath.Ext(e.Name()) == tmpExt {
			os.Remove(filepath.Join(s.path(spoolName), e.Name()))
		}
	}
}
