package peers

import (
	"slices"

	"oatfold/policy"
)

// ReportKeys maps endpoints to the numbers under which relays report about them: the number of
// the destination, or a route key if its routes are separate. The zero value knows no separate
// routes. It is not safe for concurrent use.
type ReportKeys struct {
	endpoints map[int]string // by route key
	routes    map[int][]int  // route keys by destination; none if its endpoints share a limit
}

// Add registers an endpoint of a destination with separate routes.
func (k *ReportKeys) Add(endpoint string, dest int) {
	if k.endpoints == nil {
		k.endpoints, k.routes = map[int]string{}, map[int][]int{}
	}
	key := RouteKey(endpoint)
	k.endpoints[key] = endpoint
	if !slices.Contains(k.routes[dest], key) {
		k.routes[dest] = append(k.routes[dest], key)
	}
}

// Remove unregisters an endpoint.
func (k *ReportKeys) Remove(endpoint string, dest int) {
	key := RouteKey(endpoint)
	if k.endpoints[key] != endpoint {
		return
	}
	delete(k.endpoints, key)
	k.routes[dest] = slices.DeleteFunc(k.routes[dest], func(k int) bool { return k == key })
	if len(k.routes[dest]) == 0 {
		delete(k.routes, dest)
	}
}

// Key returns the number under which calls to an endpoint are reported.
func (k *ReportKeys) Key(endpoint string, dest int) int {
	if key := RouteKey(endpoint); k.endpoints[key] != "" {
		return key
	}
	return dest
}

// EachKey calls f with each number under which a message for a destination is counted.
func (k *ReportKeys) EachKey(dest int, f func(target int)) {
	if len(k.routes[dest]) == 0 {
		f(dest)
	}
	for _, key := range k.routes[dest] {
		f(key)
	}
}

// ResolveEndpoints sets the endpoint of each average whose number is a route key.
func (k *ReportKeys) ResolveEndpoints(averages []policy.RouteStats) {
	for i := range averages {
		averages[i].Endpoint = k.endpoints[averages[i].Destination]
	}
}
