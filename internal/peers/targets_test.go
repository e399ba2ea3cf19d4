package peers

import (
	"slices"
	"testing"

	"oatfold/policy"
)

// Calls to a separate route are told under its own number and heard of by its name; others under their destination's.
func TestTargets(t *testing.T) {
	var known ReportKeys
	known.Add("s-1", 4)
	known.Add("s-2", 4)
	known.Add("s-2", 4)
	one, two := RouteKey("s-1"), RouteKey("s-2")
	if known.Key("s-1", 4) != one || known.Key("other", 9) != 9 {
		t.Errorf("told under %d and %d", known.Key("s-1", 4), known.Key("other", 9))
	}
	wanted := func(dest int) (all []int) {
		known.EachKey(dest, func(target int) { all = append(all, target) })
		return all
	}
	if got := wanted(4); !slices.Equal(got, []int{one, two}) {
		t.Errorf("a message counts under %v", got)
	}
	if got := wanted(9); !slices.Equal(got, []int{9}) {
		t.Errorf("a message for a shared limit counts under %v", got)
	}
	news := []policy.RouteStats{{Destination: two}, {Destination: 9}}
	known.ResolveEndpoints(news)
	if news[0].Endpoint != "s-2" || news[1].Endpoint != "" {
		t.Errorf("named %+v", news)
	}
	known.Remove("s-1", 4)
	known.Remove("s-1", 4)
	if got := wanted(4); !slices.Equal(got, []int{two}) || known.Key("s-1", 4) != 4 {
		t.Errorf("after one left: %v", got)
	}
	known.Remove("s-2", 4)
	if got := wanted(4); !slices.Equal(got, []int{4}) {
		t.Errorf("after all left: %v", got)
	}
}
