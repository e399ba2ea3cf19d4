package overload

import (
	"math/rand"
	"testing"
	"time"

	"oatfold/internal/lab/emu"
	"oatfold/policy"
)

// paced is a sender of many that knows its even share of the limit, and of the others nothing: a call each interval, from a start
// drawn over one, at an even pace. After a refusal it draws its place anew.
type paced struct {
	informed
	rng     *rand.Rand
	started bool
	back    map[uint32]bool // sent, and not ended
}

func (s *paced) Step(now time.Duration, events []policy.Event) []policy.Action {
	if !s.started {
		s.started, s.back = true, map[uint32]bool{}
		s.next = now + time.Duration(s.rng.Float64()*float64(s.interval))
	}
	moved := false
	for _, e := range events {
		end, ok := e.(policy.AttemptEnded)
		if !ok || !s.back[end.ID] {
			continue
		}
		delete(s.back, end.ID)
		if end.Outcome == policy.Rejected && !end.Final {
			s.waiting = append([]uint32{end.ID}, s.waiting...)
			moved = true
		}
	}
	if moved {
		s.next = now + time.Duration((0.5+s.rng.Float64())*float64(s.interval))
	}
	acts := s.informed.Step(now, events)
	for _, a := range acts {
		if send, ok := a.(policy.Send); ok {
			s.back[send.ID] = true
		}
	}
	return acts
}

// The bounds are within reach without a word between senders: those that keep to 0.95 of an even share of the limit, and know nothing
// else, deliver at least 0.9 of what is due, though refused calls use up the limit, at each number of senders. Below these limits they don't: with
// 8 calls a second 30 senders deliver 0.74, and with 4 six of them 0.80, since the bucket of half a second is smaller than the clumps in which their calls come.
func TestReach(t *testing.T) {
	const pace = 0.95
	for _, f := range []struct {
		senders int
		calls   float64
	}{{2, 4}, {2, 8}, {6, 8}, {30, 16}, {300, 30}, {30, DefaultLimit(30)}, {300, DefaultLimit(300)}} {
		for seed := range uint64(2) {
			set := DefaultConfig()
			set.Seed, set.LoweredShare, set.Limit = seed, 1, f.calls // they would not notice that the limit is lowered
			interval := time.Duration(float64(f.senders) / (pace * f.calls) * float64(time.Second))
			c := Cell{Batch: 1, Relays: f.senders, Load: 2, Limit: emu.RateLimit, CountsRejected: true, Routes: 1}
			row, err := Run(c, set, func(_ policy.Settings, seed int64) (emu.PolicyEngine, error) {
				return &paced{informed: informed{interval: interval, batch: c.Batch}, rng: rand.New(rand.NewSource(seed))}, nil
			})
			if err != nil {
				t.Fatal(err)
			}
			if row.Goodput < MinGoodput {
				t.Errorf("%d senders, %.1f calls a second, seed %d: %.3f of what is due, %.2f of the calls refused", f.senders, f.calls, seed, row.Goodput, row.RejectedPerCall)
			}
		}
	}
}
