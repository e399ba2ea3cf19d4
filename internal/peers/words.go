package peers

import (
	"encoding/binary"
	"time"

	"oatfold/internal/peers/members"
)

// What relays tell one another of sites, while one is lost or returns: a note form of its own, which relays of versions before pass over.
const (
	ofSites  = 5
	wordFan  = 4 // relays that it goes to with each turn
	wordFor  = 4 * time.Second
	mostWord = 31 // zones
	wholeIs  = 200
)

// SiteReport is what a relay says of a zone by calls of its own.
type SiteReport struct {
	Zone         int
	LoadFraction float64 // part of its load that it gives the zone; 0: nothing gets through
}

// words is what is told and heard of sites.
type words struct {
	mine  []SiteReport
	heard map[int]heardWords // by relay
	seq   uint16
}

type heardWords struct {
	mark
	all []SiteReport
}

// SetSiteReports has the pool tell this of sites from now on; none: nothing is told.
func (p *Gossiper) SetSiteReports(mine []SiteReport) { p.words.mine = mine }

// tellWords returns the notes about sites that go with a turn.
func (p *Gossiper) tellWords() (out []members.Datagram) {
	w := &p.words
	if len(w.mine) == 0 || p.fleet < 2 {
		return nil
	}
	w.seq++
	note := binary.BigEndian.AppendUint16([]byte{ofSites, p.life}, w.seq)
	for _, one := range w.mine[:min(len(w.mine), mostWord)] {
		if one.Zone >= 0 && one.Zone <= 255 {
			note = append(note, byte(one.Zone), byte(max(0, min(wholeIs, one.LoadFraction*wholeIs))))
		}
	}
	to := map[int]bool{}
	for range 4 * wordFan { // a draw that meets itself is drawn again, a few times
		n := p.rng.IntN(p.fleet)
		if n == p.me || to[n] || len(to) >= wordFan {
			continue
		}
		to[n] = true
		out = append(out, members.Datagram{To: n, Payload: note})
	}
	return out
}

// hearWords takes a note about sites.
func (p *Gossiper) hearWords(now time.Duration, from int, note []byte) error {
	if from < 0 || from >= p.fleet || from == p.me {
		return errNobody
	}
	if len(note) < 4 || len(note)%2 != 0 || len(note) > 4+2*mostWord {
		return errNote
	}
	h := heardWords{mark: mark{note[1], binary.BigEndian.Uint16(note[2:]), now}}
	for b := note[4:]; len(b) > 0; b = b[2:] {
		if b[1] > wholeIs {
			return errNote
		}
		h.all = append(h.all, SiteReport{int(b[0]), float64(b[1]) / wholeIs})
	}
	if was, known := p.words.heard[from]; known && was.life == h.life && int16(h.seq-was.seq) <= 0 {
		return errOld
	}
	if p.words.heard == nil {
		p.words.heard = map[int]heardWords{}
	}
	p.words.heard[from] = h
	return nil
}

// EachSiteReport calls f for what each relay said of sites lately.
func (p *Gossiper) EachSiteReport(now time.Duration, f func(SiteReport)) {
	for from, h := range p.words.heard {
		if now-h.at > wordFor {
			delete(p.words.heard, from)
			continue
		}
		for _, one := range h.all {
			f(one)
		}
	}
}
