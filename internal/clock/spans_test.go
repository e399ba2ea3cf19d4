package clock

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// mayConvertDates lists the files that may convert between times and dates, with the reason.
// Elsewhere that would measure durations on the wall clock, which may be stepped.
var mayConvertDates = map[string]string{
	"internal/clock/clock.go":            "converts dates",
	"internal/clock/anchor_linux.go":     "reads the anchor",
	"internal/clock/anchor_other.go":     "reads the anchor",
	"internal/choice/time_slot.go":       "relays' time slots use the clock that all machines share",
	"internal/daemon/config/config.go":   "a seed",
	"internal/wire/members.go":           "a seed",
	"internal/wire/sites.go":             "a seed",
	"internal/wire/host.go":              "calls in time slots use the clock that all machines share",
	"internal/wire/handover.go":          "dates on the scale, in a JSON file",
	"internal/memory/fields.go":          "the journal's legacy format",
	"internal/memory/legacy.go":          "the journal's legacy format",
	"internal/memory/journal/inspect.go": "shown to an operator",
}

var dateConversion = regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(\)|time\.Unix(Micro|Milli)?\([^1]`)

// No duration is measured on the wall clock: timeouts and deadlines would be wrong when it is
// stepped.
func TestNoSpansOnTheWallClock(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, _ := filepath.Rel(root, path)
		name = filepath.ToSlash(name)
		if entry.IsDir() && (name == ".git" || name == "journal" || name == "internal/lab" ||
			name == "internal/testdouble" || name == "internal/soak" || name == "internal/ci") {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") ||
			mayConvertDates[name] != "" {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for n, line := range strings.Split(string(text), "\n") {
			if dateConversion.MatchString(line) {
				t.Errorf("%s:%d converts between a time and a date: %s", name, n+1, strings.TrimSpace(line))
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
