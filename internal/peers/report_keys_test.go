package peers

import (
	"slices"
	"testing"

	"oatfold/policy"
)

// Calls to a separate route are reported under its route key and resolved to its endpoint, others
// under their destination.
func TestReportKeys(t *testing.T) {
	var keys ReportKeys
	keys.Add("s-1", 4)
	keys.Add("s-2", 4)
	keys.Add("s-2", 4)
	one, two := RouteKey("s-1"), RouteKey("s-2")
	if keys.Key("s-1", 4) != one || keys.Key("other", 9) != 9 {
		t.Errorf("keys %d and %d", keys.Key("s-1", 4), keys.Key("other", 9))
	}
	counted := func(dest int) (all []int) {
		keys.EachKey(dest, func(target int) { all = append(all, target) })
		return all
	}
	if got := counted(4); !slices.Equal(got, []int{one, two}) {
		t.Errorf("a message for separate routes counts under %v", got)
	}
	if got := counted(9); !slices.Equal(got, []int{9}) {
		t.Errorf("a message for a shared limit counts under %v", got)
	}
	averages := []policy.RouteStats{{Destination: two}, {Destination: 9}}
	keys.ResolveEndpoints(averages)
	if averages[0].Endpoint != "s-2" || averages[1].Endpoint != "" {
		t.Errorf("resolved %+v", averages)
	}
	keys.Remove("s-1", 4)
	keys.Remove("s-1", 4)
	if got := counted(4); !slices.Equal(got, []int{two}) || keys.Key("s-1", 4) != 4 {
		t.Errorf("after one endpoint left: %v", got)
	}
	keys.Remove("s-2", 4)
	if got := counted(4); !slices.Equal(got, []int{4}) {
		t.Errorf("after all endpoints left: %v", got)
	}
}
