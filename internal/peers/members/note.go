package members

import (
	"encoding/binary"
	"errors"
)

// MaxDatagramBytes is the most bytes of a note.
const MaxDatagramBytes = 256

// Flags of a section.
const (
	flagAsk    = 1 << iota // answer me
	flagAnswer             // this is the answer
	flagFor                // for another: ask it for me, or it answered me
	flagDeaf               // I hear nobody
	flagLeft               // I leave
	flagSync               // I have just begun: tell me who is not alive
	flagAbove              // what I know of you is of another process: go above it
)

// section is the part of a note that is about membership.
type section struct {
	flags uint8
	life  uint8
	seq   uint16
	zone  uint8
	inc   uint32
	nonce uint8 // of a question or its answer
	about int   // whom it is for
	facts []fact
}

// fact is what one relay says of another.
type fact struct {
	number int
	state  State
	own    bool // at first hand
	zone   uint8
	inc    uint32
}

// Reasons why a note changes nothing.
var (
	ErrMalformed     = errors.New("members: can't be read")
	ErrUnknownSender = errors.New("members: from nobody of the fleet")
	ErrStale         = errors.New("members: not newer than the last")
	ErrRateLimited   = errors.New("members: too many notes")
	ErrOtherProcess  = errors.New("members: of an earlier process, or of a second one under this number")
)

// append writes the section, with as many facts as there is room for in all.
func (s *section) append(b []byte, room int) []byte {
	from := len(b)
	b = append(b, s.flags, s.life)
	b = binary.BigEndian.AppendUint16(b, s.seq)
	b = append(b, s.zone)
	b = binary.AppendUvarint(b, uint64(s.inc))
	if s.flags&(flagAsk|flagAnswer) != 0 {
		b = append(b, s.nonce)
	}
	if s.flags&flagFor != 0 {
		b = binary.AppendUvarint(b, uint64(s.about))
	}
	for _, f := range s.facts {
		one := binary.AppendUvarint(nil, uint64(f.number))
		mark := uint8(f.state) | f.zone<<3
		if f.own {
			mark |= 4
		}
		one = binary.AppendUvarint(append(one, mark), uint64(f.inc))
		if len(b)-from+len(one) > room {
			break
		}
		b = append(b, one...)
	}
	return b
}

// read reads a section of a fleet of so many.
func read(b []byte, fleet int) (s section, err error) {
	if len(b) < 6 || len(b) > MaxDatagramBytes {
		return s, ErrMalformed
	}
	s.flags, s.life, s.seq, s.zone = b[0], b[1], binary.BigEndian.Uint16(b[2:]), b[4]
	b = b[5:]
	bad := s.flags >= flagAbove<<1 || s.zone > NoZone
	number := func(most uint64) uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > most {
			bad, b = true, nil
			return 0
		}
		b = b[n:]
		return v
	}
	octet := func() uint8 {
		if len(b) == 0 {
			bad = true
			return 0
		}
		v := b[0]
		b = b[1:]
		return v
	}
	if s.inc = uint32(number(topInc)); s.inc == 0 {
		bad = true
	}
	if s.flags&(flagAsk|flagAnswer) != 0 {
		s.nonce = octet()
	}
	if s.flags&flagFor != 0 {
		s.about = int(number(uint64(fleet - 1)))
	}
	for len(b) > 0 && !bad {
		f := fact{number: int(number(uint64(fleet - 1)))}
		mark := octet()
		f.state, f.own, f.zone = State(mark&3), mark&4 != 0, mark>>3
		if f.inc = uint32(number(topInc)); f.inc == 0 {
			bad = true
		}
		s.facts = append(s.facts, f)
	}
	if bad {
		return section{}, ErrMalformed
	}
	return s, nil
}

// Section writes what goes out about membership to one relay, in so many bytes at most.
func (l *List) Section(to Target, room int) []byte {
	var s section
	if to.Ping {
		l.nonce++
		s.flags, s.nonce = flagAsk, l.nonce
		l.recent <<= 1
		l.questions = append(l.questions, question{to: to.To, nonce: l.nonce, at: l.now, origin: -1})
		l.counts.Probes++
	}
	return l.note(to.To, s, room)
}

// note fills a section in: what there is to say of this relay, to its receiver of itself, and the news.
func (l *List) note(to int, s section, room int) []byte {
	l.seq++
	s.life, s.seq, s.inc, s.zone = l.life, l.seq, l.inc, uint8(l.set.Zone)
	if l.Isolated() {
		s.flags |= flagDeaf
	}
	if l.leaving {
		s.flags |= flagLeft
	}
	if !l.synced && !l.leaving {
		s.flags |= flagSync
	}
	if m := &l.all[to]; m.inc > 0 && m.state != Alive {
		s.facts = append([]fact{l.fact(to)}, s.facts...)
		m.toldAt = l.now
	}
	most := max(0, (room-16)/5-len(s.facts))
	add := func(n int) {
		if n != to && n != l.set.Self {
			s.facts = append(s.facts, l.fact(n))
		}
		most--
	}
	l.tell(again, most-len(l.news[fresh]), add) // before what is fresh, which then stands behind it
	l.tell(fresh, most, add)
	l.tell(known, min(2, most), add)
	return s.append(nil, room)
}

func (l *List) fact(n int) fact {
	m := &l.all[n]
	return fact{n, m.state, m.own, m.zone, m.inc}
}
