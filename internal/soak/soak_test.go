// Package soak runs randomized scenarios with concurrent faults against real relays, clients with
// persistent connections, endpoints and a platform. A seed determines the faults. It has tests
// only.
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
	seedCount   = flag.Int("soak.seeds", 6, "number of scenarios")
	firstSeed   = flag.Int("soak.first", 1, "seed of the first scenario")
	maxParallel = flag.Int("soak.lanes", 3, "number of scenarios that run concurrently")
)

// The size and the timing of a scenario.
const (
	destinationCount = 4
	relayCount       = 2
	clientCount      = 14
	scenarioLength   = 9 * time.Second

	killDelay         = 3700 * time.Millisecond // from SIGTERM to the earliest SIGKILL
	restartDelay      = 600 * time.Millisecond  // from the exit to the next start
	maxReadyTime      = 10 * time.Second
	notificationGrace = 1500 * time.Millisecond // after a relay is ready again, until notifications are due
)

// relayBinary builds the relay once and returns the path of the program.
var relayBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	return testdouble.BuildRelay(dir)
})

// TestMain removes the program after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if bin, err := relayBinary(); err == nil {
		os.RemoveAll(bin[:len(bin)-len("/oatfold")])
	}
	os.Exit(code)
}

// span is a period of time.
type span struct{ from, to time.Time }

// scenario is the run of one seed.
type scenario struct {
	t        *testing.T
	env      *testdouble.Environment
	relays   []*testdouble.Relay
	clients  *clients
	observed *observations

	mu                 sync.Mutex
	incarnations       []int    // number of starts of each relay
	killedIncarnations []int    // of each relay, the last one killed by SIGKILL
	violations         []string // descriptions of broken rules
	timeline           []string // injected faults in order
	startedAt          time.Time
	excusedSpans       [][]span // of each relay: periods in which notifications may be late
	plannedStops       int
	killedStops        int // planned stops that took longer than killDelay
}

// incarnation returns the number of the present incarnation of a relay.
func (s *scenario) incarnation(relay int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnations[relay]
}

// killed reports whether that incarnation of a relay was killed by SIGKILL.
func (s *scenario) killed(relay, incarnation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killedIncarnations[relay] >= incarnation
}

// fail records a broken rule.
func (s *scenario) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations,
		fmt.Sprintf("%.2f s: ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// logEvent adds an injected fault to the timeline.
func (s *scenario) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline,
		fmt.Sprintf("%.2f s: ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// Under concurrent faults, each request that a relay reads is answered, each accepted message
// completes once, rejected and completed messages are not forwarded, no charge runs twice and each
// planned stop exits cleanly.
func TestFaultsTogether(t *testing.T) {
	if _, err := relayBinary(); err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, *maxParallel)
	for n := range *seedCount {
		seed := *firstSeed + n
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runScenario(t, uint64(seed))
		})
	}
}

// runScenario injects the faults of one seed while clients send, and checks the outcome.
func runScenario(t *testing.T, seed uint64) {
	s := &scenario{t: t, incarnations: make([]int, relayCount), excusedSpans: make([][]span, relayCount),
		killedIncarnations: make([]int, relayCount), startedAt: time.Now(), observed: newObservations()}
	random := rand.New(rand.NewPCG(seed, 41))
	config := testdouble.Config{Seed: seed, MaxConcurrentCalls: 8, MaxPending: 60 + random.IntN(100),
		MaxDescriptors: 192, FleetSize: relayCount}
	for n := range destinationCount {
		config.Partners = append(config.Partners, testdouble.PartnerConfig{Dest: 1 + n, Endpoints: 1 + random.IntN(2),
			ServiceTime: time.Duration(random.IntN(60)) * time.Millisecond,
			RetryAfter:  150 * time.Millisecond, OnCall: s.observed.recordCall})
	}
	var err error
	if s.env, err = testdouble.NewEnvironment(config); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.env.Close)
	s.env.Platform.OnNotification(s.observed.recordNotification)
	bin, _ := relayBinary()
	for range relayCount {
		r, err := s.env.StartRelay(bin)
		if err != nil {
			t.Fatal(err)
		}
		s.relays = append(s.relays, r)
		s.incarnations[len(s.relays)-1] = 1
	}
	s.clients = &clients{scenario: s, stop: make(chan struct{})}
	for n := range clientCount {
		s.clients.running.Add(1)
		go s.clients.run(rand.New(rand.NewPCG(seed, uint64(100+n))))
	}
	var faults sync.WaitGroup
	for relay := range relayCount {
		random := rand.New(rand.NewPCG(seed, uint64(1000+relay)))
		faults.Go(func() { s.injectRelayFaults(random, relay) })
	}
	faults.Go(func() { s.injectPartnerFaults(rand.New(rand.NewPCG(seed, 2000))) })
	faults.Go(func() { s.injectPlatformFaults(rand.New(rand.NewPCG(seed, 4000))) })
	faults.Go(func() { s.injectIdleConnections(rand.New(rand.NewPCG(seed, 3000))) })
	faults.Wait()
	for _, p := range s.env.Partners {
		if err := p.SetMode(testdouble.Healthy, 1); err != nil {
			t.Error(err)
		}
	}
	close(s.clients.stop)
	s.clients.running.Wait()
	s.check()
}

// excuse allows late notifications of a relay from since until grace from now.
func (s *scenario) excuse(relay int, since time.Time, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excusedSpans[relay] = append(s.excusedSpans[relay], span{since, time.Now().Add(grace)})
}

// excused reports whether notifications of a relay may be late at that time.
func (s *scenario) excused(relay int, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.excusedSpans[relay], func(excused span) bool {
		return !at.Before(excused.from) && at.Before(excused.to)
	})
}

// over reports whether scenarioLength has passed.
func (s *scenario) over() bool { return time.Since(s.startedAt) > scenarioLength }

// injectRelayFaults injects one random fault after another into one relay.
func (s *scenario) injectRelayFaults(random *rand.Rand, relay int) {
	r := s.relays[relay]
	for !s.over() {
		time.Sleep(time.Duration(200+random.IntN(1300)) * time.Millisecond)
		switch random.IntN(9) {
		case 0:
			s.restartRelay(random, relay, true)
		case 1, 2:
			s.restartRelay(random, relay, false)
		case 3:
			s.limitResource(relay, "file size", unix.RLIMIT_FSIZE, uint64(random.IntN(2)*4096),
				time.Duration(100+random.IntN(700))*time.Millisecond)
		case 4:
			s.limitResource(relay, "descriptors", unix.RLIMIT_NOFILE, uint64(3+random.IntN(20)),
				time.Duration(100+random.IntN(500))*time.Millisecond)
		case 5:
			s.logEvent("relay %d: SIGHUP", relay)
			r.Signal(syscall.SIGHUP)
		default:
			s.pauseRelay(random, relay)
		}
	}
}

// pauseRelay suspends a relay several times, for up to 150 ms each.
func (s *scenario) pauseRelay(random *rand.Rand, relay int) {
	s.logEvent("relay %d: paused", relay)
	for range 1 + random.IntN(4) {
		s.relays[relay].Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(20+random.IntN(130)) * time.Millisecond)
		s.relays[relay].Signal(syscall.SIGCONT)
		time.Sleep(time.Duration(10+random.IntN(200)) * time.Millisecond)
	}
}

// injectPlatformFaults delays the acceptance of notifications at random times.
func (s *scenario) injectPlatformFaults(random *rand.Rand) {
	for !s.over() {
		time.Sleep(time.Duration(300+random.IntN(2000)) * time.Millisecond)
		delay := time.Duration(random.IntN(200)) * time.Millisecond
		s.logEvent("notifications delayed by %v", delay)
		s.env.Platform.DelayNotifications(delay)
		time.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		s.env.Platform.DelayNotifications(0)
	}
}

// limitResource lowers a resource limit of a relay for a while, so that writes to files or calls
// that need a descriptor fail.
func (s *scenario) limitResource(relay int, name string, resource int, limit uint64, duration time.Duration) {
	r, began := s.relays[relay], time.Now()
	defer func() { s.excuse(relay, began, notificationGrace) }()
	var previous unix.Rlimit
	if err := unix.Prlimit(r.PID(), resource, nil, &previous); err != nil {
		s.t.Error(err)
		return
	}
	s.logEvent("%s: %s limited to %d for %v", r.Addr, name, limit, duration)
	lowered := previous
	lowered.Cur = limit
	unix.Prlimit(r.PID(), resource, &lowered, nil)
	time.Sleep(duration)
	unix.Prlimit(r.PID(), resource, &previous, nil)
}

// stopSignals lists the signal sequences of a planned stop.
var stopSignals = [][]syscall.Signal{
	{syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGTERM, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
}

// restartRelay stops a relay and starts it again, with the shortest delays that operators are
// allowed. With outright set, it uses SIGKILL at once. At random, it kills the new process during
// its start.
func (s *scenario) restartRelay(random *rand.Rand, relay int, outright bool) {
	r := s.relays[relay]
	began := time.Now()
	defer func() { s.excuse(relay, began, notificationGrace) }()
	if !outright {
		signals := stopSignals[random.IntN(len(stopSignals))]
		s.logEvent("relay %d: %v", relay, signals)
		for _, signal := range signals {
			r.Signal(signal)
		}
		ended := make(chan error, 1)
		go func() { ended <- r.Wait() }()
		select {
		case err := <-ended:
			if err != nil {
				s.fail("relay %d: exit after a planned stop: %v", relay, err)
			}
			time.Sleep(killDelay / 8)
		case <-time.After(killDelay):
			s.mu.Lock()
			s.killedStops++
			s.mu.Unlock()
			s.killRelay(relay)
		}
		s.mu.Lock()
		s.plannedStops++
		s.mu.Unlock()
	} else {
		s.killRelay(relay)
	}
	for killAgain := random.IntN(3) == 0; ; killAgain = false {
		time.Sleep(restartDelay)
		s.countStart(relay)
		if err := r.Launch(); err != nil {
			s.t.Error(err)
			return
		}
		if !killAgain {
			break
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond) // killed during its start
		s.killRelay(relay)
	}
	launched := time.Now()
	if err := r.AwaitLog("msg=ready"); err != nil {
		s.fail("relay %d: %v", relay, err)
		return
	}
	if took := time.Since(launched); took > maxReadyTime {
		s.fail("relay %d took %v to become ready", relay, took)
	}
}

// countStart counts a new incarnation of a relay.
func (s *scenario) countStart(relay int) {
	s.mu.Lock()
	s.incarnations[relay]++
	s.mu.Unlock()
	s.logEvent("relay %d: started", relay)
}

// killRelay kills a relay with SIGKILL and waits until it has exited.
func (s *scenario) killRelay(relay int) {
	s.mu.Lock()
	s.killedIncarnations[relay] = s.incarnations[relay]
	s.mu.Unlock()
	s.logEvent("relay %d: SIGKILL", relay)
	s.relays[relay].Kill()
}

// injectPartnerFaults sets random modes for destinations.
func (s *scenario) injectPartnerFaults(random *rand.Rand) {
	modes := []testdouble.Mode{testdouble.Healthy, testdouble.Healthy, testdouble.Unresponsive,
		testdouble.ResetBeforeRun, testdouble.ResetAfterRun, testdouble.InternalError, testdouble.Unavailable,
		testdouble.RefusingConnections}
	for !s.over() {
		time.Sleep(time.Duration(100+random.IntN(600)) * time.Millisecond)
		dest, mode, share :=
			1+random.IntN(destinationCount), modes[random.IntN(len(modes))], []float64{1, 0.3}[random.IntN(2)]
		s.logEvent("destination %d: mode %d for %g of its calls", dest, mode, share)
		if err := s.env.Partners[dest].SetMode(mode, share); err != nil {
			s.logEvent("destination %d: %v", dest, err)
		}
	}
}

// injectIdleConnections opens many connections to a relay that send nothing, at random times.
func (s *scenario) injectIdleConnections(random *rand.Rand) {
	for !s.over() {
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		relay, size := random.IntN(relayCount), 20+random.IntN(120)
		s.logEvent("relay %d: %d idle connections", relay, size)
		s.clients.holdIdleConnections(relay, size, time.Duration(random.IntN(900))*time.Millisecond)
	}
}
