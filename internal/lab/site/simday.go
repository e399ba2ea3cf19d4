package site

import (
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"

	"oatfold/internal/lab/emu"
	"oatfold/policy"
)

// ReadSimulatorScenario reads a day as the operators' simulator prints it, so that both can be held against each other on the same world.
// What the emulator has no model of (probes, tenants, reports, notes between relays) is passed over.
func ReadSimulatorScenario(raw []byte) (*emu.Scenario, error) {
	if !gjson.ValidBytes(raw) {
		return nil, fmt.Errorf("not a JSON object")
	}
	doc := gjson.ParseBytes(raw)
	if doc.Get("fam.gates.#").Int() == 0 {
		return nil, fmt.Errorf("fam.gates: no destination")
	}
	us := func(path string) time.Duration {
		return time.Duration(doc.Get(path).Float() * float64(time.Microsecond))
	}
	num := func(path string) float64 { return doc.Get(path).Float() }
	seed := uint64(num("noise"))
	d := &emu.Scenario{
		Name: doc.Get("site").Str + "/" + doc.Get("kind").Str, Seed: seed, Length: us("length"), Tail: us("tail") + 5*time.Second, Tick: us("tick"),
		Relays: int(num("balancers.#")), MaxConcurrentCalls: int(num("fam.slots")), MaxPending: int(num("allow.max_open")), MaxAttempts: int(num("allow.max_attempts")),
		Rate: num("traffic.load") * num("fam.capacity"), ClumpShare: num("fam.clumps"), ClumpDuration: seconds(num("fam.clump_s")),
		RTT: us("net.same"), ClientDelay: us("net.client"), Jitter: min(1, num("net.jitter")), HandshakeRTTs: num("tiers.0.handshake_rtts"), IdleTimeout: us("tiers.0.conn_idle"),
		ConnectTimeout: us("tiers.0.connect_timeout"), AnswerSlack: 20 * time.Millisecond, ClientRetries: int(num("clients.retries")), ClientBackoff: us("clients.backoff_us"),
		RetryAfterCompliance: num("clients.honour"), MaxRetryAfter: us("clients.max_retry_after"), ResubmitDelay: us("fam.again"), BalancerDetectionDelay: us("front_notice"),
		DiscoveryDelay: us("discovery.notice"), DiscoverySpread: us("discovery.spread"), WarmUpTime: us("tiers.0.stated_cold"), ColdStartShare: num("tiers.0.stated_cold_from"),
		OverloadFactor: num("fall_multiple"), OverloadTime: us("fall_for"), DrainGrace: us("drain_grace"),
		Penalties: emu.Penalties{WastedWork: num("prices.waste"), Handshake: num("prices.handshake"), LateFailure: num("prices.late_fail"), RejectedCall: num("fam.refused_price")},
	}
	for _, p := range doc.Get("traffic.shape").Array() {
		d.Shape = append(d.Shape, emu.LoadPoint{At: seconds(p.Get("0").Float()), Multiple: p.Get("1").Float()})
	}
	effects := map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}
	micros := func(v gjson.Result) time.Duration { return time.Duration(v.Float() * float64(time.Microsecond)) }
	for _, c := range doc.Get("classes").Array() {
		d.Classes = append(d.Classes, emu.Class{Class: policy.Class{Name: c.Get("name").Str, Effect: effects[c.Get("effect").Str], RepeatWindow: micros(c.Get("window")),
			TargetLatency: micros(c.Get("aim")), Deadline: micros(c.Get("deadline")), Value: c.Get("worth").Float(), LateValue: c.Get("late_worth").Float()},
			Share: c.Get("share").Float(), Work: micros(c.Get("work")), CV: c.Get("cv").Float(), Noise: c.Get("attempt_noise").Float(), Exponential: c.Get("dist").Str == "exp"})
	}
	habits := doc.Get("fam.habits").Array()
	limits := map[string]emu.LimitKind{"none": emu.NoLimit, "rate": emu.RateLimit, "window": emu.WindowLimit}
	for i, k := range doc.Get("tiers.0.kinds").Array() {
		if i >= len(habits) {
			return nil, fmt.Errorf("fam.habits: none for kind %d", i)
		}
		h := habits[i]
		d.Kinds = append(d.Kinds, emu.Kind{Name: k.Get("name").Str, MaxBatch: max(1, int(h.Get("batch").Int())), ItemCost: h.Get("item_cost").Float(), Limit: limits[h.Get("limit").Str],
			Window: micros(h.Get("window")), CountsRejected: h.Get("refused_count").Bool(), RetryAfterShare: h.Get("tells_wait").Float(), RetryAfter: micros(h.Get("wait")),
			ColdStartShare: k.Get("cold_from").Float(), WarmUpTime: micros(k.Get("cold")), ErrorRate: k.Get("error_rate").Float(), CancelsQueued: k.Get("cancel").Str == "queued"})
	}
	kinds, share := doc.Get("fam.kind").Array(), doc.Get("fam.share").Array()
	for i, g := range doc.Get("fam.gates").Array() {
		if i >= len(kinds) || i >= len(share) || int(kinds[i].Int()) >= len(habits) {
			return nil, fmt.Errorf("fam.kind: destination %d has none", i)
		}
		d.Dests = append(d.Dests, emu.Dest{Kind: int(kinds[i].Int()), Share: share[i].Float(), Limit: g.Get("limit").Float(), Zone: "zone-1"})
	}
	type place struct{ dest, at int }
	places := make([]place, int(num("servers.#")))
	servers := doc.Get("servers").Array()
	for i, e := range doc.Get("fam.ends").Array() {
		n := int(e.Get("gate").Int())
		if n >= len(d.Dests) || i >= len(servers) {
			return nil, fmt.Errorf("fam.ends[%d].gate: there is no destination %d", i, n)
		}
		dst := &d.Dests[n]
		work := doc.Get(fmt.Sprintf("fam.work.%d", n)).Float() / 1e6
		workers, speed := max(1, int(e.Get("workers").Int())), servers[i].Get("speed").Float()
		depth := habits[dst.Kind].Get("depth_s").Float() * float64(workers) * speed / max(work, 1e-6)
		places[i] = place{n, len(dst.Endpoints)}
		dst.Endpoints = append(dst.Endpoints, emu.Endpoint{Workers: workers, Speed: speed, QueueSize: max(1, int(math.Ceil(depth))), MaxConns: int(e.Get("conns").Int())})
	}
	for i, t := range doc.Get("troubles").Array() {
		one := emu.Fault{Kind: emu.FaultKind(t.Get("kind").Str), At: micros(t.Get("at")), Duration: micros(t.Get("len")), Intensity: t.Get("size").Float(), Period: seconds(t.Get("extra").Float())}
		if one.Kind == emu.Pauses {
			one.Intensity, one.Period = t.Get("size").Float()/1000, max(one.Period, seconds(t.Get("size").Float()/1000+0.01))
		}
		if one.Kind == emu.FastErrors && t.Get("which").Int() != 0 {
			one.Kind = emu.RejectAll
		}
		for _, n := range t.Get("on").Array() {
			if n.Int() >= int64(len(places)) {
				return nil, fmt.Errorf("troubles[%d].on: there is no server %d", i, n.Int())
			}
			p := places[n.Int()]
			one.Endpoints = append(one.Endpoints, [2]int{p.dest, p.at})
		}
		d.Faults = append(d.Faults, one)
	}
	return d, d.Check()
}
