package emu

import (
	"fmt"
	"time"

	"oatfold/internal/peers/members"
)

// networkState holds the active faults of the network.
type networkState struct {
	partitions     []map[int]bool // groups of relays that are cut off from all others
	noReceive      map[int]int    // by relay: active faults that stop incoming gossip
	noSend         map[int]int    // by relay: active faults that stop outgoing gossip
	lossShare      float64        // of gossip messages
	extraDelay     time.Duration  // maximum, drawn for each gossip message
	duplicateShare float64        // of gossip messages
	unreachable    map[[2]int]int // by relay and destination: active faults that separate them
	isolatedZones  map[string]int // by zone: active faults that isolate its relays and endpoints
}

// reaches reports whether a relay and a destination reach each other.
func (n *networkState) reaches(relay, dest int) bool { return n.unreachable[[2]int{relay, dest}] == 0 }

// reaches reports whether a relay and an endpoint reach each other.
func (sim *simulation) reaches(r *relay, e *endpoint) bool {
	if len(sim.network.isolatedZones) > 0 {
		if relayZone := zoneName(sim.scenario.ZoneOf(r.number)); relayZone != e.zone &&
			sim.network.isolatedZones[relayZone]+sim.network.isolatedZones[e.zone] > 0 {
			return false
		}
	}
	return sim.network.reaches(r.number, e.dest.number)
}

// delivers reports whether gossip from one relay reaches another.
func (n *networkState) delivers(from, to int) bool {
	for _, group := range n.partitions {
		if group[from] != group[to] {
			return false
		}
	}
	return n.noReceive[to] == 0 && n.noSend[from] == 0
}

// ZoneOf returns the zone of a relay; zones are assigned round-robin.
func (s *Scenario) ZoneOf(relay int) int { return relay % max(1, s.Zones) }

// RelaysOf returns the relays that a fault names, or those of its zone.
func (s *Scenario) RelaysOf(fault *Fault) (all []int) {
	if fault.Zone == "" || len(fault.Relays) > 0 {
		return fault.Relays
	}
	for relay := range s.Relays {
		if zoneName(s.ZoneOf(relay)) == fault.Zone {
			all = append(all, relay)
		}
	}
	return all
}

// DestsOf returns the destinations that a fault of relays names, or all.
func (s *Scenario) DestsOf(fault *Fault) (all []int) {
	if len(fault.Dests) > 0 {
		return fault.Dests
	}
	for dest := range s.Dests {
		all = append(all, dest)
	}
	return all
}

// scheduleNetworkFault schedules the beginning and the end of a fault of the network.
func (sim *simulation) scheduleNetworkFault(fault *Fault) {
	state, relays := &sim.network, sim.scenario.RelaysOf(fault)
	during := func(begin, end func()) {
		sim.schedule(fault.At, begin)
		sim.schedule(fault.At+fault.Duration, end)
	}
	adjust := func(counts *map[int]int, delta int) func() {
		return func() {
			if *counts == nil {
				*counts = map[int]int{}
			}
			for _, n := range relays {
				(*counts)[n] += delta
			}
		}
	}
	switch fault.Kind {
	case Partition, SitePartition:
		if fault.Kind == SitePartition {
			during(func() {
				if state.isolatedZones == nil {
					state.isolatedZones = map[string]int{}
				}
				state.isolatedZones[fault.Zone]++
			}, func() {
				if state.isolatedZones[fault.Zone]--; state.isolatedZones[fault.Zone] == 0 {
					delete(state.isolatedZones, fault.Zone)
				}
			})
		}
		members := map[int]bool{}
		for _, n := range relays {
			members[n] = true
		}
		during(func() { state.partitions = append(state.partitions, members) }, func() {
			for i := range state.partitions {
				if fmt.Sprintf("%p", state.partitions[i]) == fmt.Sprintf("%p", members) {
					state.partitions = append(state.partitions[:i:i], state.partitions[i+1:]...)
					return
				}
			}
		})
	case DestinationPartition:
		add := func(delta int) func() {
			return func() {
				if state.unreachable == nil {
					state.unreachable = map[[2]int]int{}
				}
				for _, n := range relays {
					for _, d := range sim.scenario.DestsOf(fault) {
						state.unreachable[[2]int{n, d}] += delta
					}
				}
			}
		}
		during(add(1), add(-1))
	case GossipReceiveLoss:
		during(adjust(&state.noReceive, 1), adjust(&state.noReceive, -1))
	case GossipSendLoss:
		during(adjust(&state.noSend, 1), adjust(&state.noSend, -1))
	case GossipLoss:
		during(func() { state.lossShare += fault.Intensity }, func() { state.lossShare -= fault.Intensity })
	case GossipDelay:
		during(func() { state.extraDelay += seconds(fault.Intensity) },
			func() { state.extraDelay -= seconds(fault.Intensity) })
	case GossipDuplication:
		during(func() { state.duplicateShare += fault.Intensity }, func() { state.duplicateShare -= fault.Intensity })
	}
}

// sendGossip sends a relay's gossip to other relays, subject to loss, delay and duplication.
func (r *relay) sendGossip(datagrams []members.Datagram) {
	sim := r.sim
	for _, datagram := range datagrams {
		other := sim.relays[datagram.To]
		if other.policy == nil || sim.gossipRand.Float64() < sim.scenario.GossipLoss ||
			!sim.network.delivers(r.number, datagram.To) ||
			sim.network.lossShare > 0 && sim.gossipRand.Float64() < sim.network.lossShare {
			continue
		}
		copies := 1
		if sim.network.duplicateShare > 0 && sim.gossipRand.Float64() < sim.network.duplicateShare {
			copies = 2
		}
		for range copies {
			sim.result.NoteBytes += len(datagram.Payload)
			delay := 2*time.Millisecond + scaleDuration(29*time.Millisecond, sim.gossipRand.Float64())
			if sim.network.extraDelay > 0 {
				delay += scaleDuration(sim.network.extraDelay, sim.gossipRand.Float64())
			}
			incarnation := other.incarnation
			sim.scheduleAfter(delay, func() { other.receiveGossip(r.number, incarnation, datagram.Payload) })
		}
	}
}

// receiveGossip delivers gossip to the relay. A stalled relay reads it when it continues.
func (r *relay) receiveGossip(from, incarnation int, payload []byte) {
	sim := r.sim
	if r.policy == nil || r.incarnation != incarnation {
		return
	}
	if sim.now < r.stalledUntil {
		sim.schedule(r.stalledUntil, func() { r.receiveGossip(from, incarnation, payload) })
		return
	}
	replies, _ := r.gossiper.Receive(sim.now, from, payload)
	r.sendGossip(replies)
	r.recordMemberChanges()
}

// recordMemberChanges adds changes of the relay's view of the members to the result.
func (r *relay) recordMemberChanges() {
	memberList := r.gossiper.Members()
	if memberList == nil {
		return
	}
	sim := r.sim
	for _, change := range memberList.Changes() {
		sim.result.Members = append(sim.result.Members, MemberChange{
			sim.now, r.number, change.Number, change.From.String(), change.To.String(), change.Incarnation, change.Reason,
		})
	}
}

// membersAgree reports whether the members' views of all running relays are correct.
func (sim *simulation) membersAgree() bool {
	if !sim.scenario.Membership {
		return true
	}
	for _, r := range sim.relays {
		if r.policy == nil || sim.now < r.stalledUntil || r.gossiper.Members() == nil {
			continue
		}
		for _, other := range sim.relays {
			if state := r.gossiper.Members().State(other.number); other != r &&
				(other.policy != nil && state != members.Alive || other.policy == nil && state < members.Dead) {
				return false
			}
		}
	}
	return true
}
