package wire

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/handover"
	"oatfold/internal/handover/share"
	"oatfold/internal/memory/journal"
	"oatfold/internal/testdouble/faultfs"
	"oatfold/policy"
)

// block keeps the policy engine from calling the endpoint, so that messages wait.
func (env *testEnv) block() {
	env.host.Do(func(h *Host) {
		h.endpoints["s-1"].backoff.extend(time.Minute)
		h.relay.ApplyRetryAfter(h.now(), "s-1", time.Minute)
	})
}

// submitWaiting submits a message and returns once the host may transfer it.
func (env *testEnv) submitWaiting(class, id, body string, left int) {
	env.t.Helper()
	if got := env.post(requestText(class, id, "Idempotency-Key: k\r\n", body, left)); got != 202 {
		env.t.Fatalf("%s was answered %d", id, got)
	}
	waitFor(env.t, "the host to learn that the client was answered", func() (answered bool) {
		env.host.Do(func(h *Host) { m := h.table.ByID(id); answered = m != nil && !m.Unanswered })
		return answered
	})
}

// Limits of the processes in tests.
const (
	testDiskLimit   = 3_000_000
	testClientConns = 100 // that a leaving process keeps
)

// diskWith returns a use of the disk with which a process that begins to leave may pass on capacity
// bytes at once; transfers of others take the rest.
func diskWith(h *Host, capacity int64) share.DiskUse {
	needed := h.journal.NeededBytes(testDiskLimit)
	return share.DiskUse{Limit: testDiskLimit, Spooled: max(0, testDiskLimit-needed-4*capacity)}
}

// handOver hands over with transfers of up to capacity bytes at first.
func (env *testEnv) handOver(send func([]byte) error, drained bool, capacity int64) error {
	var use share.DiskUse
	env.host.Do(func(h *Host) { use = diskWith(h, capacity) })
	return env.host.HandOver(Handover{Send: send, ProcessDir: "life-1",
		Use: LeavingUse{Disk: use, ClientConns: testClientConns}, Drained: drained})
}

// transferRemaining transfers what is left, with nothing in the spool.
func (env *testEnv) transferRemaining() {
	env.host.TransferRemaining(LeavingUse{Disk: share.DiskUse{Limit: testDiskLimit}, ClientConns: testClientConns}, true)
}

// handOverTo has a host without its event loop hand over.
func handOverTo(h *Host, send func([]byte) error) {
	h.leavingProcess = newLeaving(Handover{Send: send, Use: LeavingUse{Disk: diskWith(h, share.MaxTransferBytes),
		ClientConns: testClientConns}}, h.journal, h.pendingLimit())
}

// transferRecorder collects what a host transfers.
type transferRecorder struct {
	ids     []string
	pending []string // ids of ordered messages that stay, as last told
}

// send runs on the host's goroutine.
func (r *transferRecorder) send(b []byte) error {
	messages, text, err := journal.DecodeTransfer(b, clock.Scale{})
	if err != nil {
		return err
	}
	update, err := handover.Decode(text)
	r.pending = nil
	for _, m := range messages {
		r.ids = append(r.ids, m.ID)
	}
	for _, m := range update.PendingOrdered {
		r.pending = append(r.pending, m.ID)
	}
	return err
}

// Guards against an upgrade in which one message of the largest size kept all others in the process
// that left, where nobody sent or ended them: the largest one has room in a transfer.
func TestLargestMessageIsTransferred(t *testing.T) {
	env := startEnv(t, answerOK)
	env.block()
	env.submitWaiting("order", "large", strings.Repeat("x", maxBody), 9000)
	env.submitWaiting("alert", "small", "b", 5000)
	var transferred transferRecorder
	if err := env.handOver(transferred.send, false, share.MaxTransferBytes); err != nil {
		t.Fatal(err)
	}
	env.transferRemaining()
	env.host.Do(func(*Host) {
		if !slices.Equal(transferred.ids, []string{"large", "small"}) {
			t.Errorf("transferred %v", transferred.ids)
		}
	})
}

// Guards against the same where the disk has no room for the large message: smaller ones pass it,
// and the next process is told what stays, so that it keeps the order of an ordering key.
func TestTransferPassesOverWhatDoesNotFit(t *testing.T) {
	env := startEnv(t, answerOK)
	env.block()
	env.host.Do(func(h *Host) {
		class := h.classes["order"]
		class.Ordered = true
		h.classes["order"] = class
	})
	env.submitWaiting("order", "large", strings.Repeat("x", 20_000), 9000)
	env.submitWaiting("alert", "small", "b", 5000)
	env.host.Do(func(h *Host) { h.table.ByID("large").OrderingKey = "k" })
	const room = 10_000
	var transferred transferRecorder
	if err := env.handOver(transferred.send, false, room); err != nil {
		t.Fatal(err)
	}
	env.submitWaiting("alert", "later", "b", 5000)
	env.host.Do(func(h *Host) { h.transferPending(h.leavingProcess, &handover.Update{}, room) })
	env.host.Do(func(*Host) {
		if !slices.Equal(transferred.ids, []string{"small", "later"}) ||
			!slices.Equal(transferred.pending, []string{"large"}) {
			t.Errorf("transferred %v, still pending %v", transferred.ids, transferred.pending)
		}
	})
}

// Guards against an upgrade in which a relay of many endpoints forgets what it learned of them:
// that is passed on whatever its size, as long as the folder has room, and the endpoint list is
// left out first.
func TestLargeUpdateIsPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		free                  int64 // of the share
		wantList, wantLearned bool
	}{
		"room for all":              {400_000, true, true},
		"room for what was learned": {230_000, false, true},
		"room for neither":          {20_000, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHostOn(t, faultfs.New())
			update := &handover.Update{LearnedState: &policy.LearnedState{}, EndpointList: &handover.EndpointList{}}
			for n := range 800 {
				id := fmt.Sprintf("endpoint-%04d", n)
				update.LearnedState.Routes = append(update.LearnedState.Routes, policy.RouteState{Endpoint: id})
				update.EndpointList.Endpoints = append(update.EndpointList.Endpoints,
					handover.ListedEndpoint{HostPort: "127.0.0.1:80", Endpoint: policy.Endpoint{Address: id}})
			}
			handOverTo(h, func([]byte) error { return nil })
			leaving := h.leavingProcess
			leaving.use.Spooled = leaving.disk.Bytes() - leaving.use.Needed - c.free
			size := leaving.fitUpdate(update)
			if (update.EndpointList != nil) != c.wantList || (update.LearnedState != nil) != c.wantLearned {
				t.Errorf("list %v, learned %v, %+v in %d bytes", update.EndpointList != nil, update.LearnedState != nil,
					size, c.free)
			}
		})
	}
}

// Guards against a planned stop with half a journal: a process whose handover can't begin has the
// whole budget again.
func TestFailedHandoverKeepsJournalBudget(t *testing.T) {
	env := startEnv(t, answerOK)
	if err := env.handOver(func([]byte) error { return journal.ErrUnavailable }, false, 0); err == nil {
		t.Fatal("handed over without a transfer")
	}
	env.host.Do(func(h *Host) {
		if budget := h.journal.SpaceUse().Budget; budget != testDiskLimit || h.leavingProcess != nil {
			t.Errorf("the journal may use %d bytes, want %d", budget, testDiskLimit)
		}
	})
}
