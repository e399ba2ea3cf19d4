package wire

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/testdouble/faultfs"
)

// A notification waits until its record is in the journal, or until its message's deadline.
// Otherwise a process killed in between would be followed by one that sends a message which its
// client already submits elsewhere.
func TestNotificationWaitsForRecord(t *testing.T) {
	d := faultfs.New()
	h := newTestHostOn(t, d)
	early, late := h.addMessage("early", 7, 1), h.addMessage("late", 7, 1)
	late.Deadline = time.Now()
	for n := 1; n < 20; n++ {
		d.InjectFault(d.OperationCount()+n, faultfs.Error)
	}
	h.completeByNotification(early.Number, memory.Notification{Returned: true})
	h.completeByNotification(late.Number, memory.Notification{})
	h.commit()
	h.flushNotifications()
	if n := len(h.notifications); n != 1 || (<-h.notifications).id != "late" {
		t.Fatalf("%d notifications were sent without a record", n)
	}
	for h.journal.HasUnwritten() { // the disk works again after its failures
		h.commit()
	}
	h.flushNotifications()
	if len(h.notifications) != 1 || (<-h.notifications).id != "early" {
		t.Error("the notification was not sent after its record")
	}
}

// Unordered messages of an iteration whose ordered ones could not be announced are accepted,
// recorded as answered and logged.
func TestUnorderedRequestsBesideUnannounced(t *testing.T) {
	var text bytes.Buffer
	h := newTestHostOn(t, faultfs.New())
	h.log = slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: slog.LevelDebug}))
	handOverTo(h, func([]byte) error { return errors.New("spool is full") })
	answers := map[string]chan submitResult{}
	for id, subject := range map[string]string{"plain": "", "ordered": "s"} {
		m := &memory.Message{ID: id, Class: "alert", Dest: 7, Deadline: time.Now().Add(time.Hour), Body: []byte("b")}
		m.OrderingKey = subject
		answers[id] = make(chan submitResult, 1)
		h.handleEvent(submitRequest{m, answers[id]})
	}
	h.commit()
	if plain, ordered := <-answers["plain"], <-answers["ordered"]; !plain.accepted || ordered.accepted ||
		ordered.duplicate {
		t.Errorf("answered %+v and %+v", plain, ordered)
	}
	if log := text.String(); !strings.Contains(log, "message=plain") || strings.Contains(log, "message=ordered") {
		t.Errorf("accepted messages in the log: %q", log)
	}
}

// newTestHostOn returns a host without its event loop, whose journal is in the given folder.
func newTestHostOn(t *testing.T, fs journal.FS) *Host {
	t.Helper()
	store, table, err := journal.Open(journal.Config{FS: fs, Budget: 3e6, Log: discardLog, CompactInline: true})
	if err != nil {
		t.Fatal(err)
	}
	known, err := memory.ParseEndpointList(endpointListJSON("127.0.0.1:1", "in_service", 1))
	if err != nil {
		t.Fatal(err)
	}
	h, err := NewHost(HostConfig{Settings: testSettings(), KnownEndpoints: known, Table: table, Journal: store,
		Log: discardLog})
	if err != nil {
		t.Fatal(err)
	}
	return h
}
