package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Who the other relays are is read where notes are allowed and all fits together; else there are none, and the relay serves. What can't be an address is
// named by its key.
func TestPeers(t *testing.T) {
	whole, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	base := strings.TrimSpace(string(whole))
	load := func(me, listen, list string, allowed bool) (*Config, error) {
		raw := strings.Replace(base, "{", fmt.Sprintf(`{"peer_listen":%q,"peers":%s,`, listen, list), 1)
		for was, now := range map[string]string{`"me": 0`: `"me": ` + me, `"peers": true`: fmt.Sprintf(`"peers": %v`, allowed)} {
			if !strings.Contains(raw, was) {
				t.Fatalf("the test file has no %s", was)
			}
			raw = strings.Replace(raw, was, now, 1)
		}
		dir := t.TempDir()
		return parse(raw, func(key string) string {
			return map[string]string{"ROUTER_STATE": dir, "ROUTER_LISTEN": "127.0.0.1:1", "ROUTER_DISCOVERY": "127.0.0.1:2"}[key]
		})
	}
	var all []string
	for i := range 10 {
		all = append(all, fmt.Sprintf(`"10.3.0.%d:7946"`, i+1))
	}
	ten, seven := "["+strings.Join(all, ",")+"]", "["+strings.Join(all[:7], ",")+"]"
	for _, c := range []struct {
		name, me, listen, list string
		allowed                bool
		peers                  int
		key                    string
	}{
		{"ten", "3", "10.0.0.4:7946", ten, true, 10, ""}, {"not allowed", "3", "10.0.0.4:7946", ten, false, 0, ""},
		{"few", "3", "10.0.0.4:7946", seven, true, 0, ""}, {"not among them", "10", "10.0.0.4:7946", ten, true, 0, ""},
		{"minus one", "-1", "10.0.0.4:7946", ten, true, 0, ""}, {"no number", `"3"`, "10.0.0.4:7946", ten, true, 0, ""},
		{"nowhere to hear", "3", "", ten, true, 0, ""}, {"no list", "3", "10.0.0.4:7946", `"x"`, true, 0, "peers"},
		{"no address", "3", "10.0.0.4:7946", `["10.3.0.1:7946","here"]`, true, 0, "peers[1]"},
	} {
		got, err := load(c.me, c.listen, c.list, c.allowed)
		if c.key != "" {
			if err == nil || !strings.Contains(err.Error(), c.key) {
				t.Errorf("%s: %v", c.name, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		} else if len(got.Peers) != c.peers || c.peers > 0 && (got.Me != 3 || got.PeerListen != c.listen) {
			t.Errorf("%s: %d peers, number %d, %q", c.name, len(got.Peers), got.Me, got.PeerListen)
		}
	}
}
