package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"oatfold/internal/peers/members"
)

// This file asks relays which members are alive.

// membersView is a relay's answer to GET /members.
type membersView struct {
	Self    int
	Members []struct {
		Number      int
		State       string
		Incarnation int
	}
}

// fetchMembers asks a relay for its view of the members.
func (r *run) fetchMembers(n int) (*membersView, error) {
	status, body, err := r.relays[n].CallAdmin("GET", "/members")
	if err != nil || status != 200 {
		return nil, fmt.Errorf("relay %d: status %d: %w", n, status, err)
	}
	view := &membersView{}
	return view, json.Unmarshal([]byte(body), view)
}

// memberDisagreement describes the first relay found whose view of the members is wrong; it is
// empty if all are right.
func (r *run) memberDisagreement() string {
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
		view, err := r.fetchMembers(n)
		if err != nil {
			return err.Error()
		}
		for _, member := range view.Members {
			alive, gone := member.State == "alive", member.State == "away" || member.State == "left"
			if member.Number != n && (down[member.Number] && !gone || !down[member.Number] && !alive) {
				return fmt.Sprintf("relay %d sees %d as %s", n, member.Number, member.State)
			}
		}
	}
	return ""
}

// membersAgree reports whether all running relays have the right view of the members.
func (r *run) membersAgree() bool { return r.memberDisagreement() == "" }

// waitUntil polls until the condition holds, for waitTimeout at most.
func (r *run) waitUntil(ctx context.Context, what string, cond func() bool) error {
	for deadline := time.Now().Add(waitTimeout); !cond(); {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out waiting for %s", what)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(members.Period / 4):
		}
	}
	return nil
}
