package figures

import "testing"

func TestFormFromNoughtOn(t *testing.T) {
	var s Set
	s.Classes([]string{"order-relay", "alert"})
	s.Ended("alert", Delivered)
	s.Classes([]string{"alert", `odd"one`}) // a reload: what was counted stays
	for _, e := range []End{HandedBack, TurnedAway, GivenUp, GivenUp, Failed} {
		s.Ended("alert", e)
	}
	s.Ended("never heard of", Delivered)
	s.Tried(3)
	s.InProgress(14)
	s.Endpoints(30, 2)
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
