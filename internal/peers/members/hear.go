package members

import "fmt"

// Receive takes the membership part of a note that came from a member's address, and returns what goes out at once. One that can't be read,
// is not newer than the last of its sender or one of too many changes nothing.
func (l *List) Receive(now Time, from int, b []byte) (out []Datagram, err error) {
	l.advance(now)
	if from < 0 || from >= len(l.all) || from == l.set.Self {
		l.counts.Rejected++
		return nil, ErrUnknownSender
	}
	m := &l.all[from]
	if l.now-m.bucketAt >= Period {
		m.bucket, m.bucketAt = 0, l.now
	}
	if m.bucket++; m.bucket > flood {
		l.counts.Rejected++
		return nil, ErrRateLimited
	}
	s, err := read(b, len(l.all))
	if err != nil {
		l.counts.Rejected++
		return nil, err
	}
	if err := l.proves(m, &s); err != nil {
		l.counts.Rejected++
		if err == ErrOtherProcess && s.life == m.life && int16(s.seq-m.seq) > 0 {
			m.seq, m.signAt = s.seq, l.now // it lives, and has not heard what is said of it
		}
		if err == ErrOtherProcess && l.now-m.toldAt >= Period/4 {
			above := section{facts: []fact{l.fact(from)}}
			if s.inc == m.inc {
				above.flags = flagAbove
			}
			m.toldAt = l.now
			return l.reply(out, from, above), err
		}
		return nil, err
	}
	out = l.firstHand(out, from, &s)
	switch {
	case s.flags&flagAnswer != 0:
		out = l.answered(out, from, &s)
	case s.flags&flagAsk != 0 && s.flags&flagFor != 0:
		if s.about == l.set.Self || s.about == from || len(l.questions) >= onBehalf {
			break
		}
		l.nonce++
		l.questions = append(l.questions, question{to: s.about, nonce: l.nonce, at: l.now, origin: from, echo: s.nonce})
		out = l.reply(out, s.about, section{flags: flagAsk, nonce: l.nonce})
	case s.flags&flagAsk != 0:
		out = l.reply(out, from, section{flags: flagAnswer, nonce: s.nonce})
	}
	for _, f := range s.facts {
		switch {
		case f.number == l.set.Self:
			out = l.accused(out, from, f, s.flags&flagAbove != 0)
		case f.number == from:
		case s.flags&flagDeaf != 0 && f.state != Alive: // it doubts itself
		default:
			out = l.told(out, from, f)
		}
	}
	if s.flags&flagSync != 0 {
		out = l.tellAll(out, from)
	} else {
		l.synced = true
	}
	return out, nil
}

// reply adds a note to what goes out at once. Risk: after a pause all questions of that time are there at once, and a burst of answers goes out.
func (l *List) reply(out []Datagram, to int, s section) []Datagram {
	return l.replyIn(out, to, s, MaxDatagramBytes/4)
}

func (l *List) replyIn(out []Datagram, to int, s section, room int) []Datagram {
	if l.now-l.budgetAt >= Period {
		l.budget, l.budgetAt = answers+len(l.all)/8, l.now
		l.budget = min(l.budget, 4*answers)
	}
	if l.budget <= 0 {
		return out
	}
	l.budget--
	return append(out, Datagram{to, l.note(to, s, room)})
}

// proves decides whether a note shows that its sender lives: it has a higher incarnation than is known, or is the next of the process that is
// known. Anything else may be an old note that comes again; its sender, if it lives, is told to go above.
func (l *List) proves(m *member, s *section) error {
	switch {
	case s.inc > m.inc:
	case s.inc == m.inc && !m.lived:
	case s.life == m.life && s.inc == m.inc && int16(m.seq-s.seq) > farBack:
		// Risk: of two processes under one number one in 256 pairs has drawn the same life, and the one behind is taken for old notes for ever.
		m.swapped(l.now)
		return ErrOtherProcess
	case s.life == m.life && int16(s.seq-m.seq) <= 0:
		return ErrStale
	case s.inc == m.inc && s.life == m.life:
	default:
		return ErrOtherProcess
	}
	if m.heardAt >= 0 && s.life != m.life {
		m.swapped(l.now)
	}
	m.lived, m.life, m.seq = true, s.life, s.seq
	return nil
}

// swapped books that another process than the last speaks under the number.
func (m *member) swapped(now Time) {
	if now-m.swapAt > rivalSpan {
		m.swaps, m.swapAt = 0, now
	}
	m.swaps++
}

// firstHand takes in what a note proves of its sender.
func (l *List) firstHand(out []Datagram, from int, s *section) []Datagram {
	m := &l.all[from]
	before := m.inc
	m.inc, m.heardAt, l.heardAny = s.inc, l.now, l.now
	if m.zone != s.zone {
		m.zone = s.zone
		l.version++
	}
	// Any sign of life after a question is as good as its answer.
	for i, q := range l.questions {
		if q.to == from && q.origin < 0 {
			l.questions = append(l.questions[:i], l.questions[i+1:]...)
			if q.tries > 0 {
				l.missed()
			} else {
				l.answeredOnce()
			}
			break
		}
	}
	switch {
	case s.flags&flagLeft != 0:
		if m.state != Left {
			l.become(from, Left, true, "said that it leaves")
		}
	case before == 0 && m.state != Alive:
		l.become(from, Alive, true, "heard of for the first time")
	case before == 0:
		m.why = "heard of"
		l.version++
		l.introduce(from)
	case s.inc > before && m.state == Alive:
		l.spread(from)
	case s.inc > before:
		l.become(from, Alive, true, fmt.Sprintf("is back under incarnation %d", s.inc))
	case m.state == Suspect:
		l.become(from, Alive, true, "heard itself")
		return l.reply(out, from, section{}) // others may still doubt it: told what for, it contradicts
	case m.state != Alive && l.now-m.toldAt >= Period/4:
		out = l.reply(out, from, section{}) // it has not heard yet what it is taken for
	}
	if m.swaps >= rivalry && l.now-m.swapAt < rivalSpan {
		m.why = "two processes speak under its number"
	}
	return out
}

// answered takes in an answer to a question, or one to another's.
func (l *List) answered(out []Datagram, from int, s *section) []Datagram {
	of := from
	if s.flags&flagFor != 0 {
		of = s.about
	}
	for i, q := range l.questions {
		if q.to != of || q.nonce != s.nonce {
			continue
		}
		l.questions = append(l.questions[:i], l.questions[i+1:]...)
		if of != from && q.origin < 0 { // it lives, and the way to it loses notes
			l.missed()
		}
		if q.origin >= 0 {
			return l.reply(out, q.origin, section{flags: flagAnswer | flagFor, nonce: q.echo, about: of})
		}
		return out
	}
	return out
}

// accused takes in what is said of this relay itself. It contradicts, unless it is true.
func (l *List) accused(out []Datagram, from int, f fact, above bool) []Datagram {
	against := f.state != Alive && f.inc >= l.inc || f.inc > l.inc || above && f.inc >= l.inc
	if !against || l.leaving {
		return out
	}
	if f.state == Alive { // another process has spoken under this number: the one before, or a second one
		if l.now-l.rivalAt > rivalSpan {
			l.rivals = 0
		}
		if l.rivals++; l.rivals >= rivalry && l.now-l.bumpAt < 4*Period {
			l.rivalAt = l.now
			return out // two would outdo each other for ever
		}
		l.rivalAt = l.now
	} else {
		l.counts.Refutations++
	}
	if most := uint32(leap); f.inc > l.inc+most && (l.inc > 1 || f.inc > leap*leap/16) {
		return out // nobody has seen this relay there
	}
	l.bump(f.inc)
	l.version++
	return l.reply(out, from, section{})
}

// told takes in what one relay says of another. A liar is one voice: what it says starts the time in which the other may contradict.
func (l *List) told(out []Datagram, from int, f fact) []Datagram {
	m := &l.all[f.number]
	if f.inc < m.inc || f.inc > m.inc+leap {
		return out
	}
	if f.state == Alive {
		if f.inc > m.inc {
			m.inc, m.lived = f.inc, false
			if f.zone != NoZone {
				m.zone = f.zone
			}
			if m.state != Alive {
				l.become(f.number, Alive, false, fmt.Sprintf("heard of by %d under incarnation %d", from, f.inc))
			} else {
				l.version++
				if m.why == "not heard of yet" {
					m.why = "told of"
					l.introduce(f.number)
				} else {
					l.spread(f.number)
				}
			}
		} else if m.zone == NoZone && f.zone != NoZone {
			m.zone = f.zone
			l.version++
		}
		return out
	}
	newer := f.inc > m.inc
	if newer {
		m.inc, m.lived = f.inc, false
	}
	if m.zone == NoZone {
		m.zone = f.zone
	}
	if f.state == Left {
		m.said = Left
	}
	if m.heardAt >= 0 && l.now-m.heardAt < lately && m.lived && m.state == Alive {
		// It lives: it is told what is said of it, and contradicts where this one is heard.
		if l.now-m.toldAt >= Period/2 {
			m.state = f.state // only for the note: what it is to contradict
			out = l.reply(out, f.number, section{})
			m.state = Alive
		}
		return out
	}
	switch {
	case m.state == Alive && f.state == Suspect, m.state >= Dead && newer && f.state == Suspect:
		l.become(f.number, Suspect, false, fmt.Sprintf("doubted by %d", from))
	case m.state == Alive:
		l.become(f.number, Suspect, false, fmt.Sprintf("said by %d to be %v", from, f.state))
	}
	if f.own && m.state == Suspect {
		l.voice(m, from)
		if f.state >= Dead && len(l.all) > 2*voicesFor && len(m.voices) >= voicesFor && l.now-m.at >= Period {
			l.become(f.number, f.state, false, fmt.Sprintf("%v, by what %d say at first hand", f.state, len(m.voices)))
		}
	}
	return out
}

// tellAll tells one that has just begun who is not alive, from a place drawn anew so that several tell of different ones.
func (l *List) tellAll(out []Datagram, to int) []Datagram {
	if len(l.lost) == 0 {
		return out
	}
	s, from := section{}, l.rng.IntN(len(l.lost))
	for i := range min(len(l.lost), MaxDatagramBytes/5) {
		if n := l.lost[(from+i)%len(l.lost)]; n != to && l.all[n].inc > 0 {
			f := l.fact(n)
			f.own = false
			s.facts = append(s.facts, f)
		}
	}
	return l.replyIn(out, to, s, MaxDatagramBytes-4)
}
