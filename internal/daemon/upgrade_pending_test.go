package daemon_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"oatfold/internal/testdouble"
)

// Guards against a relay that holds more messages than it may in an upgrade: the old process passed
// on what it took from connections that clients keep, and so never came to its limit.
func TestUpgradeKeepsLimitOfPendingMessages(t *testing.T) {
	const maxPending, clients = 40, 100
	w, old := startWorld(t, testdouble.Config{MaxPending: maxPending, MaxConcurrentCalls: 4,
		Partners: []testdouble.PartnerConfig{{Dest: 1}}})
	w.Partners[1].SetMode(testdouble.Unresponsive, 1)
	var resting []*restingClient
	for range clients {
		client, err := dialRelay(old.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer client.sock.Close()
		resting = append(resting, client)
	}
	accepted := map[string]bool{}
	submit := func(client *restingClient, process string) (answered bool) {
		id := fmt.Sprintf("%s-%d", process, len(accepted))
		status := client.submit("order-relay", id, 19_000, 1, "order-relay/"+id)
		if status == 202 {
			accepted[id] = true
		}
		return status > 0
	}
	held := func() int {
		notified := w.Platform.Notifications()
		count := 0
		for id := range accepted {
			if _, ended := notified[id]; !ended {
				count++
			}
		}
		return count
	}
	for n := range maxPending / 2 {
		submit(resting[n%clients], "before")
	}
	next := startStandbyProcess(t, old)
	signal(t, old, syscall.SIGTERM)
	awaitLog(t, next, "msg=ready")
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(5 * time.Millisecond) {
		for _, client := range resting {
			submit(client, "old")
		}
		if client, err := dialRelay(next.Addr); err == nil {
			submit(client, "next")
			client.sock.Close()
		}
	}
	time.Sleep(200 * time.Millisecond) // for notices that are on their way
	if most := held(); most > maxPending {
		t.Errorf("%d messages are held with a limit of %d", most, maxPending)
	}
	if len(accepted) <= maxPending/2 {
		t.Errorf("%d accepted in all: nothing was accepted in the upgrade", len(accepted))
	}
}
