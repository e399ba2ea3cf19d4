package decide

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulateReconnect simulates n clients with one idle connection each. They lose their relay at
// time 0, it is back after backAfter, and each client has a message to send at once. It returns the
// connections that the relay receives in each 100 ms since it is back, and the number of all
// attempts to connect.
func simulateReconnect(n int, spread Spread, backAfter time.Duration) (perTenth []int, attempts int) {
	type simClient struct {
		fleet   *Fleet
		at      time.Time
		cutSeen bool // the idle connection was found closed
	}
	const left = 20 * time.Second
	var queue []*simClient
	for i := range n {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		f := NewFleet(1, spread, random.Float64)
		if ch := f.Choose(epoch.Add(-time.Second), 7, -1, 8, left); !ch.New {
			panic("no connection before the loss")
		}
		f.Ended(epoch.Add(-time.Second), 0, 7, End{Stage: Answered, Status: 202}, true, false)
		queue = append(queue, &simClient{fleet: f, at: epoch})
	}
	perTenth = make([]int, 400)
	for len(queue) > 0 {
		at := 0
		for i := range queue {
			if queue[i].at.Before(queue[at].at) {
				at = i
			}
		}
		c := queue[at]
		now := c.at
		up, connected := !now.Before(epoch.Add(backAfter)), false
		connect := func() {
			if attempts++; up {
				perTenth[now.Sub(epoch.Add(backAfter))/(100*time.Millisecond)]++
			}
		}
		timeLeft := left - now.Sub(epoch)
		if i := c.fleet.Probe(now, timeLeft); i >= 0 {
			connect()
			c.fleet.Probed(now, i, up, up)
		}
		switch ch := c.fleet.Choose(now, 7, -1, 8, timeLeft); {
		case ch.Relay < 0:
			c.at = ch.At
		case ch.New && up:
			connect()
			connected = true
		case ch.New:
			connect()
			c.fleet.Ended(now, 0, 7, End{}, false, false)
		case c.cutSeen:
			connected = true // on the connection of the probe
		default:
			c.cutSeen = true
			c.fleet.Stale(now, 0)
		}
		if connected {
			queue[at] = queue[len(queue)-1]
			queue = queue[:len(queue)-1]
		} else if c.at == now {
			c.at = now.Add(time.Microsecond)
		}
	}
	return perTenth, attempts
}

// A thousand clients lose their relay at once: the reconnects of each 100 ms are bounded, and all
// connect within 10 s.
func TestNoReconnectSurge(t *testing.T) {
	highest := func(bins []int) (m, last int) {
		for i, n := range bins {
			if n > 0 {
				last = i
			}
			m = max(m, n)
		}
		return m, last
	}
	for _, backAfter := range []time.Duration{0, 600 * time.Millisecond, 3 * time.Second} {
		plain, plainAttempts := simulateReconnect(1000, Spread{Span: 0, Rate: 50, Burst: 16}, backAfter)
		spread, attempts := simulateReconnect(1000, Spread{Span: time.Second, Rate: 50, Burst: 16}, backAfter)
		plainPeak, _ := highest(plain)
		spreadPeak, last := highest(spread)
		t.Logf("back after %v: at most %d connections in 100 ms without spreading (%d attempts), %d with it (%d attempts), the last after %d00 ms",
			backAfter, plainPeak, plainAttempts, spreadPeak, attempts, last+1)
		if plainPeak < 900 || spreadPeak > 200 || last >= 100 || attempts > plainAttempts {
			t.Errorf("back after %v: peak %d without and %d with spreading, the last in interval %d, attempts %d and %d", backAfter, plainPeak, spreadPeak, last, plainAttempts, attempts)
		}
	}
}

// Random events keep the invariants of a Fleet: waits are honoured, the rate limit holds, and
// counters match choices.
func TestFleetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 3).Draw(t, "relays")
		const maxConns, burst, rate = 4, 5.0, 10.0
		f := NewFleet(n, Spread{Span: time.Second, Rate: rate, Burst: burst},
			func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "luck") })
		now := epoch
		relayBlocked, destBlocked := make([]time.Time, n), map[int]time.Time{}
		inFlight, idle := make([]int, n), make([]int, n)
		var opened []time.Time
		recordConnect := func() {
			opened = append(opened, now)
			recent := 0
			for _, at := range opened {
				if now.Sub(at) < time.Second {
					recent++
				}
			}
			if recent > burst+rate+1 {
				t.Fatalf("%d new connections within a second", recent)
			}
		}
		type flight struct{ relay, dest int }
		var flights []flight
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			timeLeft, dest := time.Duration(rapid.IntRange(1, 20000).Draw(t, "left"))*time.Millisecond,
				rapid.IntRange(0, 2).Draw(t, "dest")
			for i := f.Probe(now, timeLeft); i >= 0; i = f.Probe(now, timeLeft) {
				recordConnect()
				ready := rapid.Bool().Draw(t, "ready")
				if f.Probed(now, i, ready, ready); ready {
					idle[i]++
				}
				if f.Up(i) != ready {
					t.Fatalf("relay %d is up: %v after a probe that returned %v", i, f.Up(i), ready)
				}
			}
			if len(flights) > 0 && rapid.Bool().Draw(t, "end") {
				fl := flights[0]
				flights = flights[1:]
				e := End{Stage: Stage(rapid.IntRange(0, 3).Draw(t, "stage"))}
				if e.Stage == Answered {
					e.Status = rapid.SampledFrom([]int{202, 429, 503}).Draw(t, "status")
					e.Wait, e.Told = time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait"))*time.Millisecond, true
				}
				kept := e.Stage == Answered && rapid.Bool().Draw(t, "kept")
				f.Ended(now, fl.relay, fl.dest, e, kept, false)
				if inFlight[fl.relay]--; kept {
					idle[fl.relay]++
				}
				switch until := now.Add(e.Wait); {
				case e.Status == 503 && until.After(relayBlocked[fl.relay]):
					relayBlocked[fl.relay] = until
				case e.Status == 429 && until.After(destBlocked[fl.dest]):
					destBlocked[fl.dest] = until
				}
				if e.Stage == NotConnected && f.Up(fl.relay) {
					t.Fatal("a relay that can't be reached is up")
				}
				continue
			}
			ch := f.Choose(now, dest, rapid.IntRange(-1, n-1).Draw(t, "avoid"), maxConns, timeLeft)
			if ch.Relay < 0 {
				if ch.Why == Nothing || !ch.At.After(now) {
					t.Fatalf("no choice and no time to choose again: %+v at %v", ch, now)
				}
				continue
			}
			if !f.Up(ch.Relay) || now.Before(relayBlocked[ch.Relay]) || now.Before(destBlocked[dest]) {
				t.Fatalf("chose relay %d although it is blocked or down", ch.Relay)
			}
			if ch.New {
				recordConnect()
			} else if idle[ch.Relay]--; idle[ch.Relay] < 0 {
				t.Fatal("chose an idle connection that does not exist")
			}
			if inFlight[ch.Relay]++; ch.New && inFlight[ch.Relay]+idle[ch.Relay] > maxConns+idle[ch.Relay] {
				t.Fatal("more connections than allowed")
			}
			flights = append(flights, flight{ch.Relay, dest})
		}
	})
}
