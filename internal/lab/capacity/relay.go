package capacity

import (
	"fmt"
	"strings"
	"time"

	"oatfold/internal/memory"
	"oatfold/policy"
)

const (
	bodySize     = 200              // bytes
	deadline     = 60 * time.Second // of every message
	timedRepeats = 16               // timed calls per mean
)

// relaySettings returns the settings of a relay with capacity for that many messages and concurrent
// calls.
func relaySettings(messages int) policy.Settings {
	return policy.Settings{
		Relays:             3,
		MaxConcurrentCalls: max(4, messages),
		MaxPending:         max(8, 2*messages),
		MaxAttempts:        8,
		Tick:               time.Millisecond,
		IdleConnTimeout:    15 * time.Second,
		ColdStartShare:     0.2,
		WarmUpTime:         10 * time.Second,
		OverloadFactor:     2,
		OverloadTime:       3 * time.Second,
		Classes: []policy.Class{
			{Name: "notice", TargetLatency: 3 * time.Second, Deadline: deadline, Value: 1, LateValue: 0.5},
			{Name: "charge", Effect: policy.Unsafe, Ordered: true,
				TargetLatency: 4 * time.Second, Deadline: deadline, Value: 1, LateValue: 0.5},
		},
		Kinds: []policy.Kind{{Name: "partner", MaxBatch: 1}},
	}
}

// endpointSnapshot returns a full endpoint list with the given number of endpoints per destination.
func endpointSnapshot(destinations, endpoints int) policy.EndpointListUpdate {
	update := policy.EndpointListUpdate{Kind: policy.ListSnapshot}
	for d := range destinations {
		for e := range endpoints {
			update.Entries = append(update.Entries, policy.Endpoint{Address: endpointAddress(d, e), Destination: d,
				Kind: "partner", Zone: "zone-1"})
		}
	}
	return update
}

// endpointAddress returns a unique address.
func endpointAddress(destination, endpoint int) string {
	return fmt.Sprintf("s-%08x-%04x", destination, endpoint)
}

// newRelay returns a policy engine that knows the given destinations.
func newRelay(destinations, endpoints, messages int, seed uint64) (*policy.Relay, error) {
	relay, err := policy.New(relaySettings(messages), int64(seed>>1))
	if err != nil {
		return nil, err
	}
	relay.Step(0, []policy.Event{endpointSnapshot(destinations, endpoints)})
	return relay, nil
}

func destinationMemory(size int, seed uint64) (float64, error) {
	return measureHeap(func() (any, error) { return newRelay(size, 1, 4, seed) })
}

func endpointMemory(size int, seed uint64) (float64, error) {
	return measureHeap(func() (any, error) { return newRelay(1, size, 4, seed) })
}

// activeDestinationMemory measures a relay that has delivered one message to each destination.
func activeDestinationMemory(size int, seed uint64) (float64, error) {
	return measureHeap(func() (any, error) {
		relay, err := newRelay(size, 1, 4, seed)
		if err != nil {
			return nil, err
		}
		now := time.Duration(0)
		for d := range size {
			now += time.Millisecond
			acts := relay.Step(now, []policy.Event{policy.Submitted{ID: uint32(d + 1), Class: "notice",
				Destination: d, TimeLeft: deadline}})
			now += time.Millisecond
			relay.Step(now, deliverSends(acts))
		}
		return relay, nil
	})
}

// deliverSends returns a successful end of the attempt for each Send among the actions.
func deliverSends(acts []policy.Action) (events []policy.Event) {
	for _, a := range acts {
		if s, ok := a.(policy.Send); ok {
			events = append(events, policy.AttemptEnded{ID: s.ID, Endpoint: s.Endpoint, Outcome: policy.Delivered,
				Duration: time.Millisecond, Final: true})
		}
	}
	return events
}

// relayWithPending returns a relay with pending messages for a destination without endpoints. If
// ordered, each message has its own ordering key.
func relayWithPending(messages int, ordered bool, seed uint64) (*policy.Relay, error) {
	relay, err := newRelay(1, 1, messages, seed)
	if err != nil {
		return nil, err
	}
	events := make([]policy.Event, 0, messages)
	for i := range messages {
		m := policy.Submitted{ID: uint32(i + 1), Class: "notice", Destination: 9, TimeLeft: deadline}
		if ordered {
			m.Class, m.Key = "charge", fmt.Sprintf("%016x", i)
		}
		events = append(events, m)
	}
	relay.Step(time.Millisecond, events)
	return relay, nil
}

// orderedMessageMemory measures messages that each have their own ordering key.
func orderedMessageMemory(size int, seed uint64) (float64, error) {
	return measureHeap(func() (any, error) { return relayWithPending(size, true, seed) })
}

// snapshotJSON returns a full endpoint list in the platform's JSON format.
func snapshotJSON(endpoints int) string {
	var text strings.Builder
	text.WriteString(`{"generation":1,"reset":true,"instances":[`)
	for e := range endpoints {
		if e > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"instanceId":%q,"hostPort":"127.%d.%d.%d:8080","zone":"zone-1","machineType":"partner","cell":%d,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}`,
			endpointAddress(e, 0), e>>16&255, e>>8&255, e&255, e)
	}
	text.WriteString("]}")
	return text.String()
}

func snapshotBytes(size int, _ uint64) (float64, error) { return float64(len(snapshotJSON(size))), nil }

func snapshotTime(size int, seed uint64) (float64, error) {
	text := snapshotJSON(size)
	return meanDuration(func() error {
		if _, err := memory.ParseEndpointList(text); err != nil {
			return err
		}
		_, err := newRelay(size, 1, 4, seed)
		return err
	})
}

// listChangeTime measures a change of one endpoint at a relay that knows the given number of
// endpoints.
func listChangeTime(size int, seed uint64) (float64, error) {
	relay, err := newRelay(size, 1, 4, seed)
	if err != nil {
		return 0, err
	}
	now := time.Duration(0)
	return meanDuration(func() error {
		now += time.Millisecond
		relay.Step(now, []policy.Event{policy.EndpointListUpdate{Kind: policy.ListChanges,
			Entries: endpointSnapshot(1, 1).Entries}})
		return nil
	})
}

func reloadTime(size int, seed uint64) (float64, error) {
	relay, err := relayWithPending(size, false, seed)
	if err != nil {
		return 0, err
	}
	changed := relaySettings(size)
	return meanDuration(func() error { return relay.Reconfigure(changed) })
}

// stepTime measures a step that accepts one message at a relay with the given number of pending
// messages.
func stepTime(size int, seed uint64) (float64, error) {
	relay, err := relayWithPending(size, false, seed)
	if err != nil {
		return 0, err
	}
	now, id := time.Millisecond, uint32(size)
	return meanDuration(func() error {
		now, id = now+time.Millisecond, id+1
		relay.Step(now, []policy.Event{policy.Submitted{ID: id, Class: "notice", Destination: 9, TimeLeft: deadline}})
		return nil
	})
}

// meanDuration returns the mean time of timedRepeats calls, in nanoseconds, after one call that is
// not counted.
func meanDuration(do func() error) (float64, error) {
	if err := do(); err != nil {
		return 0, err
	}
	start := time.Now()
	for range timedRepeats {
		if err := do(); err != nil {
			return 0, err
		}
	}
	return float64(time.Since(start).Nanoseconds()) / timedRepeats, nil
}
