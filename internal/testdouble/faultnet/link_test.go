package faultnet

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// end is a relay's own socket.
func end(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// Each way carries what its relay sends, as from the address under which the receiver knows it; a cut takes one direction, a group, a pair; a stranger and a note
// of 257 bytes go nowhere.
func TestWays(t *testing.T) {
	var socks []*net.UDPConn
	var listen []string
	for range 3 {
		socks = append(socks, end(t))
		listen = append(listen, socks[len(socks)-1].LocalAddr().String())
	}
	n, err := New(listen, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	send := func(i, j int, note []byte) {
		if _, err := socks[i].WriteToUDPAddrPort(note, netip.MustParseAddrPort(n.PeerAddrs(i)[j])); err != nil {
			t.Fatal(err)
		}
	}
	// heard tells which of the notes sent to j come, up to the mark that is sent behind them where everything passes.
	buf := make([]byte, 1024)
	read := func(j int) (string, string) {
		socks[j].SetReadDeadline(time.Now().Add(20 * time.Second))
		size, from, err := socks[j].ReadFromUDPAddrPort(buf)
		if err != nil {
			t.Fatal(err)
		}
		return string(buf[:size]), from.String()
	}
	heard := func(j int, w Faults, send1 func()) (all []string) {
		n.SetFaults(w)
		before, _, _, _ := n.Counts()
		send1()
		for sent := before; sent < before+1; sent, _, _, _ = n.Counts() {
			time.Sleep(time.Millisecond)
		}
		n.SetFaults(Faults{})
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
		name string
		ways Faults
		want bool
	}{{"all", Faults{}, true}, {"deaf", Faults{NoReceive: map[int]bool{1: true}}, false}, {"deaf sender", Faults{NoReceive: map[int]bool{0: true}}, true},
		{"mute", Faults{NoSend: map[int]bool{0: true}}, false}, {"mute receiver", Faults{NoSend: map[int]bool{1: true}}, true}, {"apart", Faults{Partitions: []map[int]bool{{0: true}}}, false},
		{"together apart", Faults{Partitions: []map[int]bool{{0: true, 1: true}}}, true}, {"this way", Faults{BlockedPairs: map[[2]int]bool{{0, 1}: true}}, false},
		{"that way", Faults{BlockedPairs: map[[2]int]bool{{1, 0}: true}}, true}, {"lost", Faults{LossRate: 1}, false}} {
		got := heard(1, c.ways, func() { send(0, 1, []byte(c.name)) })
		if (len(got) == 1) != c.want {
			t.Errorf("%s: heard %q", c.name, got)
		}
	}
	if got := heard(1, Faults{DuplicateRate: 1}, func() { send(0, 1, []byte("x")) }); len(got) != 2 {
		t.Errorf("twice: heard %q", got)
	}
	if got := heard(1, Faults{}, func() { send(0, 1, make([]byte, MaxMessageBytes+1)) }); len(got) != 0 {
		t.Errorf("257 bytes came: %d", len(got))
	}
	if _, _, _, long := n.Counts(); long != 1 {
		t.Errorf("%d too long", long)
	}
	stranger := end(t)
	stranger.WriteToUDPAddrPort([]byte("stranger"), netip.MustParseAddrPort(n.PeerAddrs(0)[1]))
	send(2, 1, []byte("two"))
	if text, from := read(1); text != "two" || from != n.PeerAddrs(1)[2] {
		t.Errorf("heard %q from %s, want it from %s", text, from, n.PeerAddrs(1)[2])
	}
	// Late ones come out of order, and all of them.
	n.SetFaults(Faults{MaxDelay: 50 * time.Millisecond})
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
		t.Error("forty late notes came in order")
	}
}
