package overload

import (
	"math/rand"
	"testing"
	"time"

	"oatfold/internal/lab/emu"
	"oatfold/policy"
)

// uncoordinatedRelay is a policy engine that knows its fair share of the limit and nothing of other
// relays. It sends one call per interval from a random phase, and draws a new phase after a
// rejection.
type uncoordinatedRelay struct {
	pacedRelay
	rng     *rand.Rand
	started bool
	pending map[uint32]bool // sent and not completed
}

func (s *uncoordinatedRelay) Step(now time.Duration, events []policy.Event) []policy.Action {
	if !s.started {
		s.started, s.pending = true, map[uint32]bool{}
		s.next = now + time.Duration(s.rng.Float64()*float64(s.interval))
	}
	rejected := false
	for _, e := range events {
		end, ok := e.(policy.AttemptEnded)
		if !ok || !s.pending[end.ID] {
			continue
		}
		delete(s.pending, end.ID)
		if end.Outcome == policy.Rejected && !end.Final {
			s.waiting = append([]uint32{end.ID}, s.waiting...)
			rejected = true
		}
	}
	if rejected {
		s.next = now + time.Duration((0.5+s.rng.Float64())*float64(s.interval))
	}
	acts := s.pacedRelay.Step(now, events)
	for _, a := range acts {
		if send, ok := a.(policy.Send); ok {
			s.pending[send.ID] = true
		}
	}
	return acts
}

// The bounds can be met without gossip: relays that use 0.95 of their fair share of the limit
// deliver at least 0.9 of what is deliverable, though rejected calls use up the limit. Below these
// limits the bursts of calls exceed the token bucket, which holds half a second of calls.
func TestUncoordinatedRelaysMeetBounds(t *testing.T) {
	const allowance = 0.95
	for _, f := range []struct {
		relays int
		calls  float64
	}{{2, 4}, {2, 8}, {6, 8}, {30, 16}, {300, 30}, {30, DefaultLimit(30)}, {300, DefaultLimit(300)}} {
		for seed := range uint64(2) {
			config := DefaultConfig()
			// The relays would not notice a lower limit.
			config.Seed, config.LoweredShare, config.Limit = seed, 1, f.calls
			interval := time.Duration(float64(f.relays) / (allowance * f.calls) * float64(time.Second))
			c := Cell{Batch: 1, Relays: f.relays, Load: 2, Limit: emu.RateLimit, CountsRejected: true, Routes: 1}
			row, err := Run(c, config, func(_ policy.Settings, seed int64) (emu.PolicyEngine, error) {
				return &uncoordinatedRelay{pacedRelay: pacedRelay{interval: interval, batch: c.Batch},
					rng: rand.New(rand.NewSource(seed))}, nil
			})
			if err != nil {
				t.Fatal(err)
			}
			if row.Goodput < MinGoodput {
				t.Errorf("%d relays, %.1f calls per second, seed %d: goodput %.3f, %.2f of the calls rejected",
					f.relays, f.calls, seed, row.Goodput, row.RejectedPerCall)
			}
		}
	}
}
