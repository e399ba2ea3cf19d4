package peers

import "hash/fnv"

// Keys of routes lie above any number of a destination.
const (
	routeBase = 1 << 24
	routeMask = routeBase - 1
)

// RouteKey is the number under which relays tell one another of a single endpoint, where each endpoint of a destination has a limit
// of its own. All relays make it out of the endpoint's id alone. Two endpoints that share a number, one pair in 16 million,
// share their news as well.
func RouteKey(endpoint string) int {
	h := fnv.New32a()
	h.Write([]byte(endpoint))
	return routeBase + int(h.Sum32()&routeMask)
}
