package journal_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/memory/journal/plan"
	"oatfold/internal/testdouble/faultfs"
)

// A journal that refuses messages for lack of space logs once per Maintain what fills it.
func TestFullJournalIsReported(t *testing.T) {
	var log bytes.Buffer
	j, table, err := journal.Open(journal.Config{
		FS: faultfs.New(), Budget: smallBudget, Log: slog.New(slog.NewTextHandler(&log, nil)), CompactInline: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	j.Maintain()
	if log.Len() > 0 {
		t.Errorf("logged with space left: %s", log.String())
	}
	refused := 0
	for n := range 200 {
		m := &memory.Message{
			Number: table.NextNumber(), ID: fmt.Sprint("id", n), Class: "c", Deadline: wall, Body: make([]byte, 2000),
		}
		if j.AppendAccepted(table, m, true) != nil {
			refused++
			continue
		}
		j.Commit()
	}
	j.Maintain()
	j.Maintain()
	use := j.SpaceUse()
	if use.Pending != 200-refused || use.Live < int64(2000*use.Pending) || use.Used > use.Budget ||
		use.Dead >= plan.BlockSize {
		t.Errorf("%+v with %d refused", use, refused)
	}
	for _, want := range []string{fmt.Sprint("refused=", refused), fmt.Sprint("space.live=", use.Live)} {
		if strings.Count(log.String(), want) != 1 {
			t.Errorf("%s is not once in %s", want, log.String())
		}
	}
}
