package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oatfold/internal/plugin/limits"
	"oatfold/plugin/abi"
)

func writeOperatorFile(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "m.wasm"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "o.textproto")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestDefaults(t *testing.T) {
	path := writeOperatorFile(t, `# two of them
plugins {
  plugin { name: "a" module: "m.wasm" hook: SHAPE_REQUEST hook: READ_ANSWER match { dest: 3 dest: 4 } }
  plugin { name: "b" module: "m.wasm" hook: ON_HANDIN budget { wall_ms: 10 cpu_ms: 500 } on_failure { class: "price-alert" then: PASS } on_failure { then: FAIL } }
}`)
	c, err := Load(path, 192e6)
	if err != nil || len(c.Plugins) != 2 {
		t.Fatal(c, err)
	}
	a, b := c.Plugins[0], c.Plugins[1]
	if a.Path != filepath.Join(filepath.Dir(path), "m.wasm") || len(a.Hooks) != 2 || a.Hooks[1] != abi.ReadAnswer || a.Dests[1] != 4 ||
		a.Budget.Wall != 50*time.Millisecond || a.Budget.MemoryPages != 128 || a.Budget.Instances != 2 || a.Breaker.FailureThreshold != 5 ||
		a.FailureAction("x") != limits.Refuse {
		t.Errorf("%+v", a)
	}
	if b.Budget.CPU != 10*time.Millisecond || b.FailureAction("price-alert") != limits.Pass || b.FailureAction("fee-charge") != limits.Fail {
		t.Errorf("%+v", b)
	}
	if c, err := Load(writeOperatorFile(t, ""), 0); err != nil || len(c.Plugins) != 0 {
		t.Errorf("an empty file: %v, %v", c, err)
	}
}

// Errors name line and key.
func TestErrorsNameLineAndKey(t *testing.T) {
	const good = "name: \"a\"\nmodule: \"m.wasm\"\nhook: SHAPE_REQUEST\n"
	for text, want := range map[string][]string{
		"plugins {\n  plugin {\n    nome: \"a\"\n  }\n}":                                  {"line 3", "nome"},
		"plugins {\n  plugin {\n    name: 5\n  }\n}":                                      {"line 3", "name"},
		"plugins {\n plugin {\n":                                                          {"line"},
		"plugins {\n plugin { module: \"m.wasm\" hook: SHAPE_REQUEST }\n}":                {"line 2", "plugin[0].name"},
		"plugins {\n plugin {\n name: \"a b\"\n }\n}":                                     {"line 3", "plugin[0].name", "a b"},
		"plugins {\n plugin {\n name: \"a\"\n }\n}":                                       {"line 2", "plugin[0].module", "missing"},
		"plugins {\n plugin {\n name: \"a\"\n module: \"none.wasm\"\n }\n}":               {"line 4", "plugin[0].module", "none.wasm"},
		"plugins {\n plugin {\n name: \"a\"\n module: \"m.wasm\"\n }\n}":                  {"line 2", "plugin[0].hook"},
		"plugins {\n plugin {\n" + good + "hook: HOOK_UNSPECIFIED }\n}":                   {"line 6", "plugin[0].hook[1]"},
		"plugins {\n plugin {\n" + good + "hook: SING }\n}":                               {"line 6", "SING"},
		"plugins {\n plugin {\n" + good + "match { dest: -1 }\n }\n}":                     {"line 6", "match.dest"},
		"plugins {\n plugin {\n" + good + "hook: ON_HANDIN\nmatch { kind: \"b\" } }\n}":   {"line 7", "match.kind"},
		"plugins {\n plugin {\n" + good + "budget {\n wall_ms: 5000 } }\n}":               {"line 7", "budget.wall_ms", "5000"},
		"plugins {\n plugin {\n" + good + "budget {\n memory_pages: 99999 } }\n}":         {"line 7", "budget.memory_pages"},
		"plugins {\n plugin {\n" + good + "probation { pause_ms: 1 } }\n}":                {"line 6", "probation.pause_ms"},
		"plugins {\n plugin {\n" + good + "on_failure { then: 7 } }\n}":                   {"line 6", "on_failure[0].then"},
		"plugins {\n plugin {\n" + good + "}\nplugin {\n" + good + "}\n}":                 {"line 8", "plugin[1].name", "already"},
		"plugins {\n plugin {\n" + good + "budget { instances: 64 } } }":                  {"line 2", "memory_pages of all"},
		"bodies {\n memory_kb: 150000 }":                                                  {"line 2", "bodies.memory_kb"},
		"plugins {\n memory_mb: 150 }":                                                    {"line 2", "memory_mb"},
		"plugins {\n plugin {\n" + good + "hook: ON_HANDIN\nbudget { wall_ms: 301 } }\n}": {"line 7", "ON_HANDIN"},
		"plugin { }": {"line 1", "plugin"},
	} {
		path := writeOperatorFile(t, text)
		_, err := Load(path, 192e6)
		if err == nil {
			t.Errorf("accepted: %s", text)
			continue
		}
		for _, w := range append(want, path) {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%s\nsays %q, without %q", text, err, w)
			}
		}
	}
	if _, err := Load("/nonexistent", 0); err == nil || !strings.Contains(err.Error(), "/nonexistent") {
		t.Errorf("no file: %v", err)
	}
}

// The example of a site plan is valid, and each mistake in a plan is reported with its key.
func TestSites(t *testing.T) {
	c, err := Load("../../../../deploy/sites.textproto", 0)
	if err != nil || len(c.Sites.Sites) != 3 || c.Sites.Sites[0].Tiers[1].SpillFraction != 0.9 ||
		len(c.Sites.Destinations) != 2 || c.Sites.RefuseFirst[2] != "fee-charge" {
		t.Fatalf("%v %+v", err, c)
	}
	site := `site { zone: "a" tier { zone: "b" } } site { zone: "b" }`
	if c, err := Load(writeOperatorFile(t, "sites { "+site+" }"), 0); err != nil ||
		c.Sites.Sites[0].Tiers[0].SpillFraction != 0.8 || c.Sites.Ramp != 30*time.Second {
		t.Errorf("%v %+v", err, c)
	}
	for text, key := range map[string]string{
		`site { zone: "a" }`:                                                          "sites.site",
		`site { zone: "a" } site { }`:                                                 "sites.site[1].zone",
		`site { zone: "a" } site { zone: "a" }`:                                       "sites.site[1].zone",
		`site { zone: "a" tier { zone: "a" } } site { zone: "b" }`:                    "sites.site[0].tier[0].zone",
		`site { zone: "a" tier { zone: "x" } } site { zone: "b" }`:                    "sites.site[0].tier[0].zone",
		`site { zone: "a" tier { } } site { zone: "b" }`:                              "sites.site[0].tier[0].zone",
		`site { zone: "a" tier { zone: "b" } tier { zone: "b" } } site { zone: "b" }`: "sites.site[0].tier[1].zone",
		`site { zone: "a" tier { zone: "b" spill: 1.1 } } site { zone: "b" }`:         "sites.site[0].tier[0].spill",
		`site { zone: "a" tier { zone: "b" spill: nan } } site { zone: "b" }`:         "sites.site[0].tier[0].spill",
		site + ` refuse_first: "x" refuse_first: "x"`:                                 "sites.refuse_first[1]",
		site + ` ramp_s: 4000`:                                                        "sites.ramp_s",
		site + ` destination { number: 1 } destination { number: 1 }`:                 "sites.destination[1].number",
		site + ` destination { takes { zone: "c" rate: 1 } }`:                         "sites.destination[0].takes[0].zone",
		site + ` destination { takes { zone: "a" rate: -1 } }`:                        "sites.destination[0].takes[0].rate",
		site + ` destination { wanted { zone: "c" class: "x" rate: 1 } }`:             "sites.destination[0].wanted[0].zone",
		site + ` destination { wanted { zone: "a" rate: 1 } }`:                        "sites.destination[0].wanted[0].class",
		site + ` destination { wanted { zone: "a" class: "x" rate: nan } }`:           "sites.destination[0].wanted[0].rate",
	} {
		if _, err := Load(writeOperatorFile(t, "sites {\n"+text+"\n}"), 0); err == nil ||
			!strings.Contains(err.Error(), key+":") || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%s: %v", text, err)
		}
	}
}
