package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// The other relays are read where gossip is allowed and the keys are consistent; otherwise there
// are none, and the relay serves alone. An invalid address is reported with its key.
func TestPeers(t *testing.T) {
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	base := strings.TrimSpace(string(text))
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
	var addrs []string
	for i := range 10 {
		addrs = append(addrs, fmt.Sprintf(`"10.3.0.%d:7946"`, i+1))
	}
	ten, seven := "["+strings.Join(addrs, ",")+"]", "["+strings.Join(addrs[:7], ",")+"]"
	for _, c := range []struct {
		name, me, listen, list string
		allowed                bool
		peers                  int
		key                    string
	}{
		{"ten", "3", "10.0.0.4:7946", ten, true, 10, ""}, {"not allowed", "3", "10.0.0.4:7946", ten, false, 0, ""},
		{"few", "3", "10.0.0.4:7946", seven, true, 0, ""}, {"number not in the list", "10", "10.0.0.4:7946", ten, true, 0, ""},
		{"negative number", "-1", "10.0.0.4:7946", ten, true, 0, ""}, {"number is a string", `"3"`, "10.0.0.4:7946", ten, true, 0, ""},
		{"no gossip address", "3", "", ten, true, 0, ""}, {"not a list", "3", "10.0.0.4:7946", `"x"`, true, 0, "peers"},
		{"invalid address", "3", "10.0.0.4:7946", `["10.3.0.1:7946","here"]`, true, 0, "peers[1]"},
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
		} else if len(got.PeerAddrs) != c.peers || c.peers > 0 && (got.RelayNumber != 3 || got.PeerListenAddr != c.listen) {
			t.Errorf("%s: %d peers, number %d, %q", c.name, len(got.PeerAddrs), got.RelayNumber, got.PeerListenAddr)
		}
	}
}

// Membership is enabled by default in fleets of eight or more, in smaller ones on request, and
// never where it is switched off. An invalid value is reported with its key.
func TestMembers(t *testing.T) {
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		relays  int
		mode    string
		members bool
		peers   int
		invalid bool
	}{
		{10, "", true, 10, false}, {10, "auto", true, 10, false}, {10, "off", false, 10, false},
		{3, "", false, 0, false}, {3, "on", true, 3, false}, {3, "off", false, 0, false},
		{1, "on", false, 0, false}, {10, "maybe", false, 0, true},
	} {
		var addrs []string
		for i := range c.relays {
			addrs = append(addrs, fmt.Sprintf(`"10.3.0.%d:7946"`, i+1))
		}
		raw := strings.Replace(strings.TrimSpace(string(text)), "{",
			fmt.Sprintf(`{"peer_listen":"10.0.0.1:7946","peers":[%s],`, strings.Join(addrs, ",")), 1)
		dir := t.TempDir()
		got, err := parse(raw, func(key string) string {
			return map[string]string{"ROUTER_STATE": dir, "ROUTER_LISTEN": "127.0.0.1:1",
				"ROUTER_DISCOVERY": "127.0.0.1:2", "ROUTER_MEMBERS": c.mode}[key]
		})
		switch {
		case c.invalid:
			if err == nil || !strings.Contains(err.Error(), "members") {
				t.Errorf("%+v: %v", c, err)
			}
		case err != nil || got.MembershipEnabled != c.members || len(got.PeerAddrs) != c.peers ||
			c.members && (got.Zone != 0 || got.ZoneNames[0] != "porto-dc1"):
			t.Errorf("%+v: %v, %+v", c, err, got)
		}
	}
}

// Demand shares and signals are on by default where a fleet of eight or more has membership
// enabled, and off elsewhere. An invalid value is reported with its key.
func TestChoices(t *testing.T) {
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var addrs []string
	for i := range 8 {
		addrs = append(addrs, fmt.Sprintf(`"10.3.0.%d:7946"`, i+1))
	}
	fleet := strings.Replace(strings.TrimSpace(string(text)), "{",
		fmt.Sprintf(`{"peer_listen":"10.0.0.1:7946","peers":[%s],`, strings.Join(addrs, ",")), 1)
	for _, members := range []string{"on", "off"} {
		dir := t.TempDir()
		got, err := parse(fleet, func(key string) string {
			return map[string]string{"ROUTER_STATE": dir, "ROUTER_LISTEN": "127.0.0.1:1",
				"ROUTER_DISCOVERY": "127.0.0.1:2", "ROUTER_MEMBERS": members}[key]
		})
		if want := map[string]string{"on": "slices,signals", "off": "off"}[members]; err != nil || got.Choices.String() != want {
			t.Errorf("members %s: %v, %v", members, err, got.Choices)
		}
	}
	for mode, want := range map[string]string{"": "off", "auto": "off", "off": "off",
		"all": "subset=8,turns,slices,signals", "subset=5,signals": "subset=5,signals", "most": ""} {
		dir := t.TempDir()
		got, err := parse(string(text), func(key string) string {
			return map[string]string{"ROUTER_STATE": dir, "ROUTER_LISTEN": "127.0.0.1:1",
				"ROUTER_DISCOVERY": "127.0.0.1:2", "ROUTER_CHOICES": mode}[key]
		})
		if want == "" {
			if err == nil || !strings.Contains(err.Error(), "choices (ROUTER_CHOICES)") {
				t.Errorf("%q: %v", mode, err)
			}
		} else if err != nil || got.Choices.String() != want {
			t.Errorf("%q: %v, %v", mode, err, got.Choices)
		}
	}
}
