package members

// FalseGossip encodes a well-formed section with false facts about other members, chosen by seed.
// It is for tests of the receivers.
func (l *List) FalseGossip(now Time, seed int) []byte {
	l.advance(now)
	l.seq++
	s := section{runID: l.runID, seq: l.seq, incarnation: 50 + uint32(seed), zone: NoZone}
	for i := range 12 {
		f := fact{
			number:      (seed*12 + i) % len(l.members),
			state:       State(1 + (seed+i)%3),
			firstHand:   true,
			zone:        NoZone,
			incarnation: 1 + uint32(seed%7),
		}
		if seed%5 == 0 {
			f.incarnation = maxIncarnation - uint32(i)
		}
		s.facts = append(s.facts, f)
	}
	return s.appendTo(nil, MaxDatagramBytes)
}
