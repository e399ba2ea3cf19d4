package handover

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oatfold/policy"
)

func TestCourse(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		f    Facts
		want Step
	}{
		"just told":                      {Facts{Accepting: true, Clients: 3, Out: 1, Held: 1}, GoOn},
		"nothing left, nobody took over": {Facts{Since: 400 * ms, Accepting: true}, GoOn},
		"taken over":                     {Facts{Since: 2 * ms, Accepting: true, Taken: true, Clients: 3}, LetGo},
		"no word of the successor":       {Facts{Since: LetGoBy, Accepting: true}, LetGo},
		"clients still there":            {Facts{Since: time.Second, Clients: 1}, GoOn},
		"a call still out":               {Facts{Since: time.Second, Out: 1, Held: 1}, GoOn},
		"a notice still owed":            {Facts{Since: time.Second, Held: 3, StaysBehind: 2}, GoOn},
		"only what its room keeps":       {Facts{Since: time.Second, Held: 2, StaysBehind: 2}, Exit},
		"all gone":                       {Facts{Since: 30 * ms}, Exit},
		"out of time":                    {Facts{Since: LeaveBy, Accepting: true, Clients: 9, Out: 4, Held: 9}, Exit},
	} {
		if got := Next(c.f); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Two processes that share the disk anew at any time, in any order, never go over it together.
func TestBudgetsHoldTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.Int64Range(1, 1<<20).Draw(t, "all")
		var used, budget [2]int64
		used[0] = rapid.Int64Range(0, all).Draw(t, "old")
		budget[0], budget[1] = Budget(all, used[0], 0), Budget(all, 0, used[0])
		for range rapid.IntRange(1, 20).Draw(t, "turns") {
			i := rapid.IntRange(0, 1).Draw(t, "who")
			if room := budget[i] - used[i]; room > 0 && rapid.Bool().Draw(t, "writes") {
				used[i] += rapid.Int64Range(0, room/2).Draw(t, "bytes")
			}
			budget[i] = Budget(all, used[i], used[1-i])
			if used[0]+used[1] > all {
				t.Fatalf("%v of %d", used, all)
			}
		}
	})
}

func TestNewsComesThrough(t *testing.T) {
	n := &News{Out: []policy.InheritedCall{{Endpoint: "e", Age: time.Second}}, Waits: []Wait{{"e", 7, time.Unix(5, 6).UTC()}}, Known: []string{"a"}, Learned: &policy.LearnedState{CompletionRate: 3, Routes: []policy.RouteState{{Endpoint: "e", Interval: time.Second}}},
		List: &List{4, []Member{{policy.Endpoint{Address: "e", State: policy.Draining}, "127.0.0.1:1"}}}, Drained: true}
	got, err := Decode(n.Encode())
	if err != nil || !reflect.DeepEqual(got, n) {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := Decode(n.Encode()[1:]); err == nil {
		t.Error("half of it was taken for news")
	}
}
