package assignment

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// Errors of an encoded map or slice that is rejected.
var (
	ErrTruncated    = errors.New("assignment: cut short, or too long")
	ErrBadSignature = errors.New("assignment: not signed with this region's key")
	ErrFormat       = errors.New("assignment: not a map or slice of this format")
)

// Key signs what control nodes publish. All control nodes and relays of a region share it.
type Key []byte

// Sizes in the encoding, in bytes.
const (
	signatureSize = sha256.Size
	headerSize    = 32
	partitionSize = 2 // of a partition's number, before its replicas
	relaySize     = 2
)

const (
	magic       = "OFAS"
	format      = 1
	kindMap     = 'M'
	kindSlice   = 'S'
	kindConfirm = 'C'
	noRelay     = 0xffff // in the header of a map
	maxEncoded  = headerSize + MaxPartitions*(partitionSize+2*MaxReplicas*relaySize) + signatureSize
	entriesAt   = 28 // offset in the header, as for those below
	replicaAt   = 7
	regionAt    = 6
	formatAt    = 4
	kindAt      = 5
	termAt      = 8
	numberAt    = 16
	relayAt     = 24
	partitionAt = 26
)

// header starts each encoded map, slice and confirmation.
type header struct {
	kind       byte
	region     uint8
	replicas   int
	version    Version
	relay      Relay
	partitions int // of the whole map
	entries    int // partitions that follow
}

// Encode returns the signed map. It takes 64 + 4 x partitions x replicas bytes.
func (m *Map) Encode(key Key) []byte {
	b := header{kindMap, m.Region, m.Replication, m.Version, noRelay, m.Partitions(), m.Partitions()}.append(nil)
	b = appendRelays(b, m.replicas)
	return sign(appendRelays(b, m.previous), key)
}

// Encode returns the signed slice. It takes 64 bytes, and 2 + 4 x replicas for each partition that
// concerns the relay.
func (s *Slice) Encode(key Key) []byte {
	b := header{kindSlice, s.Region, s.Replication, s.Version, s.Relay, s.Partitions, len(s.Assignments)}.append(nil)
	for _, serving := range s.Assignments {
		b = binary.BigEndian.AppendUint16(b, uint16(serving.Partition))
		b = appendRelays(b, serving.Replicas)
		b = appendRelays(b, serving.Previous)
	}
	return sign(b, key)
}

func appendRelays(b []byte, relays []Relay) []byte {
	for _, r := range relays {
		b = binary.BigEndian.AppendUint16(b, uint16(r))
	}
	return b
}

func readRelays(b []byte) []Relay {
	relays := make([]Relay, 0, len(b)/relaySize)
	for ; len(b) >= relaySize; b = b[relaySize:] {
		relays = append(relays, Relay(binary.BigEndian.Uint16(b)))
	}
	return relays
}

// confirmation encodes that a relay's slice is unchanged in the map of a version.
func confirmation(region uint8, version Version, relay Relay, partitions int, key Key) []byte {
	return sign(header{kindConfirm, region, 0, version, relay, partitions, 0}.append(nil), key)
}

// DecodeMap returns a map encoded by Encode with the same key. Its errors wrap ErrTruncated,
// ErrBadSignature or ErrFormat.
func DecodeMap(b []byte, key Key) (*Map, error) {
	h, body, err := verify(b, key, kindMap)
	if err != nil {
		return nil, err
	}
	half := h.entries * h.replicas * relaySize
	if h.entries != h.partitions || len(body) != 2*half {
		return nil, fmt.Errorf("%w: %d bytes of %d partitions", ErrTruncated, len(body), h.entries)
	}
	m := &Map{
		Region: h.region, Version: h.version, Replication: h.replicas,
		replicas: readRelays(body[:half]), previous: readRelays(body[half:]),
	}
	for p := range m.Partitions() {
		if err := errors.Join(
			checkAscending(m.Replicas(Partition(p))),
			checkAscending(m.Previous(Partition(p))),
		); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// DecodeSlice returns a slice encoded by Encode with the same key. Its errors wrap ErrTruncated,
// ErrBadSignature or ErrFormat.
func DecodeSlice(b []byte, key Key) (*Slice, error) {
	h, body, err := verify(b, key, kindSlice)
	if err != nil {
		return nil, err
	}
	return decodeSlice(h, body)
}

func decodeSlice(h header, body []byte) (*Slice, error) {
	half := h.replicas * relaySize
	size := partitionSize + 2*half
	if len(body) != h.entries*size {
		return nil, fmt.Errorf("%w: %d bytes of %d partitions", ErrTruncated, len(body), h.entries)
	}
	s := &Slice{Region: h.region, Version: h.version, Relay: h.relay, Partitions: h.partitions, Replication: h.replicas}
	for ; len(body) > 0; body = body[size:] {
		serving := PartitionAssignment{
			Partition: Partition(binary.BigEndian.Uint16(body)),
			Replicas:  readRelays(body[partitionSize : partitionSize+half]),
			Previous:  readRelays(body[partitionSize+half : size]),
		}
		if err := s.checkNext(serving); err != nil {
			return nil, err
		}
		s.Assignments = append(s.Assignments, serving)
	}
	return s, nil
}

// checkNext checks that a partition is valid after those that the slice already has.
func (s *Slice) checkNext(next PartitionAssignment) error {
	if int(next.Partition) >= s.Partitions {
		return fmt.Errorf("%w: partition %d of %d", ErrFormat, next.Partition, s.Partitions)
	}
	if n := len(s.Assignments); n > 0 && s.Assignments[n-1].Partition >= next.Partition {
		return fmt.Errorf("%w: partition %d after %d", ErrFormat, next.Partition, s.Assignments[n-1].Partition)
	}
	if !slices.Contains(next.Replicas, s.Relay) && !slices.Contains(next.Previous, s.Relay) {
		return fmt.Errorf("%w: partition %d does not concern relay %d", ErrFormat, next.Partition, s.Relay)
	}
	return errors.Join(checkAscending(next.Replicas), checkAscending(next.Previous))
}

// checkAscending checks that all relay numbers are valid and ascending, without duplicates.
func checkAscending(replicas []Relay) error {
	for i, r := range replicas {
		if r >= MaxRelays || i > 0 && replicas[i-1] >= r {
			return fmt.Errorf("%w: replicas %v", ErrFormat, replicas)
		}
	}
	return nil
}

func (h header) append(b []byte) []byte {
	b = append(b, magic...)
	b = append(b, format, h.kind, h.region, uint8(h.replicas))
	b = binary.BigEndian.AppendUint64(b, h.version.Term)
	b = binary.BigEndian.AppendUint64(b, h.version.Number)
	b = binary.BigEndian.AppendUint16(b, uint16(h.relay))
	b = binary.BigEndian.AppendUint16(b, uint16(h.partitions))
	return binary.BigEndian.AppendUint32(b, uint32(h.entries))
}

// verify checks the signature and header of an encoding of one of the given kinds, and returns its
// header and body.
func verify(b []byte, key Key, kinds ...byte) (h header, body []byte, err error) {
	if len(b) < headerSize+signatureSize || len(b) > maxEncoded {
		return h, nil, fmt.Errorf("%w: %d bytes", ErrTruncated, len(b))
	}
	if !bytes.HasPrefix(b, []byte(magic)) || b[formatAt] != format || !slices.Contains(kinds, b[kindAt]) {
		return h, nil, ErrFormat
	}
	h = header{
		kind: b[kindAt], region: b[regionAt], replicas: int(b[replicaAt]),
		version:    Version{binary.BigEndian.Uint64(b[termAt:]), binary.BigEndian.Uint64(b[numberAt:])},
		relay:      Relay(binary.BigEndian.Uint16(b[relayAt:])),
		partitions: int(binary.BigEndian.Uint16(b[partitionAt:])),
		entries:    int(binary.BigEndian.Uint32(b[entriesAt:])),
	}
	if want := h.size(); len(b) != want {
		return h, nil, fmt.Errorf("%w: %d bytes, want %d", ErrTruncated, len(b), want)
	}
	body = b[headerSize : len(b)-signatureSize]
	if !hmac.Equal(signature(b[:len(b)-signatureSize], key), b[len(b)-signatureSize:]) {
		return h, nil, ErrBadSignature
	}
	if h.partitions < 1 || h.partitions > MaxPartitions || h.entries > h.partitions || h.replicas > MaxReplicas {
		return h, nil, fmt.Errorf("%w: %d partitions, %d replicas", ErrFormat, h.partitions, h.replicas)
	}
	return h, body, nil
}

// size returns the length of the whole encoding, signature included.
func (h header) size() int {
	entry := 2 * h.replicas * relaySize
	if h.kind == kindSlice {
		entry += partitionSize
	}
	return headerSize + h.entries*entry + signatureSize
}

func sign(b []byte, key Key) []byte { return append(b, signature(b, key)...) }

func signature(b []byte, key Key) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(b)
	return h.Sum(nil)
}
