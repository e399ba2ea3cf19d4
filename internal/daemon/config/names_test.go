package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
)

// deployments are two test files without a common class, kind, tenant or zone: alerts.json has no
// tenants; postings.json has ordered charges, tenants and separate routes.
var deployments = []string{"alerts.json", "postings.json"}

// readTestFile returns the content of a file of testdata.
func readTestFile(t *testing.T, file string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// The settings of each deployment are accepted unchanged.
func TestBothDeploymentsLoad(t *testing.T) {
	for _, file := range deployments {
		raw := readTestFile(t, file)
		c, err := load(t, func(string) string { return raw }, nil)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		set := gjson.Get(raw, "settings")
		want := len(set.Get("grades").Array()) + len(set.Get("tenants").Array()) + len(set.Get("kinds").Array())
		if got := len(c.Settings.Classes) + len(c.Settings.Tenants) + len(c.Settings.Kinds); got != want {
			t.Errorf("%s: %d classes, tenants and kinds, want %d", file, got, want)
		}
	}
}

// Settings that mix two deployments, or have duplicate or missing names, are rejected with the key,
// and the name where there is one.
func TestInconsistentNames(t *testing.T) {
	replace := func(old, new string) func(string) string {
		return func(s string) string {
			if !strings.Contains(s, old) {
				t.Fatalf("%q is not in the file", old)
			}
			return strings.Replace(s, old, new, 1)
		}
	}
	// valueFrom replaces the value of a key with that of the other deployment.
	valueFrom := func(other, key string) func(string) string {
		return func(s string) string {
			return replace(gjson.Get(s, "settings."+key).Raw, gjson.Get(readTestFile(t, other), "settings."+key).Raw)(s)
		}
	}
	for _, c := range []struct {
		file    string
		change  func(string) string
		message string
	}{
		{"alerts.json", valueFrom("postings.json", "familyInfo.feeByZone"), "settings.familyInfo.feeByZone: 2 values for 1 settings.zones"},
		{"postings.json", valueFrom("alerts.json", "zones"), "settings.familyInfo.feeByZone: 2 values for 1 settings.zones"},
		{"alerts.json", replace(`"pilot-desk",`, ""), "settings.familyInfo.batchByKind: 2 values for 1 settings.kinds"},
		{"alerts.json", replace(`"pilot-desk"`, `"quay-office"`), `settings.kinds[1]: "quay-office" is the name of settings.kinds[0] too`},
		{"alerts.json", replace(`"manifest-order"`, `"berth-alert"`), `settings.grades[1].name: "berth-alert" is the name of settings.grades[0] too`},
		{"alerts.json", replace(`"name": "dues-charge",`, ""), "settings.grades[2].name"},
		{"alerts.json", replace(`"pilot-desk"`, "7"), `settings.kinds[0]: "7" is not a name`},
		{"postings.json", replace(`"delta-grid"`, `"reef-lab"`), `settings.tenants[1].name: "reef-lab" is the name of settings.tenants[0] too`},
		{"postings.json", replace(`"mangrove-team"`, `""`), "settings.tenants[2].name"},
		{"postings.json", replace(`"east-basin",`, `"west-basin",`), `settings.zones[1]: "west-basin" is the name of settings.zones[0] too`},
	} {
		raw := c.change(readTestFile(t, c.file))
		if _, err := load(t, func(string) string { return raw }, nil); err == nil || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: error %v, want one with %q", c.file, err, c.message)
		}
	}
}

// A kind or zone without a value of its own has the default: there may be fewer values than names.
func TestFewerValuesThanNames(t *testing.T) {
	raw := readTestFile(t, "postings.json")
	for _, key := range []string{"familyInfo.batchByKind", "familyInfo.separateRoutes", "familyInfo.feeByZone"} {
		list := gjson.Get(raw, "settings."+key)
		raw = strings.Replace(raw, list.Raw, "["+list.Array()[0].Raw+"]", 1)
	}
	c, err := load(t, func(string) string { return raw }, nil)
	if err != nil {
		t.Fatal(err)
	}
	if k := c.Settings.Kinds[1]; k.MaxBatch != 1 || k.SeparateRoutes {
		t.Errorf("%+v", k)
	}
}
