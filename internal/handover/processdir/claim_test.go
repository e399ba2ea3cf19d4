package processdir

import "testing"

// A directory is not read while the process that was taking it over runs: that process knows what
// became of its messages.
func TestClaimedDirIsNotReadWhileItsSuccessorRuns(t *testing.T) {
	dir := t.TempDir()
	a, dirA, _ := startProcess(t, dir)
	writeTestFile(t, dirA, "000000000001.seg")
	b, dirB, _ := startProcess(t, dir)
	exitProcess(a, dirA)
	writeTestFile(t, dirB, "000000000001.seg")
	dirB.SetStatus(StatusServing)
	_, abandoned, err := b.Others(dirB)
	if err != nil || len(abandoned) != 1 {
		t.Fatal(abandoned, err)
	}
	if err := abandoned[0].Claim(dirB); err != nil {
		t.Fatal(err)
	}
	c, dirC, _ := startProcess(t, dir)
	abandoned[0].lockFile.Close() // the locks of a killed process are released one after another
	for range 2 {
		if running, early, err := c.Others(dirC); err != nil || len(early) > 0 || len(running) != 1 ||
			running[0] != dirB.Name {
			t.Fatalf("running %v, to read %v, %v", running, early, err)
		}
	}
	exitProcess(b, dirB)
	running, abandoned, err := c.Others(dirC)
	if err != nil || len(running) > 0 || len(abandoned) != 2 || abandoned[0].Name != "" ||
		abandoned[1].Name != dirB.Name {
		t.Fatalf("running %v, to read %v, %v", running, abandoned, err)
	}
	if successor, claimed := abandoned[0].Successor(); !claimed || successor != dirB.Name {
		t.Errorf("the claim was lost: %q, %v", successor, claimed)
	}
}

// The directory name of a successor may now belong to a standby process, which nothing has to wait
// for.
func TestClaimBySuccessorWhoseNameIsReused(t *testing.T) {
	dir := t.TempDir()
	a, dirA, _ := startProcess(t, dir)
	writeTestFile(t, dirA, "000000000001.seg")
	b, dirB, _ := startProcess(t, dir)
	dirB.SetStatus(StatusReady)
	dirA.Claim(dirB)
	exitProcess(a, dirA)
	c, dirC, _ := startProcess(t, dir)
	running, abandoned, err := c.Others(dirC)
	if err != nil || len(running) != 1 || len(abandoned) != 1 || abandoned[0].Name != "" {
		t.Fatalf("running %v, to read %v, %v", running, abandoned, err)
	}
	exitProcess(b, dirB)
}

// A process does not continue in a directory that a successor was taking over, unless it had been
// adopted completely.
func TestClaimedDirIsNotReopened(t *testing.T) {
	dir := t.TempDir()
	a, dirA, _ := startProcess(t, dir)
	writeTestFile(t, dirA, "000000000001.seg")
	dirA.Claim(&Dir{Name: "life-9"})
	exitProcess(a, dirA)
	b, dirB, active := startProcess(t, dir)
	if !active || dirB.Name == "" {
		t.Fatalf("%v, %+v", active, dirB)
	}
	_, abandoned, err := b.Others(dirB)
	if err != nil || len(abandoned) != 1 {
		t.Fatal(abandoned, err)
	}
	if err := b.Remove(abandoned[0]); err != nil {
		t.Fatal(err)
	}
	if _, dirC, _ := startProcess(t, dir); dirC.Name != "" {
		t.Errorf("%+v", dirC)
	}
}

// Each directory is listed before its successor's, independent of their names.
func TestDirsAreListedBeforeTheirSuccessors(t *testing.T) {
	dirs := []*Dir{
		{Name: "", successor: "life-9", claimed: true},
		{Name: "life-1"},
		{Name: "life-2", successor: "", claimed: true},
		{Name: "life-3", successor: "life-3", claimed: true},
	}
	got := (&StateDir{dir: t.TempDir()}).readableDirs(dirs, nil)
	index := map[string]int{}
	for i, d := range got {
		index[d.Name] = i
	}
	if len(got) != 4 || index["life-2"] > index[""] {
		t.Errorf("%v", index)
	}
}
