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

// sampler draws numbers from a seed. Each key has a random source of its own, so that adding a key
// does not change the others.
type sampler struct{ seed uint64 }

// rand returns the random source of a key.
func (s sampler) rand(key string, indexes ...int) *rand.Rand {
	hash := s.seed ^ 0x9e3779b97f4a7c15
	mix := func(v uint64) {
		hash = (hash ^ v) * 0xff51afd7ed558ccd
		hash ^= hash >> 32
	}
	for _, b := range []byte(key) {
		mix(uint64(b))
	}
	for _, index := range indexes {
		mix(uint64(index) + 1)
	}
	return rand.New(rand.NewPCG(hash, s.seed))
}

// sample draws from r, or returns fallback without one.
func (s sampler) sample(key string, r *Range, fallback float64, indexes ...int) float64 {
	if r == nil {
		return fallback
	}
	if r.To == nil {
		return r.From
	}
	return r.From + (*r.To-r.From)*s.rand(key, indexes...).Float64()
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// milliseconds converts milliseconds to a duration.
func milliseconds(s float64) time.Duration { return time.Duration(s * float64(time.Millisecond)) }

// orDefault returns v, or fallback if v is 0.
func orDefault(v, fallback float64) float64 {
	if v == 0 {
		return fallback
	}
	return v
}

// Penalties are the operators' weights.
var Penalties = emu.Penalties{WastedWork: 0.042, Handshake: 0.04, LateFailure: 0.02, RejectedCall: 0.05, Gossip: 0.01}

// DrawScenario draws a scenario of the site.
func (s *Site) DrawScenario(seed uint64) (*emu.Scenario, error) {
	draws := sampler{seed}
	network, clients, discovery, rules := s.Network, s.Clients, s.Discovery, s.Rules
	if network == nil {
		network = &Network{}
	}
	if clients == nil {
		clients = &Clients{}
	}
	if discovery == nil {
		discovery = &Discovery{}
	}
	if rules == nil {
		rules = &Rules{}
	}
	scenario := &emu.Scenario{
		Name:                   s.Name,
		Seed:                   seed,
		Length:                 seconds(draws.sample("length_s", s.LengthS, 50)),
		Tail:                   seconds(draws.sample("tail_s", s.TailS, 30)),
		Tick:                   milliseconds(draws.sample("tick_ms", s.TickMs, 5)),
		Relays:                 int(draws.sample("relays", s.Relays, 2) + 0.5),
		MaxAttempts:            int(orDefault(float64(s.MaxAttempts), 6)),
		ClumpShare:             draws.sample("clumps", s.Clumps, 0),
		ClumpDuration:          seconds(draws.sample("clump_for_s", s.ClumpForS, 2)),
		RTT:                    milliseconds(draws.sample("network.rtt_ms", network.RttMs, 30)),
		ClientDelay:            milliseconds(draws.sample("network.client_ms", network.ClientMs, 1)),
		Jitter:                 draws.sample("network.jitter", network.Jitter, 0.2),
		HandshakeRTTs:          draws.sample("network.handshake_rtts", network.HandshakeRtts, 2),
		IdleTimeout:            seconds(draws.sample("network.idle_s", network.IdleS, 15)),
		ConnectTimeout:         seconds(draws.sample("network.connect_s", network.ConnectS, 1.5)),
		ClientRetries:          int(draws.sample("clients.retries", clients.Retries, 2)),
		ClientBackoff:          seconds(draws.sample("clients.backoff_s", clients.BackoffS, 0.5)),
		RetryAfterCompliance:   draws.sample("clients.honour", clients.Honour, 0.7),
		MaxRetryAfter:          seconds(draws.sample("clients.max_advice_s", clients.MaxAdviceS, 3)),
		ResubmitDelay:          seconds(draws.sample("clients.again_s", clients.AgainS, 1)),
		BalancerDetectionDelay: seconds(draws.sample("clients.front_notice_s", clients.FrontNoticeS, 3)),
		DiscoveryDelay:         seconds(draws.sample("discovery.notice_s", discovery.NoticeS, 2)),
		DiscoverySpread:        seconds(draws.sample("discovery.spread_s", discovery.SpreadS, 0.3)),
		AnswerSlack:            milliseconds(orDefault(rules.AnswerSlackMs, 20)),
		DrainGrace:             seconds(orDefault(rules.DrainGraceS, 1)),
		OverloadFactor:         orDefault(rules.FallMultiple, 2),
		OverloadTime:           seconds(orDefault(rules.FallS, 3)),
		Membership:             s.Members,
		Gossip:                 s.Notes,
		GossipLoss:             draws.sample("note_loss", s.NoteLoss, 0),
		ColdStartShare:         orDefault(rules.ColdFrom, 0.2),
		WarmUpTime:             seconds(orDefault(rules.ColdS, 11)),
		Penalties:              Penalties,
	}
	var err error
	if scenario.Choices, err = choice.Parse(s.Choices); err != nil {
		return nil, fmt.Errorf("choices: %w", err)
	}
	scenario.HotRelayFactor = s.Busy
	mean, share := 0.0, 0.0
	for i, class := range s.Class {
		drawn := emu.Class{
			Class: policy.Class{
				Name:          class.Name,
				Effect:        policy.Effect(class.Effect),
				RepeatWindow:  seconds(class.WindowS),
				TargetLatency: seconds(class.AimS),
				Deadline:      seconds(class.DeadlineS),
				Value:         class.Worth,
				LateValue:     class.LateWorth,
			},
			Share:       draws.sample("class.share", class.Share, 1, i),
			Work:        milliseconds(draws.sample("class.work_ms", class.WorkMs, 150, i)),
			CV:          draws.sample("class.cv", class.Cv, 0.8, i),
			Noise:       draws.sample("class.noise", class.Noise, 0.2, i),
			Exponential: class.Exponential,
		}
		scenario.Classes = append(scenario.Classes, drawn)
		mean += drawn.Share * drawn.Work.Seconds()
		share += drawn.Share
	}
	for i := range scenario.Classes {
		scenario.Classes[i].Share /= max(share, 1e-9)
	}
	mean /= max(share, 1e-9)
	for i, kind := range s.Kind {
		scenario.Kinds = append(scenario.Kinds, emu.Kind{
			Name:     kind.Name,
			MaxBatch: max(1, int(kind.Batch)),
			ItemCost: draws.sample("kind.item_cost", kind.ItemCost, 0.1, i),
			Limit:    emu.LimitKind(kind.Limit),
			Window:   seconds(draws.sample("kind.window_s", kind.WindowS, 1, i)),
			CountsRejected: draws.rand("kind.refused", i).Float64() <
				draws.sample("kind.refused_count", kind.RefusedCount, 0, i),
			RetryAfterShare: draws.sample("kind.tells_wait", kind.TellsWait, 0.5, i),
			RetryAfter:      milliseconds(draws.sample("kind.wait_ms", kind.WaitMs, 500, i)),
			ColdStartShare:  draws.sample("kind.cold_from", kind.ColdFrom, 0.25, i),
			WarmUpTime:      seconds(draws.sample("kind.cold_s", kind.ColdS, 9, i)),
			ErrorRate:       draws.sample("kind.error_rate", kind.ErrorRate, 0, i),
			CancelsQueued: draws.rand("kind.cancels", i).Float64() <
				draws.sample("kind.cancels_queued", kind.CancelsQueued, 0, i),
		})
	}
	destCount := max(1, int(draws.sample("destinations", s.Destinations, 22)+0.5))
	zones := max(1, int(draws.sample("zones", s.Zones, 1)+0.5))
	scenario.Zones = zones
	nominalRate := draws.sample("rate", s.Rate, 4) * float64(destCount) // messages per second at load 1
	zipf, meanEndpoints := draws.sample("zipf", s.Zipf, 0.85), draws.sample("endpoints", s.Endpoints, 1.6)
	total := 0.0
	for i := range destCount {
		total += math.Pow(float64(i+1), -zipf)
	}
	busyCalls := 0.0
	order := draws.rand("order").Perm(destCount)
	for number, rank := range order {
		rng := draws.rand("dest", number)
		kindIndex := pickKind(s.Kind, rng.Float64())
		kind := s.Kind[kindIndex]
		share := math.Pow(float64(rank+1), -zipf) / total
		calls := share * nominalRate
		limit := max(draws.sample("kind.least_rate", kind.LeastRate, 2, kindIndex),
			calls*draws.sample("kind.headroom", kind.Headroom, 1.5, number))
		capacity := limit * draws.sample("kind.spare", kind.Spare, 1.3, number)
		cv := draws.sample("kind.slow_cv", kind.SlowCv, 0.5, kindIndex)
		variance := math.Log(1 + cv*cv)
		speedFactor := math.Exp(rng.NormFloat64()*math.Sqrt(variance)-variance/2) *
			draws.sample("kind.speed", kind.Speed, 1, kindIndex)
		endpoints := 1
		for chance := (meanEndpoints - 1) / 3; endpoints < 4 &&
			rng.Float64() < chance*(1.5-float64(rank)/float64(destCount)); endpoints++ {
		}
		endpoints = max(endpoints, int(s.LeastEndpoints))
		workers := max(endpoints, int(math.Ceil(capacity*mean/speedFactor)))
		dest := emu.Dest{Kind: kindIndex, Share: share, Zone: fmt.Sprintf("zone-%d", 1+number%zones)}
		if kind.Limit != Limit_NONE {
			dest.Limit = limit
		}
		speed := capacity * mean / float64(workers)
		for index := range endpoints {
			ownWorkers := workers / endpoints
			if index < workers%endpoints {
				ownWorkers++
			}
			endpoint := emu.Endpoint{Workers: ownWorkers, Speed: speed,
				QueueSize: max(1, int(draws.sample("kind.depth_s", kind.DepthS, 0.7, kindIndex)*capacity/float64(endpoints)))}
			if kind.Conns != nil {
				endpoint.MaxConns = max(int(kind.LeastConns),
					int(draws.sample("kind.conns", kind.Conns, 3, kindIndex)*float64(ownWorkers)))
			}
			dest.Endpoints = append(dest.Endpoints, endpoint)
		}
		busyCalls += calls / float64(max(1, kind.Batch)) * (mean/speed + scenario.RTT.Seconds())
		scenario.Dests = append(scenario.Dests, dest)
	}
	scenario.MaxConcurrentCalls = max(int(orDefault(float64(s.LeastSlots), 2)),
		int(draws.sample("slots_room", s.SlotsRoom, 2)*busyCalls/float64(scenario.Relays)))
	scenario.MaxPending = max(int(orDefault(float64(s.LeastHold), 12)),
		int(draws.sample("hold_s", s.HoldS, 8)*nominalRate/float64(scenario.Relays)))
	scenario.Rate = draws.sample("load", s.Load, 0.8) * nominalRate
	if swing := draws.sample("swing", s.Swing, 0); swing > 0 {
		phase := 2 * math.Pi * draws.rand("phase").Float64()
		for i := range 49 {
			position := float64(i) / 48
			scenario.Shape = append(scenario.Shape, emu.LoadPoint{At: time.Duration(position * float64(scenario.Length)),
				Multiple: 1 + swing*math.Sin(phase+2*math.Pi*position*1.5)})
		}
	}
	return scenario, nil
}

// pickKind returns the index of the kind at position x, from 0 to 1, of the cumulated shares.
func pickKind(kinds []*Kind, draw float64) int {
	total := 0.0
	for _, k := range kinds {
		total += orDefault(k.Share, 1)
	}
	draw *= total
	for i, kind := range kinds {
		if draw -= orDefault(kind.Share, 1); draw < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

// AddFaults draws faults and adds them to a scenario.
func AddFaults(scenario *emu.Scenario, troubles []*Trouble, seed uint64) error {
	draws := sampler{seed}
	for i, trouble := range troubles {
		keyOf := func(key string) string { return "trouble." + key }
		fault := emu.Fault{Kind: emu.FaultKind(trouble.Kind),
			Duration:  seconds(draws.sample(keyOf("len_s"), trouble.LenS, 10, i)),
			Intensity: draws.sample(keyOf("size"), trouble.Size, 1, i),
			Period:    seconds(draws.sample(keyOf("every_s"), trouble.EveryS, 2, i))}
		if fault.At = seconds(draws.sample(keyOf("at_s"), trouble.AtS, 0, i)); trouble.AtS == nil {
			fault.At = seconds(scenario.Length.Seconds() * (0.1 + 0.6*draws.rand(keyOf("at_s"), i).Float64()))
		}
		for _, n := range trouble.Dest {
			fault.Dests = append(fault.Dests, int(n))
		}
		if trouble.Busiest {
			busiest := 0
			for number := range scenario.Dests {
				if scenario.Dests[number].Share > scenario.Dests[busiest].Share {
					busiest = number
				}
			}
			fault.Dests = append(fault.Dests, busiest)
		}
		if trouble.Zone > 0 {
			fault.Zone = fmt.Sprintf("zone-%d", trouble.Zone)
			if int(trouble.Zone) > scenario.Zones || !fault.AffectsRelays() &&
				!slices.ContainsFunc(scenario.Dests, func(x emu.Dest) bool { return x.Zone == fault.Zone }) {
				return fmt.Errorf("trouble[%d].zone: there is no zone %d", i, trouble.Zone)
			}
		}
		if trouble.Part != nil {
			wantedShare, gotShare := draws.sample(keyOf("part"), trouble.Part, 0, i), 0.0
			for _, n := range draws.rand(keyOf("who"), i).Perm(len(scenario.Dests)) {
				if share := scenario.Dests[n].Share; gotShare == 0 || gotShare+share <= wantedShare*1.15 {
					fault.Dests = append(fault.Dests, n)
					gotShare += share
				}
				if gotShare >= wantedShare {
					break
				}
			}
		}
		relays := trouble.Relay
		if len(relays) == 0 {
			switch fault.Kind {
			case emu.RelayCrash, emu.RelayStop, emu.RelayStall:
				if trouble.Zone > 0 {
					for _, n := range scenario.RelaysOf(&fault) {
						relays = append(relays, int32(n))
					}
					break
				}
				for n := range scenario.Relays {
					relays = append(relays, int32(n))
				}
			}
		}
		if interval := draws.sample(keyOf("each_s"), trouble.EachS, 0, i); interval > 0 {
			for n, relay := range relays {
				single := fault
				single.At += seconds(interval * float64(n))
				single.Relays = []int{int(relay)}
				scenario.Faults = append(scenario.Faults, single)
			}
			continue
		}
		for _, relay := range relays {
			fault.Relays = append(fault.Relays, int(relay))
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	return nil
}

// DrawScenario draws the scenario of a script. base is the site of scripts that name none.
func (s *Script) DrawScenario(base *Site, seed uint64) (*emu.Scenario, error) {
	if s.Site != "" {
		var err error
		if base, err = ReadSite(s.Site); err != nil {
			return nil, err
		}
	}
	changed := proto.Clone(base).(*Site)
	for _, override := range []struct {
		value *Range
		field **Range
	}{
		{s.Load, &changed.Load},
		{s.Relays, &changed.Relays},
		{s.Destinations, &changed.Destinations},
		{s.Clumps, &changed.Clumps},
		{s.LengthS, &changed.LengthS},
	} {
		if override.value != nil {
			*override.field = override.value
		}
	}
	scenario, err := changed.DrawScenario(seed)
	if err != nil {
		return nil, err
	}
	scenario.Name = s.Name
	return scenario, AddFaults(scenario, s.Trouble, seed)
}
