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

// serving is a partition whose replica 0 has given way to replica 4.
var serving = assignment.PartitionAssignment{Partition: 7, Previous: []assignment.Relay{0, 1, 2, 3}, Replicas: []assignment.Relay{1, 2, 3, 4}}

// fleet is relays that send the messages of a partition as it is handed over. The test delivers what they tell one another.
type fleet struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	relays []*relay
	mail   []letter
	next   map[uint64]int // number of the key's next message
	clever map[uint64]bool
	over   map[uint64]int // messages of a key that are over
	busy   map[uint64]bool
	told   time.Duration // until when the destination has told a former replica to wait
}

type letter struct {
	from assignment.Relay
	Envelope
}

type relay struct {
	number   assignment.Relay
	handover *Handover        // nil: it has not adopted the change
	queue    map[uint64][]int // messages of each key
	sending  map[uint64]bool
	wait     time.Duration // it knows of
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 3)), next: map[uint64]int{}, clever: map[uint64]bool{}, over: map[uint64]int{}, busy: map[uint64]bool{}}
	for i := range assignment.Relay(5) {
		f.relays = append(f.relays, &relay{number: i, queue: map[uint64][]int{}, sending: map[uint64]bool{}})
	}
	return f
}

// hand has the client of a key hand in its next message, by the replicas that it knows. One that is told of the owner goes by
// the present ones from then on.
func (f *fleet) hand(key uint64) {
	replicas := serving.Previous
	if f.clever[key] {
		replicas = serving.Replicas
	}
	r := f.relays[Owner(replicas, key)]
	if r.takes(key) {
		r.queue[key] = append(r.queue[key], f.next[key])
		f.next[key]++
	} else if r.handover != nil {
		f.clever[key] = true
	}
}

func (r *relay) takes(key uint64) bool {
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

func (r *relay) held() (held []uint64) {
	for key, queue := range r.queue {
		for range queue {
			held = append(held, key)
		}
	}
	return held
}

// send begins a call with the key's first message, if that may be.
func (f *fleet) send(r *relay, key uint64) {
	if len(r.queue[key]) == 0 || r.sending[key] || !r.maySend(key) || f.now < r.wait {
		return
	}
	if f.busy[key] {
		f.t.Fatalf("key %d has two senders, one of them relay %d", key, r.number)
	}
	if number := r.queue[key][0]; number != f.over[key] {
		f.t.Fatalf("relay %d sends message %d of key %d, and %d are over", r.number, number, key, f.over[key])
	}
	if r.number == 4 && f.now < f.told {
		f.t.Fatalf("the new replica sends at %v, a former one was told to wait until %v", f.now, f.told)
	}
	f.busy[key], r.sending[key] = true, true
}

// end ends the key's call.
func (f *fleet) end(r *relay, key uint64) {
	if !r.sending[key] {
		return
	}
	f.busy[key], r.sending[key] = false, false
	f.over[key]++
	r.queue[key] = r.queue[key][1:]
	if r.handover != nil {
		r.handover.CompletedKeyed(key)
	}
}

func (f *fleet) post(r *relay, out []Envelope) {
	for _, e := range out {
		f.mail = append(f.mail, letter{r.number, e})
	}
}

func (r *relay) waits(now time.Duration) []RetryAfter {
	if r.wait <= now {
		return nil
	}
	return []RetryAfter{{Destination: 1, Remaining: r.wait - now}}
}

func (f *fleet) deliver(n int) {
	l := f.mail[n]
	to := f.relays[l.To]
	if to.handover == nil {
		return
	}
	out, mine := to.handover.Receive(l.from, l.Message, to.waits(f.now))
	if mine {
		for _, w := range l.Message.RetryAfters {
			to.wait = max(to.wait, f.now+w.Remaining)
		}
	}
	f.post(to, out)
}

// adopt has a relay go by the change; one that has, starts anew with what it holds. Its calls go on: what has been written of
// a message is known to its next process.
func (f *fleet) adopt(r *relay) { r.handover = New(r.number, serving, r.held(), 0) }

func (f *fleet) check() {
	f.t.Helper()
	sum := 0.0
	for _, r := range f.relays {
		sum += r.share()
	}
	if sum > 1+1e-9 {
		f.t.Fatalf("the replicas use %.3f of the rate", sum)
	}
}

// Whatever is lost, late, twice and out of order, and whoever adopts when: no key has two senders, none of its messages passes
// another, the rate is never exceeded, waits bind the new replica, and in the end all are delivered by the present replicas.
func TestHandover(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(t, seed)
			for range 3000 {
				f.trouble()
				f.check()
			}
			for _, r := range f.relays {
				if r.handover == nil {
					f.adopt(r)
				}
			}
			for range 400 {
				f.calm()
				f.check()
			}
			for _, r := range f.relays {
				if n := len(r.held()); n > 0 || !r.handover.Done() {
					t.Errorf("relay %d still holds %d; done: %v", r.number, n, r.handover.Done())
				}
			}
			for key := range uint64(keys) {
				if f.over[key] != f.next[key] || f.next[key] == 0 {
					t.Errorf("key %d: %d messages, %d over", key, f.next[key], f.over[key])
				}
			}
		})
	}
}

// trouble lets something happen, drawn at random.
func (f *fleet) trouble() {
	r := f.relays[f.rng.IntN(len(f.relays))]
	key := f.rng.Uint64N(keys)
	switch draw := f.rng.IntN(100); {
	case draw < 15:
		f.hand(key)
	case draw < 40:
		f.send(r, key)
	case draw < 60:
		f.end(r, key)
	case draw < 75 && len(f.mail) > 0:
		n := f.rng.IntN(len(f.mail))
		f.deliver(n)
		if f.rng.IntN(4) > 0 { // else it comes again
			f.mail = slices.Delete(f.mail, n, n+1)
		}
	case draw < 80 && len(f.mail) > 0:
		f.mail = f.mail[1:] // lost
	case draw < 95:
		f.now += time.Duration(f.rng.IntN(60)) * time.Millisecond
		if r.handover != nil {
			f.post(r, r.handover.Tick(f.now, r.waits(f.now)))
		}
	case draw < 97 && f.rng.IntN(10) == 0:
		f.adopt(r)
	case draw == 98 && r.handover == nil && r.number < 4:
		r.wait = max(r.wait, f.now+time.Duration(f.rng.IntN(2000))*time.Millisecond)
		f.told = max(f.told, r.wait)
	}
}

// calm delivers all and has everyone send what they may.
func (f *fleet) calm() {
	f.now += 50 * time.Millisecond
	for _, r := range f.relays {
		f.post(r, r.handover.Tick(f.now, r.waits(f.now)))
	}
	for len(f.mail) > 0 {
		f.deliver(0)
		f.mail = f.mail[1:]
	}
	for key := range uint64(keys) {
		if f.next[key] < 10 {
			f.hand(key)
		}
		for _, r := range f.relays {
			f.send(r, key)
			f.end(r, key)
		}
	}
}

// A former replica that is gone for good is waited for until control says so, and no longer.
func TestGoneReplica(t *testing.T) {
	h := New(4, serving, nil, 3)
	other := Message{ChangeID: h.change, Adopted: true, Released: true}
	for _, r := range []assignment.Relay{1, 2, 3} {
		if _, mine := h.Receive(r, other, nil); !mine {
			t.Fatalf("relay %d's message is not of this change", r)
		}
	}
	if h.MaySendUnkeyed() || h.RateShare() != 0 || h.Done() {
		t.Error("sends before relay 0 is heard of")
	}
	h.MarkRemoved(0)
	if !h.MaySendUnkeyed() || h.RateShare() != 0.25 || !h.Done() {
		t.Errorf("relay 0 is gone: %v %v %v", h.MaySendUnkeyed(), h.RateShare(), h.Done())
	}
	h.MarkRemoved(9) // no replica
}

// What is not of this change, or of no replica, changes nothing; what is not the relay's own is named with its owner.
func TestNotMine(t *testing.T) {
	h := New(4, serving, nil, 3)
	if _, mine := h.Receive(1, Message{ChangeID: h.change + 1, Adopted: true}, nil); mine {
		t.Error("another change is taken for this one")
	}
	if _, mine := h.Receive(9, Message{ChangeID: h.change, Adopted: true}, nil); mine {
		t.Error("a relay that is no replica is heard")
	}
	for key := range uint64(keys) {
		if ok, owner := h.MayAccept(key); owner != Owner(serving.Replicas, key) || ok != (owner == 4) {
			t.Errorf("key %d: %v, %d", key, ok, owner)
		}
	}
	leaves := New(0, serving, []uint64{1, 1}, 1)
	if ok, _ := leaves.MayAccept(1); ok || leaves.released() {
		t.Error("one that leaves takes on more, or has released what it holds")
	}
	leaves.CompletedKeyed(1)
	leaves.CompletedKeyed(2) // never held
	leaves.CompletedUnkeyed()
	if leaves.released() || math.Abs(leaves.RateShare()-0.2) > 1e-9 {
		t.Errorf("with one message left: released %v, share %v", leaves.released(), leaves.RateShare())
	}
	leaves.CompletedKeyed(1)
	leaves.CompletedUnkeyed() // one too many
	if !leaves.released() || leaves.RateShare() != 0 {
		t.Errorf("released: %v, share %v", leaves.released(), leaves.RateShare())
	}
}
