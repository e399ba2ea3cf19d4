package memory

import (
	"fmt"

	"github.com/tidwall/gjson"

	"oatfold/policy"
)

// Member is an endpoint of the pool config: what the module is told and where it is reached.
type Member struct {
	policy.Endpoint        // Address holds the instance id, which all relays share
	HostPort        string // may differ between relays
}

// PoolConfig is one answer of discovery.
type PoolConfig struct {
	Generation int64
	Whole      bool
	Members    []Member
}

var lifecycles = map[string]policy.EndpointState{
	"in_service": policy.Listed, "terminating": policy.Draining, "terminated": policy.Removed,
}

// ParsePoolConfig reads an answer of discovery, or the list in the configuration.
func ParsePoolConfig(raw string) (PoolConfig, error) {
	if !gjson.Valid(raw) {
		return PoolConfig{}, fmt.Errorf("pool config: not JSON")
	}
	doc := gjson.Parse(raw)
	gen, list := doc.Get("generation"), doc.Get("instances")
	if gen.Type != gjson.Number || !list.IsArray() {
		return PoolConfig{}, fmt.Errorf("pool config: generation or instances missing")
	}
	pc := PoolConfig{Generation: gen.Int(), Whole: doc.Get("reset").Bool()}
	for i, e := range list.Array() {
		state, ok := lifecycles[e.Get("lifecycle").Str]
		id, at, cell := e.Get("instanceId").Str, e.Get("hostPort").Str, e.Get("cell")
		if !ok || id == "" || cell.Type != gjson.Number || at == "" && state != policy.Removed {
			return PoolConfig{}, fmt.Errorf("pool config: instances[%d] lacks instanceId, hostPort, cell or a known lifecycle", i)
		}
		pc.Members = append(pc.Members, Member{HostPort: at, Endpoint: policy.Endpoint{Address: id,
			Destination: int(cell.Int()), Kind: e.Get("machineType").Str, Zone: e.Get("zone").Str, State: state,
			Rate: e.Get("weight").Float()}})
	}
	return pc, nil
}
