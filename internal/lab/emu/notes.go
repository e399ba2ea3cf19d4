package emu

import (
	"fmt"
	"time"

	"oatfold/internal/peers/members"
)

// ways is what troubles do to notes between relays.
type ways struct {
	apart []map[int]bool // groups that are cut off from all others
	deaf  map[int]int    // troubles by which a relay hears nobody
	mute  map[int]int    // and is heard by nobody
	lost  float64
	late  time.Duration
	twice float64
	off   map[[2]int]int // relay and destination: troubles by which they don't reach each other
	alone map[string]int // zones that are cut off with their relays and endpoints
}

// reaches tells whether a relay and a destination reach each other.
func (b *ways) reaches(relay, dest int) bool { return b.off[[2]int{relay, dest}] == 0 }

// reaches tells whether a relay and an endpoint reach each other.
func (w *world) reaches(r *relay, e *endpoint) bool {
	if len(w.between.alone) > 0 {
		if here := zoneName(w.day.ZoneOf(r.no)); here != e.zone && w.between.alone[here]+w.between.alone[e.zone] > 0 {
			return false
		}
	}
	return w.between.reaches(r.no, e.dest.no)
}

// carries tells whether a note from one relay to another gets through.
func (b *ways) carries(from, to int) bool {
	for _, group := range b.apart {
		if group[from] != group[to] {
			return false
		}
	}
	return b.deaf[to] == 0 && b.mute[from] == 0
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

// noteTrouble sets the beginning and the end of a trouble between relays.
func (w *world) noteTrouble(t *Fault) {
	b, relays := &w.between, w.day.RelaysOf(t)
	during := func(begin, end func()) {
		w.at(t.At, begin)
		w.at(t.At+t.Duration, end)
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
				if b.alone == nil {
					b.alone = map[string]int{}
				}
				b.alone[t.Zone]++
			}, func() {
				if b.alone[t.Zone]--; b.alone[t.Zone] == 0 {
					delete(b.alone, t.Zone)
				}
			})
		}
		group := map[int]bool{}
		for _, n := range relays {
			group[n] = true
		}
		during(func() { b.apart = append(b.apart, group) }, func() {
			for i := range b.apart {
				if fmt.Sprintf("%p", b.apart[i]) == fmt.Sprintf("%p", group) {
					b.apart = append(b.apart[:i:i], b.apart[i+1:]...)
					return
				}
			}
		})
	case DestinationPartition:
		add := func(by int) func() {
			return func() {
				if b.off == nil {
					b.off = map[[2]int]int{}
				}
				for _, n := range relays {
					for _, d := range w.day.DestsOf(t) {
						b.off[[2]int{n, d}] += by
					}
				}
			}
		}
		during(add(1), add(-1))
	case GossipReceiveLoss:
		during(count(&b.deaf, 1), count(&b.deaf, -1))
	case GossipSendLoss:
		during(count(&b.mute, 1), count(&b.mute, -1))
	case GossipLoss:
		during(func() { b.lost += t.Intensity }, func() { b.lost -= t.Intensity })
	case GossipDelay:
		during(func() { b.late += seconds(t.Intensity) }, func() { b.late -= seconds(t.Intensity) })
	case GossipDuplication:
		during(func() { b.twice += t.Intensity }, func() { b.twice -= t.Intensity })
	}
}

// carry takes a relay's notes to the others.
func (r *relay) carry(out []members.Datagram) {
	w := r.w
	for _, o := range out {
		other := w.relays[o.To]
		if other.mod == nil || w.notes.Float64() < w.day.GossipLoss || !w.between.carries(r.no, o.To) ||
			w.between.lost > 0 && w.notes.Float64() < w.between.lost {
			continue
		}
		times := 1
		if w.between.twice > 0 && w.notes.Float64() < w.between.twice {
			times = 2
		}
		for range times {
			w.res.NoteBytes += len(o.Payload)
			late := 2*time.Millisecond + part(29*time.Millisecond, w.notes.Float64())
			if w.between.late > 0 {
				late += part(w.between.late, w.notes.Float64())
			}
			life := other.life
			w.after(late, func() { other.heard(r.no, life, o.Payload) })
		}
	}
}

// heard takes a note, as soon as the relay moves.
func (r *relay) heard(from, life int, note []byte) {
	w := r.w
	if r.mod == nil || r.life != life {
		return
	}
	if w.now < r.stalled {
		w.at(r.stalled, func() { r.heard(from, life, note) })
		return
	}
	out, _ := r.pool.Receive(w.now, from, note)
	r.carry(out)
	r.changed()
}

// changed books what the relay has come to think of others.
func (r *relay) changed() {
	list := r.pool.Members()
	if list == nil {
		return
	}
	w := r.w
	for _, c := range list.Changes() {
		w.res.Members = append(w.res.Members, MemberChange{w.now, r.no, c.Number, c.From.String(), c.To.String(), c.Incarnation, c.Reason})
	}
}

// agreed tells whether all relays that live know who does.
func (w *world) agreed() bool {
	if !w.day.Membership {
		return true
	}
	for _, r := range w.relays {
		if r.mod == nil || w.now < r.stalled || r.pool.Members() == nil {
			continue
		}
		for _, o := range w.relays {
			if s := r.pool.Members().State(o.no); o != r && (o.mod != nil && s != members.Alive || o.mod == nil && s < members.Dead) {
				return false
			}
		}
	}
	return true
}
