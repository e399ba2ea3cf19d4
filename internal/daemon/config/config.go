// Package config reads and checks the platform's configuration of a relay and fills in defaults.
// Nothing else reads the environment.
package config

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"net"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"oatfold/internal/choice"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal/plan"
	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
	"oatfold/policy"
)

// Config is the configuration of a relay.
type Config struct {
	Name, ListenAddr, DiscoveryAddr, StateDir string
	AdminAddr                                 string // address for operators; empty: none
	Seed                                      int64
	MemoryBytes, DiskBytes                    int64
	MaxDescriptors                            int
	LoadReports                               bool // replies may contain load reports
	ConnectTimeout                            time.Duration
	KnownEndpoints                            memory.EndpointList
	Settings                                  policy.Settings
	PeerListenAddr                            string   // where gossip of other relays arrives
	PeerAddrs                                 []string // gossip addresses by relay number, with its own; empty: none
	RelayNumber                               int      // number of this relay
	MembershipEnabled                         bool     // relays monitor one another
	Choices                                   choice.Options
	Zone                                      int      // this relay's index in ZoneNames; members.NoZone: unknown
	ZoneNames                                 []string // names of all zones
}

// Defaults for keys that the configuration may leave out.
const (
	defaultMemoryMB    = 192
	defaultDescriptors = 1024
	defaultDiskMB      = 2
	defaultConnectUs   = 1_500_000
	megabyte           = 1_000_000 // decimal, the smaller meaning of a limit in MB
)

// SmallFileBytes is the bytes of disk that the files of the state folder take besides journals: the
// leader lock, the clock mark, and a lock for each process directory.
const SmallFileBytes = 2560

// MinDiskBytes returns the smallest disk limit, in bytes, with which a relay accepts messages of every
// size again whenever all others have ended. maxAttempts is the limit of attempts for a message.
func MinDiskBytes(maxAttempts int) int64 { return SmallFileBytes + plan.MinBudget(maxAttempts) }

// Load reads the configuration file that the environment names. The file takes precedence over
// environment variables: it can be replaced while the relay runs, and must mean the same at a
// reload as at the next start. Errors name the key at fault.
func Load(getenv func(string) string) (*Config, error) {
	raw := "{}"
	if path := getenv("ROUTER_CONFIG"); path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
		}
		raw = string(b)
	}
	c, err := parse(raw, getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// parse reads the configuration from the text of the file and the environment.
func parse(raw string, getenv func(string) string) (*Config, error) {
	if !gjson.Valid(raw) {
		return nil, fmt.Errorf("not JSON")
	}
	doc := gjson.Parse(raw)
	text := func(env, key string) string {
		if v := doc.Get(key).Str; v != "" {
			return v
		}
		return getenv(env)
	}
	c := &Config{Name: text("ROUTER_NAME", "name"), ListenAddr: text("ROUTER_LISTEN", "listen"),
		DiscoveryAddr: text("ROUTER_DISCOVERY", "discovery"), AdminAddr: text("ROUTER_ADMIN", "admin"),
		StateDir: getenv("ROUTER_STATE")}
	if c.StateDir == "" {
		return nil, fmt.Errorf("ROUTER_STATE is not set; it names the persistent state folder")
	}
	info, err := os.Stat(c.StateDir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("ROUTER_STATE: %w", err)
	}
	if err != nil || !info.IsDir() {
		return nil, fmt.Errorf("ROUTER_STATE: %q is not a folder", c.StateDir)
	}
	for key, addr := range map[string]string{
		"listen (ROUTER_LISTEN)":       c.ListenAddr,
		"discovery (ROUTER_DISCOVERY)": c.DiscoveryAddr,
	} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %q is not host:port", key, addr)
		}
	}
	if v := doc.Get("admin"); v.Exists() && v.Type != gjson.String && v.Type != gjson.Null {
		return nil, fmt.Errorf("admin: %s is not host:port", v.Raw)
	}
	if c.AdminAddr != "" {
		if _, port, err := net.SplitHostPort(c.AdminAddr); err != nil || port == "" {
			return nil, fmt.Errorf("admin (ROUTER_ADMIN): %q is not host:port", c.AdminAddr)
		}
		if c.AdminAddr == c.ListenAddr {
			return nil, fmt.Errorf("admin (ROUTER_ADMIN): %q is also the clients' address, listen", c.AdminAddr)
		}
	}
	if s := doc.Get("seed").String(); s != "" {
		sum := fnv.New64a()
		sum.Write([]byte(s))
		c.Seed = int64(sum.Sum64())
	} else {
		c.Seed = time.Now().UnixNano()
	}
	limit := func(key string, fallback float64) (float64, error) {
		v := doc.Get(key)
		if v.Type == gjson.Null {
			return fallback, nil
		}
		if v.Type != gjson.Number || v.Num <= 0 {
			return 0, fmt.Errorf("%s: %s is not a number above 0", key, v.Raw)
		}
		return v.Num, nil
	}
	var numbers [4]float64
	for i, l := range []struct {
		key      string
		fallback float64
	}{{"limits.memory_mb", defaultMemoryMB}, {"limits.sockets", defaultDescriptors}, {"limits.disk_mb", defaultDiskMB},
		{"settings.policyLimits.connectTimeoutUs", defaultConnectUs}} {
		n, err := limit(l.key, l.fallback)
		if err != nil {
			return nil, err
		}
		numbers[i] = n
	}
	c.MemoryBytes, c.MaxDescriptors = int64(numbers[0]*megabyte), int(numbers[1])
	c.DiskBytes, c.ConnectTimeout = int64(numbers[2]*megabyte), time.Duration(numbers[3])*time.Microsecond
	if !doc.Get("settings").Exists() {
		return nil, fmt.Errorf("settings: missing")
	}
	var columns []string
	if c.Settings, columns, err = ParseSettings(doc.Get("settings").Raw); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if least := MinDiskBytes(c.Settings.MaxAttempts); c.DiskBytes < least {
		return nil, fmt.Errorf("limits.disk_mb: %g is under %g: too small for a message of the largest size beside the ids"+
			" of completed ones", numbers[2], float64(least)/megabyte)
	}
	c.LoadReports = len(columns) > 0
	if err := c.parsePeers(doc, text("ROUTER_MEMBERS", "members")); err != nil {
		return nil, err
	}
	switch mode := text("ROUTER_CHOICES", "choices"); mode {
	case "", "auto":
		if c.MembershipEnabled && len(c.PeerAddrs) >= peers.MinFleetSize {
			c.Choices = choice.Options{DemandShares: true, Signals: true}
		}
	default:
		if c.Choices, err = choice.Parse(mode); err != nil {
			return nil, fmt.Errorf("choices (ROUTER_CHOICES): %w", err)
		}
	}
	if err := checkSettings(doc.Get("settings")); err != nil {
		return nil, err
	}
	if known := doc.Get("known"); known.Type != gjson.Null {
		if c.KnownEndpoints, err = memory.ParseEndpointList(known.Raw); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// parsePeers reads the addresses of the other relays. There are none, and the relay serves alone,
// where gossip is not allowed, the fleet is too small, or this relay's number is not in the list.
func (c *Config) parsePeers(doc gjson.Result, mode string) error {
	if mode != "" && mode != "auto" && mode != "on" && mode != "off" {
		return fmt.Errorf("members (ROUTER_MEMBERS): %q is neither on nor off nor auto", mode)
	}
	list, me := doc.Get("peers"), doc.Get("settings.me")
	if !list.Exists() || !doc.Get("settings.policyLimits.peers").Bool() {
		return nil
	}
	if !list.IsArray() {
		return fmt.Errorf("peers: %s is not a list of host:port", list.Raw)
	}
	var addrs []string
	for i, v := range list.Array() {
		if _, err := netip.ParseAddrPort(v.Str); err != nil {
			return fmt.Errorf("peers[%d]: %s is not an address with a port", i, v.Raw)
		}
		addrs = append(addrs, v.Str)
	}
	for _, v := range doc.Get("settings.zones").Array() {
		c.ZoneNames = append(c.ZoneNames, v.Str)
	}
	if c.Zone = slices.Index(c.ZoneNames, doc.Get("settings.myZone").Str); c.Zone < 0 || c.Zone >= members.NoZone {
		c.Zone = members.NoZone
	}
	minPeers := peers.MinFleetSize
	switch mode {
	case "on":
		c.MembershipEnabled, minPeers = len(addrs) > 1, 2 // with two relays gossip is of use to membership only
	case "", "auto":
		c.MembershipEnabled = len(addrs) >= peers.MinFleetSize
	}
	c.PeerListenAddr = doc.Get("peer_listen").Str
	if _, err := netip.ParseAddrPort(c.PeerListenAddr); err != nil {
		return nil // gossip can't be received
	}
	if n := me.Int(); me.Type == gjson.Number && n >= 0 && n < int64(len(addrs)) && len(addrs) >= minPeers {
		c.PeerAddrs, c.RelayNumber = addrs, int(n)
	}
	return nil
}

// checkSettings returns an error that names the first key of the settings with which no relay could
// work. The policy engine checks the same values again.
func checkSettings(set gjson.Result) error {
	for _, key := range []string{"fleetSize", "tickUs", "familyInfo.callSlots", "policyLimits.maxOpen",
		"policyLimits.maxAttempts"} {
		if v := set.Get(key); v.Num < 1 {
			return fmt.Errorf("settings.%s: %s is not a number of at least 1", key, v.Raw)
		}
	}
	if err := checkNames(set); err != nil {
		return err
	}
	grades := set.Get("grades").Array()
	if len(grades) == 0 {
		return fmt.Errorf("settings.grades: no message class")
	}
	for i, g := range grades {
		for key, minimum := range map[string]float64{"promiseUs": 1, "deadlineUs": max(1, g.Get("promiseUs").Num)} {
			if v := g.Get(key); v.Num < minimum {
				return fmt.Errorf("settings.grades[%d].%s: %s is under %g", i, key, v.Raw, minimum)
			}
		}
		if w := g.Get("repeatWindowUs"); g.Get("effect").Str == "keyed" && w.Num < 1 {
			return fmt.Errorf("settings.grades[%d].repeatWindowUs: %s is not a number of at least 1", i, w.Raw)
		}
	}
	return nil
}
