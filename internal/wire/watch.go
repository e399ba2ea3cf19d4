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

// What discovery has to tell counts as told after 6 s even if it did not arrive: a watch that hangs unseen must
// be given up, and asked anew, well before that.
const (
	watchHold         = 3 * time.Second // how long a watch may wait for news
	watchAnswerMargin = time.Second     // and how much longer we wait for its answer

	minWatchBackoff      = 100 * time.Millisecond // after a failure; under the 200 ms that keep a watch going
	silentWatchBackoff   = 50 * time.Millisecond  // the same after a silent one, which was a pause by itself
	watchBackoffPerRelay = 25 * time.Millisecond  // of the longest pause for each relay of the fleet

	// maxWatchBackoff is the pause after many failures, and half as long again at most. Guards against a change that counts as told 6 s after
	// discovery had it, whatever failed before: a question that hangs for all of its time, fails and is followed by the longest pause ends
	// within 5 s.
	maxWatchBackoff   = 500 * time.Millisecond
	pollTimePerRelay  = 100 * time.Millisecond // of discovery's time for each relay, where lists are asked for and not pushed
	maxFirstPollDelay = 9 * time.Second        // before the first question: who has not asked for 10 s counts as told

	// maxPollBackoff is the pause after many failures where lists are asked for, unless discovery needs longer for the whole fleet.
	maxPollBackoff = time.Second
)

// listWatcher says how a watch goes about its questions.
type listWatcher struct {
	addr           string
	generation     int64 // generation of the list that the relay was given, -1: none
	fleetSize      int   // relays that share discovery
	polled         bool  // lists come only to those that ask, and discovery serves so many a second
	seed           int64 // of this relay's own draws
	failureBackoff *jitter.Backoff
	silenceBackoff *jitter.Backoff
	onPause        func(time.Duration) // nil but in tests: told of each pause
	dial           dialFunc            // nil but in tests
}

// firstDelay is when the first question goes out. Risk: all relays of a release start at once, discovery serves some ten of their questions
// a second, turns the others away, and what it turns away uses up its time as well: most relays then never hear of a change.
// So each takes a moment of its own in the time that discovery needs for all of them; a fleet that it pushes to need not.
func (w *listWatcher) firstDelay() time.Duration {
	fleet, least := time.Duration(min(max(1, w.fleetSize), 1000)), minWatchBackoff
	most := min(max(minWatchBackoff, fleet*watchBackoffPerRelay), maxWatchBackoff)
	var first time.Duration
	if w.polled && fleet > 1 {
		least = min(max(minWatchBackoff, fleet*pollTimePerRelay), maxFirstPollDelay)
		if most = maxPollBackoff; least > maxPollBackoff {
			most = 2 * maxFirstPollDelay // so many would keep it shut
		}
		first = jitter.Within(least, w.seed)
	}
	w.failureBackoff, w.silenceBackoff = jitter.NewBackoff(least, most, w.seed), jitter.NewBackoff(silentWatchBackoff, silentWatchBackoff, w.seed)
	return first
}

// endpointListUpdate is an answer of discovery to one watch.
type endpointListUpdate struct {
	memory.EndpointList
	watchCtx context.Context
}

// watchEndpointList keeps the pool config up to date until ctx ends: the whole list first, or what has changed in the one that the relay was
// given, then changes. A silent or failing discovery changes nothing but the log.
func watchEndpointList(ctx context.Context, w listWatcher, events chan<- any, log *slog.Logger) {
	p := &agentConn{addr: w.addr, dial: w.dial}
	defer p.close()
	have, failing, told := int64(-1), false, false
	sleep(ctx, w.firstDelay())
	if w.polled {
		have = w.generation // one question in place of two
	}
	for ctx.Err() == nil {
		path := "/v1/endpoints"
		if have >= 0 {
			path = fmt.Sprintf("/v1/endpoints?from=%d&hold_ms=%d", have, watchHold.Milliseconds())
		}
		a, err := p.roundTrip(ctx, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, w.addr), watchHold+watchAnswerMargin)
		silent := errors.Is(err, os.ErrDeadlineExceeded)
		var pc memory.EndpointList
		if err == nil && a.status != 200 {
			err = fmt.Errorf("status %d", a.status)
		}
		if err == nil {
			pc, err = memory.ParseEndpointList(string(a.body))
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil && !pc.Complete && pc.Generation < have {
			// Guards against changes from before what is known: they would bring back what has drained or gone since.
			err, have = fmt.Errorf("generation %d after %d", pc.Generation, have), -1
		}
		log.Debug("asked discovery", "path", path, "generation", pc.Generation, "entries", len(pc.Entries), "err", err)
		if err != nil {
			if !failing {
				log.Warn("discovery fails, the pool config stays as it is", "address", w.addr, "err", err)
			}
			failing = true
			if silent && !w.polled {
				// Guards against the news of an agent that comes back while nobody asks: they count as told at once.
				w.pause(ctx, w.silenceBackoff.NextDelay())
				continue
			}
			w.pause(ctx, w.failureBackoff.NextDelay())
			continue
		}
		if failing {
			log.Info("discovery answers again", "generation", pc.Generation)
		}
		failing = false
		w.failureBackoff.Reset()
		if have < 0 {
			pc.Complete = true
		}
		if have = pc.Generation; !told || pc.Complete || len(pc.Entries) > 0 {
			told = true
			events <- endpointListUpdate{pc, ctx}
		}
	}
}

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
