package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"oatfold/internal/peers/members"
)

// This file asks relays who lives.

// view is what a relay answers when it is asked who lives.
type view struct {
	Self    int
	Members []struct {
		Number      int
		State       string
		Incarnation int
	}
}

func (r *run) view(n int) (*view, error) {
	status, body, err := r.relays[n].CallAdmin("GET", "/members")
	if err != nil || status != 200 {
		return nil, fmt.Errorf("relay %d: status %d: %w", n, status, err)
	}
	v := &view{}
	return v, json.Unmarshal([]byte(body), v)
}

// disagreement names a relay that does not know who lives; empty: all do.
func (r *run) disagreement() string {
	r.mu.Lock()
	down := map[int]bool{}
	for n := range r.down {
		down[n] = true
	}
	r.mu.Unlock()
	for n := range r.relays {
		if down[n] {
			continue
		}
		v, err := r.view(n)
		if err != nil {
			return err.Error()
		}
		for _, m := range v.Members {
			lives, gone := m.State == "alive", m.State == "away" || m.State == "left"
			if m.Number != n && (down[m.Number] && !gone || !down[m.Number] && !lives) {
				return fmt.Sprintf("relay %d takes %d for %s", n, m.Number, m.State)
			}
		}
	}
	return ""
}

func (r *run) agreed() bool { return r.disagreement() == "" }

// until looks again and again, for as long as a hang may last.
func (r *run) until(ctx context.Context, what string, cond func() bool) error {
	for by := time.Now().Add(hang); !cond(); {
		if time.Now().After(by) {
			return fmt.Errorf("waited in vain for %s", what)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(members.Period / 4):
		}
	}
	return nil
}
