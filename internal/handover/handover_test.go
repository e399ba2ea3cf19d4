package handover

import (
	"reflect"
	"testing"
	"time"

	"oatfold/internal/handover/share"
	"oatfold/policy"
)

func TestNextAction(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		progress Progress
		want     Action
	}{
		"just stopped":                      {Progress{Listening: true, ClientConns: 3, CallsInFlight: 1, Pending: 1}, Continue},
		"nothing left, no successor serves": {Progress{Elapsed: 400 * ms, Listening: true}, Continue},
		"successor serves": {
			Progress{Elapsed: 2 * ms, Listening: true, SuccessorServing: true, ClientConns: 3}, StopListening},
		"no successor serves in time":              {Progress{Elapsed: StopListeningAfter, Listening: true}, StopListening},
		"clients still connected":                  {Progress{Elapsed: time.Second, ClientConns: 1}, Continue},
		"a call in flight":                         {Progress{Elapsed: time.Second, CallsInFlight: 1, Pending: 1}, Continue},
		"a notification not sent":                  {Progress{Elapsed: time.Second, Pending: 3, NotTransferable: 2}, Continue},
		"only messages that stay in its directory": {Progress{Elapsed: time.Second, Pending: 2, NotTransferable: 2}, Exit},
		"nothing left":                             {Progress{Elapsed: 30 * ms}, Exit},
		"exit time reached": {
			Progress{Elapsed: ExitAfter, Listening: true, ClientConns: 9, CallsInFlight: 4, Pending: 9}, Exit},
	} {
		if got := NextAction(c.progress); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestUpdateRoundTrip(t *testing.T) {
	drained := false
	update := &Update{
		InFlightCalls: []policy.InheritedCall{{Endpoint: "e", Age: time.Second}},
		RetryAfters:   []RetryAfter{{"e", 7, time.Unix(5, 6).UTC()}},
		OwnedIDs:      []string{"a"},
		LearnedState: &policy.LearnedState{CompletionRate: 3,
			Routes: []policy.RouteState{{Endpoint: "e", Interval: time.Second}}},
		EndpointList: &EndpointList{4, []ListedEndpoint{
			{policy.Endpoint{Address: "e", State: policy.Draining}, "127.0.0.1:1"}}},
		Drained: &drained,
		Kept:    &share.Kept{ProcessDir: "life-1", DiskBytes: 7},
	}
	got, err := Decode(update.Encode())
	if err != nil || !reflect.DeepEqual(got, update) {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := Decode(update.Encode()[1:]); err == nil {
		t.Error("a truncated update was decoded")
	}
}
