package study_test

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"oatfold/internal/lab/report"
	"oatfold/internal/lab/site"
	"oatfold/internal/lab/study"
)

const smokeExperiment = "../../../lab/smoke.textproto"

var resultFiles = []string{"results.parquet", "seconds.parquet", "dests.parquet"}

// An interrupted experiment resumes and gives the same files as an uninterrupted one; a truncated
// result is run again.
func TestResume(t *testing.T) {
	wholeDir, interruptedDir := t.TempDir(), t.TempDir()
	if err := study.Run(context.Background(), smokeExperiment, 7, wholeDir, nil); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	err := study.Run(ctx, smokeExperiment, 7, interruptedDir, func(n, of int) {
		if n == 3 {
			stop()
		}
	})
	if !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if _, err := study.Read(interruptedDir); err == nil {
		t.Error("an interrupted experiment has results")
	}
	days, _ := filepath.Glob(filepath.Join(interruptedDir, "days", "*.json"))
	if len(days) < 3 || len(days) >= 12 {
		t.Fatalf("%d results saved", len(days))
	}
	if err := os.Truncate(days[0], 40); err != nil {
		t.Fatal(err)
	}
	if err := study.Run(context.Background(), smokeExperiment, 7, interruptedDir, nil); err != nil {
		t.Fatal(err)
	}
	for _, f := range resultFiles {
		a, _ := os.ReadFile(filepath.Join(wholeDir, f))
		b, _ := os.ReadFile(filepath.Join(interruptedDir, f))
		if len(a) == 0 || !bytes.Equal(a, b) {
			t.Errorf("%s differs: %d and %d bytes", f, len(a), len(b))
		}
	}
	if err := study.Run(context.Background(), smokeExperiment, 8, interruptedDir, nil); err == nil {
		t.Error("the results of another seed were reused")
	}
	res, err := study.Read(wholeDir)
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := report.Write(&page, res, "smoke", "a question & an answer", "source", ""); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"half-slots beside as-is", "a question &amp; an answer", "No rule was broken"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if n := strings.Count(page.String(), "<svg"); n != 4 || strings.Contains(page.String(), "NaN") {
		t.Errorf("%d plots", n)
	}
}

// The confidence interval contains a known difference, and is empty for identical variants.
func TestCompare(t *testing.T) {
	var base, arm, same []study.Row
	for i := range 40 {
		r := study.Row{Arm: "a", Day: "d", Seed: uint64(i), G: 0.5 + 0.01*float64(i%7)}
		base, same = append(base, r), append(same, r)
		r.Arm, r.G = "b", r.G+0.1+0.02*float64(i%3-1)
		arm = append(arm, r)
	}
	d := study.Compare(base, append(arm, study.Row{Arm: "b", Seed: 99}))[0]
	if d.Pairs != 40 || math.Abs(d.Diff-0.1) > 0.005 || d.Low > 0.1 || d.High < 0.1 || d.Low < 0.09 || d.High > 0.11 {
		t.Errorf("%+v", d)
	}
	if d := study.Compare(base, same)[0]; d.Diff != 0 || d.Low != 0 || d.High != 0 {
		t.Errorf("identical variants: %+v", d)
	}
	if r := study.RankCorrelation([]float64{1, 2, 3, 4}, []float64{10, 20, 15, 40}); math.Abs(r-0.8) > 1e-9 {
		t.Errorf("rank correlation %g, want 0.8", r)
	}
}

// Errors of invalid files name the file and the key.
func TestErrorsNameFileAndKey(t *testing.T) {
	dir := t.TempDir()
	raw, err := os.ReadFile("../../../lab/site.textproto")
	if err != nil {
		t.Fatal(err)
	}
	for key, edit := range map[string][2]string{
		"rate: from":        {"rate { from: 3.5 to: 4.5 }", "rate { from: nan }"},
		"clump_for_s: from": {"clump_for_s { from: 2 to: 3.4 }", "clump_for_s { from: 3 to: 2 }"},
		"network.rtt_ms: ":  {"rtt_ms { from: 15 to: 45 }", "rtt_ms { from: -1 to: 4 }"},
		"class[1].aim_s: ":  {"aim_s: 3 ", "aim_s: inf "},
		"unknown field":     {"zipf {", "zipff {"},
	} {
		file := filepath.Join(dir, "site.textproto")
		os.WriteFile(file, []byte(strings.Replace(string(raw), edit[0], edit[1], 1)), 0o600)
		if _, err := site.ReadSite(file); err == nil || !strings.Contains(err.Error(), key) ||
			!strings.Contains(err.Error(), file) {
			t.Errorf("%s: %v", key, err)
		}
	}
	for key, text := range map[string]string{
		"site: ":        `arm { name: "a" }`,
		"arm: none":     `site: "site.textproto"`,
		"arm[1].name: ": `site: "site.textproto" arm { name: "a" } arm { name: "a" }`,
		"baseline: ":    `site: "site.textproto" arm { name: "a" } baseline: "b"`,
		"arm[0].module": `site: "site.textproto" arm { name: "a" module: "none" }`,
	} {
		os.WriteFile(filepath.Join(dir, "site.textproto"), raw, 0o600)
		file := filepath.Join(dir, "e.textproto")
		os.WriteFile(file, []byte(text), 0o600)
		if err := study.Run(context.Background(), file, 1, filepath.Join(dir, "out"), nil); err == nil ||
			!strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}
