// Package fleet plays days with real relays in processes of their own: links between them that lose, delay and cut, scripted partners and
// platform, and clients from the library, all on loopback. The days are those that internal/lab/emu plays in virtual time.
//
// A day's clock is the messages that clients have offered: a trouble begins and ends with a counted one, so that a machine that is busy
// plays the day slower, and to the same end. What relays did is judged from the ledgers of the stand-ins and the relays' logs.
package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oatfold/client"
	"oatfold/internal/lab/emu"
	"oatfold/internal/peers/members"
	"oatfold/internal/standin"
	"oatfold/internal/standin/link"
)

// Bounds of a day that processes can play.
const (
	leastRelays, mostRelays = 2, 40
	mostRate                = 200.0 // messages a second
	mostMessages            = 20_000

	whole    = 20 * members.Period // virtual time: how long a fleet may take to know itself
	coldRate = 60.0                // calls a second that a partner takes that is in one site alone, and comes back cold with it
	coldFor  = 6 * time.Second

	settle = 90 * time.Second // virtual time, for all to agree behind a day's end
	hang   = 60 * time.Second // of a process's side of the same; it bounds a hang and measures nothing
)

// Config sets a run.
type Config struct {
	Day  *emu.Day
	Seed uint64
	Bin  string // the relay
	Out  string // folder for logs and results; empty: none are kept

	Operator string                       // file that the relays are started with; empty: none
	Behind   func([]*standin.Relay) error // asked of the relays when the day's messages have ended; nil: nothing
}

// Result is what came of a run.
type Result struct {
	Day      string
	Seed     uint64
	Verdict  Verdict
	Seen     []Seen
	Offered  int
	Taken    int
	Ran      int
	Refused  int     // calls that partners turned away above their limits
	Sent     int     // notes
	Bytes    int     // of notes
	Seconds  float64 // from the fleet's being whole to the day's end
	Troubles []string
}

// Playable names the first thing for which a day can't be played with processes.
func Playable(d *emu.Day) error {
	if d.Relays < leastRelays || d.Relays > mostRelays {
		return fmt.Errorf("relays: %d does not lie within %d and %d", d.Relays, leastRelays, mostRelays)
	}
	if !d.Members {
		return errors.New("members: a fleet's day asks who lives")
	}
	if d.Rate <= 0 || d.Rate > mostRate || d.Rate*d.Length.Seconds() > mostMessages {
		return fmt.Errorf("rate: %.0f messages a second for %v are none, or more than %.0f a second or %d in all", d.Rate, d.Length, mostRate, mostMessages)
	}
	for i, t := range d.Troubles {
		switch t.Kind {
		case emu.Vanish, emu.Shut, emu.Crash, emu.Lowered:
			if len(t.Parts) > 0 && t.Kind != emu.Crash {
				return fmt.Errorf("troubles[%d].parts: single endpoints can crash only", i)
			}
		default:
			if !t.OfRelays() {
				return fmt.Errorf("troubles[%d].kind: %q is played in virtual time only", i, t.Kind)
			}
		}
		if t.At < whole {
			return fmt.Errorf("troubles[%d].at: %v: a fleet takes up to %v to know itself", i, t.At, whole)
		}
	}
	return nil
}

// run is a day at work.
type run struct {
	set    Config
	day    *emu.Day
	world  *standin.World
	net    *link.Net
	relays []*standin.Relay
	routes [][]route // of each relay
	logs   []*os.File

	mu      sync.Mutex
	seen    []Seen
	since   time.Time // the fleet is whole; zero: not yet
	hands   []Hand
	holding map[int]bool // troubles that hold now
	down    map[int]bool // relays that are to be down now
	stalled map[int]int
	faults  []string
	ending  atomic.Bool // the relays are told to end
}

// Play plays a day and judges it.
func Play(ctx context.Context, set Config) (*Result, error) {
	if err := Playable(set.Day); err != nil {
		return nil, err
	}
	r := &run{set: set, day: set.Day, holding: map[int]bool{}, down: map[int]bool{}, stalled: map[int]int{}}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.until(ctx, "all relays to know one another", r.agreed); err != nil {
		return nil, fmt.Errorf("%w: %s", err, r.disagreement())
	}
	r.mu.Lock()
	r.since, r.seen = time.Now(), nil
	r.mu.Unlock()
	if err := r.offer(ctx); err != nil {
		return nil, err
	}
	return r.finish(ctx)
}

func (r *run) fault(format string, args ...any) {
	r.mu.Lock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
	r.mu.Unlock()
}

// partners are the day's destinations as stand-ins.
func (r *run) partners() (all []standin.PartnerConfig) {
	for i, d := range r.day.Dests {
		k := r.day.Kinds[d.Kind]
		p := standin.PartnerConfig{Dest: 1 + i, Endpoints: len(d.Endpoints), Serve: 3 * time.Millisecond, Zone: d.Zone}
		if k.Batch > 1 {
			p.Kind = "broker"
		}
		if d.Endpoints[0].Zone != "" {
			for _, e := range d.Endpoints {
				p.Zones = append(p.Zones, e.Zone)
			}
		}
		if one := d.OnlyZone(); one != "" {
			p.Rate, p.Burst, p.ColdFrom, p.ColdFor, p.FallAfter = coldRate, coldRate, k.ColdFrom, coldFor, r.day.FallMultiple
		}
		if k.Limit == emu.RateLimit {
			p.Rate, p.Burst, p.Wait = d.Limit, max(1, d.Limit/2), k.Wait
		}
		all = append(all, p)
	}
	return all
}

func (r *run) classes() (all []standin.Class) {
	for _, c := range r.day.Classes {
		all = append(all, standin.Class{Name: c.Name, Effect: []string{"safe", "keyed", "unsafe"}[c.Effect], Aim: c.Aim, Deadline: c.Deadline, Window: max(c.Window, time.Second),
			Worth: c.Worth, LateWorth: c.LateWorth})
	}
	return all
}

// start starts the world and its relays, side by side.
func (r *run) start() (err error) {
	if r.world, err = standin.NewWorld(standin.Config{Seed: r.set.Seed, Partners: r.partners(), Classes: r.classes(), Relays: r.day.Relays, Hold: 500}); err != nil {
		return err
	}
	var listen []string
	for range r.day.Relays {
		addr, err := standin.Addr() // of an address of its own: the ways' sockets take ports of 127.0.0.1
		if err != nil {
			return err
		}
		listen = append(listen, addr)
	}
	if r.net, err = link.New(listen, r.set.Seed); err != nil {
		return err
	}
	var zones []string
	for z := range max(1, r.day.Zones) {
		zones = append(zones, fmt.Sprintf("zone-%d", 1+z))
	}
	errs := make([]error, r.day.Relays)
	var all sync.WaitGroup
	r.routes = make([][]route, r.day.Relays)
	for n := range r.day.Relays {
		discovery, err := r.reach(n)
		if err != nil {
			return err
		}
		seat := &standin.Seat{Number: n, Listen: listen[n], Peers: r.net.Peers(n), Zone: zones[r.day.ZoneOf(n)], Zones: zones, Members: "on", Choices: r.day.Choices.String(), Discovery: discovery}
		if r.set.Out != "" {
			f, err := os.Create(filepath.Join(r.set.Out, fmt.Sprintf("relay-%02d.log", n)))
			if err != nil {
				return err
			}
			r.logs = append(r.logs, f)
			seat.Tap = func(line string) { fmt.Fprintln(f, line); r.tap(n, line) }
		} else {
			seat.Tap = func(line string) { r.tap(n, line) }
		}
		args := []string{"--log", "debug"}
		if r.set.Operator != "" {
			args = append(args, "--operator", r.set.Operator)
		}
		relay, err := r.world.Seated(r.set.Bin, seat, args...)
		if err != nil {
			return err
		}
		r.relays = append(r.relays, relay)
		all.Go(func() { errs[n] = relay.Start() })
	}
	all.Wait()
	return errors.Join(errs...)
}

// tap reads a line of a relay's log.
func (r *run) tap(by int, line string) {
	s, at, ok := parse(by, line)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok && strings.Contains(line, "msg=ready ") {
		s, at, ok = Seen{By: int32(by), Number: int32(by), To: started}, time.Now(), true
	}
	if !ok || r.ending.Load() {
		return
	}
	for i := range r.day.Troubles {
		if r.holding[i] {
			s.Troubles += fmt.Sprintf("%d ", i)
		}
	}
	s.AtMs = at.Sub(r.since).Milliseconds()
	r.seen = append(r.seen, s)
}

// view is what a relay answers when it is asked who lives.
type view struct {
	Self    int
	Members []struct {
		Number      int
		State       string
		Incarnation int
	}
}

func (r *run) view(n int) (*view, error) {
	status, body, err := r.relays[n].Call("GET", "/members")
	if err != nil || status != 200 {
		return nil, fmt.Errorf("relay %d: status %d: %w", n, status, err)
	}
	v := &view{}
	return v, json.Unmarshal([]byte(body), v)
}

// disagreement names a relay that does not know who lives; empty: all do.
func (r *run) disagreement() string {
	r.mu.Lock()
	down := map[int]bool{}
	for n := range r.down {
		down[n] = true
	}
	r.mu.Unlock()
	for n := range r.relays {
		if down[n] {
			continue
		}
		v, err := r.view(n)
		if err != nil {
			return err.Error()
		}
		for _, m := range v.Members {
			lives, gone := m.State == "alive", m.State == "away" || m.State == "left"
			if m.Number != n && (down[m.Number] && !gone || !down[m.Number] && !lives) {
				return fmt.Sprintf("relay %d takes %d for %s", n, m.Number, m.State)
			}
		}
	}
	return ""
}

func (r *run) agreed() bool { return r.disagreement() == "" }

// until looks again and again, for as long as a hang may last.
func (r *run) until(ctx context.Context, what string, cond func() bool) error {
	for by := time.Now().Add(hang); !cond(); {
		if time.Now().After(by) {
			return fmt.Errorf("waited in vain for %s", what)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(members.Period / 4):
		}
	}
	return nil
}

// route is a relay's own way to an endpoint of a destination.
type route struct {
	dest, end int // their places in the day
	way       *link.Stream
}

// reach opens a relay's own ways to all partners and to the platform, and returns the platform's address for it.
func (r *run) reach(n int) (string, error) {
	at := map[string]string{}
	for i := range r.day.Dests {
		for e, addr := range r.world.Partners[1+i].Addresses() {
			way, err := link.NewStream(addr)
			if err != nil {
				return "", err
			}
			r.routes[n] = append(r.routes[n], route{i, e, way})
			at[addr] = way.Addr
		}
	}
	return r.world.Platform.View(at)
}

// step is a beginning or an end of a trouble, due with a counted message.
type step struct {
	at      int
	trouble int
	begins  bool
}

// offer hands the day's messages in, one after the other, and lets troubles begin and end with those that are their turn.
func (r *run) offer(ctx context.Context) error {
	// A client that does well keeps to one relay: so there is one for each.
	clients := make([]*client.Client, len(r.relays))
	for n, relay := range r.relays {
		c, err := client.New(client.Config{Relays: []string{relay.Addr}, Spread: 50 * time.Millisecond, NoRefusals: true})
		if err != nil {
			return err
		}
		defer c.Close()
		clients[n] = c
	}
	total := int(r.day.Rate * (r.day.Length - whole).Seconds())
	count := func(at time.Duration) int { return int(r.day.Rate * (at - whole).Seconds()) }
	var steps []step
	for i, t := range r.day.Troubles {
		steps = append(steps, step{count(t.At), i, true}, step{max(count(t.At)+1, count(t.At+t.Len)), i, false})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return a.at - b.at })
	turn := time.NewTicker(time.Duration(float64(time.Second) / r.day.Rate))
	defer turn.Stop()
	for n := range total {
		for len(steps) > 0 && steps[0].at <= n {
			if err := r.do(steps[0]); err != nil {
				return err
			}
			steps = steps[1:]
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-turn.C:
		}
		class := r.day.Classes[n%len(r.day.Classes)]
		name := fmt.Sprintf("%s/%d", class.Name, n)
		m := client.Message{Class: class.Name, Dest: 1 + n%len(r.day.Dests), Effect: client.Effect(map[int]client.Effect{0: client.Safe, 1: client.Keyed, 2: client.Unsafe}[int(class.Effect)]),
			Window: class.Window, TimeLeft: class.Deadline * 9 / 10, Body: []byte(name + "\n")}
		if err := clients[r.upFrom(n)].HandIn(ctx, m, func(res client.Result, _ error) {
			r.mu.Lock()
			r.hands = append(r.hands, Hand{name, class.Name, res.ID, res.Outcome})
			r.mu.Unlock()
		}); err != nil {
			return err
		}
	}
	for _, s := range steps {
		// What lasts beyond the day ends with it, but for what is for good.
		if t := r.day.Troubles[s.trouble]; !s.begins && t.At < r.day.Length && t.At+t.Len <= r.day.Length+settle {
			if err := r.do(s); err != nil {
				return err
			}
		}
	}
	flush, cancel := context.WithTimeout(ctx, hang)
	defer cancel()
	for _, c := range clients {
		if err := c.Flush(flush); err != nil {
			return err
		}
	}
	return nil
}

// upFrom is a relay that is neither to be down nor standing still, the nth of all in turn or the next. To the busy one of a day more is handed in.
func (r *run) upFrom(n int) int {
	if more := int(r.day.Busy) - 1; more > 0 {
		if n %= len(r.relays) + more; n >= len(r.relays) {
			n = 0
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.relays {
		if at := (n + i) % len(r.relays); !r.down[at] && r.stalled[at] == 0 {
			return at
		}
	}
	return n % len(r.relays)
}

// do lets a trouble begin or end.
func (r *run) do(s step) error {
	t := &r.day.Troubles[s.trouble]
	r.mu.Lock()
	r.holding[s.trouble] = s.begins
	r.mu.Unlock()
	relays := r.day.RelaysOf(t)
	switch t.Kind {
	case emu.RelayCrash, emu.RelayStop:
		var all sync.WaitGroup
		errs := make([]error, len(relays))
		for i, n := range relays {
			r.mu.Lock()
			was := r.down[n]
			if s.begins {
				r.down[n] = true
			}
			r.mu.Unlock()
			if was == s.begins {
				continue // another trouble has it
			}
			all.Go(func() {
				relay := r.relays[n]
				switch {
				case s.begins && t.Kind == emu.RelayCrash:
					relay.Kill()
				case s.begins:
					errs[i] = relay.Stop()
				default:
					if errs[i] = relay.Start(); errs[i] == nil {
						r.mu.Lock()
						delete(r.down, n)
						r.mu.Unlock()
					}
				}
			})
		}
		all.Wait()
		return errors.Join(errs...)
	case emu.RelayStall:
		for _, n := range relays {
			if s.begins {
				r.stalled[n]++
			} else {
				r.stalled[n]--
			}
			sig := syscall.SIGCONT
			if r.stalled[n] > 0 {
				sig = syscall.SIGSTOP
			}
			if err := r.relays[n].Signal(sig); err != nil {
				return err
			}
		}
	case emu.Vanish, emu.Crash, emu.Shut:
		for _, ways := range r.routes { // some endpoints of partners, as every relay finds them
			for _, one := range ways {
				if slices.Contains(t.Parts, [2]int{one.dest, one.end}) || losesEndpoint(&r.day.Dests[one.dest], one.end, t.Zone) {
					one.way.Set(link.Course{Refuse: s.begins})
				}
			}
		}
		mode := map[emu.TroubleKind]standin.Mode{emu.Vanish: standin.Silent, emu.Crash: standin.Refusing, emu.Shut: standin.Shut}[t.Kind]
		if !s.begins {
			mode = standin.Well
		}
		for i, d := range r.day.Dests {
			if slices.Contains(t.Dests, i) || losesAll(&d, t.Zone) {
				if err := r.world.Partners[1+i].Set(mode, 1); err != nil {
					return err
				}
			}
		}
	case emu.Lowered:
		part := 1.0
		if s.begins {
			part = t.Size
		}
		for i, d := range r.day.Dests {
			if slices.Contains(t.Dests, i) || t.Zone != "" && d.Zone == t.Zone {
				r.world.Partners[1+i].Lower(part)
			}
		}
	case emu.SiteCut:
		for n, ways := range r.routes {
			for _, one := range ways {
				in := r.day.Dests[one.dest].Endpoints[one.end].Zone == t.Zone
				if slices.Contains(relays, n) != in {
					one.way.Set(link.Course{There: s.begins, Back: s.begins})
				}
			}
		}
		r.setWays()
	case emu.PartnersCut:
		for _, n := range relays {
			for _, one := range r.routes[n] {
				if slices.Contains(r.day.DestsOf(t), one.dest) {
					one.way.Set(link.Course{There: s.begins, Back: s.begins})
				}
			}
		}
	default:
		r.setWays()
	}
	return nil
}

// losesAll tells whether the loss of a zone takes a destination with all its endpoints: they all lie there, or they name no zone of their
// own and the destination does. Risk: one that names a zone and has endpoints in several is taken whole, and relays blame the other zones.
func losesAll(d *emu.Dest, zone string) bool {
	return zone != "" && cmp.Or(d.OnlyZone(), d.Zone) == zone && !inSeveralZones(d)
}

// losesEndpoint tells whether the loss of a zone takes that endpoint of a destination that has others elsewhere.
func losesEndpoint(d *emu.Dest, end int, zone string) bool {
	return zone != "" && inSeveralZones(d) && cmp.Or(d.Endpoints[end].Zone, d.Zone) == zone
}

func inSeveralZones(d *emu.Dest) bool {
	return slices.ContainsFunc(d.Endpoints, func(e emu.Endpoint) bool { return e.Zone != d.Endpoints[0].Zone })
}

// setWays has the links do what all troubles that hold ask for together.
func (r *run) setWays() {
	w := link.Ways{Deaf: map[int]bool{}, Mute: map[int]bool{}}
	kept := 1.0
	for i := range r.day.Troubles {
		t := &r.day.Troubles[i]
		if !r.holding[i] {
			continue
		}
		set := map[int]bool{}
		for _, n := range r.day.RelaysOf(t) {
			set[n] = true
		}
		switch t.Kind {
		case emu.Cut, emu.SiteCut:
			w.Apart = append(w.Apart, set)
		case emu.Deaf:
			for n := range set {
				w.Deaf[n] = true
			}
		case emu.Mute:
			for n := range set {
				w.Mute[n] = true
			}
		case emu.NotesLost:
			kept *= 1 - t.Size
		case emu.NotesLate:
			w.Late += time.Duration(t.Size * float64(time.Second))
		case emu.NotesTwice:
			w.Twice = max(w.Twice, t.Size)
		}
	}
	w.Lost = 1 - kept
	r.net.Set(w)
}

// finish waits until all has ended and all agree, ends the relays and judges.
func (r *run) finish(ctx context.Context) (*Result, error) {
	res := &Result{Day: r.day.Name, Seed: r.set.Seed}
	var books Books
	ended := func() bool {
		books = r.books()
		return !slices.ContainsFunc(judgeMessages(&books), endless)
	}
	if err := r.until(ctx, "all messages to end", ended); err != nil && ctx.Err() != nil {
		return nil, err
	}
	agreed := r.until(ctx, "all relays to agree who lives", r.agreed)
	if r.set.Behind != nil {
		if err := r.set.Behind(r.relays); err != nil {
			r.fault("%v", err)
		}
	}
	for i, d := range r.day.Dests {
		if d.OnlyZone() != "" && r.world.Partners[1+i].Fell() {
			r.fault("destination %d was pushed over as it returned", 1+i)
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	why := r.disagreement()
	if r.day.Choices.Subset > 0 {
		if r.until(ctx, "all relays to share endpoints alike", func() bool { return len(r.unshared()) == 0 }) != nil {
			for _, text := range r.unshared() {
				r.fault("%s", text)
			}
		}
	}
	r.mu.Lock()
	res.Seconds = time.Since(r.since).Seconds()
	seen := slices.Clone(r.seen)
	r.mu.Unlock()
	r.ending.Store(true)
	var all sync.WaitGroup
	for n, relay := range r.relays {
		if r.down[n] {
			continue
		}
		all.Go(func() {
			if err := relay.Stop(); err != nil {
				r.fault("relay %d ended with %v", n, err)
			}
		})
	}
	all.Wait()
	slices.SortStableFunc(seen, func(a, b Seen) int { return int(a.AtMs - b.AtMs) })
	res.Verdict = judgeMembers(r.day, seen)
	for n := range r.down {
		res.Verdict.Gone = append(res.Verdict.Gone, n)
	}
	slices.Sort(res.Verdict.Gone)
	res.Verdict.Agreed = agreed == nil
	if agreed != nil {
		res.Verdict.Faults = append(res.Verdict.Faults, why)
	}
	books = r.books()
	res.Verdict.Rules = append(res.Verdict.Rules, judgeMessages(&books)...)
	res.Verdict.Faults = append(res.Verdict.Faults, r.faults...)
	res.Seen, res.Offered, res.Ran = seen, len(books.Hands), len(books.Effects)
	for _, h := range books.Hands {
		if h.Outcome == client.Taken {
			res.Taken++
		}
	}
	if res.Taken == 0 {
		res.Verdict.Faults = append(res.Verdict.Faults, "no message was taken on")
	}
	res.Sent, _, res.Bytes, _ = r.net.Counts()
	for _, p := range r.world.Partners {
		res.Refused += p.Rejected()
	}
	for i, t := range r.day.Troubles {
		res.Troubles = append(res.Troubles, fmt.Sprintf("%d: %s of %v %s from %v for %v", i, t.Kind, r.day.RelaysOf(&t), t.Zone, t.At, t.Len))
	}
	return res, nil
}

func (r *run) books() (b Books) {
	r.mu.Lock()
	b.Hands = slices.Clone(r.hands)
	r.mu.Unlock()
	b.Effects, b.Notices = r.world.Ledger.Effects(), r.world.Platform.Notices()
	for _, p := range r.world.Partners {
		b.Early += p.Early()
	}
	_, _, _, b.TooLong = r.net.Counts()
	return b
}

func (r *run) close() {
	if r.world != nil {
		r.world.Close()
	}
	if r.net != nil {
		r.net.Close()
	}
	for _, all := range r.routes {
		for _, one := range all {
			one.way.Close()
		}
	}
	for _, f := range r.logs {
		f.Close()
	}
}
