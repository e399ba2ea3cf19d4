package handover

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oatfold/policy"
)

func TestNextAction(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		f    Progress
		want Action
	}{
		"just told":                      {Progress{Listening: true, ClientConns: 3, CallsInFlight: 1, Pending: 1}, Continue},
		"nothing left, nobody took over": {Progress{Elapsed: 400 * ms, Listening: true}, Continue},
		"taken over":                     {Progress{Elapsed: 2 * ms, Listening: true, SuccessorServing: true, ClientConns: 3}, StopListening},
		"no word of the successor":       {Progress{Elapsed: StopListeningAfter, Listening: true}, StopListening},
		"clients still there":            {Progress{Elapsed: time.Second, ClientConns: 1}, Continue},
		"a call still out":               {Progress{Elapsed: time.Second, CallsInFlight: 1, Pending: 1}, Continue},
		"a notice still owed":            {Progress{Elapsed: time.Second, Pending: 3, NotTransferable: 2}, Continue},
		"only what its room keeps":       {Progress{Elapsed: time.Second, Pending: 2, NotTransferable: 2}, Exit},
		"all gone":                       {Progress{Elapsed: 30 * ms}, Exit},
		"out of time":                    {Progress{Elapsed: ExitAfter, Listening: true, ClientConns: 9, CallsInFlight: 4, Pending: 9}, Exit},
	} {
		if got := NextAction(c.f); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Two processes that share the disk anew at any time, in any order, never go over it together.
func TestJournalBudgetsStayWithinTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.Int64Range(1, 1<<20).Draw(t, "all")
		var used, budget [2]int64
		used[0] = rapid.Int64Range(0, all).Draw(t, "old")
		budget[0], budget[1] = JournalBudget(all, used[0], 0), JournalBudget(all, 0, used[0])
		for range rapid.IntRange(1, 20).Draw(t, "turns") {
			i := rapid.IntRange(0, 1).Draw(t, "who")
			if room := budget[i] - used[i]; room > 0 && rapid.Bool().Draw(t, "writes") {
				used[i] += rapid.Int64Range(0, room/2).Draw(t, "bytes")
			}
			budget[i] = JournalBudget(all, used[i], used[1-i])
			if used[0]+used[1] > all {
				t.Fatalf("%v of %d", used, all)
			}
		}
	})
}

func TestUpdateRoundTrip(t *testing.T) {
	n := &Update{InFlightCalls: []policy.InheritedCall{{Endpoint: "e", Age: time.Second}}, RetryAfters: []RetryAfter{{"e", 7, time.Unix(5, 6).UTC()}}, OwnedIDs: []string{"a"}, LearnedState: &policy.LearnedState{CompletionRate: 3, Routes: []policy.RouteState{{Endpoint: "e", Interval: time.Second}}},
		EndpointList: &EndpointList{4, []ListedEndpoint{{policy.Endpoint{Address: "e", State: policy.Draining}, "127.0.0.1:1"}}}, Drained: true}
	got, err := Decode(n.Encode())
	if err != nil || !reflect.DeepEqual(got, n) {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := Decode(n.Encode()[1:]); err == nil {
		t.Error("half of it was taken for news")
	}
}
