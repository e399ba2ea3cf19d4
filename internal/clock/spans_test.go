package clock

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// dated are the places that turn a time into a date or back, and why they may: all others would measure a span on the wall clock, which is stepped.
var dated = map[string]string{
	"internal/clock/clock.go":            "this is where dates are made",
	"internal/clock/mark_linux.go":       "the mark itself",
	"internal/clock/mark_other.go":       "the mark itself",
	"internal/choice/turn.go":            "turns of relays go by the clock that all machines share",
	"internal/daemon/config/config.go":   "a seed",
	"internal/wire/members.go":           "a seed",
	"internal/wire/sites.go":             "a seed",
	"internal/wire/host.go":              "calls in turns go by the clock that all machines share",
	"internal/wire/handover.go":          "dates on the scale, in a file that is JSON",
	"internal/memory/fields.go":          "the journal's first form",
	"internal/memory/legacy.go":          "the journal's first form",
	"internal/memory/journal/inspect.go": "shown to a person",
}

var dates = regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(\)|time\.Unix(Micro|Milli)?\([^1]`)

// No span is measured on the wall clock: waits, windows and deadlines that went by it were opened, kept and broken as it was stepped.
func TestNoSpansOnTheWallClock(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, _ := filepath.Rel(root, path)
		name = filepath.ToSlash(name)
		if entry.IsDir() && (name == ".git" || name == "journal" || name == "internal/lab" || name == "internal/testdouble" || name == "internal/soak" || name == "internal/ci") {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || dated[name] != "" {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for n, line := range strings.Split(string(text), "\n") {
			if dates.MatchString(line) {
				t.Errorf("%s:%d turns a time into a date: %s", name, n+1, strings.TrimSpace(line))
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
