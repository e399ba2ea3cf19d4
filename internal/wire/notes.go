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

// gossipQueueSize is how many notes may wait to go out; more are dropped, as the network may drop them.
const gossipQueueSize = 256

// gossipReadRetryDelay is the pause behind a read that failed.
const gossipReadRetryDelay = 20 * time.Millisecond

// gossipReceived is a datagram of another relay.
type gossipReceived struct {
	from    int
	payload []byte
}

// GossipSocket is the socket between relays. What it carries may be lost, late or senseless; it decides nothing.
type GossipSocket struct {
	sock  *net.UDPConn
	peers []netip.AddrPort
	queue chan members.Datagram
	log   *slog.Logger
}

// ListenGossip opens the socket at listen. all holds the address of each relay, by number.
func ListenGossip(listen string, all []string, log *slog.Logger) (*GossipSocket, error) {
	n := &GossipSocket{queue: make(chan members.Datagram, gossipQueueSize), log: log}
	for _, a := range all {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, err
		}
		n.peers = append(n.peers, at)
	}
	at, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, err
	}
	if n.sock, err = net.ListenUDP("udp4", at); err != nil {
		return nil, err
	}
	return n, nil
}

// Close ends both goroutines.
func (n *GossipSocket) Close() { n.sock.Close(); close(n.queue) }

// receiveLoop reports what comes in until the socket is closed. Only relays that the configuration names are heard.
func (n *GossipSocket) receiveLoop(events chan<- any) {
	who := map[netip.AddrPort]int{}
	for i, at := range n.peers {
		who[at] = i
	}
	buf := make([]byte, 4*peers.MaxDatagramBytes)
	for {
		size, from, err := n.sock.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Guards against a relay that hears nobody for good, for a read that failed for a moment.
			n.log.Debug("no note read", "err", err)
			time.Sleep(gossipReadRetryDelay)
			continue
		}
		i, known := who[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known || size > peers.MaxDatagramBytes {
			n.log.Debug("note of nobody", "from", from, "bytes", size)
			continue
		}
		events <- gossipReceived{i, append([]byte(nil), buf[:size]...)}
	}
}

// sendLoop writes what the host has put out. It does so on a goroutine of its own: the host never waits for a socket.
func (n *GossipSocket) sendLoop() {
	for o := range n.queue {
		if _, err := n.sock.WriteToUDPAddrPort(o.Payload, n.peers[o.To]); err != nil {
			n.log.Debug("note not sent", "to", o.To, "err", err)
		}
	}
}

// enqueue hands a note over, or drops it.
func (n *GossipSocket) enqueue(o members.Datagram) {
	select {
	case n.queue <- o:
	default:
	}
}
