package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"oatfold/internal/testdouble"
)

// What users saw: messages that were taken on got neither a delivery nor a notice, and others went
// out a second time while their first call was still out. The order of events: an endpoint answered
// a call and sent the answer a second time some 12 ms later; meanwhile the relay had written the next
// call on that connection and took the copy for its answer. A copy of a 200 ended a message that the
// endpoint then refused; a copy of a 503 made the relay repeat a call that was running; and every
// later call on the connection got the answer of the one before. The cause: an answer was paired with
// a call by order alone. The evidence: each failed call in the operators' records follows a copy on
// its connection, by 0 to 2 ms for the first and by up to 0.6 s for the later ones.

// The load of a repeated-answers scenario.
const (
	repeatedAnswersLength = 7 * time.Second
	repeatedAnswersPace   = 25 * time.Millisecond // between two messages
)

// callTracker finds messages with two calls out at the same time. A call is out until its answer is
// written or its connection ends.
type callTracker struct {
	mu      sync.Mutex
	out     map[string]int
	overlap []string
}

// record is told of a call's arrival and of its end.
func (c *callTracker) record(call testdouble.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range call.IDs {
		if call.Completed {
			c.out[id]--
		} else if c.out[id]++; c.out[id] > 1 {
			c.overlap = append(c.overlap, id)
		}
	}
}

// An endpoint that sends answers twice causes no lost message, no second call beside the first, and
// no second run of a charge, whether its answers differ from one another or not.
func TestRepeatedAnswers(t *testing.T) {
	bin, err := relayBinary()
	if err != nil {
		t.Fatal(err)
	}
	for _, receipts := range []bool{true, false} {
		for n := range max(1, *seedCount/6) {
			seed := uint64(*firstSeed + n)
			t.Run(fmt.Sprintf("receipts=%v/seed=%d", receipts, seed), func(t *testing.T) {
				t.Parallel()
				playRepeatedAnswers(t, bin, seed, receipts)
			})
		}
	}
}

func playRepeatedAnswers(t *testing.T, bin string, seed uint64, receipts bool) {
	random := rand.New(rand.NewPCG(seed, 5))
	tracker, observed := &callTracker{out: map[string]int{}}, newObservations()
	config := testdouble.Config{Seed: seed}
	for dest := 1; dest <= destinationCount; dest++ {
		partner := testdouble.PartnerConfig{Dest: dest, ServiceTime: time.Duration(40+random.IntN(60)) * time.Millisecond,
			Rate: 5 + 3*float64(dest), Burst: 3}
		if dest%2 == 0 {
			partner.Kind = "broker"
		}
		if dest > 2 {
			partner.RetryAfter = 120 * time.Millisecond
		}
		config.Partners = append(config.Partners, partner)
	}
	env, err := testdouble.NewEnvironment(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.Close)
	env.Platform.OnNotification(observed.recordNotification)
	addresses := map[string]string{}
	var repeaters []*testdouble.AnswerRepeater
	for dest, partner := range env.Partners {
		for _, addr := range partner.Addresses() {
			repeater, err := testdouble.StartAnswerRepeater(addr, testdouble.AnswerRepeaterConfig{
				Seed: seed + uint64(dest), Share: 0.4, MaxDelay: 40 * time.Millisecond, OnCall: tracker.record, Receipts: receipts})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(repeater.Close)
			addresses[addr] = repeater.Addr
			repeaters = append(repeaters, repeater)
		}
	}
	discovery, err := env.Platform.ServeWithAddresses(addresses)
	if err != nil {
		t.Fatal(err)
	}
	relay, err := env.NewFleetRelay(bin, &testdouble.FleetConfig{Peers: []string{"127.0.0.1:1"}, Zone: "here",
		Zones: []string{"here"}, DiscoveryAddr: discovery})
	if err != nil {
		t.Fatal(err)
	}
	if err := relay.Start(); err != nil {
		t.Fatal(err)
	}
	accepted := submitSteadily(t, relay.Addr, random)
	unfinished := func() (ids []string) {
		ran := map[string]bool{}
		for _, effect := range env.EffectLog.Entries() {
			ran[effect.ID] = true
		}
		observed.mu.Lock()
		defer observed.mu.Unlock()
		for _, id := range accepted {
			if _, notified := observed.notifiedAt[id]; !notified && !ran[id] {
				ids = append(ids, id)
			}
		}
		return ids
	}
	if env.WaitUntil("all accepted messages to end", func() bool { return len(unfinished()) == 0 }) != nil {
		t.Errorf("accepted and never ended: %v", unfinished())
	}
	for _, duplicate := range env.EffectLog.Duplicates("fee-charge") {
		t.Errorf("a charge ran more than once: %s", duplicate)
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if len(tracker.overlap) > 0 {
		t.Errorf("two calls out at once: %v", tracker.overlap)
	}
	crossed := 0
	for _, repeater := range repeaters {
		crossed += repeater.Crossed()
	}
	if t.Logf("%d accepted, %d copies met a call", len(accepted), crossed); len(accepted) < 100 || crossed == 0 {
		t.Error("too little happened")
	}
}

// submitSteadily submits messages to a relay for repeatedAnswersLength and returns the ids of the
// accepted ones.
func submitSteadily(t *testing.T, addr string, random *rand.Rand) (accepted []string) {
	client := &http.Client{Timeout: responseTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(repeatedAnswersPace)
	defer ticker.Stop()
	for n, began := 0, time.Now(); time.Since(began) < repeatedAnswersLength; n++ {
		<-ticker.C
		id := fmt.Sprintf("%016x", random.Uint64())
		class := []string{"price-alert", "order-relay", "fee-charge"}[random.IntN(3)]
		request, err := http.NewRequest("POST", "http://"+addr+"/"+class, strings.NewReader(class+"/"+id+"\n"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Correlation-Id", id)
		request.Header.Set("Idempotency-Key", "k-"+id)
		request.Header.Set("X-Time-Left-Ms", fmt.Sprint(1500+random.IntN(3000)))
		request.Header.Set("Envelope", fmt.Sprintf("dest=%d", 1+random.IntN(destinationCount)))
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode == http.StatusAccepted {
			accepted = append(accepted, id)
		}
	}
	return accepted
}
