package memory

import (
	"fmt"

	"github.com/tidwall/gjson"

	"oatfold/policy"
)

// EndpointEntry is one endpoint of the endpoint list: what the policy engine knows of it and where
// it is reached.
type EndpointEntry struct {
	policy.Endpoint        // Address holds the instance id, which is the same for all relays
	HostPort        string // may differ between relays
}

// EndpointList is one answer of the discovery service: all endpoints, or changes to earlier ones.
type EndpointList struct {
	Generation int64
	Complete   bool // the list names all endpoints, not only changes
	Entries    []EndpointEntry
	Skipped    int // number of malformed entries
}

// endpointStates maps the lifecycle states of discovery to those of the policy engine.
var endpointStates = map[string]policy.EndpointState{
	"in_service": policy.Listed, "terminating": policy.Draining, "terminated": policy.Removed,
}

// ParseEndpointList decodes an answer of the discovery service, or the list in the configuration.
// It returns an error if raw is not JSON, has no numeric generation, or has instances that are not
// an array. A malformed entry is skipped, so that it doesn't hide the state of the others. An
// endpoint in an unknown lifecycle state is treated as draining and gets no new work.
func ParseEndpointList(raw string) (EndpointList, error) {
	if !gjson.Valid(raw) {
		return EndpointList{}, fmt.Errorf("endpoint list: not JSON")
	}
	doc := gjson.Parse(raw)
	generation, list := doc.Get("generation"), doc.Get("instances")
	if generation.Type != gjson.Number || !list.IsArray() && list.Type != gjson.Null {
		return EndpointList{}, fmt.Errorf("endpoint list: generation or instances missing")
	}
	endpoints := EndpointList{Generation: generation.Int(), Complete: doc.Get("reset").Bool()}
	for _, entry := range list.Array() {
		state, known := endpointStates[entry.Get("lifecycle").Str]
		if !known {
			state = policy.Draining
		}
		id, hostPort, cell := entry.Get("instanceId").Str, entry.Get("hostPort").Str, entry.Get("cell")
		if id == "" || cell.Type != gjson.Number || hostPort == "" && state == policy.Listed {
			endpoints.Skipped++
			continue
		}
		endpoints.Entries = append(endpoints.Entries, EndpointEntry{HostPort: hostPort, Endpoint: policy.Endpoint{
			Address: id, Destination: int(cell.Int()), Kind: entry.Get("machineType").Str,
			Zone: entry.Get("zone").Str, State: state, Rate: entry.Get("weight").Float(),
		}})
	}
	return endpoints, nil
}
