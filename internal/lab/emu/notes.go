package emu

import (
	"fmt"
	"time"

	"oatfold/internal/peers/members"
)

// networkState is what troubles do to notes between relays.
type networkState struct {
	partitions     []map[int]bool // groups that are cut off from all others
	noReceive      map[int]int    // troubles by which a relay hears nobody
	noSend         map[int]int    // and is heard by nobody
	lossShare      float64
	extraDelay     time.Duration
	duplicateShare float64
	unreachable    map[[2]int]int // relay and destination: troubles by which they don't reach each other
	isolatedZones  map[string]int // zones that are cut off with their relays and endpoints
}

// reaches tells whether a relay and a destination reach each other.
func (b *networkState) reaches(relay, dest int) bool { return b.unreachable[[2]int{relay, dest}] == 0 }

// reaches tells whether a relay and an endpoint reach each other.
func (w *simulation) reaches(r *relay, e *endpoint) bool {
	if len(w.network.isolatedZones) > 0 {
		if here := zoneName(w.scenario.ZoneOf(r.number)); here != e.zone && w.network.isolatedZones[here]+w.network.isolatedZones[e.zone] > 0 {
			return false
		}
	}
	return w.network.reaches(r.number, e.dest.number)
}

// delivers tells whether a note from one relay to another gets through.
func (b *networkState) delivers(from, to int) bool {
	for _, group := range b.partitions {
		if group[from] != group[to] {
			return false
		}
	}
	return b.noReceive[to] == 0 && b.noSend[from] == 0
}

// ZoneOf is the zone of a relay: zones are dealt to them in turn, as they are to destinations.
func (d *Scenario) ZoneOf(relay int) int { return relay % max(1, d.Zones) }

// RelaysOf are the relays that a trouble names, or those of its zone.
func (d *Scenario) RelaysOf(t *Fault) (all []int) {
	if t.Zone == "" || len(t.Relays) > 0 {
		return t.Relays
	}
	for n := range d.Relays {
		if zoneName(d.ZoneOf(n)) == t.Zone {
			all = append(all, n)
		}
	}
	return all
}

// DestsOf are the destinations that a trouble of relays names, or all.
func (d *Scenario) DestsOf(t *Fault) (all []int) {
	if len(t.Dests) > 0 {
		return t.Dests
	}
	for n := range d.Dests {
		all = append(all, n)
	}
	return all
}

// scheduleNetworkFault sets the beginning and the end of a trouble between relays.
func (w *simulation) scheduleNetworkFault(t *Fault) {
	b, relays := &w.network, w.scenario.RelaysOf(t)
	during := func(begin, end func()) {
		w.schedule(t.At, begin)
		w.schedule(t.At+t.Duration, end)
	}
	count := func(m *map[int]int, by int) func() {
		return func() {
			if *m == nil {
				*m = map[int]int{}
			}
			for _, n := range relays {
				(*m)[n] += by
			}
		}
	}
	switch t.Kind {
	case Partition, SitePartition:
		if t.Kind == SitePartition {
			during(func() {
				if b.isolatedZones == nil {
					b.isolatedZones = map[string]int{}
				}
				b.isolatedZones[t.Zone]++
			}, func() {
				if b.isolatedZones[t.Zone]--; b.isolatedZones[t.Zone] == 0 {
					delete(b.isolatedZones, t.Zone)
				}
			})
		}
		group := map[int]bool{}
		for _, n := range relays {
			group[n] = true
		}
		during(func() { b.partitions = append(b.partitions, group) }, func() {
			for i := range b.partitions {
				if fmt.Sprintf("%p", b.partitions[i]) == fmt.Sprintf("%p", group) {
					b.partitions = append(b.partitions[:i:i], b.partitions[i+1:]...)
					return
				}
			}
		})
	case DestinationPartition:
		add := func(by int) func() {
			return func() {
				if b.unreachable == nil {
					b.unreachable = map[[2]int]int{}
				}
				for _, n := range relays {
					for _, d := range w.scenario.DestsOf(t) {
						b.unreachable[[2]int{n, d}] += by
					}
				}
			}
		}
		during(add(1), add(-1))
	case GossipReceiveLoss:
		during(count(&b.noReceive, 1), count(&b.noReceive, -1))
	case GossipSendLoss:
		during(count(&b.noSend, 1), count(&b.noSend, -1))
	case GossipLoss:
		during(func() { b.lossShare += t.Intensity }, func() { b.lossShare -= t.Intensity })
	case GossipDelay:
		during(func() { b.extraDelay += seconds(t.Intensity) }, func() { b.extraDelay -= seconds(t.Intensity) })
	case GossipDuplication:
		during(func() { b.duplicateShare += t.Intensity }, func() { b.duplicateShare -= t.Intensity })
	}
}

// sendGossip takes a relay's notes to the others.
func (r *relay) sendGossip(out []members.Datagram) {
	w := r.sim
	for _, o := range out {
		other := w.relays[o.To]
		if other.policy == nil || w.gossipRand.Float64() < w.scenario.GossipLoss || !w.network.delivers(r.number, o.To) ||
			w.network.lossShare > 0 && w.gossipRand.Float64() < w.network.lossShare {
			continue
		}
		times := 1
		if w.network.duplicateShare > 0 && w.gossipRand.Float64() < w.network.duplicateShare {
			times = 2
		}
		for range times {
			w.result.NoteBytes += len(o.Payload)
			late := 2*time.Millisecond + scaleDuration(29*time.Millisecond, w.gossipRand.Float64())
			if w.network.extraDelay > 0 {
				late += scaleDuration(w.network.extraDelay, w.gossipRand.Float64())
			}
			life := other.incarnation
			w.scheduleAfter(late, func() { other.receiveGossip(r.number, life, o.Payload) })
		}
	}
}

// receiveGossip takes a note, as soon as the relay moves.
func (r *relay) receiveGossip(from, life int, note []byte) {
	w := r.sim
	if r.policy == nil || r.incarnation != life {
		return
	}
	if w.now < r.stalledUntil {
		w.schedule(r.stalledUntil, func() { r.receiveGossip(from, life, note) })
		return
	}
	out, _ := r.gossiper.Receive(w.now, from, note)
	r.sendGossip(out)
	r.recordMemberChanges()
}

// recordMemberChanges books what the relay has come to think of others.
func (r *relay) recordMemberChanges() {
	list := r.gossiper.Members()
	if list == nil {
		return
	}
	w := r.sim
	for _, c := range list.Changes() {
		w.result.Members = append(w.result.Members, MemberChange{w.now, r.number, c.Number, c.From.String(), c.To.String(), c.Incarnation, c.Reason})
	}
}

// membersAgree tells whether all relays that live know who does.
func (w *simulation) membersAgree() bool {
	if !w.scenario.Membership {
		return true
	}
	for _, r := range w.relays {
		if r.policy == nil || w.now < r.stalledUntil || r.gossiper.Members() == nil {
			continue
		}
		for _, o := range w.relays {
			if s := r.gossiper.Members().State(o.number); o != r && (o.policy != nil && s != members.Alive || o.policy == nil && s < members.Dead) {
				return false
			}
		}
	}
	return true
}
