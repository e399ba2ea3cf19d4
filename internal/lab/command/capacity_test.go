package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Slopes are printed, written and plotted; an unknown quantity is rejected by name.
func TestCapacity(t *testing.T) {
	dir := t.TempDir()
	rows, plot := filepath.Join(dir, "c.parquet"), filepath.Join(dir, "c.svg")
	code, out, e := runLab("capacity", "--short", "--quantity", "endpoint,member known", "--out", rows, "--plot", plot)
	if code != 0 || !strings.Contains(out, "endpoint") || !strings.Contains(out, "member known") ||
		strings.Contains(out, "OVER") {
		t.Fatalf("%d %s %s", code, out, e)
	}
	if svg, err := os.ReadFile(plot); err != nil || !strings.Contains(string(svg), "<svg") {
		t.Error(err)
	}
	if raw, err := os.ReadFile(rows); err != nil || !strings.HasPrefix(string(raw), "PAR1") {
		t.Error(err)
	}
	if code, _, e := runLab("capacity", "--quantity", "weight"); code != exitError || !strings.Contains(e, `"weight"`) {
		t.Errorf("%d %s", code, e)
	}
}

// Losses are printed and written; invalid flags are rejected by name.
func TestLosses(t *testing.T) {
	rows := filepath.Join(t.TempDir(), "l.parquet")
	code, out, e := runLab("losses", "--members", "16", "--loss", "0", "--kind", "zone,member", "--out", rows)
	if code != 0 || !strings.Contains(out, "zone") || !strings.Contains(out, "member") {
		t.Fatalf("%d %s %s", code, out, e)
	}
	if raw, err := os.ReadFile(rows); err != nil || !strings.HasPrefix(string(raw), "PAR1") {
		t.Error(err)
	}
	for want, args := range map[string][]string{"moon": {"losses", "--kind", "moon"},
		"3 members": {"losses", "--members", "3"}, "loss": {"losses", "--loss", "1"}} {
		if code, _, e := runLab(args...); code != exitError || !strings.Contains(e, want) {
			t.Errorf("%v: %d %s", args, code, e)
		}
	}
}

// Regional events are printed and written; invalid flags are rejected by name.
func TestAssignment(t *testing.T) {
	rows := filepath.Join(t.TempDir(), "a.parquet")
	fleet := []string{"assignment", "--regions", "2", "--relays", "64", "--rack", "8", "--controls", "3",
		"--partitions", "64"}
	code, out, e := runLab(append(fleet, "--event", "relay,mass start", "--out", rows)...)
	if code != 0 || !strings.Contains(out, "relay") || !strings.Contains(out, "mass start") {
		t.Fatalf("%d %s %s", code, out, e)
	}
	if raw, err := os.ReadFile(rows); err != nil || !strings.HasPrefix(string(raw), "PAR1") {
		t.Error(err)
	}
	for want, args := range map[string][]string{
		"moon":                                   {"--event", "moon"},
		"regions: 0":                             {"--regions", "0"},
		"relays: 3":                              {"--relays", "3"},
		"loss: 1":                                {"--loss", "1"},
		"rack: at least 1 relay required, got 0": {"--rack", "0"},
		"zones: 1":                               {"--zones", "1"},
		"partitions: 0":                          {"--partitions", "0"},
		"replicas: 9":                            {"--replicas", "9"},
		"controls: 0":                            {"--controls", "0"},
	} {
		if code, out, e := runLab(append(fleet, args...)...); code != exitError || !strings.Contains(e, want) {
			t.Errorf("%v: %d %s %s", args, code, out, e)
		}
	}
}
