package members

// FalseGossip writes the k-th lie of a relay that says of all others what is not so. It is for tests of those who hear it.
func (l *List) FalseGossip(now Time, k int) []byte {
	l.advance(now)
	l.seq++
	s := section{life: l.life, seq: l.seq, inc: 50 + uint32(k), zone: NoZone}
	for i := range 12 {
		f := fact{number: (k*12 + i) % len(l.all), state: State(1 + (k+i)%3), own: true, zone: NoZone, inc: 1 + uint32(k%7)}
		if k%5 == 0 {
			f.inc = topInc - uint32(i)
		}
		s.facts = append(s.facts, f)
	}
	return s.append(nil, MaxDatagramBytes)
}
