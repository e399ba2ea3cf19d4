package peers

import "hash/fnv"

// Route keys are larger than any destination number.
const (
	routeBase = 1 << 24
	routeMask = routeBase - 1
)

// RouteKey returns the number under which relays report about a single endpoint, where each
// endpoint of a destination has its own limit. It depends on the endpoint ID only, so all relays
// agree on it. Two endpoints with the same key, one pair in 16 million, share their reports.
func RouteKey(endpoint string) int {
	h := fnv.New32a()
	h.Write([]byte(endpoint))
	return routeBase + int(h.Sum32()&routeMask)
}
