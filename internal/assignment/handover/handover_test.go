package handover

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oatfold/internal/assignment"
)

const keys = 24

// serving is a partition in which relay 4 has replaced relay 0.
var serving = assignment.PartitionAssignment{
	Partition: 7, Previous: []assignment.Relay{0, 1, 2, 3}, Replicas: []assignment.Relay{1, 2, 3, 4},
}

// fleet is a set of relays that send the messages of a partition during its handover. The test
// delivers the messages between them.
type fleet struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Duration
	relays       []*relay
	inFlight     []sentMessage
	next         map[uint64]int // number of the key's next message
	knowsCurrent map[uint64]bool
	completed    map[uint64]int // completed messages of each key
	calling      map[uint64]bool
	blockedUntil time.Duration // until when the destination has told a previous replica to wait
}

type sentMessage struct {
	from assignment.Relay
	Envelope
}

type relay struct {
	number       assignment.Relay
	handover     *Handover        // nil: it has not adopted the change
	queue        map[uint64][]int // pending messages of each key
	sending      map[uint64]bool
	blockedUntil time.Duration // as far as the relay knows
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), next: map[uint64]int{}, knowsCurrent: map[uint64]bool{},
		completed: map[uint64]int{}, calling: map[uint64]bool{},
	}
	for i := range assignment.Relay(5) {
		f.relays = append(f.relays, &relay{number: i, queue: map[uint64][]int{}, sending: map[uint64]bool{}})
	}
	return f
}

// submit submits the next message of a key to the owner that the client knows. A client that is
// rejected uses the current replicas from then on.
func (f *fleet) submit(key uint64) {
	replicas := serving.Previous
	if f.knowsCurrent[key] {
		replicas = serving.Replicas
	}
	r := f.relays[Owner(replicas, key)]
	if r.accepts(key) {
		r.queue[key] = append(r.queue[key], f.next[key])
		f.next[key]++
	} else if r.handover != nil {
		f.knowsCurrent[key] = true
	}
}

func (r *relay) accepts(key uint64) bool {
	if r.handover == nil {
		return Owner(serving.Previous, key) == r.number
	}
	ok, _ := r.handover.MayAccept(key)
	return ok
}

func (r *relay) maySend(key uint64) bool { return r.handover == nil || r.handover.MaySend(key) }

func (r *relay) share() float64 {
	switch {
	case r.handover != nil:
		return r.handover.RateShare()
	case slices.Contains(serving.Previous, r.number):
		return 1 / float64(len(serving.Previous))
	}
	return 0
}

func (r *relay) pending() (keys []uint64) {
	for key, queue := range r.queue {
		for range queue {
			keys = append(keys, key)
		}
	}
	return keys
}

// send starts a call with the key's first message, if that is allowed.
func (f *fleet) send(r *relay, key uint64) {
	if len(r.queue[key]) == 0 || r.sending[key] || !r.maySend(key) || f.now < r.blockedUntil {
		return
	}
	if f.calling[key] {
		f.t.Fatalf("key %d has two senders, one of which is relay %d", key, r.number)
	}
	if number := r.queue[key][0]; number != f.completed[key] {
		f.t.Fatalf("relay %d sends message %d of key %d, of which %d are completed",
			r.number, number, key, f.completed[key])
	}
	if r.number == 4 && f.now < f.blockedUntil {
		f.t.Fatalf("the new replica sends at %v, but a previous one was told to wait until %v", f.now, f.blockedUntil)
	}
	f.calling[key], r.sending[key] = true, true
}

// complete completes the key's call.
func (f *fleet) complete(r *relay, key uint64) {
	if !r.sending[key] {
		return
	}
	f.calling[key], r.sending[key] = false, false
	f.completed[key]++
	r.queue[key] = r.queue[key][1:]
	if r.handover != nil {
		r.handover.CompletedKeyed(key)
	}
}

func (f *fleet) enqueue(r *relay, out []Envelope) {
	for _, e := range out {
		f.inFlight = append(f.inFlight, sentMessage{r.number, e})
	}
}

func (r *relay) retryAfters(now time.Duration) []RetryAfter {
	if r.blockedUntil <= now {
		return nil
	}
	return []RetryAfter{{Destination: 1, Remaining: r.blockedUntil - now}}
}

func (f *fleet) deliver(n int) {
	m := f.inFlight[n]
	to := f.relays[m.To]
	if to.handover == nil {
		return
	}
	out, sameChange := to.handover.Receive(m.from, m.Message, to.retryAfters(f.now))
	if sameChange {
		for _, w := range m.Message.RetryAfters {
			to.blockedUntil = max(to.blockedUntil, f.now+w.Remaining)
		}
	}
	f.enqueue(to, out)
}

// adopt makes a relay adopt the change. A relay that has already is restarted with its pending
// messages; its calls continue, since its next process knows them.
func (f *fleet) adopt(r *relay) { r.handover = New(r.number, serving, r.pending(), 0) }

func (f *fleet) checkRateShares() {
	f.t.Helper()
	sum := 0.0
	for _, r := range f.relays {
		sum += r.share()
	}
	if sum > 1+1e-9 {
		f.t.Fatalf("the replicas use %.3f of the rate", sum)
	}
}

// With lost, delayed, duplicated and reordered messages, and changes adopted at any time: no key
// has two senders, its messages stay in order, the rate is not exceeded, the new replica respects
// Retry-After, and in the end the current replicas deliver all messages.
func TestHandover(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(t, seed)
			for range 3000 {
				f.injectFault()
				f.checkRateShares()
			}
			for _, r := range f.relays {
				if r.handover == nil {
					f.adopt(r)
				}
			}
			for range 400 {
				f.runWithoutFaults()
				f.checkRateShares()
			}
			for _, r := range f.relays {
				if n := len(r.pending()); n > 0 || !r.handover.Done() {
					t.Errorf("relay %d still has %d pending; done: %v", r.number, n, r.handover.Done())
				}
			}
			for key := range uint64(keys) {
				if f.completed[key] != f.next[key] || f.next[key] == 0 {
					t.Errorf("key %d: %d messages, %d completed", key, f.next[key], f.completed[key])
				}
			}
		})
	}
}

// injectFault makes one random event happen.
func (f *fleet) injectFault() {
	r := f.relays[f.rng.IntN(len(f.relays))]
	key := f.rng.Uint64N(keys)
	switch draw := f.rng.IntN(100); {
	case draw < 15:
		f.submit(key)
	case draw < 40:
		f.send(r, key)
	case draw < 60:
		f.complete(r, key)
	case draw < 75 && len(f.inFlight) > 0:
		n := f.rng.IntN(len(f.inFlight))
		f.deliver(n)
		if f.rng.IntN(4) > 0 { // else it is delivered again
			f.inFlight = slices.Delete(f.inFlight, n, n+1)
		}
	case draw < 80 && len(f.inFlight) > 0:
		f.inFlight = f.inFlight[1:] // lost
	case draw < 95:
		f.now += time.Duration(f.rng.IntN(60)) * time.Millisecond
		if r.handover != nil {
			f.enqueue(r, r.handover.Tick(f.now, r.retryAfters(f.now)))
		}
	case draw < 97 && f.rng.IntN(10) == 0:
		f.adopt(r)
	case draw == 98 && r.handover == nil && r.number < 4:
		r.blockedUntil = max(r.blockedUntil, f.now+time.Duration(f.rng.IntN(2000))*time.Millisecond)
		f.blockedUntil = max(f.blockedUntil, r.blockedUntil)
	}
}

// runWithoutFaults delivers all messages between relays and sends all that is allowed.
func (f *fleet) runWithoutFaults() {
	f.now += 50 * time.Millisecond
	for _, r := range f.relays {
		f.enqueue(r, r.handover.Tick(f.now, r.retryAfters(f.now)))
	}
	for len(f.inFlight) > 0 {
		f.deliver(0)
		f.inFlight = f.inFlight[1:]
	}
	for key := range uint64(keys) {
		if f.next[key] < 10 {
			f.submit(key)
		}
		for _, r := range f.relays {
			f.send(r, key)
			f.complete(r, key)
		}
	}
}

// A handover waits for a failed previous replica until it is marked as removed.
func TestRemovedReplica(t *testing.T) {
	h := New(4, serving, nil, 3)
	released := Message{ChangeID: h.changeID, Adopted: true, Released: true}
	for _, r := range []assignment.Relay{1, 2, 3} {
		if _, sameChange := h.Receive(r, released, nil); !sameChange {
			t.Fatalf("relay %d's message is of another change", r)
		}
	}
	if h.MaySendUnkeyed() || h.RateShare() != 0 || h.Done() {
		t.Error("sends before relay 0 has adopted the change")
	}
	h.MarkRemoved(0)
	if !h.MaySendUnkeyed() || h.RateShare() != 0.25 || !h.Done() {
		t.Errorf("after relay 0 is removed: %v %v %v", h.MaySendUnkeyed(), h.RateShare(), h.Done())
	}
	h.MarkRemoved(9) // not a replica
}

// Messages of another change or of a relay that is no replica are ignored; MayAccept returns the
// owner of a key.
func TestIgnoresOtherChangesAndRelays(t *testing.T) {
	h := New(4, serving, nil, 3)
	if _, sameChange := h.Receive(1, Message{ChangeID: h.changeID + 1, Adopted: true}, nil); sameChange {
		t.Error("a message of another change is not ignored")
	}
	if _, sameChange := h.Receive(9, Message{ChangeID: h.changeID, Adopted: true}, nil); sameChange {
		t.Error("a message of a relay that is no replica is not ignored")
	}
	for key := range uint64(keys) {
		if ok, owner := h.MayAccept(key); owner != Owner(serving.Replicas, key) || ok != (owner == 4) {
			t.Errorf("key %d: %v, %d", key, ok, owner)
		}
	}
	replaced := New(0, serving, []uint64{1, 1}, 1)
	if ok, _ := replaced.MayAccept(1); ok || replaced.released() {
		t.Error("a replica that was replaced accepts messages, or has released pending ones")
	}
	replaced.CompletedKeyed(1)
	replaced.CompletedKeyed(2) // never pending
	replaced.CompletedUnkeyed()
	if replaced.released() || math.Abs(replaced.RateShare()-0.2) > 1e-9 {
		t.Errorf("with one message left: released %v, share %v", replaced.released(), replaced.RateShare())
	}
	replaced.CompletedKeyed(1)
	replaced.CompletedUnkeyed() // more often than there are messages
	if !replaced.released() || replaced.RateShare() != 0 {
		t.Errorf("released: %v, share %v", replaced.released(), replaced.RateShare())
	}
}
