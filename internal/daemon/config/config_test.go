package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"
)

// load loads the test file after change, with env in place of the usual environment variables.
func load(t *testing.T, change func(string) string, env map[string]string) (*Config, error) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(change(string(raw))), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(name string) string {
		if v, ok := env[name]; ok {
			return v
		}
		return map[string]string{"ROUTER_CONFIG": path, "ROUTER_STATE": dir, "ROUTER_LISTEN": "127.0.0.1:0",
			"ROUTER_DISCOVERY": "127.0.0.1:1"}[name]
	})
}

func unchanged(s string) string { return s }

// The file takes precedence over the environment, which a reload can't change; what is left out has
// a default.
func TestLoad(t *testing.T) {
	c, err := load(t, func(s string) string { return strings.Replace(s, "{", `{"listen":"127.0.0.1:9",`, 1) }, nil)
	if err != nil {
		t.Fatal(err)
	}
	if c.ListenAddr != "127.0.0.1:9" || c.DiscoveryAddr != "127.0.0.1:1" || c.MemoryBytes != 192e6 || c.DiskBytes != 3e6 ||
		c.ConnectTimeout != 1500*time.Millisecond || c.Settings.MaxConcurrentCalls != 4 || len(c.Settings.Classes) != 3 ||
		c.Settings.Classes[1].RepeatWindow != 5*time.Second || c.Settings.Kinds[0].MaxBatch != 5 || c.Seed == 0 {
		t.Errorf("%+v", c)
	}
	c, err = load(t, func(s string) string {
		return `{"known":null,"limits":{"sockets":null},"listen":"127.0.0.1:9","discovery":"127.0.0.1:1","settings":` +
			gjson.Get(s, "settings").Raw + `}`
	}, nil)
	if err != nil || c.MemoryBytes != defaultMemoryMB*megabyte || c.MaxDescriptors != defaultDescriptors ||
		c.DiskBytes != defaultDiskMB*megabyte {
		t.Errorf("defaults: %+v, %v", c, err)
	}
}

// The smallest disk limit that is accepted has space for a message of the largest size.
func TestSmallestDiskLimit(t *testing.T) {
	for _, bytes := range []int64{MinDiskBytes(6) - 1, MinDiskBytes(6)} {
		_, err := load(t, func(s string) string {
			return strings.Replace(s, "\"disk_mb\": 3", fmt.Sprintf("\"disk_mb\": %.6f", float64(bytes)/megabyte), 1)
		}, nil)
		if accepted := err == nil; accepted != (bytes >= MinDiskBytes(6)) {
			t.Errorf("%d bytes: %v", bytes, err)
		}
	}
}

// Each error names the key at fault.
func TestErrorsNameTheKey(t *testing.T) {
	replace := func(old, new string) func(string) string {
		return func(s string) string {
			if !strings.Contains(s, old) {
				t.Fatalf("%q is not in the file", old)
			}
			return strings.Replace(s, old, new, 1)
		}
	}
	for message, c := range map[string]struct {
		change func(string) string
		env    map[string]string
	}{
		"ROUTER_CONFIG":                     {unchanged, map[string]string{"ROUTER_CONFIG": "/nonexistent"}},
		"ROUTER_STATE is not set":           {unchanged, map[string]string{"ROUTER_STATE": ""}},
		"ROUTER_STATE: \"/nonexistent\"":    {unchanged, map[string]string{"ROUTER_STATE": "/nonexistent"}},
		"not JSON":                          {replace("{", ""), nil},
		"listen":                            {unchanged, map[string]string{"ROUTER_LISTEN": "nowhere"}},
		"discovery":                         {replace("{", `{"discovery":"nowhere",`), nil},
		"admin (ROUTER_ADMIN)":              {unchanged, map[string]string{"ROUTER_ADMIN": "nowhere"}},
		"clients' address, listen":          {unchanged, map[string]string{"ROUTER_ADMIN": "127.0.0.1:0"}},
		"admin: 7 is not":                   {replace("{", `{"admin":7,`), nil},
		"limits.memory_mb":                  {replace("\"memory_mb\": 192", "\"memory_mb\": -1"), nil},
		"limits.sockets":                    {replace("1024", "\"many\""), nil},
		"limits.disk_mb":                    {replace("\"disk_mb\": 3", "\"disk_mb\": 0"), nil},
		"limits.disk_mb: 0.2 is under 0.2":  {replace("\"disk_mb\": 3", "\"disk_mb\": 0.2"), nil},
		"known: endpoint list: generation":  {replace("\"generation\": 0", "\"generation\": null"), nil},
		"settings.policyLimits.connectTime": {replace("\"connectTimeoutUs\": 1500000", "\"connectTimeoutUs\": \"x\""), nil},
		"settings: missing":                 {replace("\"settings\"", "\"other\""), nil},
		"familyInfo.callSlots":              {replace("\"callSlots\": 4", "\"callSlots\": \"x\""), nil},
		"settings.tickUs: 0 is not":         {replace("\"tickUs\": 5000", "\"tickUs\": 0"), nil},
		"grades[0].repeatWindowUs": {func(s string) string {
			return replace("\"safe\"", "\"keyed\"")(replace("\"repeatWindowUs\": 5000000", "\"repeatWindowUs\": 0")(s))
		}, nil},
		"grades[0].promiseUs":    {replace("\"promiseUs\": 1500000", "\"promiseUs\": 0"), nil},
		"unknown effect \"odd\"": {replace("\"unsafe\"", "\"odd\""), nil},
	} {
		if _, err := load(t, c.change, c.env); err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("error %v, want one with %q", err, message)
		}
	}
}
