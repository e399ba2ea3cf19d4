package policy_test

import (
	"fmt"
	"time"

	"oatfold/policy"
)

// A relay creates the policy engine, passes events to it and carries out the returned actions.
func Example() {
	relay, err := policy.New(policy.Settings{
		Relays: 1, MaxConcurrentCalls: 4, MaxPending: 100, MaxAttempts: 6, Tick: 5 * time.Millisecond,
		RatesListed: true, ColdStartShare: 0.25, WarmUpTime: 10 * time.Second, OverloadFactor: 2,
		OverloadTime: 2 * time.Second,
		Classes: []policy.Class{{Name: "invoice", Effect: policy.Unsafe, TargetLatency: 2 * time.Second,
			Deadline: 20 * time.Second, Value: 1, LateValue: 0.3}},
		Kinds: []policy.Kind{{Name: "bank", MaxBatch: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	started := time.Duration(0) // time.Since(start) in a real relay
	actions := relay.Step(started, []policy.Event{
		policy.EndpointListUpdate{Kind: policy.ListSnapshot, Entries: []policy.Endpoint{
			{Address: "192.0.2.7:443", Destination: 1, Kind: "bank", Rate: 10}}},
		policy.Submitted{ID: 1, Class: "invoice", Destination: 1, TimeLeft: 20 * time.Second},
	})
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Send: // start the call; report its result with AttemptEnded
			fmt.Println("send", a.ID, "to", a.Endpoint, "within", a.Timeout)
		case policy.Refuse: // tell the client to retry
		case policy.Fail: // tell the client that the message failed
		case policy.SetTimer: // set the only timer; report it with TimerFired
		case policy.Subscribe: // subscribe to the endpoint list
		case policy.LogLine: // write it to the log
		}
	}
	// Output: send 1 to 192.0.2.7:443 within 20s
}
