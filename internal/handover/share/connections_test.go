package share

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against two processes of one relay that hold more descriptors than it may: each counted
// for itself. Whatever is open as one begins to leave, and however late the other one learns of it,
// both stay within what one process may have.
func TestConnectionsOfBothProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alone := Connections{Clients: rapid.IntRange(2, 600).Draw(t, "clients"), Idle: rapid.IntRange(1, 300).Draw(t, "idle")}
		fixed := rapid.IntRange(0, 60).Draw(t, "fixed")
		open := rapid.IntRange(0, alone.Clients).Draw(t, "open")
		kept := KeepClients(alone, open)
		told := kept
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			listening := rapid.Bool().Draw(t, "listening")
			open = rapid.IntRange(0, max(open, MaxClientsLeaving(alone))).Draw(t, "open")
			if kept = LowerClients(kept, min(open, kept), MaxClientsLeaving(alone), listening); rapid.Bool().Draw(t, "told") {
				told = kept
			}
			open = min(open, kept)
			successor := SuccessorConnections(alone, told, fixed)
			if sum := open + fixed + successor.Clients + successor.Idle; sum > max(alone.Clients+alone.Idle, kept+fixed+1) {
				t.Fatalf("%d connections of %+v: %d kept, %d told, %+v", sum, alone, kept, told, successor)
			}
		}
	})
}

func TestSuccessorConnections(t *testing.T) {
	alone := Connections{Clients: 240, Idle: 120}
	for _, c := range []struct {
		name        string
		kept, fixed int
		want        Connections
	}{
		{"nothing kept", 0, 0, Connections{240, 120}},
		{"half kept", 120, 30, Connections{140, 70}},
		{"all kept", 240, 30, Connections{60, 30}},
		{"more than there is", 400, 30, Connections{1, 0}},
	} {
		if got := SuccessorConnections(alone, c.kept, c.fixed); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
