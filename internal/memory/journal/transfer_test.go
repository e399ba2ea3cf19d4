package journal

import (
	"bytes"
	"testing"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
)

// A transfer keeps the state of messages, including bodies that were in memory only. A truncated or
// corrupted file is detected.
func TestTransferDetectsDamage(t *testing.T) {
	uncertainSince := time.UnixMicro(1_700_000_000_000_000)
	messages := []*memory.Message{
		{Number: 9, ID: "a", Class: "fee", IdempotencyKey: "k", Dest: 7,
			Body: []byte("body"), PluginNotes: []byte("noted"), Deadline: uncertainSince, Attempts: 2,
			MayHaveRunSince: uncertainSince},
		{Number: 3, ID: "b", Class: "alert", Body: []byte("only in memory"), MemoryOnly: true, Deadline: uncertainSince},
	}
	raw := EncodeTransfer(messages, []byte("news"), clock.Scale{})
	got, metadata, err := DecodeTransfer(raw, clock.Scale{})
	if err != nil || string(metadata) != "news" || len(got) != 2 {
		t.Fatalf("%v, %q, %v", got, metadata, err)
	}
	if a := got[0]; a.ID != "a" || a.IdempotencyKey != "k" || a.Dest != 7 || string(a.Body) != "body" ||
		string(a.PluginNotes) != "noted" || a.Attempts != 2 || !a.MayHaveRunSince.Equal(uncertainSince) {
		t.Errorf("%+v", a)
	}
	if b := got[1]; b.ID != "b" || string(b.Body) != "only in memory" ||
		b.MemoryOnly || !b.MayHaveRunSince.IsZero() || !messages[1].MemoryOnly {
		t.Errorf("%+v", b)
	}
	for n := range raw {
		if _, _, err := DecodeTransfer(raw[:n], clock.Scale{}); err == nil {
			t.Fatalf("file truncated at %d is accepted", n)
		}
		flipped := bytes.Clone(raw)
		flipped[n] ^= 1
		if _, _, err := DecodeTransfer(flipped, clock.Scale{}); err == nil && n >= headerSize {
			t.Fatalf("file corrupted at %d is accepted", n)
		}
	}
}

// A transferred message is recovered once it is committed.
func TestTransferredMessageIsRecovered(t *testing.T) {
	dir := Dir(t.TempDir())
	j, table, err := Open(Config{FS: dir, Budget: 1 << 20, CompactInline: true, Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	uncertainSince := time.UnixMicro(1_700_000_000_000_000)
	j.AppendTransferred(table, &memory.Message{
		Number: table.NextNumber(), ID: "a", Class: "fee", Body: []byte("body"),
		Attempts: 2, MayHaveRunSince: uncertainSince,
	})
	if !j.HasUnwritten() {
		t.Error("no record waits to be written")
	}
	if acceptErr, attemptErr := j.Commit(); acceptErr != nil || attemptErr != nil || j.HasUnwritten() {
		t.Fatal(acceptErr, attemptErr)
	}
	j.Close()
	j, table, err = Open(Config{FS: dir, Budget: 1 << 20, CompactInline: true, Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if m := table.ByID("a"); m == nil || m.Attempts != 2 || !m.MayHaveRunSince.Equal(uncertainSince) ||
		string(m.Body) != "body" {
		t.Errorf("%+v", m)
	}
}
