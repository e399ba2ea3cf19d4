package faultnet

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// openSocket opens the socket of a relay.
func openSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// The receiver sees messages from the address under which it knows the sender; each fault blocks
// the directions it names; datagrams of other sources and oversized messages are dropped.
func TestNetwork(t *testing.T) {
	var sockets []*net.UDPConn
	var listen []string
	for range 3 {
		sockets = append(sockets, openSocket(t))
		listen = append(listen, sockets[len(sockets)-1].LocalAddr().String())
	}
	network, err := New(listen, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer network.Close()
	send := func(i, j int, message []byte) {
		if _, err := sockets[i].WriteToUDPAddrPort(message, netip.MustParseAddrPort(network.PeerAddrs(i)[j])); err != nil {
			t.Fatal(err)
		}
	}
	// received returns the messages that arrive at j before the mark, which is sent after them
	// without faults.
	buf := make([]byte, 1024)
	read := func(j int) (string, string) {
		sockets[j].SetReadDeadline(time.Now().Add(20 * time.Second))
		size, from, err := sockets[j].ReadFromUDPAddrPort(buf)
		if err != nil {
			t.Fatal(err)
		}
		return string(buf[:size]), from.String()
	}
	received := func(j int, faults Faults, transmit func()) (all []string) {
		network.SetFaults(faults)
		before, _, _, _ := network.Counts()
		transmit()
		for sent := before; sent < before+1; sent, _, _, _ = network.Counts() {
			time.Sleep(time.Millisecond)
		}
		network.SetFaults(Faults{})
		send((j+1)%3, j, []byte("mark"))
		for {
			text, _ := read(j)
			if text == "mark" {
				return all
			}
			all = append(all, text)
		}
	}
	for _, c := range []struct {
		name   string
		faults Faults
		want   bool
	}{
		{"no faults", Faults{}, true},
		{"receiver receives nothing", Faults{NoReceive: map[int]bool{1: true}}, false},
		{"sender receives nothing", Faults{NoReceive: map[int]bool{0: true}}, true},
		{"sender sends nothing", Faults{NoSend: map[int]bool{0: true}}, false},
		{"receiver sends nothing", Faults{NoSend: map[int]bool{1: true}}, true},
		{"across a partition", Faults{Partitions: []map[int]bool{{0: true}}}, false},
		{"within a partition", Faults{Partitions: []map[int]bool{{0: true, 1: true}}}, true},
		{"this direction blocked", Faults{BlockedPairs: map[[2]int]bool{{0, 1}: true}}, false},
		{"other direction blocked", Faults{BlockedPairs: map[[2]int]bool{{1, 0}: true}}, true},
		{"all lost", Faults{LossRate: 1}, false},
	} {
		got := received(1, c.faults, func() { send(0, 1, []byte(c.name)) })
		if (len(got) == 1) != c.want {
			t.Errorf("%s: received %q", c.name, got)
		}
	}
	if got := received(1, Faults{DuplicateRate: 1}, func() { send(0, 1, []byte("x")) }); len(got) != 2 {
		t.Errorf("duplicated: received %q", got)
	}
	if got := received(1, Faults{}, func() { send(0, 1, make([]byte, MaxMessageBytes+1)) }); len(got) != 0 {
		t.Errorf("an oversized message arrived: %d", len(got))
	}
	if _, _, _, oversized := network.Counts(); oversized != 1 {
		t.Errorf("%d oversized messages, want 1", oversized)
	}
	stranger := openSocket(t)
	stranger.WriteToUDPAddrPort([]byte("stranger"), netip.MustParseAddrPort(network.PeerAddrs(0)[1]))
	send(2, 1, []byte("two"))
	if text, from := read(1); text != "two" || from != network.PeerAddrs(1)[2] {
		t.Errorf("received %q from %s, want it from %s", text, from, network.PeerAddrs(1)[2])
	}
	// Delayed messages all arrive, in another order.
	network.SetFaults(Faults{MaxDelay: 50 * time.Millisecond})
	var order []byte
	for i := range 40 {
		send(0, 2, []byte{byte(i)})
	}
	for range 40 {
		text, _ := read(2)
		order = append(order, text[0])
	}
	sorted := true
	for i := range 39 {
		sorted = sorted && order[i] < order[i+1]
	}
	if sorted {
		t.Error("40 delayed messages arrived in order")
	}
}
