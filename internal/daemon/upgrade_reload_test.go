package daemon_test

import (
	"syscall"
	"testing"

	"oatfold/internal/testdouble"
)

// Guards against a new process that serves with an old configuration: SIGHUP reached the old
// process while the new one stood by or took over, and nobody told that one. It counts for the
// relay, whichever of its processes gets it.
func TestReloadDuringUpgrade(t *testing.T) {
	for name, hangup := range map[string]func(t *testing.T, old, next *testdouble.Relay){
		"serving beside a standby": func(t *testing.T, old, _ *testdouble.Relay) {
			signal(t, old, syscall.SIGHUP)
			awaitLog(t, old, "msg=reloaded")
			signal(t, old, syscall.SIGTERM)
		},
		"serving, told to leave at once": func(t *testing.T, old, _ *testdouble.Relay) {
			signal(t, old, syscall.SIGHUP)
			signal(t, old, syscall.SIGTERM)
		},
		"standing by": func(t *testing.T, old, next *testdouble.Relay) {
			signal(t, next, syscall.SIGHUP)
			awaitLog(t, old, "msg=reloaded")
			signal(t, old, syscall.SIGTERM)
		},
		"both": func(t *testing.T, old, next *testdouble.Relay) {
			signal(t, next, syscall.SIGHUP)
			signal(t, old, syscall.SIGHUP)
			signal(t, old, syscall.SIGTERM)
		},
		"handing over": func(t *testing.T, old, _ *testdouble.Relay) {
			signal(t, old, syscall.SIGTERM)
			awaitLog(t, old, "handing over")
			signal(t, old, syscall.SIGHUP)
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, old := startWorld(t, testdouble.Config{Partners: partners})
			client, err := dialRelay(old.Addr) // keeps the old process from leaving for a second
			if err != nil {
				t.Fatal(err)
			}
			defer client.sock.Close()
			client.submit("price-alert", "resting", 5_900, 1, "price-alert/resting")
			next, addr := startStandbyProcess(t, old), reserveAddr(t)
			if err := old.MoveDiscovery(addr); err != nil {
				t.Fatal(err)
			}
			hangup(t, old, next)
			awaitLog(t, next, "msg=reloaded discovery="+addr)
			if err := old.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// A file that is bad keeps the last good one, in the new process of an upgrade too.
func TestBadReloadKeepsLastGoodConfigInUpgrade(t *testing.T) {
	_, old := startWorld(t, testdouble.Config{Partners: partners})
	next, addr := startStandbyProcess(t, old), reserveAddr(t)
	if err := old.MoveDiscovery(addr); err != nil {
		t.Fatal(err)
	}
	signal(t, old, syscall.SIGHUP)
	awaitLog(t, next, "msg=reloaded discovery="+addr)
	if err := old.SpoilConfig(); err != nil {
		t.Fatal(err)
	}
	signal(t, old, syscall.SIGHUP)
	awaitLog(t, next, "configuration not reloaded")
	if err := old.Stop(); err != nil {
		t.Error(err)
	}
	awaitLog(t, next, "msg=ready")
	if ready := next.CountLogLines("discovery=" + addr); ready != 2 {
		t.Errorf("%d lines name the new address, not both of the reload and the start\n%s", ready, next.LogTail())
	}
}

func startStandbyProcess(t *testing.T, old *testdouble.Relay) *testdouble.Relay {
	t.Helper()
	next, err := old.StartNextProcess()
	if err != nil {
		t.Fatal(err)
	}
	awaitLog(t, next, "standing by")
	return next
}

func signal(t *testing.T, process *testdouble.Relay, s syscall.Signal) {
	t.Helper()
	if err := process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func awaitLog(t *testing.T, process *testdouble.Relay, text string) {
	t.Helper()
	if err := process.AwaitLog(text); err != nil {
		t.Fatal(err)
	}
}

func reserveAddr(t *testing.T) string {
	t.Helper()
	addr, err := testdouble.ReserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}
