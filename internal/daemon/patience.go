package daemon

import (
	"errors"
	"log/slog"
	"slices"
	"syscall"
	"time"
)

// This file is about system calls that fail for a moment: no start is refused and no reload forgotten for one.

const (
	startPatience  = 25 * time.Second // a process that takes 30 s to be ready counts as failed
	reloadPatience = 10 * time.Second
	patienceTurn   = 50 * time.Millisecond
)

// passing are the errors that pass by themselves: this machine or its disk has no room, or no way, at the moment.
var passing = []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EAGAIN, syscall.EINTR, syscall.ENOLCK, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED}

// passes tells whether err may pass by itself.
func passes(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(passing, number)
}

// patiently takes a step again while it fails with an error that may pass, for so long at most. It gives up with the last error
// once giveUp is closed or holds a value, which stays there.
func patiently(what string, limit time.Duration, giveUp func() bool, log *slog.Logger, step func() error) error {
	for began, told := time.Now(), false; ; {
		err := step()
		if err == nil || !passes(err) || time.Since(began) >= limit || giveUp() {
			return err
		}
		if !told {
			log.Warn(what+" now, and is tried again", "err", err)
		}
		told = true
		time.Sleep(patienceTurn)
	}
}

// starting takes a step of the start patiently, until the process is told to end.
func (r *relay) starting(what string, step func() error) error {
	return patiently(what, startPatience, func() bool { return len(r.terminate) > 0 }, r.log, step)
}
