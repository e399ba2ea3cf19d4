package wire

import (
	"net"
	"testing"
	"time"

	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
)

// Gossip reaches the relays that it is addressed to. Unknown senders and oversized datagrams are
// ignored.
func TestGossipSocket(t *testing.T) {
	free := func() string {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	all := []string{free(), free(), free()}
	var sockets []*GossipSocket
	var received []chan any
	for _, at := range all {
		n, err := ListenGossip(at, all, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		events := make(chan any, 16)
		go n.receiveLoop(events)
		go n.sendLoop()
		sockets, received = append(sockets, n), append(received, events)
	}
	stranger, err := net.Dial("udp4", all[1])
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("stranger"))
	sockets[2].enqueue(members.Datagram{To: 1, Payload: make([]byte, peers.MaxDatagramBytes+1)})
	sockets[0].enqueue(members.Datagram{To: 1, Payload: []byte("hello")})
	sockets[0].enqueue(members.Datagram{To: 2, Payload: []byte("hello")})
	for _, events := range received[1:] {
		select {
		case e := <-events:
			if n, ok := e.(gossipReceived); !ok || n.from != 0 || string(n.payload) != "hello" {
				t.Errorf("received %+v", e)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("nothing received")
		}
	}
	if len(received[0]) > 0 {
		t.Error("the sender received its own message")
	}
	for range 2 * gossipQueueSize { // never blocks
		sockets[1].enqueue(members.Datagram{To: 1, Payload: []byte("x")})
	}
	for _, bad := range []string{"", "nowhere", "127.0.0.1:99999"} {
		if _, err := ListenGossip(bad, all, discardLog); err == nil && bad != "" {
			t.Errorf("listens at %q", bad)
		}
		if _, err := ListenGossip(all[0], []string{bad}, discardLog); err == nil {
			t.Errorf("accepted a relay at %q", bad)
		}
	}
}
