package metrics

import "testing"

// Append writes all metrics, sorted by class and starting at zero.
func TestAppend(t *testing.T) {
	var s Set
	s.AddClasses([]string{"order-relay", "alert"})
	s.CountCompleted("alert", Delivered)
	s.AddClasses([]string{"alert", `odd"one`}) // a reload keeps the counts
	for _, e := range []Outcome{Returned, Rejected, GivenUp, GivenUp, Failed} {
		s.CountCompleted("alert", e)
	}
	s.CountCompleted("unknown class", Delivered)
	s.CountAttempts(3)
	s.SetInProgress(14)
	s.SetEndpoints(30, 2)
	const want = `edge_router_passed{category="alert"} 1
edge_router_passed{category="odd\"one"} 0
edge_router_passed{category="order-relay"} 0
edge_router_dropped{category="alert"} 2
edge_router_dropped{category="odd\"one"} 0
edge_router_dropped{category="order-relay"} 0
edge_router_bad_gateway{category="alert"} 3
edge_router_bad_gateway{category="odd\"one"} 0
edge_router_bad_gateway{category="order-relay"} 0
edge_router_upstream_tries 3
edge_router_in_progress 14
edge_router_known_endpoints 30
edge_router_skipped_endpoints 2
`
	if got := string(s.Append(nil)); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
