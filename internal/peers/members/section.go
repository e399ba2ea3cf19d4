package members

import (
	"encoding/binary"
	"errors"
)

// MaxDatagramBytes limits the size of a gossip message.
const MaxDatagramBytes = 256

// Flags of a section.
const (
	flagPing             = 1 << iota // request for an ack
	flagAck                          // ack
	flagIndirect                     // on behalf of another member: a ping-req, or the ack to one
	flagIsolated                     // the sender is isolated
	flagLeaving                      // the sender leaves
	flagSync                         // the sender has just started and requests the list of gone members
	flagRaiseIncarnation             // the receiver is known as another process and has to raise its incarnation
)

// section is the membership part of a gossip message.
type section struct {
	flags       uint8
	runID       uint8
	seq         uint16
	zone        uint8
	incarnation uint32
	nonce       uint8 // matches an ack to its ping
	subject     int   // member that an indirect ping or ack is about
	facts       []fact
}

// fact is what one relay reports of another.
type fact struct {
	number      int
	state       State
	firstHand   bool // from the reporter's own probes
	zone        uint8
	incarnation uint32
}

// Reasons to reject a gossip message.
var (
	ErrMalformed     = errors.New("members: malformed gossip message")
	ErrUnknownSender = errors.New("members: sender is not in the fleet")
	ErrStale         = errors.New("members: not newer than the latest message of its sender")
	ErrRateLimited   = errors.New("members: too many messages of the sender in this period")
	ErrOtherProcess  = errors.New("members: from an earlier process, or a second one under this number")
)

// appendTo appends the encoded section to buf, with as many facts as fit into maxBytes in total.
func (s *section) appendTo(buf []byte, maxBytes int) []byte {
	start := len(buf)
	buf = append(buf, s.flags, s.runID)
	buf = binary.BigEndian.AppendUint16(buf, s.seq)
	buf = append(buf, s.zone)
	buf = binary.AppendUvarint(buf, uint64(s.incarnation))
	if s.flags&(flagPing|flagAck) != 0 {
		buf = append(buf, s.nonce)
	}
	if s.flags&flagIndirect != 0 {
		buf = binary.AppendUvarint(buf, uint64(s.subject))
	}
	for _, f := range s.facts {
		encoded := binary.AppendUvarint(nil, uint64(f.number))
		packed := uint8(f.state) | f.zone<<3
		if f.firstHand {
			packed |= 4
		}
		encoded = binary.AppendUvarint(append(encoded, packed), uint64(f.incarnation))
		if len(buf)-start+len(encoded) > maxBytes {
			break
		}
		buf = append(buf, encoded...)
	}
	return buf
}

// decodeSection decodes a section and checks it against the size of the fleet.
func decodeSection(payload []byte, fleetSize int) (s section, err error) {
	if len(payload) < 6 || len(payload) > MaxDatagramBytes {
		return s, ErrMalformed
	}
	s.flags, s.runID, s.seq, s.zone = payload[0], payload[1], binary.BigEndian.Uint16(payload[2:]), payload[4]
	payload = payload[5:]
	malformed := s.flags >= flagRaiseIncarnation<<1 || s.zone > NoZone
	uvarint := func(limit uint64) uint64 {
		v, n := binary.Uvarint(payload)
		if n <= 0 || v > limit {
			malformed, payload = true, nil
			return 0
		}
		payload = payload[n:]
		return v
	}
	octet := func() uint8 {
		if len(payload) == 0 {
			malformed = true
			return 0
		}
		v := payload[0]
		payload = payload[1:]
		return v
	}
	if s.incarnation = uint32(uvarint(maxIncarnation)); s.incarnation == 0 {
		malformed = true
	}
	if s.flags&(flagPing|flagAck) != 0 {
		s.nonce = octet()
	}
	if s.flags&flagIndirect != 0 {
		s.subject = int(uvarint(uint64(fleetSize - 1)))
	}
	for len(payload) > 0 && !malformed {
		f := fact{number: int(uvarint(uint64(fleetSize - 1)))}
		packed := octet()
		f.state, f.firstHand, f.zone = State(packed&3), packed&4 != 0, packed>>3
		if f.incarnation = uint32(uvarint(maxIncarnation)); f.incarnation == 0 {
			malformed = true
		}
		s.facts = append(s.facts, f)
	}
	if malformed {
		return section{}, ErrMalformed
	}
	return s, nil
}

// Section returns the membership section for one receiver, of maxBytes at most.
func (l *List) Section(target Target, maxBytes int) []byte {
	var s section
	if target.Ping {
		l.nonce++
		s.flags, s.nonce = flagPing, l.nonce
		l.recentTimeouts <<= 1
		l.probes = append(l.probes, probe{target: target.To, nonce: l.nonce, sentAt: l.now, requester: -1})
		l.counts.Probes++
	}
	return l.encodeSection(target.To, s, maxBytes)
}

// encodeSection completes and encodes a section: the state of this relay, what is known of the
// receiver if that is not alive, and queued updates.
func (l *List) encodeSection(to int, s section, maxBytes int) []byte {
	l.seq++
	s.runID, s.seq, s.incarnation, s.zone = l.runID, l.seq, l.incarnation, uint8(l.config.Zone)
	if l.Isolated() {
		s.flags |= flagIsolated
	}
	if l.leaving {
		s.flags |= flagLeaving
	}
	if !l.synced && !l.leaving {
		s.flags |= flagSync
	}
	if m := &l.members[to]; m.incarnation > 0 && m.state != Alive {
		s.facts = append([]fact{l.factAbout(to)}, s.facts...)
		m.informedAt = l.now
	}
	limit := max(0, (maxBytes-16)/5-len(s.facts))
	add := func(n int) {
		if n != to && n != l.config.Self {
			s.facts = append(s.facts, l.factAbout(n))
		}
		limit--
	}
	// Repeats come first, so that updates that are fresh now are queued behind them.
	l.dequeue(repeatedUpdates, limit-len(l.updates[freshUpdates]), add)
	l.dequeue(freshUpdates, limit, add)
	l.dequeue(announcements, min(2, limit), add)
	return s.appendTo(nil, maxBytes)
}

// factAbout returns what this relay knows of a member.
func (l *List) factAbout(n int) fact {
	m := &l.members[n]
	return fact{n, m.state, m.firstHand, m.zone, m.incarnation}
}
