package peers

import (
	"slices"

	"oatfold/policy"
)

// ReportKeys knows under which number a relay tells others of an endpoint: its destination's, or where routes are separate one of its
// own. The zero value knows no separate routes. It belongs to the goroutine that the Pool does.
type ReportKeys struct {
	endpoints map[int]string // by the number of a route
	routes    map[int][]int  // numbers of a destination's routes; none: they share a limit
}

// Add takes in an endpoint of a destination whose routes are separate.
func (t *ReportKeys) Add(endpoint string, dest int) {
	if t.endpoints == nil {
		t.endpoints, t.routes = map[int]string{}, map[int][]int{}
	}
	key := RouteKey(endpoint)
	t.endpoints[key] = endpoint
	if !slices.Contains(t.routes[dest], key) {
		t.routes[dest] = append(t.routes[dest], key)
	}
}

// Remove forgets an endpoint that has left the list.
func (t *ReportKeys) Remove(endpoint string, dest int) {
	key := RouteKey(endpoint)
	if t.endpoints[key] != endpoint {
		return
	}
	delete(t.endpoints, key)
	t.routes[dest] = slices.DeleteFunc(t.routes[dest], func(k int) bool { return k == key })
	if len(t.routes[dest]) == 0 {
		delete(t.routes, dest)
	}
}

// Key is the number for calls to an endpoint.
func (t *ReportKeys) Key(endpoint string, dest int) int {
	if key := RouteKey(endpoint); t.endpoints[key] != "" {
		return key
	}
	return dest
}

// EachKey calls f with each number that a message for a destination counts under.
func (t *ReportKeys) EachKey(dest int, f func(target int)) {
	if len(t.routes[dest]) == 0 {
		f(dest)
	}
	for _, key := range t.routes[dest] {
		f(key)
	}
}

// ResolveEndpoints puts the endpoint into news of a route.
func (t *ReportKeys) ResolveEndpoints(news []policy.RouteStats) {
	for i := range news {
		news[i].Endpoint = t.endpoints[news[i].Destination]
	}
}
