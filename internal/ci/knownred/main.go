// Command knownred runs the tests of a module except those listed in KNOWN-RED.txt at its root as
// known failures. It runs the listed tests separately and requires that they still fail. Without
// the file, or with an empty one, it runs `go test -count=1 ./...`.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// The list of known failures.
const (
	listFile   = "KNOWN-RED.txt"
	maxEntries = 3 // lines of the list
)

// entry is one line of the list: a package, a test in it, the cause of its failure and the issue
// that tracks it.
type entry struct {
	pkg, test    string
	command      string // that fails, with the seed among its flags; empty: the test fails without flags
	seed         string // empty if there is no command
	cause, issue string
}

// entryPattern matches a line of the list.
var entryPattern = regexp.MustCompile(
	`^(\./[\w./-]+) (Test\w*(?:/\S+)?) \| (?:(go test [^|]*\S) \| seed (\d+) \| )?([^|]*\S) \| issue (\S.*)$`)

// commandPrefix returns how the command of an entry begins.
func (e entry) commandPrefix() string { return fmt.Sprintf("go test %s -run %s ", e.pkg, e.test) }

// checkCommand returns an error unless the command runs the entry's test with its seed.
func (e entry) checkCommand() error {
	if e.command == "" {
		return nil
	}
	flags, ok := strings.CutPrefix(e.command, e.commandPrefix())
	if !ok || !slices.ContainsFunc(strings.Fields(flags), func(f string) bool {
		return strings.HasPrefix(f, "-") && strings.HasSuffix(f, "="+e.seed)
	}) {
		return fmt.Errorf("%q does not begin with %q and set the seed to %s by a flag", e.command, e.commandPrefix(), e.seed)
	}
	return nil
}

// goArgs returns the arguments of the go command that runs the test.
func (e entry) goArgs() []string {
	args := []string{"test", "-count=1", "-v", "-run", e.runPattern(), e.pkg}
	if e.command == "" {
		return args
	}
	return append(args, strings.Fields(strings.TrimPrefix(e.command, e.commandPrefix()))...)
}

// parse reads the list. Each line has the form `./internal/wire TestName | cause | issue 31`, or
// `./internal/wire TestName | go test ./internal/wire -run TestName -seed=7 | seed 7 | cause | issue 31`.
func parse(text string) (entries []entry, err error) {
	for n, s := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		if text == "" {
			break
		}
		m := entryPattern.FindStringSubmatch(s)
		if m == nil {
			return nil, fmt.Errorf("%s:%d: %q is not `./package TestName | command | seed N | cause | issue N`",
				listFile, n+1, s)
		}
		e := entry{pkg: m[1], test: m[2], command: m[3], seed: m[4], cause: m[5], issue: m[6]}
		if err := e.checkCommand(); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", listFile, n+1, err)
		}
		if slices.ContainsFunc(entries, func(o entry) bool { return o.pkg == e.pkg && o.test == e.test }) {
			return nil, fmt.Errorf("%s:%d: %s is named twice", listFile, n+1, e.test)
		}
		entries = append(entries, e)
	}
	if len(entries) > maxEntries {
		return nil, fmt.Errorf("%s: %d lines, %d at most", listFile, len(entries), maxEntries)
	}
	return entries, nil
}

// runPattern returns the value of -run or -skip that matches this test only.
func (e entry) runPattern() string {
	parts := strings.Split(e.test, "/")
	for i, p := range parts {
		parts[i] = "^" + regexp.QuoteMeta(p) + "$"
	}
	return strings.Join(parts, "/")
}

// runner runs the go command in a directory and copies what it prints to out.
type runner struct {
	dir string
	out io.Writer
}

// command runs `go` with these arguments, copies its output to show and returns the output.
func (r runner) command(show io.Writer, args ...string) (string, error) {
	var output strings.Builder
	cmd := exec.Command("go", args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.dir, io.MultiWriter(show, &output), io.MultiWriter(show, &output)
	err := cmd.Run()
	return output.String(), err
}

// run runs all tests. It returns an error if an unlisted test fails or an entry of the list is
// wrong.
func (r runner) run() error {
	raw, err := os.ReadFile(filepath.Join(r.dir, listFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	knownRed, err := parse(string(raw))
	if err != nil {
		return err
	}
	if len(knownRed) == 0 {
		_, err := r.command(r.out, "test", "-count=1", "./...")
		return err
	}
	skip := map[string][]string{}
	for _, e := range knownRed {
		skip[e.pkg] = append(skip[e.pkg], e.runPattern())
	}
	output, err := r.command(io.Discard, "list", "./...")
	if err != nil {
		return fmt.Errorf("go list: %w: %s", err, output)
	}
	var failures []error
	packages := strings.Fields(output)
	for _, pkg := range slices.Sorted(maps.Keys(skip)) {
		name, err := r.command(io.Discard, "list", pkg)
		if err != nil {
			return fmt.Errorf("%s: no package %s: %s", listFile, pkg, name)
		}
		packages = slices.DeleteFunc(packages, func(p string) bool { return p == strings.TrimSpace(name) })
		if _, err := r.command(r.out, "test", "-count=1", "-skip", strings.Join(skip[pkg], "|"), pkg); err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", pkg, err))
		}
	}
	if len(packages) > 0 {
		if _, err := r.command(r.out, append([]string{"test", "-count=1"}, packages...)...); err != nil {
			failures = append(failures, err)
		}
	}
	for _, e := range knownRed {
		fmt.Fprintf(r.out, "known red: %s %s: %s (issue %s)\n", e.pkg, e.test, e.cause, e.issue)
		out, err := r.command(io.Discard, e.goArgs()...)
		switch {
		case !strings.Contains(out, "=== RUN   "+e.test+"\n"):
			failures = append(failures, fmt.Errorf("%s: %s has no test %s: %s", listFile, e.pkg, e.test, out))
		case err == nil:
			failures = append(failures,
				fmt.Errorf("%s: %s %s fails no more: take its line out", listFile, e.pkg, e.test))
		}
	}
	return errors.Join(failures...)
}

func main() {
	if err := (runner{".", os.Stdout}).run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
