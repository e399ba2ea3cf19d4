package wire

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
)

// snapshotFS is a folder that is copied at given moments, as a SIGKILL would leave it.
type snapshotFS struct {
	journal.Dir
	mu        sync.Mutex
	snapshots []diskSnapshot
	facts     facts
}

// facts are what other programs have observed.
type facts struct{ clientAnswered, endpointCalled, endpointAnswered, notificationAnswered bool }

type diskSnapshot struct {
	moment string
	files  map[string][]byte
	facts
}

type snapshotFile struct {
	journal.File
	fs *snapshotFS
}

func (f *snapshotFS) Create(name string) (journal.File, error) {
	made, err := f.Dir.Create(name)
	return snapshotFile{made, f}, err
}

func (f snapshotFile) Write(b []byte) (int, error) {
	f.fs.snapshot("before a write")
	half, err := f.File.Write(b[:len(b)/2])
	if err != nil {
		return half, err
	}
	f.fs.snapshot("within a write")
	n, err := f.File.Write(b[len(b)/2:])
	f.fs.snapshot("after a write")
	return half + n, err
}

// snapshot copies the files. The relay reports to others only after its writes, so the facts are
// never newer than the files.
func (f *snapshotFS) snapshot(moment string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := diskSnapshot{moment, map[string][]byte{}, f.facts}
	names, _ := f.List()
	for _, name := range names {
		s.files[name], _ = f.Read(name)
	}
	f.snapshots = append(f.snapshots, s)
}

// recordFact records a fact, then takes a snapshot.
func (f *snapshotFS) recordFact(moment string, change func(*facts)) {
	f.mu.Lock()
	change(&f.facts)
	f.mu.Unlock()
	f.snapshot(moment)
}

// Restarts from snapshots before, within and after each write and at each externally visible event:
// an accepted message is present, one that was called may have run, one that was not called is
// sent, and a completed one stays so and is owed its notification.
func TestKilledAtAnyMoment(t *testing.T) {
	for _, class := range []string{"alert", "order", "fee"} {
		for _, end := range []string{"delivered", "failed"} {
			t.Run(class+" "+end, func(t *testing.T) {
				fs := &snapshotFS{Dir: journal.Dir(t.TempDir())}
				env := startEnvOn(t, fs, func(rw http.ResponseWriter, r *http.Request, body string) {
					fs.recordFact("the call was received", func(f *facts) { f.endpointCalled = true })
					if end == "failed" {
						panic(http.ErrAbortHandler)
					}
					fs.recordFact("the response is about to be written", func(f *facts) { f.endpointAnswered = true })
				})
				env.host.Do(func(h *Host) { // one attempt, so that a failure completes the message
					s := testSettings()
					s.MaxAttempts = 1
					h.relay.Reconfigure(s)
				})
				if status := env.post(requestText(class, "m", "Idempotency-Key: k\r\n", "body", 5000)); status != 202 {
					t.Fatalf("answered %d", status)
				}
				fs.recordFact("the 202 was received", func(f *facts) { f.clientAnswered = true })
				env.waitEmpty()
				if end == "failed" {
					env.waitUntil("the notification", func() bool { return len(env.notifications) > 0 })
					fs.recordFact("the notification was acknowledged",
						func(f *facts) { f.notificationAnswered = true })
				}
				fs.mu.Lock()
				defer fs.mu.Unlock()
				seen := map[string]bool{}
				for i, s := range fs.snapshots {
					seen[checkRestart(t, fmt.Sprintf("snapshot %d, %s", i, s.moment), s, class)] = true
				}
				want := []string{"nothing", "untried", "over"}
				if want = append(want, "may have run"); end == "failed" {
					want = append(want, "owed")
				}
				for _, state := range want {
					if !seen[state] {
						t.Errorf("no snapshot is in state %q: %v", state, seen)
					}
				}
			})
		}
	}
}

// checkRestart starts from a snapshot, checks it against the facts, and returns the state of the
// message in the next process.
func checkRestart(t *testing.T, moment string, s diskSnapshot, class string) string {
	t.Helper()
	dir := t.TempDir()
	for name, b := range s.files {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	store, table, err := journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 3e6, Log: discardLog})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	known, _ := memory.ParseEndpointList(endpointListJSON("127.0.0.1:1", "in_service", 1))
	h, err := NewHost(HostConfig{Settings: testSettings(), KnownEndpoints: known, Table: table, Journal: store,
		Log: discardLog})
	if err != nil {
		t.Fatal(err)
	}
	m := table.ByID("m")
	owed := m != nil && m.Notification != nil
	h.step(h.now())
	calls, notifications := len(h.uncommittedCalls), len(h.waitingNotifications)
	switch {
	case m == nil && table.RecentlyCompleted("m"):
		if !s.endpointCalled {
			t.Errorf("%s: completed without a call", moment)
		}
		if _, v := h.submit(submitRequest{message: &memory.Message{ID: "m", Class: class, Dest: 7}}); !v.duplicate {
			t.Errorf("%s: completed, and accepted again", moment)
		}
		return "over"
	case m == nil:
		if s.clientAnswered || s.endpointCalled {
			t.Errorf("%s: lost", moment)
		}
		return "nothing"
	case owed:
		if calls != 0 || notifications != 1 || !s.endpointCalled {
			t.Errorf("%s: owed: %d calls, %d notifications, called: %v", moment, calls, notifications, s.endpointCalled)
		}
		return "owed"
	case m.MayHaveRunSince.IsZero():
		if calls != 1 || notifications != 0 || s.endpointCalled {
			t.Errorf("%s: never called: %d calls, %d notifications, called: %v", moment, calls, notifications,
				s.endpointCalled)
		}
		return "untried"
	case class == "fee":
		if calls != 0 || notifications != 1 || m.Notification.Returned {
			t.Errorf("%s: may have run and must not run twice: %d calls, %d notifications", moment, calls,
				notifications)
		}
	case calls != 1 || notifications != 0:
		t.Errorf("%s: may be retried: %d calls, %d notifications", moment, calls, notifications)
	}
	return "may have run"
}
