package members

import (
	"slices"
)

// This file spreads what is known of members: the queues of updates, and who receives gossip.

// disseminate queues the state of a member to be sent to others, unless nothing is known of it.
func (l *List) disseminate(number int) {
	m := &l.members[number]
	if m.incarnation == 0 || m.state != Alive && l.Isolated() {
		return // an isolated relay does not spread its own suspicions
	}
	l.enqueue(number, freshUpdates, min(int(updateCopies*(1+l.lossRate)), 4*(len(l.members)-1)))
}

// announce queues the presence and zone of a member, with the lowest priority.
func (l *List) announce(number int) {
	if m := &l.members[number]; m.copiesLeft == 0 {
		l.enqueue(number, announcements, announcementCopies)
	}
}

// Queues of updates: not sent yet, sent and to be repeated, and presence of members.
const (
	freshUpdates uint8 = iota
	repeatedUpdates
	announcements
	queueCount
)

// queuedUpdate is an entry of a queue. It is stale once a newer update of its member is queued.
type queuedUpdate struct {
	number int
	serial uint8
}

// enqueue has an update of a member sent the given number of times.
func (l *List) enqueue(number int, queue uint8, copies int) {
	m := &l.members[number]
	m.updateSerial++
	m.copiesLeft = int8(copies)
	l.updates[queue] = append(l.updates[queue], queuedUpdate{number, m.updateSerial})
}

// dequeue passes up to limit members to visit. Updates with copies left are queued again.
func (l *List) dequeue(queue uint8, limit int, visit func(n int)) {
	for remaining := len(l.updates[queue]); remaining > 0 && limit > 0; remaining-- {
		update := l.updates[queue][0]
		l.updates[queue] = l.updates[queue][1:]
		m := &l.members[update.number]
		if m.updateSerial != update.serial || m.copiesLeft == 0 {
			continue
		}
		if m.copiesLeft--; m.copiesLeft > 0 {
			to := queue
			if queue == freshUpdates {
				to = repeatedUpdates
			}
			l.updates[to] = append(l.updates[to], update)
		}
		visit(update.number)
		limit--
	}
}

// Target is a receiver of gossip in a round. Ping requests an ack.
type Target struct {
	To   int
	Ping bool
}

// GossipTargets starts a round and returns up to limit receivers, the one to be pinged first. A
// gone member is contacted now and then, so that the sides of a partition find each other again.
func (l *List) GossipTargets(now Time, limit int) (targets []Target) {
	l.advance(now)
	if len(l.members) < 2 {
		return nil
	}
	if n, ok := l.nextProbeTarget(); ok && l.ownProbes() < maxOwnProbes && !l.leaving {
		targets = append(targets, Target{n, true})
	}
	included := func(n int) bool { return slices.ContainsFunc(targets, func(t Target) bool { return t.To == n }) }
	if l.rounds++; len(l.gone) > 0 &&
		(l.rounds%goneContactRounds == 0 || len(l.gone)*goneContactRounds*2 > len(l.members)) {
		targets = append(targets, Target{To: l.gone[l.rng.IntN(len(l.gone))]})
	}
	for draws := 0; len(targets) < min(limit, len(l.live)) && draws < 8*limit; draws++ {
		if n := l.live[l.rng.IntN(len(l.live))]; !included(n) {
			targets = append(targets, Target{To: n})
		}
	}
	return targets
}
