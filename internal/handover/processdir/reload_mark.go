package processdir

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// This file counts the reloads that processes of the relay were told to make. The count is in the
// name of an empty file, so that a full disk can't refuse it.

// reloadPrefix starts the name of that file.
const reloadPrefix = "reload-"

// Limits of the wait for another process that reads or changes the mark.
const (
	markLockTimeout  = 250 * time.Millisecond // the other one may be stopped
	markLockInterval = time.Millisecond
)

// errMarkBusy is returned while another process holds the lock of the mark.
var errMarkBusy = errors.New("another process holds the reload mark")

// ReloadMark returns the number of reloads that processes of the relay were told to make. It waits
// for a process that changes the mark, for 0.25 s at most.
func (s *StateDir) ReloadMark() (mark int64, err error) {
	unlock, err := s.lockReloadMark(unix.LOCK_SH)
	if err != nil {
		return 0, err
	}
	defer unlock()
	return s.readReloadMark()
}

// MarkReload tells the other processes of the relay to reload, and returns the new mark. It waits
// for a process that uses the mark, for 0.25 s at most.
func (s *StateDir) MarkReload() (mark int64, err error) {
	unlock, err := s.lockReloadMark(unix.LOCK_EX)
	if err != nil {
		return 0, err
	}
	defer unlock()
	if mark, err = s.readReloadMark(); err != nil {
		return 0, err
	}
	if mark++; mark > 1 {
		return mark, os.Rename(s.reloadMarkPath(mark-1), s.reloadMarkPath(mark))
	}
	file, err := os.OpenFile(s.reloadMarkPath(mark), os.O_CREATE, 0o600)
	if err != nil {
		return 0, err
	}
	return mark, file.Close()
}

// lockReloadMark locks the mark, shared or exclusive, until unlock is called. Without the lock, a
// listing of the folder may miss a file that is renamed meanwhile.
func (s *StateDir) lockReloadMark(how int) (unlock func(), err error) {
	folder, err := os.Open(s.dir)
	if err != nil {
		return nil, err
	}
	for began := time.Now(); ; time.Sleep(markLockInterval) {
		locked, err := flock(folder, how|unix.LOCK_NB)
		if locked {
			return func() { folder.Close() }, nil
		}
		if err == nil && time.Since(began) >= markLockTimeout {
			err = errMarkBusy
		}
		if err != nil {
			folder.Close()
			return nil, err
		}
	}
}

// readReloadMark reads the mark; 0: there is none yet.
func (s *StateDir) readReloadMark() (mark int64, err error) {
	entries, err := os.ReadDir(s.dir)
	for _, e := range entries {
		if number, found := strings.CutPrefix(e.Name(), reloadPrefix); found {
			if n, err := strconv.ParseInt(number, 10, 64); err == nil {
				mark = max(mark, n)
			}
		}
	}
	return mark, err
}

func (s *StateDir) reloadMarkPath(mark int64) string {
	return s.path(reloadPrefix + strconv.FormatInt(mark, 10))
}
