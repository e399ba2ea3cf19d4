package peers

import (
	"testing"
	"time"

	"oatfold/internal/choice"
	"oatfold/policy"
)

// choosing is a pool of relay 0 among ten that knows all to live and shares all choices.
func choosing(t *testing.T) *Gossiper {
	t.Helper()
	p := joined(10)[0]
	p.EnableChoices(choice.Options{SubsetSize: 2, TimeSlots: true, DemandShares: true, Signals: true})
	return p
}

// tells has another relay tell counts of a destination.
func tells(t *testing.T, p *Gossiper, from int, now time.Duration, c DestinationCounts) {
	t.Helper()
	note := encode(1, uint16(now/time.Millisecond), account{span: time.Second, counts: map[int]DestinationCounts{7: c}}, MaxDatagramBytes)
	if err := p.ReceiveCounts(now, from, note); err != nil {
		t.Fatal(err)
	}
}

func about(p *Gossiper, now time.Duration) (u policy.RouteStats) {
	for _, u = range p.FleetAverages(now, time.UnixMilli(now.Milliseconds())) {
		if u.Destination == 7 {
			return u
		}
	}
	return policy.RouteStats{}
}

// Told waits go out in notes of a form of their own, run on, are believed of two, and the old form stays where there is none.
func TestWaitsAreTold(t *testing.T) {
	p := choosing(t)
	p.RecordRetryAfter(0, 7, 200*time.Millisecond) // nothing to pass on
	p.RecordArrival(7)
	if note, _ := p.Report(p.next); note[0] != version {
		t.Errorf("form %d without a wait", note[0])
	}
	now := p.next
	p.RecordRetryAfter(now-time.Second, 7, 4*time.Second)
	p.RecordArrival(7)
	note, _ := p.Report(now)
	_, _, a, err := decode(note)
	if err != nil || note[0] != waiting || a.counts[7].RetryAfter.Round(100*time.Millisecond) != 3*time.Second {
		t.Fatalf("form %d, %+v, %v", note[0], a.counts, err)
	}
	q := choosing(t)
	for from, wait := range []time.Duration{0, 3 * time.Second, time.Hour, 0, 0, 0} {
		if from > 0 {
			tells(t, q, from, time.Second, DestinationCounts{Arrived: 1, RetryAfter: min(wait, 900*time.Second)})
		}
	}
	if u := about(q, 1500*time.Millisecond); u.RetryAfter != 2500*time.Millisecond {
		t.Errorf("two were told, half a second ago 3 s: %v", u.RetryAfter)
	}
	if u := about(q, 1500*time.Millisecond); u.RetryAfter > 2500*time.Millisecond {
		t.Errorf("it grows: %v", u.RetryAfter)
	}
	// Its own wait is no news to itself.
	q.RecordRetryAfter(time.Second, 7, 9*time.Second)
	q.Report(1600 * time.Millisecond)
	if u := about(q, 1600*time.Millisecond); u.RetryAfter != 2400*time.Millisecond {
		t.Errorf("it hears itself: %v", u.RetryAfter)
	}
}

// A failure is told again while it is the last that became of a call here, for a while, and until others get through.
func TestFailuresAreToldAgain(t *testing.T) {
	told := func(p *Gossiper) int {
		p.RecordArrival(9)
		note, _ := p.Report(p.next)
		_, _, a, err := decode(note)
		if err != nil {
			t.Fatal(err)
		}
		return a.counts[7].Failed
	}
	fails := func() *Gossiper {
		p := choosing(t)
		p.RecordCall(7, Failed)
		p.RecordCall(7, Failed)
		if n := told(p); n != 2 {
			t.Fatalf("%d of 2 failures told", n)
		}
		return p
	}
	p := fails()
	for range 8 {
		if n := told(p); n != 1 {
			t.Fatalf("told %d times again", n)
		}
	}
	if p.next += toldFor; told(p) != 0 {
		t.Error("told for ever")
	}
	p = fails()
	p.RecordCall(7, Accepted)
	for range 2 {
		if told(p) != 0 {
			t.Error("told although a call was taken")
		}
	}
	p = fails()
	for from := 1; from < 6; from++ {
		tells(t, p, from, p.next, DestinationCounts{Arrived: 1, Accepted: min(1, from/5)})
	}
	if about(p, p.next); told(p) != 0 {
		t.Error("told although others get through")
	}
	p = fails()
	if p.sharing.set.Signals = false; told(p) != 0 {
		t.Error("told where signals are not shared")
	}
}

// A relay that says that thousands of calls failed does not drown nine that say that theirs are taken.
func TestLiarIsOneVoice(t *testing.T) {
	for _, signals := range []bool{false, true} {
		p := choosing(t)
		p.sharing.set.Signals = signals
		for from := 1; from < 10; from++ {
			c := DestinationCounts{Arrived: 2, Accepted: 2}
			if from == 9 {
				c = DestinationCounts{Failed: 9999}
			}
			tells(t, p, from, time.Second, c)
		}
		u := about(p, time.Second)
		if drowned := u.Failed > u.Accepted; drowned == signals || signals && u.Reporters != 1 {
			t.Errorf("signals %v: %+v", signals, u)
		}
	}
}

// The slice of a relay to which little comes is small, and what it tells others of the allowance is not.
func TestSliceFollowsDemand(t *testing.T) {
	p := choosing(t)
	for from := 1; from < 10; from++ {
		tells(t, p, from, time.Second, DestinationCounts{Arrived: 9, Accepted: 4, Rejected: 4, Allowed: 2})
	}
	u := about(p, time.Second)
	if own := p.paces[7].allow; own <= 0 || u.Allowance != own*0.25 {
		t.Errorf("allowed %.2f of %.2f", u.Allowance, own)
	}
}

// Subsets follow list and members, and are told again where the module is made anew. Turns come only once places are known.
func TestPoolSubsets(t *testing.T) {
	p := choosing(t)
	var list []policy.Endpoint
	for _, a := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, policy.Endpoint{Address: a, Destination: 7})
	}
	p.UpdateEndpoints(policy.EndpointListUpdate{Kind: policy.ListSnapshot, Entries: list})
	s := p.ChangedSubsets(time.Second)
	if len(s) != 1 || s[0].Destination != 7 || len(s[0].Endpoints) != 3 || len(p.ChangedSubsets(2*time.Second)) > 0 {
		t.Fatalf("%+v", s)
	}
	p.ResendSubsets()
	if again := p.ChangedSubsets(2 * time.Second); len(again) != 1 || again[0].Endpoints[0] != s[0].Endpoints[0] {
		t.Errorf("told again: %+v", again)
	}
	if place, live := p.Place(); place != 0 || live != 10 {
		t.Errorf("place %d of %d", place, live)
	}
	turns := 0
	for e := range 60 {
		now := time.Second + time.Duration(e)*choice.SlotDuration
		for from := 1; from < 6; from++ {
			tells(t, p, from, now, DestinationCounts{Arrived: 9, Failed: from / 4}) // two saw it
		}
		if !about(p, now).OthersProbe {
			turns++
		}
	}
	if turns < 3 || turns > 30 {
		t.Errorf("one of ten holds the turn of two in %d of 60 epochs", turns)
	}
	// One call that is taken ends it; one voice alone does not begin it.
	now := 200 * time.Second
	tells(t, p, 1, now, DestinationCounts{Arrived: 9, Accepted: 1})
	for from := 2; from < 6; from++ {
		tells(t, p, from, now, DestinationCounts{Arrived: 9, Failed: from / 5})
	}
	if u := about(p, now); u.OthersProbe {
		t.Error("somebody got through")
	}
	for e := range 20 {
		now += 2 * memory
		for from := 1; from < 6; from++ {
			tells(t, p, from, now, DestinationCounts{Arrived: 9, Failed: from / 5})
		}
		if u := about(p, now); u.OthersProbe {
			t.Errorf("one voice makes an outage, in round %d", e)
		}
	}
	if n := len(p.DestinationStatuses()); n != 1 {
		t.Errorf("%d destinations shown", n)
	}
	// Without membership nothing is shared.
	q := New(0, 10, 1)
	if q.EnableChoices(choice.Options{SubsetSize: 2, TimeSlots: true}); q.Choices().Any() || q.ChangedSubsets(time.Second) != nil {
		t.Error("choices without members")
	}
}

// What a relay says of sites goes to a few others while it says anything, in a note of its own that is bounded; it is heard for a while, of each relay the last, and nothing senseless is.
func TestWordsOfSites(t *testing.T) {
	all := joined(10)
	p, q := all[0], all[1]
	words := func(p *Gossiper, now time.Duration) (notes [][]byte) {
		for _, o := range p.tellWords() {
			if o.Payload[0] == ofSites && o.To != p.me {
				notes = append(notes, o.Payload)
			}
		}
		return notes
	}
	if n := len(words(p, 0)); n != 0 {
		t.Fatalf("%d notes about nothing", n)
	}
	p.SetSiteReports([]SiteReport{{Zone: 2, LoadFraction: 0}, {Zone: 1, LoadFraction: 0.25}})
	first, second := words(p, 0), words(p, time.Second)
	if len(first) == 0 || len(first) > wordFan || len(first[0]) > MaxDatagramBytes {
		t.Fatalf("%d notes", len(first))
	}
	heard := func(now time.Duration) (all []SiteReport) {
		q.EachSiteReport(now, func(w SiteReport) { all = append(all, w) })
		return all
	}
	if _, err := q.Receive(time.Second, 0, second[0]); err != nil || len(heard(time.Second)) != 2 || heard(time.Second)[1].LoadFraction != 0.25 || heard(time.Second)[0] != (SiteReport{2, 0}) {
		t.Fatalf("heard %v, %v", heard(time.Second), err)
	}
	for name, note := range map[string][]byte{"late": first[0], "twice": second[0], "half": second[0][:5], "short": second[0][:3], "over": {ofSites, 1, 9, 9, 1, 201}, "long": make([]byte, 200)} {
		if name == "long" {
			note[0] = ofSites
		}
		if _, err := q.Receive(2*time.Second, 0, note); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if _, err := q.Receive(2*time.Second, 99, second[0]); err == nil {
		t.Error("taken from nobody of the fleet")
	}
	if n := len(heard(time.Second + wordFor)); n != 2 {
		t.Errorf("%d words after a while", n)
	}
	if n := len(heard(2*time.Second + wordFor)); n != 0 || len(q.words.heard) != 0 {
		t.Errorf("%d words for ever", n)
	}
}
