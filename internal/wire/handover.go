package wire

import (
	"slices"
	"strings"
	"time"

	"oatfold/internal/handover"
	"oatfold/internal/handover/sequence"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/policy"
)

// Passed is what another process of this relay left or gave: a file of the spool, or a part of a room.
type Passed struct {
	From  string // the process that gave it; empty: a room
	Msgs  []*memory.Message
	Overs []string       // ids of messages that are over
	News  *handover.News // nil: none
	Last  bool           // no other process is left
}

// Adopt takes over what was passed. What it returns is closed once all of it is in the journal.
func (h *Host) Adopt(p Passed) <-chan struct{} {
	done := make(chan struct{})
	h.Do(func(h *Host) {
		if p.News != nil && p.News.Numbers != nil {
			numbers := *p.News.Numbers
			numbers.Odd = true
			h.table.UseSharedNumbering(numbers)
		}
		for _, m := range p.Msgs {
			h.adopt(m)
		}
		for _, id := range p.Overs {
			h.endOutdated(id)
			h.table.MarkCompleted(id)
		}
		if p.News != nil {
			h.sequence.Owes(p.From, p.News.Owes)
			h.heardNews(p.News)
		}
		if p.Last {
			h.elsewhere = nil
			h.release(h.sequence.End())
			h.table.StopSharedNumbering()
			h.lend(nil)
		}
		h.adopted = append(h.adopted, done)
	})
	return done
}

// adopt takes one message over, as it stands. Guards against a process that died between giving a message and booking that it had: the same
// message then comes twice, and is known by its id.
func (h *Host) adopt(m *memory.Message) {
	delete(h.elsewhere, m.ID)
	h.sequence.Arrived(m.ID)
	num := m.Number // where the message keeps it, it keeps its place in the order of hand-in, here and after a restart
	if have := h.table.ByID(m.ID); have != nil {
		if have.InFlight != nil || !m.Supersedes(have) {
			return
		}
		// The other account knows more: it takes the place of this one.
		h.end(have, true)
		h.table.ForgetCompleted(m.ID)
		h.pending = append(h.pending, policy.Withdrawn{ID: have.Number})
		num = h.table.NextNumber()
	} else if h.table.RecentlyCompleted(m.ID) {
		return
	} else if !h.table.CanKeepNumber(num) {
		num = h.table.NextNumber()
	}
	m.Number, m.InFlight, m.Unanswered = num, nil, false
	h.journal.AppendTransferred(h.table, m)
	h.resume(m, time.Now())
}

// endOutdated ends the message of that id, which is over, unless its call is out. Guards against a message that was given to a process that ran it
// and died before it had booked the gift: it is still there for the next one.
func (h *Host) endOutdated(id string) {
	m := h.table.ByID(id)
	if m == nil || m.InFlight != nil || m.Notification != nil || m.Unanswered {
		return
	}
	h.end(m, false)
	h.pending = append(h.pending, policy.Withdrawn{ID: m.Number})
}

// TakesRecords tells whether the journal took what was written to it last.
func (h *Host) TakesRecords() (takes bool) {
	h.Do(func(h *Host) { takes = !h.journal.Unavailable() })
	return takes
}

// heardNews takes over what the process before knows beside messages.
func (h *Host) heardNews(n *handover.News) {
	if l := n.List; l != nil && l.Generation > h.generation {
		pc := memory.EndpointList{Generation: l.Generation, Complete: true}
		for _, m := range l.Members {
			pc.Entries = append(pc.Entries, memory.EndpointEntry{Endpoint: m.Endpoint, HostPort: m.HostPort})
		}
		h.listed = true
		h.applyEndpointList(pc, policy.ListSnapshot)
	}
	if n.Learned != nil {
		h.learned = *n.Learned
	}
	for _, id := range n.Known {
		if h.table.ByID(id) == nil && !h.table.RecentlyCompleted(id) {
			if h.elsewhere == nil {
				h.elsewhere = map[string]struct{}{}
			}
			h.elsewhere[id] = struct{}{}
		}
	}
	h.drained = h.drained || n.Drained
	h.heldBack(n.Waits)
	if h.standby {
		h.waits = append(h.waits, n.Waits...) // the module has yet to hear of them
	}
	h.lend(n.Out)
}

// date is the date in so much time from now, for the process that takes this one's place.
func (h *Host) date(left time.Duration) time.Time {
	return time.UnixMicro(h.dates.Date(time.Now().Add(left)))
}

// heldBack heeds waits that the process before was told.
func (h *Host) heldBack(waits []handover.Wait) {
	for _, w := range waits {
		left := min(time.Until(h.dates.Time(w.Until.UnixMicro())), maxRetryAfterMs*time.Millisecond)
		if left <= 0 {
			continue
		}
		g := h.gates[w.Dest]
		if ep := h.endpoints[w.Endpoint]; ep != nil {
			g = ep.backoff
		} else if g == nil {
			g = &backoff{}
			h.gates[w.Dest] = g
		}
		g.extend(left)
		h.relay.ApplyRetryAfter(h.now(), w.Endpoint, left)
	}
}

// lend books the calls that the process before still has out.
func (h *Host) lend(out []policy.InheritedCall) {
	h.lent = out
	h.relay.SetInheritedCalls(h.now(), out)
	h.pending = append(h.pending, policy.TimerFired{})
}

// Activate begins the steps of a host that stood by, and tells whether the relay was drained by its operators.
func (h *Host) Activate() (drained bool) {
	h.Do(func(h *Host) {
		var list []policy.Endpoint
		for _, ep := range h.endpoints {
			list = append(list, policy.Endpoint{Address: ep.id, Destination: ep.dest, Kind: h.kinds[ep.dest], Zone: ep.zone,
				State: policy.EndpointState(ep.state.Load()), Rate: ep.rate})
		}
		slices.SortFunc(list, func(a, b policy.Endpoint) int { return strings.Compare(a.Address, b.Address) })
		if h.firstBy = 0; !h.listed {
			h.firstBy = h.now() + listPatience
		}
		h.relay.ImportState(h.now(), list, h.learned)
		h.relay.SetInheritedCalls(h.now(), h.lent)
		h.standby, h.quiet, drained = false, false, h.drained
		h.heldBack(h.waits)
		h.learned, h.waits = policy.LearnedState{}, nil
		h.pending = append(h.pending, policy.TimerFired{})
	})
	return drained
}

// HandOver ends the steps and gives what is not out, with what this process knows, to the one that takes its place. Files hold bodies of up to room
// bytes; the rest goes with Give. Where the first file cannot be given, all stays as it was.
func (h *Host) HandOver(give func([]byte) error, drained bool, room int64) (err error) {
	h.Do(func(h *Host) {
		parked := h.parked
		h.parked = nil
		for _, cl := range parked {
			h.endParked(cl) // its messages are given
		}
		learned, numbers := h.relay.ExportState(h.now()), h.table.NewSharedNumbering()
		news := &handover.News{Drained: drained, Learned: &learned, List: &handover.List{Generation: h.generation}, Numbers: &numbers}
		for _, ep := range h.endpoints {
			news.List.Members = append(news.List.Members, handover.Member{HostPort: ep.addr, Endpoint: policy.Endpoint{Address: ep.id, Destination: ep.dest,
				Kind: h.kinds[ep.dest], Zone: ep.zone, State: policy.EndpointState(ep.state.Load()), Rate: ep.rate}})
			if ep.backoff.active() {
				h.waits = append(h.waits, handover.Wait{Endpoint: ep.id, Dest: ep.dest, Until: h.date(ep.backoff.remaining())})
			}
		}
		h.left = nil
		for _, m := range h.table.All() {
			if mayGive(m) {
				h.left = append(h.left, m)
			} else if m.Notification == nil {
				// Guards against giving it twice in one file, which nobody could read: it comes by itself once it may be given.
				news.Known = append(news.Known, m.ID)
			}
		}
		slices.SortFunc(h.left, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
		h.toldOut = -1
		if err = h.give(give, news, room); err != nil {
			h.waits, h.left = nil, nil
			return
		}
		h.giving, h.quiet, h.arrivals, h.pending = give, true, nil, nil
		h.sequence = sequence.Sequencer{}
		h.table.UseSharedNumbering(numbers)
		for cl := range h.calls {
			for i := range cl.items {
				cl.items[i].reported, cl.items[i].resubmit = true, true // what they leave undone is given
			}
		}
		for _, ep := range h.endpoints {
			h.closeIdleConns(ep)
		}
	})
	return err
}

// Give goes on with what is left by now: what did not fit, what was still taken on, what calls have left undone.
func (h *Host) Give(room int64) {
	h.Do(func(h *Host) {
		if h.giving != nil {
			h.give(h.giving, &handover.News{}, room)
		}
	})
}

// mayGive tells whether m can be given: nothing of it is under way, and its body is at hand.
func mayGive(m *memory.Message) bool {
	return m.InFlight == nil && m.Notification == nil && !m.Unanswered && m.SpilledBytes == 0 && (!m.MemoryOnly || m.Body != nil)
}

// giveCost is what a message takes of a file beside its body, as a bound.
const giveCost = 700

// give gives what is left, as far as it fits, if there is anything to tell. Guards against a folder that holds all of it twice, in the room and in the spool, and goes
// over its limit.
func (h *Host) give(to func([]byte) error, news *handover.News, room int64) error {
	var msgs, rest []*memory.Message
	for i, m := range h.left {
		if h.table.Get(m.Number) != m || !mayGive(m) {
			continue
		}
		if room -= int64(m.BodySize() + giveCost); room < 0 {
			rest = h.left[i:]
			break
		}
		msgs = append(msgs, m)
	}
	owes := h.owes(msgs)
	if len(msgs) == 0 && len(h.waits) == 0 && len(h.calls) == h.toldOut && slices.Equal(owes, h.toldOwes) {
		return nil
	}
	news.Waits, news.Owes = h.waits, owes
	for cl := range h.calls {
		news.Out = append(news.Out, policy.InheritedCall{Endpoint: cl.endpoint.id, Age: h.now() - cl.startedAt})
	}
	if err := to(journal.EncodeTransfer(msgs, news.Encode(), h.dates)); err != nil {
		h.log.Error("not given to the process that takes over: it stays in the room", "messages", len(msgs), "err", err)
		return err
	}
	h.waits, h.toldOut, h.toldOwes, h.left = nil, len(h.calls), owes, rest
	for _, m := range msgs {
		// Its id is not kept as over: it is not.
		h.end(m, true)
		h.table.ForgetCompleted(m.ID)
	}
	return nil
}

// Left counts what a process that leaves still owes something for, its calls out, and the messages that can only be taken over with
// its room.
func (h *Host) Left() (held, out, behind int) {
	h.Do(func(h *Host) {
		for _, m := range h.table.All() {
			if m.Notification == nil && m.InFlight == nil && !m.Unanswered && !mayGive(m) {
				behind++
			}
		}
		held, out = len(h.table.All()), len(h.calls)
	})
	return held, out, behind
}

// Share sets what the journal may take of the disk, of which others take so much: all of the rest, or while another process
// writes as well, a part of it.
func (h *Host) Share(all, others int64, alone bool) {
	h.Do(func(h *Host) {
		if alone {
			h.journal.SetBudget(all - others)
		} else {
			h.journal.SetBudget(handover.Budget(all, h.journal.UsedBytes(), others))
		}
	})
}

// Tell has the host tell other relays what it sees, from now on.
func (h *Host) Tell(notes *GossipSocket, among Among) {
	h.Do(func(h *Host) {
		h.notes = notes
		h.joinFleet(among)
		go notes.receiveLoop(h.events)
		go notes.sendLoop()
	})
}

// Idle sets how many connections to endpoints may stand idle.
func (h *Host) Idle(most int) { h.Do(func(h *Host) { h.idleMost = most }) }
