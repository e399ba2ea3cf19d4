package daemon

import (
	"log/slog"
	"time"

	"oatfold/internal/transient"
)

// This file is about system calls that fail for a moment: no start is refused and no reload forgotten for one.

const (
	startPatience  = 25 * time.Second // a process that takes 30 s to be ready counts as failed
	reloadPatience = 10 * time.Second
	patienceTurn   = 50 * time.Millisecond
)

// patiently takes a step again while it fails with an error that may pass, for so long at most, or until giveUp says so. It returns the
// last error.
func patiently(what string, limit time.Duration, giveUp func() bool, log *slog.Logger, step func() error) error {
	for began, told := time.Now(), false; ; {
		err := step()
		if err == nil || !transient.Is(err) || time.Since(began) >= limit || giveUp() {
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
