package daemon_test

import (
	"syscall"
	"testing"
	"time"

	"oatfold/internal/testdouble"
)

// order gives an operator's order to a process and returns the status of the answer.
func order(t *testing.T, process *testdouble.Relay, path string) int {
	t.Helper()
	status, _, err := process.CallAdmin("PUT", path)
	if err != nil {
		t.Fatal(err)
	}
	return status
}

// orderTimeout is how long after an order a relay may still answer GET /ready as before: a process
// that leaves may answer until its listener is closed.
const orderTimeout = 4 * time.Second

// expectReady checks the status of GET /ready, which has to last.
func expectReady(t *testing.T, process *testdouble.Relay, want int, when string) {
	t.Helper()
	began, inARow := time.Now(), 0
	for inARow < 20 {
		if inARow++; readyStatus(process.Addr) != want {
			inARow = 0
		}
		if time.Since(began) > orderTimeout {
			t.Fatalf("%s: GET /ready is not %d\n%s", when, want, process.LogTail())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// beginUpgrade starts the next process and has the old one hand over, which a resting client keeps
// from leaving for a second.
func beginUpgrade(t *testing.T, old *testdouble.Relay) (next *testdouble.Relay) {
	t.Helper()
	client, err := dialRelay(old.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.sock.Close() })
	if status := client.submit("price-alert", "resting-"+old.AdminAddr, 5_900, 1, "price-alert/resting"); status != 202 {
		t.Fatalf("answered %d", status)
	}
	next = startStandbyProcess(t, old)
	signal(t, old, syscall.SIGTERM)
	awaitLog(t, old, "handing over")
	return next
}

// Guards against a drain that is answered 200 and lost: the old process of an upgrade took it after
// it had passed its state on. An order is refused there, carried out by the new process, and the
// last one holds, also when that one is killed and started again.
func TestDrainOrderedDuringUpgrade(t *testing.T) {
	_, old := startWorld(t, testdouble.Config{Partners: partners})
	next := beginUpgrade(t, old)
	if got := order(t, old, "/healthcheck/fail"); got != 503 {
		t.Errorf("a process that hands over answered a drain %d", got)
	}
	awaitLog(t, next, "msg=ready")
	expectReady(t, next, 200, "after a drain that was refused")
	if got := order(t, next, "/healthcheck/fail"); got != 200 {
		t.Errorf("the new process answered a drain %d", got)
	}
	if got := order(t, old, "/healthcheck/ok"); got != 503 {
		t.Errorf("a process that hands over answered the end of a drain %d", got)
	}
	expectReady(t, next, 503, "drained by the new process")
	if err := old.Wait(); err != nil || next.AwaitLog("all is taken over") != nil {
		t.Fatalf("%v\n%s", err, next.LogTail())
	}
	expectReady(t, next, 503, "after the old process has left")
	next.Kill()
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	expectReady(t, next, 503, "started again")
}

// Guards against an order that a restart in the middle of an upgrade undoes: what the old process
// passed on is older than what the new one was told before it was killed.
func TestLastDrainOrderHoldsAfterKilledSuccessor(t *testing.T) {
	_, old := startWorld(t, testdouble.Config{Partners: partners})
	if got := order(t, old, "/healthcheck/fail"); got != 200 {
		t.Fatalf("answered %d", got)
	}
	next := startStandbyProcess(t, old)
	signal(t, old, syscall.SIGTERM)
	awaitLog(t, next, "msg=ready")
	expectReady(t, next, 503, "drained before the upgrade")
	if got := order(t, next, "/healthcheck/ok"); got != 200 {
		t.Fatalf("answered %d", got)
	}
	awaitDrainMark(t, next, false)
	next.Kill()
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	expectReady(t, next, 200, "the end of the drain was ordered last")
}

// Guards against a drain that a planned stop answers 200: the next start is at work.
func TestDrainOrderedDuringPlannedStop(t *testing.T) {
	_, r := startWorld(t, testdouble.Config{Partners: partners})
	signal(t, r, syscall.SIGTERM)
	awaitLog(t, r, "msg=stopping")
	if got := order(t, r, "/healthcheck/fail"); got != 503 {
		t.Errorf("a process that stops answered a drain %d", got)
	}
	if err := r.Wait(); err != nil {
		t.Error(err)
	}
}

// A standby has nothing to drain, and a drain of the old process holds in it.
func TestStandbyRefusesOrders(t *testing.T) {
	_, old := startWorld(t, testdouble.Config{Partners: partners})
	next := startStandbyProcess(t, old)
	if got := order(t, next, "/healthcheck/fail"); got != 503 {
		t.Errorf("a standby answered a drain %d", got)
	}
	if got := order(t, old, "/healthcheck/fail"); got != 200 {
		t.Errorf("the serving process answered a drain %d beside a standby", got)
	}
	if err := old.Stop(); err != nil || next.AwaitLog("msg=ready") != nil {
		t.Fatalf("%v\n%s", err, next.LogTail())
	}
	expectReady(t, next, 503, "drained before the upgrade")
}
