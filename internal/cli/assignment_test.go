package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A map is planned from a list of relays, then the next map from it, and both are shown. Errors
// name the invalid file.
func TestAssignment(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	call := func(args ...string) (int, string) {
		cmd := command("test", append([]string{"assignment"}, args...))
		var out bytes.Buffer
		cmd.SetOut(&out)
		err := cmd.Execute()
		return exitCode(err), fmt.Sprint(out.String(), err)
	}
	list := "# relay,zone,rack,state\n"
	for i := range 40 {
		list += fmt.Sprintf("%d,%d,%d,live\n", i, i/2%2, i/2)
	}
	key, members := write("key", "a secret\n"), write("members", list)
	first, second := filepath.Join(folder, "first"), filepath.Join(folder, "second")
	expect := func(code int, want string, args ...string) {
		t.Helper()
		if got, out := call(args...); got != code || !strings.Contains(out, want) {
			t.Errorf("%v: %d %s\nwant %d %q", args, got, out, code, want)
		}
	}
	expect(exitOK, "region 3, map 1: 64 partitions, 4 replicas each, 40 relays", "plan", members, "--key", key,
		"--region", "3", "--partitions", "64", "--out", first)
	gone := write("gone", strings.Replace(list, "7,1,3,live", "7,1,3,gone", 1))
	expect(exitOK, "moved: ", "plan", gone, "--key", key, "--region", "3", "--partitions", "64", "--from", first,
		"--out", second)
	expect(exitOK, "region 3, version 0.2: 64 partitions", "show", second, "--key", key)
	expect(exitOK, "partition  replicas", "show", second, "--key", key, "--relay", "5")
	expect(exitOK, "destination 99: partition", "show", second, "--key", key, "--destination", "99")

	expect(exitUsage, "--key is required", "show", first)
	expect(exitFault, "the file contains no key", "show", first, "--key", write("empty", " \n"))
	expect(exitFault, "not signed with this region's key", "show", first, "--key", write("other", "another"))
	expect(exitFault, "not a map or slice", "show", write("no map", strings.Repeat("x", 200)), "--key", key)
	expect(exitFault, "cut short", "show", write("torn", "OFAS"), "--key", key)
	expect(exitFault, "another shape", "plan", gone, "--key", key, "--region", "3", "--partitions", "32",
		"--from", first)
	expect(exitFault, "fewer relays serve", "plan", write("few", "0,0,0,live\n"), "--key", key)
	for want, line := range map[string]string{
		"relay: \"16384\"":     "16384,0,0,live",
		"zone: \"256\"":        "1,256,0,live",
		"rack: \"-1\"":         "1,0,-1,live",
		"state: \"asleep\"":    "1,0,0,asleep",
		"wrong number":         "1,0,0",
		"relay 1 is listed":    "1,0,0,live\n1,0,0,live",
		"no such file or dire": "",
	} {
		file := filepath.Join(folder, "missing")
		if line != "" {
			file = write("bad", line+"\n")
		}
		expect(exitFault, want, "plan", file, "--key", key)
	}
}
