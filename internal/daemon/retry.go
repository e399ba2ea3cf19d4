package daemon

import (
	"log/slog"
	"time"

	"oatfold/internal/transient"
)

// This file is about system calls that fail for a moment: no start is refused and no reload forgotten for one.

const (
	startRetryLimit  = 25 * time.Second // a process that takes 30 s to be ready counts as failed
	reloadRetryLimit = 10 * time.Second
	retryInterval    = 50 * time.Millisecond
)

// retryTransient takes a step again while it fails with an error that may pass, for so long at most, or until giveUp says so. It returns the
// last error.
func retryTransient(what string, limit time.Duration, giveUp func() bool, log *slog.Logger, step func() error) error {
	for startedAt, logged := time.Now(), false; ; {
		err := step()
		if err == nil || !transient.Is(err) || time.Since(startedAt) >= limit || giveUp() {
			return err
		}
		if !logged {
			log.Warn(what+" now, and is tried again", "err", err)
		}
		logged = true
		time.Sleep(retryInterval)
	}
}

// retryStart takes a step of the start patiently, until the process is told to end.
func (r *relay) retryStart(what string, step func() error) error {
	return retryTransient(what, startRetryLimit, func() bool { return len(r.terminate) > 0 }, r.log, step)
}
