package wire

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"oatfold/internal/jitter"
	"oatfold/internal/memory"
)

// A relay is taken to know an update 6 s after discovery has it. A watch that hangs has to be given
// up and reopened well before that.
const (
	watchHold         = 3 * time.Second // how long discovery may wait for an update
	watchAnswerMargin = time.Second     // how much longer the relay waits for the answer

	minWatchBackoff      = 100 * time.Millisecond // after a failure; a watch has to be renewed within 200 ms
	silentWatchBackoff   = 50 * time.Millisecond  // after a request without an answer, which was a pause by itself
	watchBackoffPerRelay = 25 * time.Millisecond  // of the longest pause, per relay of the fleet

	// maxWatchBackoff is the pause after many failures; jitter adds up to half of it. A request
	// that hangs for its whole timeout and the longest pause must end within 5 s, since a relay is
	// taken to know an update 6 s after discovery has it.
	maxWatchBackoff   = 500 * time.Millisecond
	pollTimePerRelay  = 100 * time.Millisecond // time that discovery needs per relay, where lists are polled
	maxFirstPollDelay = 9 * time.Second        // a relay is taken to know the list after 10 s without a poll

	// maxPollBackoff is the pause after many failures where lists are polled, unless discovery
	// needs longer for the whole fleet.
	maxPollBackoff = time.Second
)

// listWatcher holds the parameters and the retry state of a watch.
type listWatcher struct {
	addr           string
	generation     int64 // of the list that the relay started with; -1: none
	fleetSize      int   // relays that share discovery
	polled         bool  // discovery does not push lists, and limits the requests per second
	seed           int64 // for jitter
	failureBackoff *jitter.Backoff
	silenceBackoff *jitter.Backoff
	onPause        func(time.Duration) // set by tests only: called with each pause
	dial           dialFunc            // set by tests only
}

// firstDelay returns the delay before the first request and sets up the backoffs. Where lists are
// polled, all relays of a release start at once and discovery rejects most of their requests, which
// uses up its capacity as well. So each relay draws a delay from the time that discovery needs for
// all of them. A discovery that pushes its lists needs no delay.
func (w *listWatcher) firstDelay() time.Duration {
	fleet, minPause := time.Duration(min(max(1, w.fleetSize), 1000)), minWatchBackoff
	maxPause := min(max(minWatchBackoff, fleet*watchBackoffPerRelay), maxWatchBackoff)
	var delay time.Duration
	if w.polled && fleet > 1 {
		minPause = min(max(minWatchBackoff, fleet*pollTimePerRelay), maxFirstPollDelay)
		if maxPause = maxPollBackoff; minPause > maxPollBackoff {
			maxPause = 2 * maxFirstPollDelay // faster retries would keep discovery overloaded
		}
		delay = jitter.Within(minPause, w.seed)
	}
	w.failureBackoff, w.silenceBackoff = jitter.NewBackoff(minPause, maxPause, w.seed),
		jitter.NewBackoff(silentWatchBackoff, silentWatchBackoff, w.seed)
	return delay
}

// endpointListUpdate is an answer of discovery to one request of a watch.
type endpointListUpdate struct {
	memory.EndpointList
	watchCtx context.Context
}

// watchEndpointList keeps the endpoint list up to date until ctx ends: first the whole list, or the
// changes to the list that the relay started with, then changes. While discovery is silent or
// fails, the list stays as it is.
func watchEndpointList(ctx context.Context, w listWatcher, events chan<- any, log *slog.Logger) {
	conn := &agentConn{addr: w.addr, dial: w.dial}
	defer conn.close()
	known, failing, reported := int64(-1), false, false
	sleep(ctx, w.firstDelay())
	if w.polled {
		known = w.generation // saves the request for the whole list
	}
	for ctx.Err() == nil {
		path := "/v1/endpoints"
		if known >= 0 {
			path = fmt.Sprintf("/v1/endpoints?from=%d&hold_ms=%d", known, watchHold.Milliseconds())
		}
		a, err := conn.roundTrip(ctx,
			fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, w.addr), watchHold+watchAnswerMargin)
		silent := errors.Is(err, os.ErrDeadlineExceeded)
		var list memory.EndpointList
		if err == nil && a.status != 200 {
			err = fmt.Errorf("status %d", a.status)
		}
		if err == nil {
			list, err = memory.ParseEndpointList(string(a.body))
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil && !list.Complete && list.Generation < known {
			// Outdated changes would bring back endpoints that have drained or left since. The whole
			// list is asked for on a new connection, where no late answer can pass for it.
			err, known = fmt.Errorf("generation %d is older than %d", list.Generation, known), -1
			conn.close()
		}
		log.Debug("requested endpoint list from discovery",
			"path", path, "generation", list.Generation, "entries", len(list.Entries), "err", err)
		if err != nil {
			if !failing {
				log.Warn("discovery request failed, the endpoint list stays as it is", "address", w.addr, "err", err)
			}
			failing = true
			if silent && !w.polled {
				// Retry quickly: once the agent is back, the relay is taken to know its updates at once.
				w.pause(ctx, w.silenceBackoff.NextDelay())
				continue
			}
			w.pause(ctx, w.failureBackoff.NextDelay())
			continue
		}
		if failing {
			log.Info("discovery request succeeded again", "generation", list.Generation)
		}
		failing = false
		w.failureBackoff.Reset()
		if known < 0 {
			list.Complete = true
		}
		if known = list.Generation; !reported || list.Complete || len(list.Entries) > 0 {
			reported = true
			events <- endpointListUpdate{list, ctx}
		}
	}
}

// pause waits for d, or until ctx ends.
func (w *listWatcher) pause(ctx context.Context, d time.Duration) {
	if w.onPause != nil {
		w.onPause(d)
	}
	sleep(ctx, d)
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
