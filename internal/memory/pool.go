package memory

import (
	"fmt"

	"github.com/tidwall/gjson"

	"oatfold/policy"
)

// EndpointEntry is an endpoint of the pool config: what the module is told and where it is reached.
type EndpointEntry struct {
	policy.Endpoint        // Address holds the instance id, which all relays share
	HostPort        string // may differ between relays
}

// EndpointList is one answer of discovery.
type EndpointList struct {
	Generation int64
	Complete   bool
	Entries    []EndpointEntry
	Skipped    int // entries that could not be read
}

var lifecycles = map[string]policy.EndpointState{
	"in_service": policy.Listed, "terminating": policy.Draining, "terminated": policy.Removed,
}

// ParseEndpointList reads an answer of discovery, or the list in the configuration. An entry that can't be read is
// skipped, and one in a state that is not known here gets no new work. Guards against one odd entry that keeps
// the relay from hearing of drains for good.
func ParseEndpointList(raw string) (EndpointList, error) {
	if !gjson.Valid(raw) {
		return EndpointList{}, fmt.Errorf("pool config: not JSON")
	}
	doc := gjson.Parse(raw)
	gen, list := doc.Get("generation"), doc.Get("instances")
	if gen.Type != gjson.Number || !list.IsArray() && list.Type != gjson.Null {
		return EndpointList{}, fmt.Errorf("pool config: generation or instances missing")
	}
	pc := EndpointList{Generation: gen.Int(), Complete: doc.Get("reset").Bool()}
	for _, e := range list.Array() {
		state, known := lifecycles[e.Get("lifecycle").Str]
		if !known {
			state = policy.Draining
		}
		id, at, cell := e.Get("instanceId").Str, e.Get("hostPort").Str, e.Get("cell")
		if id == "" || cell.Type != gjson.Number || at == "" && state == policy.Listed {
			pc.Skipped++
			continue
		}
		pc.Entries = append(pc.Entries, EndpointEntry{HostPort: at, Endpoint: policy.Endpoint{Address: id,
			Destination: int(cell.Int()), Kind: e.Get("machineType").Str, Zone: e.Get("zone").Str, State: state,
			Rate: e.Get("weight").Float()}})
	}
	return pc, nil
}
