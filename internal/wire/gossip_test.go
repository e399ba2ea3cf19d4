package wire

import (
	"net"
	"sync"
	"testing"
	"time"

	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
)

// Gossip reaches the relays that it is addressed to. Unknown senders and oversized datagrams are
// ignored.
func TestGossipSocket(t *testing.T) {
	all := []string{reserveUDPAddr(t), reserveUDPAddr(t), reserveUDPAddr(t)}
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

// Guards against a panic of a process that hands over: a ping that was received before its socket
// closed is answered afterwards, on a queue that was closed as well. Relays close and send at once.
func TestGossipAfterClose(t *testing.T) {
	addrs := []string{reserveUDPAddr(t), reserveUDPAddr(t)}
	for range 200 {
		socket, err := ListenGossip(addrs[0], addrs, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		events := make(chan any)
		var loops sync.WaitGroup
		loops.Go(func() { socket.receiveLoop(events) })
		loops.Go(socket.sendLoop)
		loops.Go(func() {
			for range 2 * gossipQueueSize {
				socket.enqueue(members.Datagram{To: 1, Payload: []byte("pong")})
			}
		})
		loops.Go(socket.Close)
		socket.Close()
		loops.Wait()
		socket.enqueue(members.Datagram{To: 1, Payload: []byte("pong")})
	}
}

// A process that ends does not wait for a host that takes no more events: the loop that receives
// ends with its socket.
func TestGossipReceiveLoopEnds(t *testing.T) {
	addrs := []string{reserveUDPAddr(t), reserveUDPAddr(t)}
	receiver, err := ListenGossip(addrs[0], addrs, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	sender, err := ListenGossip(addrs[1], addrs, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	go sender.sendLoop()
	sender.enqueue(members.Datagram{To: 0, Payload: []byte("ping")})
	ended := make(chan struct{})
	go func() {
		receiver.receiveLoop(make(chan any)) // nobody reads it
		close(ended)
	}()
	time.Sleep(50 * time.Millisecond)
	receiver.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the loop goes on")
	}
}

// reserveUDPAddr returns an address at which nobody listens.
func reserveUDPAddr(t *testing.T) string {
	t.Helper()
	sock, err := net.ListenPacket("udp4", net.JoinHostPort(ownLoopback(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer sock.Close()
	return sock.LocalAddr().String()
}
