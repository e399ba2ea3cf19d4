package fleet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"oatfold/client"
	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/site"
	"oatfold/internal/peers/members"
	"oatfold/internal/testdouble"
	"oatfold/internal/testdouble/faultnet"
	"oatfold/policy"
)

// bin is the path of the relay's program, built once for all tests.
var bin string

func TestMain(m *testing.M) { os.Exit(testdouble.RunTests(m, &bin)) }

const scenarioDir = "../../../lab/fleet"

func drawScenario(t *testing.T, name string, seed uint64) *emu.Scenario {
	t.Helper()
	s, err := site.ReadScript(filepath.Join(scenarioDir, name+site.FileExt))
	if err != nil {
		t.Fatal(err)
	}
	d, err := s.DrawScenario(nil, seed)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Every scenario of the library can be played by processes, and in virtual time violates no rule on
// two seeds.
func TestVirtualScenarios(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(scenarioDir, "*"+site.FileExt))
	if err != nil || len(files) < 13 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), site.FileExt)
		if name == "site" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				scenario := drawScenario(t, name, seed+1)
				if err := Playable(scenario); err != nil {
					t.Fatal(err)
				}
				verdict, seen, err := RunVirtual(scenario)
				if err != nil || !verdict.Good() {
					t.Fatalf("seed %d: %v, %+v", seed+1, err, verdict)
				}
				for _, change := range seen {
					if strings.HasPrefix(name, "pause-half") && change.To == "away" {
						t.Errorf("seed %d: %+v", seed+1, change)
					}
				}
				gone := map[string]int{"killed-for-good": 1, "killed-while-notes-are-lost": 1,
					"choices-killed": 2}[name]
				if len(verdict.Gone) != gone {
					t.Errorf("seed %d: gone %v", seed+1, verdict.Gone)
				}
			}
		})
	}
}

// A partitioned zone, a relay paused until it is seen as dead, a rolling restart, and a relay that
// dies while gossip is lost: with processes all rules hold, all relays agree in the end, the
// verdict equals that of virtual time, and all result files are written.
func TestScenarios(t *testing.T) {
	atOnce := make(chan struct{}, 2) // more at once would only be slower
	for _, name := range []string{"zone-cut", "pause-ten-seconds", "rolling-restarts",
		"killed-while-notes-are-lost", "choices-killed"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			atOnce <- struct{}{}
			defer func() { <-atOnce }()
			scenario, out := drawScenario(t, name, 1), t.TempDir()
			res, err := Run(context.Background(), Config{Scenario: scenario, Seed: 1, RelayBinary: bin, OutDir: out})
			if err != nil {
				t.Fatal(err)
			}
			virtual, _, err := RunVirtual(scenario)
			if err == nil {
				err = res.Verdict.CheckSame(virtual)
			}
			if !res.Verdict.Good() || err != nil || len(res.Verdict.Missed) == 0 {
				var lines strings.Builder
				res.WriteTimeline(&lines)
				t.Errorf("%v, %+v\n%s", err, res.Verdict, lines.String())
			}
			if err := res.WriteFiles(out); err != nil {
				t.Fatal(err)
			}
			rows, err := parquet.ReadFile[Seen](filepath.Join(out, "results.parquet"))
			page, perr := os.ReadFile(filepath.Join(out, "report.html"))
			logs, _ := filepath.Glob(filepath.Join(out, "relay-*.log"))
			if err != nil || perr != nil || len(rows) != len(res.Seen) || len(rows) == 0 ||
				!strings.Contains(string(page), "<svg") || len(logs) != scenario.Relays {
				t.Errorf("%d rows, %d logs, %v, %v", len(rows), len(logs), err, perr)
			}
		})
	}
}

// The loss of a zone takes the endpoints in it of a destination that has others elsewhere, whatever
// zone the destination itself names, as in the emulator.
func TestZoneLossAffectsEndpointsInZone(t *testing.T) {
	endpointsIn := func(zones ...string) (endpoints []emu.Endpoint) {
		for _, z := range zones {
			endpoints = append(endpoints, emu.Endpoint{Zone: z})
		}
		return endpoints
	}
	for _, c := range []struct {
		name          string
		dest          emu.Dest
		lostWhole     bool
		lostEndpoints []bool
	}{
		{"several zones, one of them the destination's",
			emu.Dest{Zone: "zone-1", Endpoints: endpointsIn("zone-1", "zone-2", "zone-1")}, false,
			[]bool{true, false, true}},
		{"several zones, none lost", emu.Dest{Zone: "zone-1", Endpoints: endpointsIn("zone-2", "zone-3")},
			false, []bool{false, false}},
		{"all endpoints in the lost zone", emu.Dest{Zone: "zone-2", Endpoints: endpointsIn("zone-1", "zone-1")},
			true, []bool{false, false}},
		{"all endpoints elsewhere", emu.Dest{Zone: "zone-1", Endpoints: endpointsIn("zone-2", "zone-2")}, false,
			[]bool{false, false}},
		{"endpoints without a zone", emu.Dest{Zone: "zone-1", Endpoints: endpointsIn("", "")}, true,
			[]bool{false, false}},
		{"some endpoints without a zone", emu.Dest{Zone: "zone-1", Endpoints: endpointsIn("", "zone-2")}, false,
			[]bool{true, false}},
	} {
		if got := losesDestination(&c.dest, "zone-1"); got != c.lostWhole {
			t.Errorf("%s: lost as a whole: %v", c.name, got)
		}
		for end, want := range c.lostEndpoints {
			if got := losesEndpoint(&c.dest, end, "zone-1"); got != want {
				t.Errorf("%s: endpoint %d lost: %v", c.name, end, got)
			}
		}
		if losesDestination(&c.dest, "") || losesEndpoint(&c.dest, 0, "") {
			t.Errorf("%s: lost by a fault without a zone", c.name)
		}
	}
}

// The checks find each violated rule, and nothing in correct runs.
func TestChecks(t *testing.T) {
	scenario := &emu.Scenario{Relays: 4, Zones: 2,
		Faults: []emu.Fault{{Kind: emu.RelayCrash, Relays: []int{1}}, {Kind: emu.Partition, Zone: "zone-2"}}}
	away := func(by, n int) Seen {
		return Seen{By: int32(by), Number: int32(n), From: "suspect", To: "away", Incarnation: 1}
	}
	for _, c := range []struct {
		name    string
		changes []Seen
		want    string // substring of the findings; empty: no finding
		missed  int
	}{
		{"quiet", nil, "", 0}, {"the killed relay is seen as dead", []Seen{away(0, 1)}, "", 1},
		{"across the partition", []Seen{away(0, 3), away(3, 2)}, "", 2},
		{"a false death", []Seen{away(0, 2)}, "held 2 for away", 0},
		{"left without leaving", []Seen{{By: 0, Number: 2, To: "left", Incarnation: 1}}, "held 2 for left", 0},
		{"an incarnation decreases",
			[]Seen{{By: 0, Number: 1, To: "alive", Incarnation: 5},
				{By: 0, Number: 1, To: "alive", Incarnation: 4}}, "went back", 0},
		{"a lower incarnation after the observer restarted",
			[]Seen{{By: 0, Number: 1, To: "alive", Incarnation: 5}, {By: 0, Number: 0, To: started},
				{By: 0, Number: 1, To: "alive", Incarnation: 4}}, "", 0},
		{"back with incarnation 0", []Seen{{By: 0, Number: 1, From: "away", To: "alive"}}, "without a word", 0},
	} {
		v := checkMembers(scenario, c.changes)
		got := strings.Join(append(v.False, v.Rules...), "; ")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) || len(v.Missed) != c.missed {
			t.Errorf("%s: %q, missed %v", c.name, got, v.Missed)
		}
	}
	submitted := func(class string, o client.Outcome) Submission { return Submission{class + "/1", class, "id", o} }
	ran := testdouble.Effect{Name: "fee-charge/1", ID: "id"}
	for _, c := range []struct {
		name    string
		records Records
		want    string
	}{
		{"delivered", Records{Submissions: []Submission{submitted("fee-charge", client.Taken)},
			Effects: []testdouble.Effect{ran}}, ""},
		{"a charge runs twice",
			Records{Submissions: []Submission{submitted("fee-charge", client.Taken)},
				Effects: []testdouble.Effect{ran, ran}}, "ran 2 times"},
		{"not completed", Records{Submissions: []Submission{submitted("fee-charge", client.Taken)}}, "no end"},
		{"given up", Records{Submissions: []Submission{submitted("fee-charge", client.Taken)},
			Notifications: map[string]testdouble.Notification{"id": {Outcome: "given_up"}}}, ""},
		{"refused and ran",
			Records{Submissions: []Submission{submitted("fee-charge", client.Refused)},
				Effects: []testdouble.Effect{ran}}, "refused and ran"},
		{"handed back and ran",
			Records{Submissions: []Submission{submitted("fee-charge", client.Taken)},
				Effects:       []testdouble.Effect{ran},
				Notifications: map[string]testdouble.Notification{"id": {Outcome: "handed_back"}}},
			"handed back and ran"},
		{"a call before Retry-After", Records{EarlyCalls: 1}, "told wait"},
		{"an oversized gossip message", Records{OversizedMessages: 1}, "256 bytes"},
	} {
		if got := strings.Join(checkMessages(&c.records), "; "); (c.want == "") != (got == "") ||
			!strings.Contains(got, c.want) {
			t.Errorf("%s: %q", c.name, got)
		}
	}
	good, bad := Verdict{Agreed: true}, Verdict{Agreed: true, Rules: []string{"x"}}
	if good.CheckSame(&bad) == nil || good.CheckSame(&Verdict{Agreed: true, Gone: []int{1}}) == nil ||
		good.CheckSame(&good) != nil || (&Verdict{}).Good() {
		t.Error("verdicts that differ are reported as equal")
	}
}

// Lines about members are parsed, others are skipped.
func TestParseLogLine(t *testing.T) {
	s, at, ok := parseLogLine(3,
		`time=2026-12-01T21:52:03.125Z level=INFO msg=member number=4 state=away was=suspect incarnation=7 why="a \"b\" c=d, e"`)
	if !ok || s.By != 3 || s.Number != 4 || s.From != "suspect" || s.To != "away" || s.Incarnation != 7 ||
		s.Why != `a "b" c=d, e` || at.Nanosecond() != 125e6 {
		t.Errorf("%+v %v %v", s, at, ok)
	}
	for _, line := range []string{"", "x", "time=now msg=member number=1", `msg=member number=x why="`,
		"msg=other number=4", `a="unclosed`} {
		if _, _, ok := parseLogLine(0, line); ok {
			t.Errorf("parsed %q", line)
		}
	}
}

// Playable names what processes can't play.
func TestPlayable(t *testing.T) {
	valid := func() *emu.Scenario {
		return &emu.Scenario{Relays: 3, Membership: true, Rate: 10, Length: 30 * time.Second,
			Classes: []emu.Class{{Class: policy.Class{Name: "x"}}}}
	}
	if err := Playable(valid()); err != nil {
		t.Fatal(err)
	}
	for want, spoil := range map[string]func(*emu.Scenario){"relays": func(d *emu.Scenario) { d.Relays = 41 },
		"members": func(d *emu.Scenario) { d.Membership = false }, "rate": func(d *emu.Scenario) { d.Rate = 1e6 },
		"kind":        func(d *emu.Scenario) { d.Faults = []emu.Fault{{Kind: emu.Burst, At: time.Minute}} },
		"troubles[0]": func(d *emu.Scenario) { d.Faults = []emu.Fault{{Kind: emu.Partition, At: time.Second}} }} {
		d := valid()
		spoil(d)
		if err := Playable(d); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// startRelays starts the first relays of a fleet of n with membership enabled. Nobody listens at
// the other addresses.
func startRelays(t *testing.T, n, start int) (
	*testdouble.Environment, *faultnet.Network, []*testdouble.Relay, []string,
) {
	return startRelaysWithChoices(t, n, start, "")
}

// startRelaysWithChoices is startRelays for relays that share choices.
func startRelaysWithChoices(t *testing.T, n, start int, choices string) (
	*testdouble.Environment, *faultnet.Network, []*testdouble.Relay, []string,
) {
	t.Helper()
	env, err := testdouble.NewEnvironment(
		testdouble.Config{Partners: []testdouble.PartnerConfig{{Dest: 1}}, FleetSize: n})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.Close)
	var listen []string
	for range n {
		addr, err := testdouble.ReserveAddr()
		if err != nil {
			t.Fatal(err)
		}
		listen = append(listen, addr)
	}
	network, err := faultnet.New(listen, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(network.Close)
	var relays []*testdouble.Relay
	for i := range start {
		r, err := env.NewFleetRelay(bin,
			&testdouble.FleetConfig{Number: i, PeerListen: listen[i], Peers: network.PeerAddrs(i), Zone: "a",
				Zones: []string{"a"}, Members: "on", Choices: choices}, "--log", "debug")
		if err == nil {
			err = r.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		relays = append(relays, r)
	}
	return env, network, relays, listen
}

func awaitLog(t *testing.T, r *testdouble.Relay, text string) {
	t.Helper()
	if err := r.AwaitLog(text); err != nil {
		t.Fatal(err)
	}
}

// startFleetWithStandby starts three relays that know one another, and a process that stands by for
// relay 1.
func startFleetWithStandby(t *testing.T) (r *run, next *testdouble.Relay) {
	t.Helper()
	_, _, relays, _ := startRelays(t, 3, 3)
	r = &run{relays: relays}
	if err := r.waitUntil(context.Background(), "all relays to know one another", r.membersAgree); err != nil {
		t.Fatalf("%v: %s", err, r.memberDisagreement())
	}
	next, err := relays[1].StartNextProcess()
	if err != nil {
		t.Fatal(err)
	}
	awaitLog(t, next, "standing by")
	return r, next
}

// The two processes of an upgrade are one member, which nobody sees as dead; a drained relay has
// left, and is alive again when it serves again; a stopped relay has left; a killed one is away.
func TestThreeProcesses(t *testing.T) {
	t.Parallel()
	r, next := startFleetWithStandby(t)
	relays := r.relays
	if err := relays[1].Stop(); err != nil {
		t.Fatal(err)
	}
	awaitLog(t, next, "all is taken over")
	relays[1] = next
	if err := r.waitUntil(context.Background(), "the new process to exceed the incarnation of the old one",
		func() bool {
			v, err := r.fetchMembers(0)
			return err == nil && v.Members[1].Incarnation > 1
		}); err != nil {
		t.Fatalf("%v\n%s\n%s", err, relays[0].LogTail(), next.LogTail())
	}
	if err := r.waitUntil(context.Background(), "all relays to know one another", r.membersAgree); err != nil {
		t.Fatalf("%v: %s", err, r.memberDisagreement())
	}
	for _, i := range []int{0, 2} {
		for _, state := range []string{"away", "left"} {
			if relays[i].CountLogLines("member number=1 state="+state) > 0 {
				t.Errorf("relay %d saw the upgraded one as %s", i, state)
			}
		}
	}
	drain := func(path string) {
		if status, _, err := relays[2].CallAdmin("PUT", path); status != 200 {
			t.Fatal(status, err)
		}
	}
	drain("/healthcheck/fail")
	awaitLog(t, relays[0], "member number=2 state=left")
	drain("/healthcheck/ok")
	awaitLog(t, relays[0], "member number=2 state=alive")
	if err := relays[2].Stop(); err != nil {
		t.Fatal(err)
	}
	awaitLog(t, relays[1], "member number=2 state=left")
	relays[1].Kill()
	awaitLog(t, relays[0], "member number=1 state=away")
	status, body, err := relays[0].CallAdmin("GET", "/members")
	if err != nil || status != 200 || !strings.Contains(body, `"number":1,"state":"away","zone":"a"`) ||
		!strings.Contains(body, `"number":2,"state":"left"`) {
		t.Errorf("%d, %v: %s", status, err, body)
	}
	metrics, err := relays[0].Metrics()
	if err != nil || metrics[`members{state="away"}`] != 1 || metrics[`members{state="left"}`] != 1 ||
		metrics["members_asked"] == 0 {
		t.Errorf("%v: %v", err, metrics)
	}
}

// Of ten addresses four have a relay, five never answer, and one sends lies, floods and oversized
// messages; old messages of a killed relay are replayed. The live relays must see one another as
// alive and the others as away, and the killed one must not come back.
func TestLiarOnSockets(t *testing.T) {
	t.Parallel()
	_, network, relays, listen := startRelays(t, 10, 4)
	r := run{relays: relays, down: map[int]bool{4: true, 5: true, 6: true, 7: true, 8: true, 9: true}}
	var mu sync.Mutex
	var recorded [][]byte // from relay 3 to relay 0
	network.SetFaults(faultnet.Faults{OnSend: func(from, to int, payload []byte) {
		if mu.Lock(); from == 3 && to == 0 && len(recorded) < 100 {
			recorded = append(recorded, slices.Clone(payload))
		}
		mu.Unlock()
	}})
	waitUntil := func(what string, cond func() bool) {
		t.Helper()
		if err := r.waitUntil(context.Background(), what, cond); err != nil {
			t.Fatalf("%v: %s", err, r.memberDisagreement())
		}
	}
	waitUntil("the live relays to agree", r.membersAgree)
	listenAt := func(addr string) *net.UDPConn {
		to, err := net.ResolveUDPAddr("udp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		sock, err := net.ListenUDP("udp4", to)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { sock.Close() })
		return sock
	}
	relays[3].Kill()
	r.down[3] = true
	waitUntil("all to see the killed relay as dead", r.membersAgree)
	liar, ghost := listenAt(listen[9]), listenAt(listen[3])
	liarList := members.New(members.Config{Self: 9, FleetSize: 10, Seed: 1})
	startedAt := time.Now()
	for round := range 120 {
		for to := range 3 {
			lie := append([]byte{3}, liarList.FalseGossip(time.Since(startedAt), round)...)
			for _, payload := range [][]byte{lie, lie, lie[:len(lie)/2], make([]byte, 257)} {
				liar.WriteToUDPAddrPort(payload, netip.MustParseAddrPort(network.PeerAddrs(9)[to]))
			}
		}
		mu.Lock()
		ghost.WriteToUDPAddrPort(recorded[round%len(recorded)], netip.MustParseAddrPort(network.PeerAddrs(3)[0]))
		mu.Unlock()
		time.Sleep(members.Period / 12)
	}
	for i := range 3 {
		for _, n := range []int{0, 1, 2} {
			if relays[i].CountLogLines(fmt.Sprintf("member number=%d state=away", n)) > 0 {
				t.Errorf("relay %d believes the lie about %d", i, n)
			}
		}
	}
	if relays[0].CountLogLines("member number=3 state=alive was=away") > 0 {
		t.Error("replayed messages made a dead relay alive")
	}
	if _, _, _, long := network.Counts(); long == 0 {
		t.Error("no oversized message was sent")
	}
	metrics, err := relays[0].Metrics()
	if err != nil || metrics["members_notes_refused"] == 0 {
		t.Errorf("%v: nothing rejected: %v", err, metrics)
	}
	// After the liar stops, it is seen as dead, as are the relays known from its messages alone.
	waitUntil("all to see the liar as dead too", func() bool {
		v, err := r.fetchMembers(0)
		return err == nil && v.Members[9].State != "alive" && v.Members[1].State == "alive" &&
			v.Members[2].State == "alive"
	})
}

// A second process is started under the number of a running relay: one of the two logs it, and the
// other relays stay alive.
func TestDuplicateNumberOnSockets(t *testing.T) {
	t.Parallel()
	env, network, relays, _ := startRelays(t, 3, 3)
	r := run{relays: relays}
	if err := r.waitUntil(context.Background(), "all relays to know one another", r.membersAgree); err != nil {
		t.Fatalf("%v: %s", err, r.memberDisagreement())
	}
	addr, err := testdouble.ReserveAddr()
	if err == nil {
		err = network.AddAlias(1, addr)
	}
	if err != nil {
		t.Fatal(err)
	}
	peers := network.PeerAddrs(1)
	peers[1] = addr
	rival, err := env.NewFleetRelay(bin,
		&testdouble.FleetConfig{Number: 1, PeerListen: addr, Peers: peers, Zone: "a", Zones: []string{"a"},
			Members: "on"}, "--log", "debug")
	if err == nil {
		err = rival.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := r.waitUntil(context.Background(), "one of the two to notice", func() bool {
		return relays[1].CountLogLines("another process speaks")+rival.CountLogLines("another process speaks") > 0
	}); err != nil {
		t.Fatalf("%v\n%s", err, rival.LogTail())
	}
	for _, i := range []int{0, 2} {
		if relays[i].CountLogLines("member number=0 state=away")+
			relays[i].CountLogLines("member number=2 state=away") > 0 {
			t.Errorf("relay %d sees another as dead: %s", i, relays[i].LogTail())
		}
	}
}

// Guards against a relay that the fleet takes for dead for good: a standby process that took over
// from a process that was killed opened no gossip socket.
func TestStandbyOfKilledRelayJoins(t *testing.T) {
	t.Parallel()
	r, next := startFleetWithStandby(t)
	relays := r.relays
	relays[1].Kill()
	awaitLog(t, next, "msg=ready")
	relays[1] = next
	if err := r.waitUntil(context.Background(), "the new process to have heard of the others", func() bool {
		v, err := r.fetchMembers(1)
		return err == nil && len(v.Members) == 3 && v.Members[0].State == "alive" && v.Members[2].State == "alive"
	}); err != nil {
		t.Fatalf("%v\n%s", err, next.LogTail())
	}
	time.Sleep(5 * members.Period) // a process that sends nothing would be suspected by now
	if err := r.waitUntil(context.Background(), "all relays to know one another", r.membersAgree); err != nil {
		t.Fatalf("%v: %s", err, r.memberDisagreement())
	}
}
