package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// module is the test file of a package with a passing test and two failing ones.
const module = `package a

import (
	"flag"
	"testing"
)

var seed = flag.Int("seed", 1, "")

func TestGreen(t *testing.T) {}
func TestSeeded(t *testing.T) {
	if *seed == 7 {
		t.Error("red")
	}
}
func TestRed(t *testing.T)   { t.Error("red") }
func TestRedToo(t *testing.T) { t.Run("sub", func(t *testing.T) { t.Error("red") }) }
`

// runModule writes a small module with that list and two test files, and runs its tests.
func runModule(t *testing.T, known, a, b string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"go.mod": "module m\n\ngo 1.24\n", "a/a_test.go": a, "b/b_test.go": b, listFile: known,
	} {
		if name == listFile && known == "absent" {
			continue
		}
		os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700)
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	err := runner{dir, &out}.run()
	return out.String(), err
}

// Only listed tests may fail; any other failure, and any wrong entry of the list, fails the run.
func TestKnownRed(t *testing.T) {
	green := "package b\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) {}\n"
	red := strings.Replace(green, "{}", "{ t.Fail() }", 1)
	one, two := "./a TestRed | it is | issue 31\n", "./a TestRedToo/sub | it is, too | issue A\n"
	seeded := func(command, seed string) string {
		return one + two + "./a TestSeeded | " + command + " | " + seed + " | it is | issue 31\n"
	}
	for name, c := range map[string]struct{ known, a, b, want string }{
		"red with a seed":               {seeded("go test ./a -run TestSeeded -seed=7", "seed 7"), module, green, ""},
		"green with its seed":           {seeded("go test ./a -run TestSeeded -seed=8", "seed 8"), module, green, "fails no more"},
		"a command without its seed":    {seeded("go test ./a -run TestSeeded -seed=8", "seed 7"), module, green, "set the seed to 7"},
		"a command without a seed flag": {seeded("go test ./a -run TestSeeded -v", "seed 7"), module, green, "set the seed to 7"},
		"another test's command":        {seeded("go test ./a -run TestRed -seed=7", "seed 7"), module, green, "does not begin"},
		"another package's command":     {seeded("go test ./b -run TestSeeded -seed=7", "seed 7"), module, green, "does not begin"},
		"a command that is none":        {seeded("make TestSeeded -seed=7", "seed 7"), module, green, "is not"},
		"a seed that is none":           {seeded("go test ./a -run TestSeeded -seed=x", "seed x"), module, green, "is not"},
		"a seed and no command":         {one + two + "./a TestSeeded | seed 7 | it is | issue 31\n", module, green, "is not"},
		"absent, all green":             {"absent", strings.Replace(green, "package b", "package a", 1), green, ""},
		"absent, one red":               {"absent", module, green, "exit status 1"},
		"empty, one red":                {"", module, green, "exit status 1"},
		"all red ones listed":           {one + two, module, green, ""},
		"one of two listed":             {one, module, green, "exit status 1"},
		"the same name elsewhere":       {one + two, module, red, "exit status 1"},
		"a listed one passes":           {one + two + "./a TestGreen | x | issue 1\n", module, green, "fails no more"},
		"no such test":                  {one + two + "./a TestRe | x | issue 1\n", module, green, "has no test"},
		"no such sub-test":              {one + two + "./a TestRedToo/su | x | issue 1\n", module, green, "has no test"},
		"no such package":               {"./c TestRed | x | issue 1\n", module, green, "no package"},
		"a fourth line": {one + two + "./a TestX | x | issue 1\n./a TestY | x | issue 1\n", module, green,
			"3 at most"},
		"a line without its cause": {"./a TestRed |  | issue 31\n", module, green, "is not"},
		"a line without its issue": {"./a TestRed | it is\n", module, green, "is not"},
		"an empty line":            {one + "\n" + two, module, green, "is not"},
		"a line twice":             {one + one, module, green, "twice"},
		"a pattern for a name":     {"./a Test.* | all | issue 31\n", module, green, "is not"},
		"what does not build":      {one, module + "x", green, "exit status 1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, err := runModule(t, c.known, c.a, c.b)
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("%v, want %q\n%s", err, c.want, out)
			}
			if c.want == "" && c.known == one+two &&
				!strings.Contains(out, "known red: ./a TestRed: it is (issue 31)") {
				t.Errorf("the listed test is not printed: %s", out)
			}
		})
	}
}
