package command

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"
	"github.com/tidwall/gjson"

	"oatfold/internal/lab/overload"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
)

func runLab(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(args, &o, &e)
	return code, o.String(), e.String()
}

// The export has a row for each record and message of an open journal, and no message bodies.
func TestJournalExport(t *testing.T) {
	dir := t.TempDir()
	j, table, err := journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 1 << 20,
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	var msgs []*memory.Message
	for range 3 {
		m := &memory.Message{Number: table.NextNumber(), ID: "id", Class: "fee-charge", Dest: 7,
			Deadline: time.Unix(9, 0), Body: []byte("secret")}
		if err := j.AppendAccepted(table, m, false); err != nil {
			t.Fatal(err)
		}
		msgs = append(msgs, m)
	}
	j.AppendAttempt(time.Unix(3, 0), msgs)
	j.AppendCompleted(msgs[0], false)
	if acceptErr, sendErr := j.Commit(); acceptErr != nil || sendErr != nil {
		t.Fatal(acceptErr, sendErr)
	}
	file := filepath.Join(t.TempDir(), "audit.parquet")
	if code, _, e := runLab("journal-export", dir, "--out", file); code != 0 {
		t.Fatal(code, e)
	}
	rows, err := parquet.ReadFile[auditRow](file)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]int{}
	for _, r := range rows {
		kinds[r.Kind]++
		if r.Kind == "taken" && (r.Dest == nil || *r.Dest != 7 || r.AtUs != 9_000_000) ||
			r.Kind == "out" && r.AtUs != 3_000_000 {
			t.Errorf("%+v", r)
		}
	}
	if kinds["taken"] != 3 || kinds["out"] != 3 || kinds["over"] != 1 || len(rows) != 7 {
		t.Errorf("rows: %v", kinds)
	}
	if raw, _ := os.ReadFile(file); bytes.Contains(raw, []byte("secret")) {
		t.Error("the export contains a message body")
	}
	if code, _, e := runLab("journal-export", filepath.Join(dir, "none"), "--out", file); code != exitError ||
		!strings.Contains(e, "not a directory") {
		t.Errorf("missing directory: %d %s", code, e)
	}
}

// Exit codes distinguish success, regression, usage and other errors.
func TestExitCodes(t *testing.T) {
	lab := "../../../lab/"
	a, b := t.TempDir(), t.TempDir()
	for dir, file := range map[string]string{a: lab + "smoke.textproto", b: filepath.Join(b, "half.textproto")} {
		raw, err := os.ReadFile(lab + "smoke.textproto")
		if err != nil {
			t.Fatal(err)
		}
		if dir == b { // the same scenarios with a third of the concurrency limit
			text := strings.ReplaceAll(string(raw), `"as-is"`, `"as-is" slots_times: 0.3`)
			abs, _ := filepath.Abs(lab)
			text = strings.NewReplacer(`"site.`, `"`+relativePath(t, b, abs)+`/site.`, `"days/`,
				`"`+relativePath(t, b, abs)+`/days/`).Replace(text)
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if code, _, e := runLab("run", file, "--out", dir); code != 0 {
			t.Fatal(code, e)
		}
	}
	for _, c := range []struct {
		code int
		args string
	}{{0, "compare " + a + " " + a}, {exitRegression, "compare " + a + " " + b},
		{0, "compare " + a + " " + b + " --loss 1"}, {exitUsage, "run --nonsense"},
		{exitError, "day " + lab + "none.textproto"}, {exitError, "compare " + a + " " + t.TempDir()},
		{0, "day " + lab + "days/calm.textproto"}} {
		if code, out, e := runLab(strings.Fields(c.args)...); code != c.code {
			t.Errorf("%s: exit code %d, want %d: %s%s", c.args, code, c.code, out, e)
		}
	}
}

func relativePath(t *testing.T, from, to string) string {
	t.Helper()
	r, err := filepath.Rel(from, to)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Membership results are printed as tables and JSON, with a plot; invalid flags and unsupported
// scenarios are rejected by name.
func TestMembersAndFleetCommands(t *testing.T) {
	plot := filepath.Join(t.TempDir(), "m.svg")
	code, out, e := runLab("members", "--relays", "3,10", "--loss", "0,0.2", "--plot", plot)
	svg, err := os.ReadFile(plot)
	if code != 0 || !strings.Contains(out, "bytes a s") || !strings.Contains(out, "heartbeats to all") ||
		err != nil || !strings.Contains(string(svg), "<svg") {
		t.Fatalf("%d %s %s %v", code, out, e, err)
	}
	if code, out, _ := runLab("members", "--relays", "5", "--loss", "0", "--json"); code != 0 ||
		!strings.Contains(out, `"median"`) || !strings.Contains(out, `"unknown": 0`) {
		t.Errorf("%d %s", code, out)
	}
	if a, b := runOK(t, "members", "--relays", "5", "--loss", "0.3"),
		runOK(t, "members", "--relays", "5", "--loss", "0.3"); a != b {
		t.Error("the same seed gives different results")
	}
	for want, args := range map[string][]string{"relays": {"members", "--relays", "1"},
		"loss": {"members", "--loss", "1"}, "the relay": {"fleet", "../../../lab/fleet/one-deaf.textproto", "--relay",
			"/nowhere"},
		"members: the scenario must enable membership": {"fleet", "../../../lab/days/lost-relay.textproto", "--relay",
			"/dev/null"}} {
		if code, _, e := runLab(args...); code != exitError || !strings.Contains(e, want) {
			t.Errorf("%v: %d %s", args, code, e)
		}
	}
}

func runOK(t *testing.T, args ...string) string {
	t.Helper()
	code, out, e := runLab(args...)
	if code != 0 {
		t.Fatal(code, e)
	}
	return out
}

// The production method is balanced and moves few pairs, each alternative fails at one of them,
// each subset covers all zones, and invalid flags are rejected by name.
func TestSubsets(t *testing.T) {
	out := gjson.Parse(runOK(t, "subsets", "--relays", "90", "--endpoints", "30", "--subset", "6", "--zones", "3",
		"--others", "--json"))
	if n := len(out.Array()); n != 5 {
		t.Fatalf("%d methods", n)
	}
	for i, f := range out.Array() {
		even := f.Get("max_per_endpoint").Num <= 1.15*f.Get("mean_per_endpoint").Num &&
			f.Get("min_per_endpoint").Num >= 0.85*f.Get("mean_per_endpoint").Num
		still := f.Get("moved_on_join").Int() <= 24 && f.Get("moved_on_leave").Int() <= 24
		if good := even && still; good != (i == 0) || f.Get("mean_per_endpoint").Num != 18 {
			t.Errorf("%s", f.Raw)
		}
	}
	if f := out.Array()[0]; f.Get("subsets_without_a_zone").Int() != 0 ||
		f.Get("moved_on_endpoint_leave").Int() < f.Get("pairs_of_the_endpoint_that_left").Int() {
		t.Errorf("%s", f.Raw)
	}
	down := gjson.Parse(runOK(t, "subsets", "--relays", "90", "--dead", "9", "--endpoints", "30", "--subset", "6",
		"--json"))
	if down.Get("moved_on_leave_mean").Num > 24 || down.Get("spread").Num > 0.2 {
		t.Errorf("%s", down.Raw)
	}
	if text := runOK(t, "subsets"); !strings.Contains(text, "in service") {
		t.Error(text)
	}
	for want, args := range map[string][]string{"relays": {"subsets", "--relays", "1"},
		"subset": {"subsets", "--subset", "0"}, "dead": {"subsets", "--dead", "-1"}} {
		if code, _, e := runLab(args...); code == 0 || !strings.Contains(e, want) {
			t.Errorf("%v: %d %s", args, code, e)
		}
	}
}

// The overload experiment prints and writes a row for each cell, and is deterministic.
func TestOverload(t *testing.T) {
	dir := t.TempDir()
	file, svg := filepath.Join(dir, "rows.parquet"), filepath.Join(dir, "plot.svg")
	args := []string{"overload", "--quick", "--batch", "5", "--senders", "2", "--out", file, "--plot", svg}
	code, out, e := runLab(args...)
	if code != 0 {
		t.Fatal(code, e)
	}
	rows, err := parquet.ReadFile[overload.Row](file)
	if err != nil || len(rows) != 4 { // two limits, two loads
		t.Fatal(len(rows), err)
	}
	for _, r := range rows {
		if r.Batch != 5 || r.Relays != 2 || r.Offered == 0 || r.Goodput <= 0 {
			t.Errorf("%+v", r)
		}
	}
	if info, err := os.Stat(svg); err != nil || info.Size() == 0 {
		t.Error("no plot", err)
	}
	if _, again, _ := runLab(args...); again != out {
		t.Errorf("two runs differ:\n%s\n%s", out, again)
	}
	for _, bad := range [][]string{{"--limit", "none"}, {"--batch", "0"}, {"--lowered", "0"}} {
		if code, _, e := runLab(append([]string{"overload", "--quick"}, bad...)...); code != exitError || e == "" {
			t.Errorf("%v: exit code %d, %q", bad, code, e)
		}
	}
}
