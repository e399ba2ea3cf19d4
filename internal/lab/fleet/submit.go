package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"oatfold/client"
)

// This file submits the messages of a scenario, and begins and ends faults at given messages.

// faultStep is the beginning or the end of a fault, due before the message of that number.
type faultStep struct {
	atMessage int
	fault     int
	begins    bool
}

// submitMessages submits the scenario's messages one after the other, and applies the fault steps
// that are due before each.
func (r *run) submitMessages(ctx context.Context) error {
	// A client that gets good answers stays with one relay, so each relay gets a client of its own.
	clients := make([]*client.Client, len(r.relays))
	for n, relay := range r.relays {
		relayClient, err := client.New(
			client.Config{Relays: []string{relay.Addr}, Spread: 50 * time.Millisecond, NoRefusals: true})
		if err != nil {
			return err
		}
		defer relayClient.Close()
		clients[n] = relayClient
	}
	messageCount := int(r.scenario.Rate * (r.scenario.Length - fleetStartTime).Seconds())
	messagesBefore := func(at time.Duration) int { return int(r.scenario.Rate * (at - fleetStartTime).Seconds()) }
	var steps []faultStep
	for i, fault := range r.scenario.Faults {
		steps = append(steps, faultStep{messagesBefore(fault.At), i, true},
			faultStep{max(messagesBefore(fault.At)+1, messagesBefore(fault.At+fault.Duration)), i, false})
	}
	slices.SortStableFunc(steps, func(a, b faultStep) int { return a.atMessage - b.atMessage })
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.scenario.Rate))
	defer ticker.Stop()
	for n := range messageCount {
		for len(steps) > 0 && steps[0].atMessage <= n {
			if err := r.applyFaultStep(steps[0]); err != nil {
				return err
			}
			steps = steps[1:]
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		class := r.scenario.Classes[n%len(r.scenario.Classes)]
		name := fmt.Sprintf("%s/%d", class.Name, n)
		message := client.Message{Class: class.Name, Dest: 1 + n%len(r.scenario.Dests),
			Effect: client.Effect(
				map[int]client.Effect{0: client.Safe, 1: client.Keyed, 2: client.Unsafe}[int(class.Effect)]),
			Window: class.RepeatWindow, TimeLeft: class.Deadline * 9 / 10, Body: []byte(name + "\n")}
		if err := clients[r.nextAvailableRelay(n)].HandIn(ctx, message, func(result client.Result, _ error) {
			r.mu.Lock()
			r.submissions = append(r.submissions, Submission{name, class.Name, result.ID, result.Outcome})
			r.mu.Unlock()
		}); err != nil {
			return err
		}
	}
	for _, step := range steps {
		// Faults that outlast the scenario end with it, except permanent ones.
		if fault := r.scenario.Faults[step.fault]; !step.begins && fault.At < r.scenario.Length &&
			fault.At+fault.Duration <= r.scenario.Length+settleTime {
			if err := r.applyFaultStep(step); err != nil {
				return err
			}
		}
	}
	flushCtx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for _, c := range clients {
		if err := c.Flush(flushCtx); err != nil {
			return err
		}
	}
	return nil
}

// nextAvailableRelay returns the nth relay in turn, or the next one that is neither stopped nor
// paused. A scenario's hot relay gets extra turns.
func (r *run) nextAvailableRelay(n int) int {
	if extraTurns := int(r.scenario.HotRelayFactor) - 1; extraTurns > 0 {
		if n %= len(r.relays) + extraTurns; n >= len(r.relays) {
			n = 0
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.relays {
		if candidate := (n + i) % len(r.relays); !r.down[candidate] && r.stallCounts[candidate] == 0 {
			return candidate
		}
	}
	return n % len(r.relays)
}
