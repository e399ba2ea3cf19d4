package daemon

import (
	"context"
	"log/slog"
	"time"

	"oatfold/internal/transient"
)

// This file retries steps that fail with transient errors, so that none of them ends a start or a
// reload.

const (
	startRetryLimit  = 25 * time.Second // a start that takes 30 s counts as failed
	reloadRetryLimit = 10 * time.Second
	retryInterval    = 50 * time.Millisecond
)

// retryTransient calls step until it succeeds, fails with an error that is not transient, the limit
// has passed, or giveUp returns true. It returns the last error. what names the failure in the log.
func retryTransient(what string, limit time.Duration, giveUp func() bool, log *slog.Logger,
	step func() error) error {
	for startedAt, logged := time.Now(), false; ; {
		err := step()
		if err == nil || !transient.Is(err) || time.Since(startedAt) >= limit || giveUp() {
			return err
		}
		if !logged {
			log.Warn(what+" now, retrying", "err", err)
		}
		logged = true
		time.Sleep(retryInterval)
	}
}

// retryUntilDone retries a step, whatever its error, until it succeeds or ctx ends. It then returns
// the error of ctx.
func (r *relay) retryUntilDone(ctx context.Context, what string, step func() error) error {
	for logged := false; ; logged = true {
		err := step()
		if err == nil {
			return nil
		}
		if !logged {
			r.log.Warn(what+" now, retrying", "err", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryInterval):
		}
	}
}

// retryStart retries a step of the start for startRetryLimit, or until the process receives a stop
// signal.
func (r *relay) retryStart(what string, step func() error) error {
	return retryTransient(what, startRetryLimit, func() bool { return len(r.terminate) > 0 }, r.log, step)
}
