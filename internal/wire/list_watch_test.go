package wire

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// rateLimitedDiscovery serves a limited rate of requests. Rejected ones use up its capacity as
// well.
type rateLimitedDiscovery struct {
	rate, capacity, tokens float64
	at                     time.Duration
}

func (o *rateLimitedDiscovery) serves(now time.Duration) bool {
	o.tokens, o.at = min(o.capacity, o.tokens+o.rate*(now-o.at).Seconds()), now
	ok := o.tokens >= 1
	o.tokens = max(0, o.tokens-1)
	return ok
}

// simulateFirstPolls plays the first polls of a fleet whose relays start at once, and returns how
// many were served and rejected by the given time.
func simulateFirstPolls(fleet int, by time.Duration, polled bool) (served, rejected int) {
	type relay struct {
		w    listWatcher
		next time.Duration
	}
	var all []*relay
	for n := range fleet {
		r := &relay{w: listWatcher{fleetSize: fleet, polled: polled, seed: int64(n)*7919 + 1}}
		r.next = r.w.firstDelay()
		all = append(all, r)
	}
	discovery := &rateLimitedDiscovery{rate: 10, capacity: 10, tokens: 10}
	for len(all) > 0 {
		slices.SortFunc(all, func(a, b *relay) int { return int(a.next - b.next) })
		r := all[0]
		if r.next > by {
			break
		}
		if discovery.serves(r.next) {
			served, all = served+1, all[1:]
		} else {
			rejected++
			r.next += r.w.failureBackoff.NextDelay()
		}
	}
	return served, rejected
}

// A fleet that starts at once gets its list within the time that discovery needs for it. Without
// staggering, rejected requests would keep discovery overloaded.
func TestFirstPollsAreStaggered(t *testing.T) {
	for _, fleet := range []int{1, 3, 80, 200} {
		by := time.Duration(fleet)*pollTimePerRelay*5/2 + time.Second
		if served, rejected := simulateFirstPolls(fleet, by, true); served < fleet*95/100 || rejected > 2*fleet {
			t.Errorf("%d relays: %d served within %v, %d rejected", fleet, served, by, rejected)
		}
	}
	if served, _ := simulateFirstPolls(80, 20*time.Second, false); served > 40 {
		t.Errorf("without staggering %d of 80 are served: the model shows no overload", served)
	}
}

// A missing or absurd fleet size does not prevent the first request. Pushed lists are requested at
// once.
func TestFirstRequestDelay(t *testing.T) {
	for _, fleet := range []int{-1, 0, 1} {
		w := listWatcher{fleetSize: fleet, polled: true}
		if d := w.firstDelay(); d != 0 {
			t.Errorf("fleet of %d: %v", fleet, d)
		}
	}
	if w := (listWatcher{fleetSize: 80}); w.firstDelay() != 0 {
		t.Error("the request for a pushed list is delayed")
	}
	if w := (listWatcher{fleetSize: 1 << 40, polled: true}); w.firstDelay() > maxFirstPollDelay ||
		w.failureBackoff.NextDelay() > 3*maxFirstPollDelay {
		t.Error("a huge fleet waits longer than any relay may")
	}
}

// updateDeadline is the time after which a relay is taken to know an update that discovery has.
const updateDeadline = 6 * time.Second

// A request that hangs for its whole timeout and the longest pause after it leave time for the next
// request. Where lists are polled, that holds for fleets that discovery can serve.
func TestPausesLeaveTimeForUpdates(t *testing.T) {
	const nextRequest = 500 * time.Millisecond // that the next request may take
	for _, polled := range []bool{false, true} {
		for _, fleet := range []int{0, 1, 3, 8, 300, 1000} {
			if polled && time.Duration(fleet)*pollTimePerRelay > maxPollBackoff {
				continue
			}
			w := listWatcher{fleetSize: fleet, polled: polled, seed: int64(fleet)}
			w.firstDelay()
			var longest time.Duration
			for range 1000 {
				longest = max(longest, w.failureBackoff.NextDelay(), w.silenceBackoff.NextDelay())
			}
			hang := max(watchHold+watchAnswerMargin, agentDialTimeout)
			if hang+longest+nextRequest > updateDeadline {
				t.Errorf("fleet of %d, polled %v: a pause of %v after a request of %v", fleet, polled, longest, hang)
			}
		}
	}
}

// Changes that arrive late, as the second copy of an answer, never pass for the whole list: the
// endpoints that they don't name would all be gone.
func TestLateChangesDoNotPassForTheWholeList(t *testing.T) {
	ln := listenLoopback(t)
	list := func(generation int, whole bool, ids ...string) string {
		var instances []string
		for n, id := range ids {
			instances = append(instances, fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:%d","cell":7}`, id, n+1))
		}
		return httpResponse("200 OK", fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, whole,
			strings.Join(instances, ",")))
	}
	go func() {
		for {
			sock, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer sock.Close()
				late := ""
				for r := bufio.NewReader(sock); ; {
					h, err := readHead(r)
					if err != nil {
						return
					}
					if strings.Contains(h.firstLine[1], "from=9") {
						late = list(3, false, "s-1") // older than what the relay knows
						io.WriteString(sock, late)
						continue
					}
					if strings.Contains(h.firstLine[1], "from=") {
						continue // nothing is newer
					}
					io.WriteString(sock, late+list(9, true, "s-1", "s-2"))
				}
			}()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	events := make(chan any, 16)
	done := make(chan struct{})
	defer func() { cancel(); <-done }()
	go func() {
		watchEndpointList(ctx, listWatcher{addr: ln.Addr().String(), generation: -1}, events, discardLog)
		close(done)
	}()
	for range 3 { // the whole list each time
		select {
		case e := <-events:
			if got := e.(endpointListUpdate); !got.Complete || len(got.Entries) != 2 {
				t.Fatalf("took %d endpoints for the whole list: %+v", len(got.Entries), got.EndpointList)
			}
		case <-time.After(updateDeadline):
			t.Fatal("no list")
		}
	}
}

// Guards against a relay that never gets its list: that of the largest deployment, indented, was longer
// than an answer may be, and each further request failed alike.
func TestLargestListIsRead(t *testing.T) {
	const endpoints = 3200
	var body strings.Builder
	body.WriteString("{\n    \"generation\": 7,\n    \"reset\": true,\n    \"instances\": [")
	for n := range endpoints {
		if n > 0 {
			body.WriteString(",")
		}
		fmt.Fprintf(&body, `
        {
            "instanceId": "s-%08x",
            "hostPort": "127.250.100.%d:65535",
            "zone": "zone-of-some-length-%d",
            "machineType": "small-partner",
            "cell": %d,
            "lifecycle": "in_service",
            "weight": 12.345678901234567,
            "startedAtMs": 1796000000000
        }`, n, n%250, n%3, n%900)
	}
	body.WriteString("\n    ]\n}\n")
	discovery := startHTTPServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("from") {
			<-r.Context().Done() // nothing changes
			return
		}
		io.WriteString(w, body.String())
	}))
	defer discovery.CloseClientConnections()
	ctx, cancel := context.WithCancel(context.Background())
	events, ended := make(chan any, 1), make(chan struct{})
	go func() {
		defer close(ended)
		watchEndpointList(ctx, listWatcher{addr: discovery.Listener.Addr().String(), generation: -1}, events, discardLog)
	}()
	defer func() { cancel(); <-ended }()
	select {
	case event := <-events:
		if got := len(event.(endpointListUpdate).Entries); got != endpoints {
			t.Errorf("%d of %d endpoints", got, endpoints)
		}
	case <-time.After(10 * time.Second):
		t.Errorf("a list of %d bytes was not read", body.Len())
	}
}
