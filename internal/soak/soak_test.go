// Package soak plays days on which faults come together: real relays, clients that keep their connections, endpoints, a platform, and a
// seed that draws who is hit by what and when. It has tests only.
package soak_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"oatfold/internal/testdouble"
)

var (
	seeds = flag.Int("soak.seeds", 6, "days that are played")
	first = flag.Int("soak.first", 1, "seed of the first")
	lanes = flag.Int("soak.lanes", 3, "days that are played at once")
)

const (
	dests  = 4
	fleet  = 2
	people = 14 // clients
	lasts  = 9 * time.Second

	killBehind  = 3700 * time.Millisecond // SIGTERM: the earliest kill
	startBehind = 600 * time.Millisecond  // the kill: the next start
	readyBy     = 10 * time.Second
	readyGrace  = 1500 * time.Millisecond // behind which notices are due again
)

var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	return testdouble.BuildRelay(dir)
})

func TestMain(m *testing.M) {
	code := m.Run()
	if bin, err := program(); err == nil {
		os.RemoveAll(bin[:len(bin)-len("/oatfold")])
	}
	os.Exit(code)
}

// span is a stretch of time.
type span struct{ from, to time.Time }

// day is one seed's day.
type day struct {
	t       *testing.T
	world   *testdouble.Environment
	relays  []*testdouble.Relay
	clients *clients
	events  *events

	mu      sync.Mutex
	lives   []int    // of each relay
	dead    []int    // of each relay, the last life that was killed
	faults  []string // broken rules
	told    []string // what was done, in order
	began   time.Time
	away    [][]span // of each relay: down or short of descriptors, when no notice is overdue
	planned int      // stops
	late    int      // of these, still there when they were killed
}

func (d *day) life(relay int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lives[relay]
}

// killed tells whether that life of a relay was killed outright.
func (d *day) killed(relay, life int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dead[relay] >= life
}

func (d *day) fail(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, fmt.Sprintf("%.2f s: ", time.Since(d.began).Seconds())+fmt.Sprintf(format, args...))
}

func (d *day) tell(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = append(d.told, fmt.Sprintf("%.2f s: ", time.Since(d.began).Seconds())+fmt.Sprintf(format, args...))
}

// Faults drawn together: no request is read and left without an answer, what was taken on ends once, what was refused is not forwarded, what has
// ended is not forwarded again, no charge runs twice, and each planned stop ends clean.
func TestFaultsTogether(t *testing.T) {
	if _, err := program(); err != nil {
		t.Fatal(err)
	}
	turns := make(chan struct{}, *lanes)
	for n := range *seeds {
		seed := *first + n
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			turns <- struct{}{}
			defer func() { <-turns }()
			play(t, uint64(seed))
		})
	}
}

func play(t *testing.T, seed uint64) {
	d := &day{t: t, lives: make([]int, fleet), away: make([][]span, fleet), dead: make([]int, fleet), began: time.Now(), events: newEvents()}
	random := rand.New(rand.NewPCG(seed, 41))
	set := testdouble.Config{Seed: seed, MaxConcurrentCalls: 8, MaxPending: 60 + random.IntN(100), MaxDescriptors: 192, FleetSize: fleet}
	for n := range dests {
		set.Partners = append(set.Partners, testdouble.PartnerConfig{Dest: 1 + n, Endpoints: 1 + random.IntN(2), ServiceTime: time.Duration(random.IntN(60)) * time.Millisecond,
			RetryAfter: 150 * time.Millisecond, OnCall: d.events.call})
	}
	var err error
	if d.world, err = testdouble.NewEnvironment(set); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.world.Close)
	d.world.Platform.OnNotification(d.events.notice)
	bin, _ := program()
	for range fleet {
		r, err := d.world.StartRelay(bin)
		if err != nil {
			t.Fatal(err)
		}
		d.relays = append(d.relays, r)
		d.lives[len(d.relays)-1] = 1
	}
	d.clients = &clients{day: d, stop: make(chan struct{})}
	for n := range people {
		d.clients.all.Add(1)
		go d.clients.run(rand.New(rand.NewPCG(seed, uint64(100+n))))
	}
	var troubles sync.WaitGroup
	for relay := range fleet {
		own := rand.New(rand.NewPCG(seed, uint64(1000+relay)))
		troubles.Go(func() { d.relayTroubles(own, relay) })
	}
	troubles.Go(func() { d.partnerTroubles(rand.New(rand.NewPCG(seed, 2000))) })
	troubles.Go(func() { d.platformTroubles(rand.New(rand.NewPCG(seed, 4000))) })
	troubles.Go(func() { d.crowds(rand.New(rand.NewPCG(seed, 3000))) })
	troubles.Wait()
	for _, p := range d.world.Partners {
		if err := p.SetMode(testdouble.Healthy, 1); err != nil {
			t.Error(err)
		}
	}
	close(d.clients.stop)
	d.clients.all.Wait()
	d.audit()
}

// excuse notes that since then, and for some time from now on, no notice of a relay is overdue.
func (d *day) excuse(relay int, since time.Time, more time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away[relay] = append(d.away[relay], span{since, time.Now().Add(more)})
}

// excused tells whether a relay was away at that time.
func (d *day) excused(relay int, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.away[relay], func(s span) bool { return !at.Before(s.from) && at.Before(s.to) })
}

func (d *day) over() bool { return time.Since(d.began) > lasts }

// relayTroubles does to one relay what the seed draws, one thing after another.
func (d *day) relayTroubles(random *rand.Rand, relay int) {
	r := d.relays[relay]
	for !d.over() {
		time.Sleep(time.Duration(200+random.IntN(1300)) * time.Millisecond)
		switch random.IntN(9) {
		case 0:
			d.restart(random, relay, true)
		case 1, 2:
			d.restart(random, relay, false)
		case 3:
			d.limit(relay, "file size", unix.RLIMIT_FSIZE, uint64(random.IntN(2)*4096), time.Duration(100+random.IntN(700))*time.Millisecond)
		case 4:
			d.limit(relay, "descriptors", unix.RLIMIT_NOFILE, uint64(3+random.IntN(20)), time.Duration(100+random.IntN(500))*time.Millisecond)
		case 5:
			d.tell("relay %d: SIGHUP", relay)
			r.Signal(syscall.SIGHUP)
		default:
			d.pause(random, relay)
		}
	}
}

// pause holds a relay up, for up to 0.15 s each time.
func (d *day) pause(random *rand.Rand, relay int) {
	d.tell("relay %d: held up", relay)
	for range 1 + random.IntN(4) {
		d.relays[relay].Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(20+random.IntN(130)) * time.Millisecond)
		d.relays[relay].Signal(syscall.SIGCONT)
		time.Sleep(time.Duration(10+random.IntN(200)) * time.Millisecond)
	}
}

// platformTroubles has the platform take longer for notices at times.
func (d *day) platformTroubles(random *rand.Rand) {
	for !d.over() {
		time.Sleep(time.Duration(300+random.IntN(2000)) * time.Millisecond)
		slow := time.Duration(random.IntN(200)) * time.Millisecond
		d.tell("notices take %v", slow)
		d.world.Platform.DelayNotifications(slow)
		time.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		d.world.Platform.DelayNotifications(0)
	}
}

// limit has system calls of a relay fail for a while: writes to its folder, or whatever takes a descriptor.
func (d *day) limit(relay int, what string, resource int, to uint64, long time.Duration) {
	r, began := d.relays[relay], time.Now()
	defer func() { d.excuse(relay, began, readyGrace) }()
	var was unix.Rlimit
	if err := unix.Prlimit(r.PID(), resource, nil, &was); err != nil {
		d.t.Error(err)
		return
	}
	d.tell("%s: %s bound to %d for %v", r.Addr, what, to, long)
	low := was
	low.Cur = to
	unix.Prlimit(r.PID(), resource, &low, nil)
	time.Sleep(long)
	unix.Prlimit(r.PID(), resource, &was, nil)
}

// series are the signals of a planned stop.
var series = [][]syscall.Signal{{syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM}}

// restart ends a relay and starts it again, at the earliest of what is allowed each time; outright: without a word.
func (d *day) restart(random *rand.Rand, relay int, outright bool) {
	r := d.relays[relay]
	began := time.Now()
	defer func() { d.excuse(relay, began, readyGrace) }()
	if !outright {
		signals := series[random.IntN(len(series))]
		d.tell("relay %d: %v", relay, signals)
		for _, s := range signals {
			r.Signal(s)
		}
		ended := make(chan error, 1)
		go func() { ended <- r.Wait() }()
		select {
		case err := <-ended:
			if err != nil {
				d.fail("relay %d: the exit of a planned stop: %v", relay, err)
			}
			time.Sleep(killBehind / 8)
		case <-time.After(killBehind):
			d.mu.Lock()
			d.late++
			d.mu.Unlock()
			d.kill(relay)
		}
		d.mu.Lock()
		d.planned++
		d.mu.Unlock()
	} else {
		d.kill(relay)
	}
	for again := random.IntN(3) == 0; ; again = false {
		time.Sleep(startBehind)
		d.begin(relay)
		if err := r.Launch(); err != nil {
			d.t.Error(err)
			return
		}
		if !again {
			break
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond) // killed in its start
		d.kill(relay)
	}
	launched := time.Now()
	if err := r.AwaitLog("msg=ready"); err != nil {
		d.fail("relay %d: %v", relay, err)
		return
	}
	if took := time.Since(launched); took > readyBy {
		d.fail("relay %d was ready only after %v", relay, took)
	}
}

func (d *day) begin(relay int) {
	d.mu.Lock()
	d.lives[relay]++
	d.mu.Unlock()
	d.tell("relay %d: started", relay)
}

func (d *day) kill(relay int) {
	d.mu.Lock()
	d.dead[relay] = d.lives[relay]
	d.mu.Unlock()
	d.tell("relay %d: SIGKILL", relay)
	d.relays[relay].Kill()
}

// partnerTroubles has destinations reset, hang, fail and refuse.
func (d *day) partnerTroubles(random *rand.Rand) {
	modes := []testdouble.Mode{testdouble.Healthy, testdouble.Healthy, testdouble.Unresponsive, testdouble.ResetBeforeRun, testdouble.ResetAfterRun, testdouble.InternalError, testdouble.Unavailable, testdouble.RefusingConnections}
	for !d.over() {
		time.Sleep(time.Duration(100+random.IntN(600)) * time.Millisecond)
		dest, mode, share := 1+random.IntN(dests), modes[random.IntN(len(modes))], []float64{1, 0.3}[random.IntN(2)]
		d.tell("destination %d: mode %d for %g of its calls", dest, mode, share)
		if err := d.world.Partners[dest].SetMode(mode, share); err != nil {
			d.tell("destination %d: %v", dest, err)
		}
	}
}

// crowds connect and say nothing.
func (d *day) crowds(random *rand.Rand) {
	for !d.over() {
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		relay, size := random.IntN(fleet), 20+random.IntN(120)
		d.tell("relay %d: a crowd of %d", relay, size)
		d.clients.crowd(relay, size, time.Duration(random.IntN(900))*time.Millisecond)
	}
}
