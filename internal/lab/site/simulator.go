package site

import (
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"

	"oatfold/internal/lab/emu"
	"oatfold/policy"
)

// ReadSimulatorScenario reads a scenario as the operators' simulator prints it, so that the results
// of both can be compared. What package emu does not model (probes, tenants, load reports, gossip)
// is ignored.
func ReadSimulatorScenario(raw []byte) (*emu.Scenario, error) {
	if !gjson.ValidBytes(raw) {
		return nil, fmt.Errorf("not valid JSON")
	}
	doc := gjson.ParseBytes(raw)
	if doc.Get("fam.gates.#").Int() == 0 {
		return nil, fmt.Errorf("fam.gates: names no destination")
	}
	durationAt := func(path string) time.Duration {
		return time.Duration(doc.Get(path).Float() * float64(time.Microsecond))
	}
	numberAt := func(path string) float64 { return doc.Get(path).Float() }
	seed := uint64(numberAt("noise"))
	scenario := &emu.Scenario{
		Name:                   doc.Get("site").Str + "/" + doc.Get("kind").Str,
		Seed:                   seed,
		Length:                 durationAt("length"),
		Tail:                   durationAt("tail") + 5*time.Second,
		Tick:                   durationAt("tick"),
		Relays:                 int(numberAt("balancers.#")),
		MaxConcurrentCalls:     int(numberAt("fam.slots")),
		MaxPending:             int(numberAt("allow.max_open")),
		MaxAttempts:            int(numberAt("allow.max_attempts")),
		Rate:                   numberAt("traffic.load") * numberAt("fam.capacity"),
		ClumpShare:             numberAt("fam.clumps"),
		ClumpDuration:          seconds(numberAt("fam.clump_s")),
		RTT:                    durationAt("net.same"),
		ClientDelay:            durationAt("net.client"),
		Jitter:                 min(1, numberAt("net.jitter")),
		HandshakeRTTs:          numberAt("tiers.0.handshake_rtts"),
		IdleTimeout:            durationAt("tiers.0.conn_idle"),
		ConnectTimeout:         durationAt("tiers.0.connect_timeout"),
		AnswerSlack:            20 * time.Millisecond,
		ClientRetries:          int(numberAt("clients.retries")),
		ClientBackoff:          durationAt("clients.backoff_us"),
		RetryAfterCompliance:   numberAt("clients.honour"),
		MaxRetryAfter:          durationAt("clients.max_retry_after"),
		ResubmitDelay:          durationAt("fam.again"),
		BalancerDetectionDelay: durationAt("front_notice"),
		DiscoveryDelay:         durationAt("discovery.notice"),
		DiscoverySpread:        durationAt("discovery.spread"),
		WarmUpTime:             durationAt("tiers.0.stated_cold"),
		ColdStartShare:         numberAt("tiers.0.stated_cold_from"),
		OverloadFactor:         numberAt("fall_multiple"),
		OverloadTime:           durationAt("fall_for"),
		DrainGrace:             durationAt("drain_grace"),
		Penalties: emu.Penalties{WastedWork: numberAt("prices.waste"), Handshake: numberAt("prices.handshake"),
			LateFailure: numberAt("prices.late_fail"), RejectedCall: numberAt("fam.refused_price")},
	}
	for _, point := range doc.Get("traffic.shape").Array() {
		scenario.Shape = append(scenario.Shape, emu.LoadPoint{At: seconds(point.Get("0").Float()),
			Multiple: point.Get("1").Float()})
	}
	effects := map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}
	micros := func(v gjson.Result) time.Duration { return time.Duration(v.Float() * float64(time.Microsecond)) }
	for _, class := range doc.Get("classes").Array() {
		scenario.Classes = append(scenario.Classes, emu.Class{
			Class: policy.Class{
				Name:          class.Get("name").Str,
				Effect:        effects[class.Get("effect").Str],
				RepeatWindow:  micros(class.Get("window")),
				TargetLatency: micros(class.Get("aim")),
				Deadline:      micros(class.Get("deadline")),
				Value:         class.Get("worth").Float(),
				LateValue:     class.Get("late_worth").Float(),
			},
			Share:       class.Get("share").Float(),
			Work:        micros(class.Get("work")),
			CV:          class.Get("cv").Float(),
			Noise:       class.Get("attempt_noise").Float(),
			Exponential: class.Get("dist").Str == "exp",
		})
	}
	behaviors := doc.Get("fam.habits").Array()
	limits := map[string]emu.LimitKind{"none": emu.NoLimit, "rate": emu.RateLimit, "window": emu.WindowLimit}
	for i, kind := range doc.Get("tiers.0.kinds").Array() {
		if i >= len(behaviors) {
			return nil, fmt.Errorf("fam.habits: missing for kind %d", i)
		}
		behavior := behaviors[i]
		scenario.Kinds = append(scenario.Kinds, emu.Kind{
			Name:            kind.Get("name").Str,
			MaxBatch:        max(1, int(behavior.Get("batch").Int())),
			ItemCost:        behavior.Get("item_cost").Float(),
			Limit:           limits[behavior.Get("limit").Str],
			Window:          micros(behavior.Get("window")),
			CountsRejected:  behavior.Get("refused_count").Bool(),
			RetryAfterShare: behavior.Get("tells_wait").Float(),
			RetryAfter:      micros(behavior.Get("wait")),
			ColdStartShare:  kind.Get("cold_from").Float(),
			WarmUpTime:      micros(kind.Get("cold")),
			ErrorRate:       kind.Get("error_rate").Float(),
			CancelsQueued:   kind.Get("cancel").Str == "queued",
		})
	}
	kinds, shares := doc.Get("fam.kind").Array(), doc.Get("fam.share").Array()
	for i, gate := range doc.Get("fam.gates").Array() {
		if i >= len(kinds) || i >= len(shares) || int(kinds[i].Int()) >= len(behaviors) {
			return nil, fmt.Errorf("fam.kind: missing for destination %d", i)
		}
		scenario.Dests = append(scenario.Dests, emu.Dest{Kind: int(kinds[i].Int()), Share: shares[i].Float(),
			Limit: gate.Get("limit").Float(), Zone: "zone-1"})
	}
	type place struct{ dest, at int }
	places := make([]place, int(numberAt("servers.#")))
	servers := doc.Get("servers").Array()
	for i, end := range doc.Get("fam.ends").Array() {
		destNumber := int(end.Get("gate").Int())
		if destNumber >= len(scenario.Dests) || i >= len(servers) {
			return nil, fmt.Errorf("fam.ends[%d].gate: there is no destination %d", i, destNumber)
		}
		dest := &scenario.Dests[destNumber]
		work := doc.Get(fmt.Sprintf("fam.work.%d", destNumber)).Float() / 1e6
		workers, speed := max(1, int(end.Get("workers").Int())), servers[i].Get("speed").Float()
		depth := behaviors[dest.Kind].Get("depth_s").Float() * float64(workers) * speed / max(work, 1e-6)
		places[i] = place{destNumber, len(dest.Endpoints)}
		dest.Endpoints = append(dest.Endpoints, emu.Endpoint{Workers: workers, Speed: speed,
			QueueSize: max(1, int(math.Ceil(depth))), MaxConns: int(end.Get("conns").Int())})
	}
	for i, trouble := range doc.Get("troubles").Array() {
		fault := emu.Fault{Kind: emu.FaultKind(trouble.Get("kind").Str), At: micros(trouble.Get("at")),
			Duration: micros(trouble.Get("len")), Intensity: trouble.Get("size").Float(),
			Period: seconds(trouble.Get("extra").Float())}
		if fault.Kind == emu.Pauses {
			fault.Intensity, fault.Period = trouble.Get("size").Float()/1000,
				max(fault.Period, seconds(trouble.Get("size").Float()/1000+0.01))
		}
		if fault.Kind == emu.FastErrors && trouble.Get("which").Int() != 0 {
			fault.Kind = emu.RejectAll
		}
		for _, server := range trouble.Get("on").Array() {
			if server.Int() >= int64(len(places)) {
				return nil, fmt.Errorf("troubles[%d].on: there is no server %d", i, server.Int())
			}
			p := places[server.Int()]
			fault.Endpoints = append(fault.Endpoints, [2]int{p.dest, p.at})
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	return scenario, scenario.Check()
}
