package processdir

import "testing"

// The room of a process that is gone is not read while the process that was taking it over still has its own: what became of its messages is there.
func TestClaimedDirIsNotReadWhileItsSuccessorRuns(t *testing.T) {
	dir := t.TempDir()
	a, roomA, _ := startProcess(t, dir)
	writeTestFile(t, roomA, "000000000001.seg")
	b, roomB, _ := startProcess(t, dir)
	exitProcess(a, roomA)
	writeTestFile(t, roomB, "000000000001.seg")
	roomB.SetStatus(StatusServing)
	_, fallen, err := b.Others(roomB)
	if err != nil || len(fallen) != 1 {
		t.Fatal(fallen, err)
	}
	if err := fallen[0].Claim(roomB); err != nil {
		t.Fatal(err)
	}
	c, roomC, _ := startProcess(t, dir)
	fallen[0].lockFile.Close() // the locks of a process that dies fall one after another
	for range 2 {
		if held, early, err := c.Others(roomC); err != nil || len(early) > 0 || len(held) != 1 || held[0] != roomB.Name {
			t.Fatalf("held %v, to read %v, %v", held, early, err)
		}
	}
	exitProcess(b, roomB)
	held, fallen, err := c.Others(roomC)
	if err != nil || len(held) > 0 || len(fallen) != 2 || fallen[0].Name != "" || fallen[1].Name != roomB.Name {
		t.Fatalf("held %v, to read %v, %v", held, fallen, err)
	}
	if successor, claimed := fallen[0].Successor(); !claimed || successor != roomB.Name {
		t.Errorf("the claim is lost: %q, %v", successor, claimed)
	}
}

// The name of a successor may have passed to a process that only stands by: nothing waits for that one.
func TestClaimBySuccessorWhoseNameIsReused(t *testing.T) {
	dir := t.TempDir()
	a, roomA, _ := startProcess(t, dir)
	writeTestFile(t, roomA, "000000000001.seg")
	b, roomB, _ := startProcess(t, dir)
	roomB.SetStatus(StatusReady)
	roomA.Claim(roomB)
	exitProcess(a, roomA)
	c, roomC, _ := startProcess(t, dir)
	held, fallen, err := c.Others(roomC)
	if err != nil || len(held) != 1 || len(fallen) != 1 || fallen[0].Name != "" {
		t.Fatalf("held %v, to read %v, %v", held, fallen, err)
	}
	exitProcess(b, roomB)
}

// A room that a successor was taking over is nobody's home, and one that was taken over whole is.
func TestClaimedDirIsNotReopened(t *testing.T) {
	dir := t.TempDir()
	a, roomA, _ := startProcess(t, dir)
	writeTestFile(t, roomA, "000000000001.seg")
	roomA.Claim(&Dir{Name: "life-9"})
	exitProcess(a, roomA)
	b, roomB, active := startProcess(t, dir)
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
	if _, roomC, _ := startProcess(t, dir); roomC.Name != "" {
		t.Errorf("%+v", roomC)
	}
}

// Each room comes before its successor's, whatever their names are.
func TestDirsAreListedBeforeTheirSuccessors(t *testing.T) {
	all := []*Dir{{Name: "", successor: "life-9", claimed: true}, {Name: "life-1"}, {Name: "life-2", successor: "", claimed: true}, {Name: "life-3", successor: "life-3", claimed: true}}
	got := (&StateDir{dir: t.TempDir()}).readableDirs(all, nil)
	at := map[string]int{}
	for i, r := range got {
		at[r.Name] = i
	}
	if len(got) != 4 || at["life-2"] > at[""] {
		t.Errorf("%v", at)
	}
}
