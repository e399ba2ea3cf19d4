package processdir

import "testing"

// The room of a process that is gone is not read while the process that was taking it over still has its own: what became of its messages is there.
func TestClaimedRoomWaitsForItsSuccessor(t *testing.T) {
	dir := t.TempDir()
	a, roomA, _ := process(t, dir)
	put(t, roomA, "000000000001.seg")
	b, roomB, _ := process(t, dir)
	die(a, roomA)
	put(t, roomB, "000000000001.seg")
	roomB.SetStatus(StatusServing)
	_, fallen, err := b.Others(roomB)
	if err != nil || len(fallen) != 1 {
		t.Fatal(fallen, err)
	}
	if err := fallen[0].Claim(roomB); err != nil {
		t.Fatal(err)
	}
	c, roomC, _ := process(t, dir)
	fallen[0].lock.Close() // the locks of a process that dies fall one after another
	for range 2 {
		if held, early, err := c.Others(roomC); err != nil || len(early) > 0 || len(held) != 1 || held[0] != roomB.Name {
			t.Fatalf("held %v, to read %v, %v", held, early, err)
		}
	}
	die(b, roomB)
	held, fallen, err := c.Others(roomC)
	if err != nil || len(held) > 0 || len(fallen) != 2 || fallen[0].Name != "" || fallen[1].Name != roomB.Name {
		t.Fatalf("held %v, to read %v, %v", held, fallen, err)
	}
	if successor, claimed := fallen[0].Successor(); !claimed || successor != roomB.Name {
		t.Errorf("the claim is lost: %q, %v", successor, claimed)
	}
}

// The name of a successor may have passed to a process that only stands by: nothing waits for that one.
func TestClaimOfANameThatIsUsedAnew(t *testing.T) {
	dir := t.TempDir()
	a, roomA, _ := process(t, dir)
	put(t, roomA, "000000000001.seg")
	b, roomB, _ := process(t, dir)
	roomB.SetStatus(StatusReady)
	roomA.Claim(roomB)
	die(a, roomA)
	c, roomC, _ := process(t, dir)
	held, fallen, err := c.Others(roomC)
	if err != nil || len(held) != 1 || len(fallen) != 1 || fallen[0].Name != "" {
		t.Fatalf("held %v, to read %v, %v", held, fallen, err)
	}
	die(b, roomB)
}

// A room that a successor was taking over is nobody's home, and one that was taken over whole is.
func TestClaimedRoomIsNoHome(t *testing.T) {
	dir := t.TempDir()
	a, roomA, _ := process(t, dir)
	put(t, roomA, "000000000001.seg")
	roomA.Claim(&Dir{Name: "life-9"})
	die(a, roomA)
	b, roomB, active := process(t, dir)
	if !active || roomB.Name == "" {
		t.Fatalf("%v, %+v", active, roomB)
	}
	_, fallen, err := b.Others(roomB)
	if err != nil || len(fallen) != 1 {
		t.Fatal(fallen, err)
	}
	if err := b.Remove(fallen[0]); err != nil {
		t.Fatal(err)
	}
	if _, roomC, _ := process(t, dir); roomC.Name != "" {
		t.Errorf("%+v", roomC)
	}
}

// Each room comes before its successor's, whatever their names are.
func TestRoomsComeBeforeTheirSuccessors(t *testing.T) {
	all := []*Dir{{Name: "", successor: "life-9", claimed: true}, {Name: "life-1"}, {Name: "life-2", successor: "", claimed: true}, {Name: "life-3", successor: "life-3", claimed: true}}
	got := (&StateDir{dir: t.TempDir()}).readable(all, nil)
	at := map[string]int{}
	for i, r := range got {
		at[r.Name] = i
	}
	if len(got) != 4 || at["life-2"] > at[""] {
		t.Errorf("%v", at)
	}
}
