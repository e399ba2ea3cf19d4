package site

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oatfold/internal/choice"
	"oatfold/internal/lab/emu"
	"oatfold/policy"
)

// sampler draws figures. Each has a source of its own, named by its key, so that a key that is added shifts no other.
type sampler struct{ seed uint64 }

func (d sampler) rand(key string, of ...int) *rand.Rand {
	h := d.seed ^ 0x9e3779b97f4a7c15
	mix := func(v uint64) {
		h = (h ^ v) * 0xff51afd7ed558ccd
		h ^= h >> 32
	}
	for _, b := range []byte(key) {
		mix(uint64(b))
	}
	for _, n := range of {
		mix(uint64(n) + 1)
	}
	return rand.New(rand.NewPCG(h, d.seed))
}

// sample draws from r; without one it is the fallback.
func (d sampler) sample(key string, r *Range, fallback float64, of ...int) float64 {
	if r == nil {
		return fallback
	}
	if r.To == nil {
		return r.From
	}
	return r.From + (*r.To-r.From)*d.rand(key, of...).Float64()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(s float64) time.Duration { return time.Duration(s * float64(time.Millisecond)) }

func orDefault(v, fallback float64) float64 {
	if v == 0 {
		return fallback
	}
	return v
}

// Penalties are what the operators take off the result.
var Penalties = emu.Penalties{WastedWork: 0.042, Handshake: 0.04, LateFailure: 0.02, RejectedCall: 0.05, Gossip: 0.01}

// DrawScenario draws a day of the site.
func (s *Site) DrawScenario(seed uint64) (*emu.Scenario, error) {
	d := sampler{seed}
	net, cl, disc, rules := s.Network, s.Clients, s.Discovery, s.Rules
	if net == nil {
		net = &Network{}
	}
	if cl == nil {
		cl = &Clients{}
	}
	if disc == nil {
		disc = &Discovery{}
	}
	if rules == nil {
		rules = &Rules{}
	}
	day := &emu.Scenario{
		Name: s.Name, Seed: seed, Length: seconds(d.sample("length_s", s.LengthS, 50)), Tail: seconds(d.sample("tail_s", s.TailS, 30)), Tick: milliseconds(d.sample("tick_ms", s.TickMs, 5)),
		Relays: int(d.sample("relays", s.Relays, 2) + 0.5), MaxAttempts: int(orDefault(float64(s.MaxAttempts), 6)),
		ClumpShare: d.sample("clumps", s.Clumps, 0), ClumpDuration: seconds(d.sample("clump_for_s", s.ClumpForS, 2)),
		RTT: milliseconds(d.sample("network.rtt_ms", net.RttMs, 30)), ClientDelay: milliseconds(d.sample("network.client_ms", net.ClientMs, 1)), Jitter: d.sample("network.jitter", net.Jitter, 0.2),
		HandshakeRTTs: d.sample("network.handshake_rtts", net.HandshakeRtts, 2), IdleTimeout: seconds(d.sample("network.idle_s", net.IdleS, 15)), ConnectTimeout: seconds(d.sample("network.connect_s", net.ConnectS, 1.5)),
		ClientRetries: int(d.sample("clients.retries", cl.Retries, 2)), ClientBackoff: seconds(d.sample("clients.backoff_s", cl.BackoffS, 0.5)), RetryAfterCompliance: d.sample("clients.honour", cl.Honour, 0.7),
		MaxRetryAfter: seconds(d.sample("clients.max_advice_s", cl.MaxAdviceS, 3)), ResubmitDelay: seconds(d.sample("clients.again_s", cl.AgainS, 1)), BalancerDetectionDelay: seconds(d.sample("clients.front_notice_s", cl.FrontNoticeS, 3)),
		DiscoveryDelay: seconds(d.sample("discovery.notice_s", disc.NoticeS, 2)), DiscoverySpread: seconds(d.sample("discovery.spread_s", disc.SpreadS, 0.3)),
		AnswerSlack: milliseconds(orDefault(rules.AnswerSlackMs, 20)), DrainGrace: seconds(orDefault(rules.DrainGraceS, 1)), OverloadFactor: orDefault(rules.FallMultiple, 2), OverloadTime: seconds(orDefault(rules.FallS, 3)),
		Membership: s.Members, Gossip: s.Notes, GossipLoss: d.sample("note_loss", s.NoteLoss, 0), ColdStartShare: orDefault(rules.ColdFrom, 0.2), WarmUpTime: seconds(orDefault(rules.ColdS, 11)), Penalties: Penalties,
	}
	var err error
	if day.Choices, err = choice.Parse(s.Choices); err != nil {
		return nil, fmt.Errorf("choices: %w", err)
	}
	day.HotRelayFactor = s.Busy
	mean, share := 0.0, 0.0
	for i, c := range s.Class {
		one := emu.Class{Class: policy.Class{Name: c.Name, Effect: policy.Effect(c.Effect), RepeatWindow: seconds(c.WindowS), TargetLatency: seconds(c.AimS), Deadline: seconds(c.DeadlineS), Value: c.Worth, LateValue: c.LateWorth},
			Share: d.sample("class.share", c.Share, 1, i), Work: milliseconds(d.sample("class.work_ms", c.WorkMs, 150, i)), CV: d.sample("class.cv", c.Cv, 0.8, i),
			Noise: d.sample("class.noise", c.Noise, 0.2, i), Exponential: c.Exponential}
		day.Classes = append(day.Classes, one)
		mean += one.Share * one.Work.Seconds()
		share += one.Share
	}
	for i := range day.Classes {
		day.Classes[i].Share /= max(share, 1e-9)
	}
	mean /= max(share, 1e-9)
	for i, k := range s.Kind {
		day.Kinds = append(day.Kinds, emu.Kind{Name: k.Name, MaxBatch: max(1, int(k.Batch)), ItemCost: d.sample("kind.item_cost", k.ItemCost, 0.1, i), Limit: emu.LimitKind(k.Limit),
			Window: seconds(d.sample("kind.window_s", k.WindowS, 1, i)), CountsRejected: d.rand("kind.refused", i).Float64() < d.sample("kind.refused_count", k.RefusedCount, 0, i),
			RetryAfterShare: d.sample("kind.tells_wait", k.TellsWait, 0.5, i), RetryAfter: milliseconds(d.sample("kind.wait_ms", k.WaitMs, 500, i)),
			ColdStartShare: d.sample("kind.cold_from", k.ColdFrom, 0.25, i), WarmUpTime: seconds(d.sample("kind.cold_s", k.ColdS, 9, i)), ErrorRate: d.sample("kind.error_rate", k.ErrorRate, 0, i),
			CancelsQueued: d.rand("kind.cancels", i).Float64() < d.sample("kind.cancels_queued", k.CancelsQueued, 0, i)})
	}
	n := max(1, int(d.sample("destinations", s.Destinations, 22)+0.5))
	zones := max(1, int(d.sample("zones", s.Zones, 1)+0.5))
	day.Zones = zones
	full := d.sample("rate", s.Rate, 4) * float64(n) // messages a second at load 1
	zipf, ends := d.sample("zipf", s.Zipf, 0.85), d.sample("endpoints", s.Endpoints, 1.6)
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -zipf)
	}
	busy := 0.0
	order := d.rand("order").Perm(n)
	for no, rank := range order {
		r := d.rand("dest", no)
		at := pickKind(s.Kind, r.Float64())
		k := s.Kind[at]
		share := math.Pow(float64(rank+1), -zipf) / total
		calls := share * full
		limit := max(d.sample("kind.least_rate", k.LeastRate, 2, at), calls*d.sample("kind.headroom", k.Headroom, 1.5, no))
		can := limit * d.sample("kind.spare", k.Spare, 1.3, no)
		cv := d.sample("kind.slow_cv", k.SlowCv, 0.5, at)
		v := math.Log(1 + cv*cv)
		pace := math.Exp(r.NormFloat64()*math.Sqrt(v)-v/2) * d.sample("kind.speed", k.Speed, 1, at)
		eps := 1
		for p := (ends - 1) / 3; eps < 4 && r.Float64() < p*(1.5-float64(rank)/float64(n)); eps++ {
		}
		eps = max(eps, int(s.LeastEndpoints))
		workers := max(eps, int(math.Ceil(can*mean/pace)))
		dst := emu.Dest{Kind: at, Share: share, Zone: fmt.Sprintf("zone-%d", 1+no%zones)}
		if k.Limit != Limit_NONE {
			dst.Limit = limit
		}
		speed := can * mean / float64(workers)
		for e := range eps {
			have := workers / eps
			if e < workers%eps {
				have++
			}
			one := emu.Endpoint{Workers: have, Speed: speed, QueueSize: max(1, int(d.sample("kind.depth_s", k.DepthS, 0.7, at)*can/float64(eps)))}
			if k.Conns != nil {
				one.MaxConns = max(int(k.LeastConns), int(d.sample("kind.conns", k.Conns, 3, at)*float64(have)))
			}
			dst.Endpoints = append(dst.Endpoints, one)
		}
		busy += calls / float64(max(1, k.Batch)) * (mean/speed + day.RTT.Seconds())
		day.Dests = append(day.Dests, dst)
	}
	day.MaxConcurrentCalls = max(int(orDefault(float64(s.LeastSlots), 2)), int(d.sample("slots_room", s.SlotsRoom, 2)*busy/float64(day.Relays)))
	day.MaxPending = max(int(orDefault(float64(s.LeastHold), 12)), int(d.sample("hold_s", s.HoldS, 8)*full/float64(day.Relays)))
	day.Rate = d.sample("load", s.Load, 0.8) * full
	if swing := d.sample("swing", s.Swing, 0); swing > 0 {
		phase := 2 * math.Pi * d.rand("phase").Float64()
		for i := range 49 {
			x := float64(i) / 48
			day.Shape = append(day.Shape, emu.LoadPoint{At: time.Duration(x * float64(day.Length)), Multiple: 1 + swing*math.Sin(phase+2*math.Pi*x*1.5)})
		}
	}
	return day, nil
}

func pickKind(kinds []*Kind, x float64) int {
	total := 0.0
	for _, k := range kinds {
		total += orDefault(k.Share, 1)
	}
	x *= total
	for i, k := range kinds {
		if x -= orDefault(k.Share, 1); x < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

// AddFaults draws troubles into a day.
func AddFaults(day *emu.Scenario, list []*Trouble, seed uint64) error {
	d := sampler{seed}
	for i, t := range list {
		at := func(key string) string { return "trouble." + key }
		one := emu.Fault{Kind: emu.FaultKind(t.Kind), Duration: seconds(d.sample(at("len_s"), t.LenS, 10, i)), Intensity: d.sample(at("size"), t.Size, 1, i), Period: seconds(d.sample(at("every_s"), t.EveryS, 2, i))}
		if one.At = seconds(d.sample(at("at_s"), t.AtS, 0, i)); t.AtS == nil {
			one.At = seconds(day.Length.Seconds() * (0.1 + 0.6*d.rand(at("at_s"), i).Float64()))
		}
		for _, n := range t.Dest {
			one.Dests = append(one.Dests, int(n))
		}
		if t.Busiest {
			most := 0
			for n := range day.Dests {
				if day.Dests[n].Share > day.Dests[most].Share {
					most = n
				}
			}
			one.Dests = append(one.Dests, most)
		}
		if t.Zone > 0 {
			one.Zone = fmt.Sprintf("zone-%d", t.Zone)
			if int(t.Zone) > day.Zones || !one.AffectsRelays() && !slices.ContainsFunc(day.Dests, func(x emu.Dest) bool { return x.Zone == one.Zone }) {
				return fmt.Errorf("trouble[%d].zone: there is no zone %d", i, t.Zone)
			}
		}
		if t.Part != nil {
			want, got := d.sample(at("part"), t.Part, 0, i), 0.0
			for _, n := range d.rand(at("who"), i).Perm(len(day.Dests)) {
				if share := day.Dests[n].Share; got == 0 || got+share <= want*1.15 {
					one.Dests = append(one.Dests, n)
					got += share
				}
				if got >= want {
					break
				}
			}
		}
		relays := t.Relay
		if len(relays) == 0 {
			switch one.Kind {
			case emu.RelayCrash, emu.RelayStop, emu.RelayStall:
				if t.Zone > 0 {
					for _, n := range day.RelaysOf(&one) {
						relays = append(relays, int32(n))
					}
					break
				}
				for n := range day.Relays {
					relays = append(relays, int32(n))
				}
			}
		}
		if each := d.sample(at("each_s"), t.EachS, 0, i); each > 0 {
			for n, r := range relays {
				turn := one
				turn.At += seconds(each * float64(n))
				turn.Relays = []int{int(r)}
				day.Faults = append(day.Faults, turn)
			}
			continue
		}
		for _, r := range relays {
			one.Relays = append(one.Relays, int(r))
		}
		day.Faults = append(day.Faults, one)
	}
	return nil
}

// DrawScenario draws the day of a script. base is the site where the script names none.
func (s *Script) DrawScenario(base *Site, seed uint64) (*emu.Scenario, error) {
	if s.Site != "" {
		var err error
		if base, err = ReadSite(s.Site); err != nil {
			return nil, err
		}
	}
	c := proto.Clone(base).(*Site)
	for _, o := range []struct {
		own *Range
		at  **Range
	}{{s.Load, &c.Load}, {s.Relays, &c.Relays}, {s.Destinations, &c.Destinations}, {s.Clumps, &c.Clumps}, {s.LengthS, &c.LengthS}} {
		if o.own != nil {
			*o.at = o.own
		}
	}
	day, err := c.DrawScenario(seed)
	if err != nil {
		return nil, err
	}
	day.Name = s.Name
	return day, AddFaults(day, s.Trouble, seed)
}
