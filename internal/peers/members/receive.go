package members

import "fmt"

// Receive handles the membership section of a message received from the address of a member and
// returns the replies. A malformed or outdated message, or one of too many, changes nothing and
// returns an error.
func (l *List) Receive(now Time, from int, payload []byte) (out []Datagram, err error) {
	l.advance(now)
	if from < 0 || from >= len(l.members) || from == l.config.Self {
		l.counts.Rejected++
		return nil, ErrUnknownSender
	}
	m := &l.members[from]
	if l.now-m.receivedSince >= Period {
		m.received, m.receivedSince = 0, l.now
	}
	if m.received++; m.received > maxReceivedPerPeriod {
		l.counts.Rejected++
		return nil, ErrRateLimited
	}
	s, err := decodeSection(payload, len(l.members))
	if err != nil {
		l.counts.Rejected++
		return nil, err
	}
	if err := l.verifySender(m, &s); err != nil {
		l.counts.Rejected++
		if err == ErrOtherProcess && s.runID == m.runID && int16(s.seq-m.seq) > 0 {
			m.seq, m.signOfLifeAt = s.seq, l.now // the sender is alive, but has not learned of its state here
		}
		if err == ErrOtherProcess && l.now-m.informedAt >= Period/4 {
			correction := section{facts: []fact{l.factAbout(from)}}
			if s.incarnation == m.incarnation {
				correction.flags = flagRaiseIncarnation
			}
			m.informedAt = l.now
			return l.reply(out, from, correction), err
		}
		return nil, err
	}
	out = l.updateSender(out, from, &s)
	switch {
	case s.flags&flagAck != 0:
		out = l.handleAck(out, from, &s)
	case s.flags&flagPing != 0 && s.flags&flagIndirect != 0:
		if s.subject == l.config.Self || s.subject == from || len(l.probes) >= maxProbes {
			break
		}
		l.nonce++
		l.probes = append(l.probes, probe{
			target: s.subject, nonce: l.nonce, sentAt: l.now, requester: from, requesterNonce: s.nonce,
		})
		out = l.reply(out, s.subject, section{flags: flagPing, nonce: l.nonce})
	case s.flags&flagPing != 0:
		out = l.reply(out, from, section{flags: flagAck, nonce: s.nonce})
	}
	for _, f := range s.facts {
		switch {
		case f.number == l.config.Self:
			out = l.handleOwnState(out, from, f, s.flags&flagRaiseIncarnation != 0)
		case f.number == from:
		case s.flags&flagIsolated != 0 && f.state != Alive: // an isolated sender doubts itself
		default:
			out = l.applyFact(out, from, f)
		}
	}
	if s.flags&flagSync != 0 {
		out = l.sendGoneMembers(out, from)
	} else {
		l.synced = true
	}
	return out, nil
}

// reply appends a message that is sent at once. Replies are limited per period, so that probes
// queued up during a pause do not cause a burst.
func (l *List) reply(out []Datagram, to int, s section) []Datagram {
	return l.replyWithin(out, to, s, MaxDatagramBytes/4)
}

// replyWithin is reply with a limit on the size of the section.
func (l *List) replyWithin(out []Datagram, to int, s section, maxBytes int) []Datagram {
	if l.now-l.repliesSince >= Period {
		l.repliesLeft, l.repliesSince = repliesPerPeriod+len(l.members)/8, l.now
		l.repliesLeft = min(l.repliesLeft, 4*repliesPerPeriod)
	}
	if l.repliesLeft <= 0 {
		return out
	}
	l.repliesLeft--
	return append(out, Datagram{to, l.encodeSection(to, s, maxBytes)})
}

// verifySender checks that a message proves its sender alive: it has a higher incarnation than is
// known, or is the next of the known process. Anything else may be a delayed duplicate; a sender
// that is alive is asked to raise its incarnation.
func (l *List) verifySender(m *member, s *section) error {
	switch {
	case s.incarnation > m.incarnation:
	case s.incarnation == m.incarnation && !m.runKnown:
	case s.runID == m.runID && s.incarnation == m.incarnation && int16(m.seq-s.seq) > maxReorder:
		// Two processes under one number that draw the same run ID (one pair in 256) differ by
		// their sequence numbers only.
		m.recordRunChange(l.now)
		return ErrOtherProcess
	case s.runID == m.runID && int16(s.seq-m.seq) <= 0:
		return ErrStale
	case s.incarnation == m.incarnation && s.runID == m.runID:
	default:
		return ErrOtherProcess
	}
	if m.heardAt >= 0 && s.runID != m.runID {
		m.recordRunChange(l.now)
	}
	m.runKnown, m.runID, m.seq = true, s.runID, s.seq
	return nil
}

// recordRunChange records that another process than the last sends under the member's number.
func (m *member) recordRunChange(now Time) {
	if now-m.runChangesSince > duplicateWindow {
		m.runChanges, m.runChangesSince = 0, now
	}
	m.runChanges++
}

// updateSender applies what a message proves about its sender.
func (l *List) updateSender(out []Datagram, from int, s *section) []Datagram {
	m := &l.members[from]
	previous := m.incarnation
	m.incarnation, m.heardAt, l.heardAnyAt = s.incarnation, l.now, l.now
	if m.zone != s.zone {
		m.zone = s.zone
		l.version++
	}
	// Any message after a ping is as good as an ack.
	for i, p := range l.probes {
		if p.target == from && p.requester < 0 {
			l.probes = append(l.probes[:i], l.probes[i+1:]...)
			if p.timeouts > 0 {
				l.recordLoss()
			} else {
				l.recordAnswer()
			}
			break
		}
	}
	switch {
	case s.flags&flagLeaving != 0:
		if m.state != Left {
			l.setState(from, Left, true, "announced that it leaves")
		}
	case previous == 0 && m.state != Alive:
		l.setState(from, Alive, true, "first message received")
	case previous == 0:
		m.reason = "message received"
		l.version++
		l.announce(from)
	case s.incarnation > previous && m.state == Alive:
		l.disseminate(from)
	case s.incarnation > previous:
		l.setState(from, Alive, true, fmt.Sprintf("returned with incarnation %d", s.incarnation))
	case m.state == Suspect:
		l.setState(from, Alive, true, "message received from it")
		// Other relays may still suspect it: it learns of the suspicion and refutes it.
		return l.reply(out, from, section{})
	case m.state != Alive && l.now-m.informedAt >= Period/4:
		out = l.reply(out, from, section{}) // it has not learned of its state yet
	}
	if m.runChanges >= duplicateThreshold && l.now-m.runChangesSince < duplicateWindow {
		m.reason = "two processes speak under its number"
	}
	return out
}

// handleAck handles an ack to an own ping, or to one on behalf of another relay.
func (l *List) handleAck(out []Datagram, from int, s *section) []Datagram {
	subject := from
	if s.flags&flagIndirect != 0 {
		subject = s.subject
	}
	for i, p := range l.probes {
		if p.target != subject || p.nonce != s.nonce {
			continue
		}
		l.probes = append(l.probes[:i], l.probes[i+1:]...)
		if subject != from && p.requester < 0 { // alive, though the direct path loses datagrams
			l.recordLoss()
		}
		if p.requester >= 0 {
			return l.reply(out, p.requester,
				section{flags: flagAck | flagIndirect, nonce: p.requesterNonce, subject: subject})
		}
		return out
	}
	return out
}

// handleOwnState handles a claim about this relay and refutes it, unless it is true.
func (l *List) handleOwnState(out []Datagram, from int, claim fact, raiseRequested bool) []Datagram {
	mustRefute := claim.state != Alive && claim.incarnation >= l.incarnation ||
		claim.incarnation > l.incarnation || raiseRequested && claim.incarnation >= l.incarnation
	if !mustRefute || l.leaving {
		return out
	}
	if claim.state == Alive { // another process sent under this number: an earlier one, or a duplicate
		if l.now-l.duplicateSeenAt > duplicateWindow {
			l.duplicateSightings = 0
		}
		if l.duplicateSightings++; l.duplicateSightings >= duplicateThreshold &&
			l.now-l.incarnationRaisedAt < 4*Period {
			l.duplicateSeenAt = l.now
			return out // duplicates would raise their incarnations without end
		}
		l.duplicateSeenAt = l.now
	} else {
		l.counts.Refutations++
	}
	if maxLeap := uint32(maxIncarnationLeap); claim.incarnation > l.incarnation+maxLeap &&
		(l.incarnation > 1 || claim.incarnation > maxIncarnationLeap*maxIncarnationLeap/16) {
		return out // this relay never had this incarnation
	}
	l.raiseIncarnation(claim.incarnation)
	l.version++
	return l.reply(out, from, section{})
}

// applyFact applies what one relay reports of another. A single reporter can only start a
// suspicion, which the subject may refute.
func (l *List) applyFact(out []Datagram, from int, f fact) []Datagram {
	m := &l.members[f.number]
	if f.incarnation < m.incarnation || f.incarnation > m.incarnation+maxIncarnationLeap {
		return out
	}
	if f.state == Alive {
		if f.incarnation > m.incarnation {
			m.incarnation, m.runKnown = f.incarnation, false
			if f.zone != NoZone {
				m.zone = f.zone
			}
			if m.state != Alive {
				l.setState(f.number, Alive, false,
					fmt.Sprintf("reported alive by %d with incarnation %d", from, f.incarnation))
			} else {
				l.version++
				if m.reason == "no message received yet" {
					m.reason = "reported alive"
					l.announce(f.number)
				} else {
					l.disseminate(f.number)
				}
			}
		} else if m.zone == NoZone && f.zone != NoZone {
			m.zone = f.zone
			l.version++
		}
		return out
	}
	newer := f.incarnation > m.incarnation
	if newer {
		m.incarnation, m.runKnown = f.incarnation, false
	}
	if m.zone == NoZone {
		m.zone = f.zone
	}
	if f.state == Left {
		m.claimedState = Left
	}
	if m.heardAt >= 0 && l.now-m.heardAt < recentlyHeard && m.runKnown && m.state == Alive {
		// The subject is alive: it learns of the claim and refutes it where this relay does not
		// reach.
		if l.now-m.informedAt >= Period/2 {
			m.state = f.state // for the encoded message only
			out = l.reply(out, f.number, section{})
			m.state = Alive
		}
		return out
	}
	switch {
	case m.state == Alive && f.state == Suspect, m.state >= Dead && newer && f.state == Suspect:
		l.setState(f.number, Suspect, false, fmt.Sprintf("suspected by %d", from))
	case m.state == Alive:
		l.setState(f.number, Suspect, false, fmt.Sprintf("reported by %d as %v", from, f.state))
	}
	if f.firstHand && m.state == Suspect {
		l.recordAccuser(m, from)
		if f.state >= Dead && len(l.members) > 2*fullConfirmation &&
			len(m.accusers) >= fullConfirmation && l.now-m.suspectedAt >= Period {
			l.setState(f.number, f.state, false,
				fmt.Sprintf("%v, reported at first hand by %d", f.state, len(m.accusers)))
		}
	}
	return out
}

// sendGoneMembers sends a new relay the members that are gone, from a random start, so that the
// replies of several relays differ.
func (l *List) sendGoneMembers(out []Datagram, to int) []Datagram {
	if len(l.gone) == 0 {
		return out
	}
	s, first := section{}, l.rng.IntN(len(l.gone))
	for i := range min(len(l.gone), MaxDatagramBytes/5) {
		if n := l.gone[(first+i)%len(l.gone)]; n != to && l.members[n].incarnation > 0 {
			f := l.factAbout(n)
			f.firstHand = false
			s.facts = append(s.facts, f)
		}
	}
	return l.replyWithin(out, to, s, MaxDatagramBytes-4)
}
