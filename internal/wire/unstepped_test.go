package wire

import (
	"net/http"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"oatfold/policy"
)

const noticeGrace = 300 * time.Millisecond // behind a message's deadline

// Guards against messages that stayed in the leaving process until it exited, past their time: it
// ends those that wait, and those whose call is still out.
func TestDeadlinePassesDuringHandover(t *testing.T) {
	release := make(chan struct{})
	env := startEnv(t, func(http.ResponseWriter, *http.Request, string) { <-release })
	defer close(release)
	env.submitWaiting("order", "out", "b", 9000)
	env.waitUntil("the call", func() bool { return len(env.calls) == 1 })
	env.block()
	env.host.Do(func(h *Host) { // it has less time than its call, as beside others in a batch
		h.table.ByID("out").Deadline = time.Now().Add(500 * time.Millisecond)
	})
	env.submitWaiting("alert", "waiting", "b", 500)
	began := time.Now()
	if err := env.handOver(func([]byte) error { return nil }, false, 0); err != nil {
		t.Fatal(err)
	}
	env.submitWaiting("fee", "later", "b", 500)
	want := map[string]string{"waiting": "handed_back", "later": "handed_back", "out": "given_up"}
	waitFor(t, "three notifications", func() bool {
		env.Lock()
		defer env.Unlock()
		return len(env.notifications) >= len(want)
	})
	if took := time.Since(began); took > 500*time.Millisecond+noticeGrace {
		t.Errorf("ended %v after the handover, with 500ms left", took)
	}
	env.Lock()
	defer env.Unlock()
	for _, line := range env.notifications {
		if n := gjson.Parse(line); want[n.Get("message").Str] != n.Get("outcome").Str {
			t.Errorf("notification %s", line)
		}
	}
}

// Guards against the same after a panic of the policy engine: its successor makes no step before
// each Retry-After has passed, which may be long after a message's time.
func TestDeadlinePassesWhileRestartedPolicyWaits(t *testing.T) {
	env := startEnv(t, answerOK)
	env.block()
	env.submitWaiting("alert", "waiting", "b", 500)
	began := time.Now()
	env.host.Do(func(h *Host) { h.restartPolicy(h.now()) })
	env.submitWaiting("order", "later", "b", 500)
	env.waitUntil("two notifications", func() bool { return len(env.notifications) >= 2 })
	if took := time.Since(began); took > 500*time.Millisecond+noticeGrace {
		t.Errorf("ended %v after the restart, with 500ms left", took)
	}
	env.host.Do(func(h *Host) { // the wait is over: the policy engine receives nothing that has ended
		h.stepsBlockedUntil = 0
		h.pendingEvents = append(h.pendingEvents, policy.TimerFired{})
	})
	env.waitEmpty()
	env.Lock()
	defer env.Unlock()
	if len(env.calls) > 0 {
		t.Errorf("called %v", env.calls)
	}
}
