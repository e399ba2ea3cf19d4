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

// snapshotFS is a folder of which pictures are taken: what SIGKILL at that moment would leave.
type snapshotFS struct {
	journal.Dir
	mu        sync.Mutex
	snapshots []diskSnapshot
	facts     facts
}

// facts are what has happened outside the relay.
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
	f.fs.snapshot("behind a write")
	return half + n, err
}

// snapshot takes a picture. What the relay tells others of is told behind its writes, so that facts are at most as new as the files.
func (f *snapshotFS) snapshot(at string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := diskSnapshot{at, map[string][]byte{}, f.facts}
	names, _ := f.List()
	for _, name := range names {
		s.files[name], _ = f.Read(name)
	}
	f.snapshots = append(f.snapshots, s)
}

// recordFact books a fact, then takes a picture.
func (f *snapshotFS) recordFact(at string, change func(*facts)) {
	f.mu.Lock()
	change(&f.facts)
	f.mu.Unlock()
	f.snapshot(at)
}

// A relay that is killed at any write, within and behind it, and at each thing that others see of it, goes on as it has to: what was promised
// is there; what was called may have run, and goes by its class; what nobody has seen goes out; what has ended stays ended, and is owed its notice.
func TestKilledBetweenAnyTwoThings(t *testing.T) {
	for _, class := range []string{"alert", "order", "fee"} {
		for _, end := range []string{"delivered", "failed"} {
			t.Run(class+" "+end, func(t *testing.T) {
				film := &snapshotFS{Dir: journal.Dir(t.TempDir())}
				w := startEnvOn(t, film, func(rw http.ResponseWriter, r *http.Request, body string) {
					film.recordFact("the call is read", func(f *facts) { f.endpointCalled = true })
					if end == "failed" {
						panic(http.ErrAbortHandler)
					}
					film.recordFact("the answer is to be written", func(f *facts) { f.endpointAnswered = true })
				})
				w.host.Do(func(h *Host) { // one try, so that the end is there
					s := testSettings()
					s.MaxAttempts = 1
					h.relay.Reconfigure(s)
				})
				if status := w.post(requestText(class, "m", "Idempotency-Key: k\r\n", "body", 5000)); status != 202 {
					t.Fatalf("answered %d", status)
				}
				film.recordFact("the 202 is read", func(f *facts) { f.clientAnswered = true })
				w.waitEmpty()
				if end == "failed" {
					w.waitUntil("the notice", func() bool { return len(w.notifications) > 0 })
					film.recordFact("the notice is taken", func(f *facts) { f.notificationAnswered = true })
				}
				film.mu.Lock()
				defer film.mu.Unlock()
				seen := map[string]bool{}
				for i, s := range film.snapshots {
					seen[checkRestart(t, fmt.Sprintf("picture %d, %s", i, s.moment), s, class)] = true
				}
				want := []string{"nothing", "untried", "over"}
				if want = append(want, "may have run"); end == "failed" {
					want = append(want, "owed")
				}
				for _, state := range want {
					if !seen[state] {
						t.Errorf("no picture shows it %s: %v", state, seen)
					}
				}
			})
		}
	}
}

// checkRestart starts from a picture, checks it against what others had seen, and returns what the next process makes of the message.
func checkRestart(t *testing.T, at string, s diskSnapshot, class string) string {
	t.Helper()
	dir := t.TempDir()
	for name, b := range s.files {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	kept, table, err := journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 3e6, Log: discardLog})
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	known, _ := memory.ParseEndpointList(endpointListJSON("127.0.0.1:1", "in_service", 1))
	h, err := NewHost(HostConfig{Settings: testSettings(), KnownEndpoints: known, Table: table, Journal: kept, Log: discardLog})
	if err != nil {
		t.Fatal(err)
	}
	m := table.ByID("m")
	owed := m != nil && m.Notification != nil
	h.step(h.now())
	goes, notices := len(h.uncommittedCalls), len(h.unqueuedNotifications)
	switch {
	case m == nil && table.RecentlyCompleted("m"):
		if !s.endpointCalled {
			t.Errorf("%s: over, and nobody was called", at)
		}
		if _, v := h.submit(submitRequest{message: &memory.Message{ID: "m", Class: class, Dest: 7}}); !v.duplicate {
			t.Errorf("%s: over, and taken on once more", at)
		}
		return "over"
	case m == nil:
		if s.clientAnswered || s.endpointCalled {
			t.Errorf("%s: lost", at)
		}
		return "nothing"
	case owed:
		if goes != 0 || notices != 1 || !s.endpointCalled {
			t.Errorf("%s: ended, and %d calls, %d notices, called: %v", at, goes, notices, s.endpointCalled)
		}
		return "owed"
	case m.MayHaveRunSince.IsZero():
		if goes != 1 || notices != 0 || s.endpointCalled {
			t.Errorf("%s: untried, and %d calls, %d notices, called: %v", at, goes, notices, s.endpointCalled)
		}
		return "untried"
	case class == "fee":
		if goes != 0 || notices != 1 || m.Notification.Returned {
			t.Errorf("%s: a charge that may have run, and %d calls, %d notices", at, goes, notices)
		}
	case goes != 1 || notices != 0:
		t.Errorf("%s: may be repeated, and %d calls, %d notices", at, goes, notices)
	}
	return "may have run"
}
