package wire

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
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
	sock      *net.UDPConn
	peers     []netip.AddrPort
	queue     chan members.Datagram // never closed: the host may still send while the socket closes
	closed    chan struct{}
	closeOnce sync.Once
	log       *slog.Logger
}

// ListenGossip opens the socket at listen. addrs holds the address of each relay, by number.
func ListenGossip(listen string, addrs []string, log *slog.Logger) (*GossipSocket, error) {
	s := &GossipSocket{queue: make(chan members.Datagram, gossipQueueSize), closed: make(chan struct{}), log: log}
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

// Close closes the socket, which ends receiveLoop and sendLoop. Messages that are queued from then
// on are dropped. It may be called more than once, and while others use the socket.
func (s *GossipSocket) Close() {
	s.closeOnce.Do(func() {
		s.sock.Close()
		close(s.closed)
	})
}

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
		select {
		case events <- gossipReceived{number, append([]byte(nil), buf[:size]...)}:
		case <-s.closed:
			return
		}
	}
}

// sendLoop writes queued messages. It has a goroutine of its own, since the host never waits for a
// socket.
func (s *GossipSocket) sendLoop() {
	for {
		select {
		case <-s.closed:
			return
		case message := <-s.queue:
			if _, err := s.sock.WriteToUDPAddrPort(message.Payload, s.peers[message.To]); err != nil {
				s.log.Debug("gossip write failed", "to", message.To, "err", err)
			}
		}
	}
}

// enqueue queues a message, or drops it if the queue is full or the socket is closed.
func (s *GossipSocket) enqueue(message members.Datagram) {
	select {
	case <-s.closed:
		return
	default:
	}
	select {
	case s.queue <- message:
	default:
	}
}
