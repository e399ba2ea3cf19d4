package wire

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
)

// gossipQueueSize is how many messages may wait to be sent. Further ones are dropped, as the
// network may drop them.
const gossipQueueSize = 256

// gossipReadRetryDelay is the pause after a failed read.
const gossipReadRetryDelay = 20 * time.Millisecond

// gossipReceived is a datagram from another relay.
type gossipReceived struct {
	from    int
	payload []byte
}

// GossipSocket exchanges datagrams with the other relays. They may be lost, late or malformed.
type GossipSocket struct {
	sock  *net.UDPConn
	peers []netip.AddrPort
	queue chan members.Datagram
	log   *slog.Logger
}

// ListenGossip opens the socket at listen. addrs holds the address of each relay, by number.
func ListenGossip(listen string, addrs []string, log *slog.Logger) (*GossipSocket, error) {
	s := &GossipSocket{queue: make(chan members.Datagram, gossipQueueSize), log: log}
	for _, addr := range addrs {
		peer, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, err
		}
		s.peers = append(s.peers, peer)
	}
	local, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, err
	}
	if s.sock, err = net.ListenUDP("udp4", local); err != nil {
		return nil, err
	}
	return s, nil
}

// Close closes the socket and the queue, which ends receiveLoop and sendLoop.
func (s *GossipSocket) Close() { s.sock.Close(); close(s.queue) }

// receiveLoop reports received datagrams until the socket is closed. It ignores senders that the
// configuration does not name.
func (s *GossipSocket) receiveLoop(events chan<- any) {
	numbers := map[netip.AddrPort]int{}
	for i, addr := range s.peers {
		numbers[addr] = i
	}
	buf := make([]byte, 4*peers.MaxDatagramBytes)
	for {
		size, from, err := s.sock.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A failed read may be temporary and must not end the loop.
			s.log.Debug("gossip read failed", "err", err)
			time.Sleep(gossipReadRetryDelay)
			continue
		}
		number, known := numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known || size > peers.MaxDatagramBytes {
			s.log.Debug("gossip of an unknown sender or of excessive size ignored", "from", from, "bytes", size)
			continue
		}
		events <- gossipReceived{number, append([]byte(nil), buf[:size]...)}
	}
}

// sendLoop writes queued messages. It has a goroutine of its own, since the host never waits for a
// socket.
func (s *GossipSocket) sendLoop() {
	for message := range s.queue {
		if _, err := s.sock.WriteToUDPAddrPort(message.Payload, s.peers[message.To]); err != nil {
			s.log.Debug("gossip write failed", "to", message.To, "err", err)
		}
	}
}

// enqueue queues a message, or drops it if the queue is full.
func (s *GossipSocket) enqueue(message members.Datagram) {
	select {
	case s.queue <- message:
	default:
	}
}
