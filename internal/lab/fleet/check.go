package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"oatfold/client"
	"oatfold/internal/lab/emu"
	"oatfold/internal/testdouble"
)

// Seen is one line of a timeline: what one relay came to think of another.
type Seen struct {
	AtMs        int64  `parquet:"at_ms" json:"at_ms"` // since the fleet was whole
	By          int32  `parquet:"by" json:"by"`
	Number      int32  `parquet:"number" json:"number"`
	From        string `parquet:"from,dict" json:"from"`
	To          string `parquet:"to,dict" json:"to"`
	Incarnation int64  `parquet:"incarnation" json:"incarnation"`
	Why         string `parquet:"why" json:"why"`
	Troubles    string `parquet:"troubles,dict" json:"troubles"` // that held then, by number
}

// started is what a relay is seen to do, of itself, as a process of it begins: it remembers nothing.
const started = "started"

// Verdict is what came of a day. Two players of one day are compared by it.
type Verdict struct {
	Gone   []int    `json:"gone"`   // relays that did not come back
	Agreed bool     `json:"agreed"` // in the end all held those who lived for alive, and the others not
	Missed []int    `json:"missed"` // relays that the others had to miss and did: away or left at some time
	False  []string `json:"false"`  // relays held for away that no trouble had taken from the others
	Rules  []string `json:"rules"`  // broken rules
	Faults []string `json:"faults"` // of the player, or of processes
}

// Good tells whether no rule was broken and nothing went wrong.
func (v *Verdict) Good() bool {
	return v.Agreed && len(v.False)+len(v.Rules)+len(v.Faults) == 0
}

// CheckSame tells whether two players came to the same verdict; else why not.
func (v *Verdict) CheckSame(o *Verdict) error {
	switch {
	case v.Good() != o.Good():
		return fmt.Errorf("one is good, the other is not: %+v; %+v", v, o)
	case !slices.Equal(v.Gone, o.Gone):
		return fmt.Errorf("relays that did not come back: %v and %v", v.Gone, o.Gone)
	}
	return nil
}

// parse reads a line of a relay's log; ok is false where it tells of no member.
func parse(by int, line string) (s Seen, at time.Time, ok bool) {
	fields := map[string]string{}
	for rest := line; rest != ""; {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		value := after
		if strings.HasPrefix(after, `"`) {
			quoted, err := strconv.QuotedPrefix(after)
			if err != nil {
				break
			}
			value, _ = strconv.Unquote(quoted)
			rest = strings.TrimPrefix(after[len(quoted):], " ")
		} else {
			value, rest, _ = strings.Cut(after, " ")
		}
		fields[strings.TrimSpace(key)] = value
	}
	if fields["msg"] != "member" {
		return s, at, false
	}
	n, err1 := strconv.Atoi(fields["number"])
	inc, err2 := strconv.ParseInt(fields["incarnation"], 10, 64)
	at, err3 := time.Parse(time.RFC3339Nano, fields["time"])
	if err1 != nil || err2 != nil || err3 != nil {
		return s, at, false
	}
	return Seen{By: int32(by), Number: int32(n), From: fields["was"], To: fields["state"], Incarnation: inc, Why: fields["why"]}, at, true
}

// taken says which relays a trouble takes from which others' sight.
func taken(day *emu.Scenario, t *emu.Fault) (hidden func(by, of int) bool) {
	in := map[int]bool{}
	for _, n := range day.RelaysOf(t) {
		in[n] = true
	}
	switch t.Kind {
	case emu.RelayCrash, emu.RelayStop, emu.RelayStall:
		return func(_, of int) bool { return in[of] }
	case emu.Partition, emu.SitePartition:
		return func(by, of int) bool { return in[by] != in[of] }
	case emu.GossipSendLoss:
		return func(_, of int) bool { return in[of] }
	case emu.GossipReceiveLoss:
		return func(by, _ int) bool { return in[by] } // it hears nobody: in the end it may be right to miss all
	}
	return func(int, int) bool { return false }
}

// judgeMembers holds the timeline against the troubles of the day.
func judgeMembers(day *emu.Scenario, seen []Seen) (v Verdict) {
	incarnations := map[[2]int32]int64{}
	missed := map[int]bool{}
	for _, s := range seen {
		if s.To == started {
			for key := range incarnations {
				if key[0] == s.By {
					delete(incarnations, key)
				}
			}
			continue
		}
		key := [2]int32{s.By, s.Number}
		if s.Incarnation < incarnations[key] {
			v.Rules = append(v.Rules, fmt.Sprintf("relay %d: incarnation of %d went back from %d to %d", s.By, s.Number, incarnations[key], s.Incarnation))
		}
		incarnations[key] = s.Incarnation
		if s.To == "alive" && s.From == "away" && s.Incarnation == 0 {
			v.Rules = append(v.Rules, fmt.Sprintf("relay %d: %d is back without a word of it", s.By, s.Number))
		}
		if s.To != "away" && s.To != "left" {
			continue
		}
		excused := false
		for i := range day.Faults {
			excused = excused || taken(day, &day.Faults[i])(int(s.By), int(s.Number))
		}
		if !excused {
			v.False = append(v.False, fmt.Sprintf("relay %d held %d for %s at %d ms: %s", s.By, s.Number, s.To, s.AtMs, s.Why))
			continue
		}
		missed[int(s.Number)] = true
	}
	for n := range missed {
		v.Missed = append(v.Missed, n)
	}
	slices.Sort(v.Missed)
	return v
}

// Hand is a message that clients handed in, and what they were told.
type Hand struct {
	Name, Class, ID string
	Outcome         client.Outcome
}

// Books is what the stand-ins booked over a day.
type Books struct {
	Hands   []Hand
	Effects []testdouble.Effect
	Notices map[string]testdouble.Notification // by id
	Early   int                                // calls within told waits
	TooLong int                                // notes of over 256 bytes
}

const noEnd = " was taken on and had no end"

// endless tells whether a broken rule is one that more time may mend.
func endless(rule string) bool { return strings.HasSuffix(rule, noEnd) }

// judgeMessages holds what clients were told against what took effect.
func judgeMessages(b *Books) (rules []string) {
	ran, dropped := map[string]int{}, map[string]int{}
	for _, e := range b.Effects {
		if e.Deduplicated {
			dropped[e.Name]++
			continue
		}
		ran[e.Name]++
	}
	for _, h := range b.Hands {
		notice, told := b.Notices[h.ID]
		switch {
		case h.Class == "fee-charge" && ran[h.Name] > 1:
			rules = append(rules, fmt.Sprintf("%s ran %d times", h.Name, ran[h.Name]))
		case h.Outcome == client.Taken && ran[h.Name] == 0 && !told:
			rules = append(rules, h.Name+noEnd)
		case h.Outcome == client.Refused && ran[h.Name] > 0:
			rules = append(rules, fmt.Sprintf("%s was refused and ran", h.Name))
		case h.Class == "fee-charge" && told && notice.Outcome == "handed_back" && ran[h.Name] > 0:
			rules = append(rules, fmt.Sprintf("%s was handed back and ran", h.Name))
		}
	}
	if b.Early > 0 {
		rules = append(rules, fmt.Sprintf("%d calls within a told wait", b.Early))
	}
	if b.TooLong > 0 {
		rules = append(rules, fmt.Sprintf("%d notes of over 256 bytes", b.TooLong))
	}
	return rules
}

// RunVirtual plays the day in virtual time and comes to a verdict of the same form.
func RunVirtual(day *emu.Scenario) (*Verdict, []Seen, error) {
	d := *day
	d.SettleTime = settle
	res, err := emu.Run(&d, emu.Options{})
	if err != nil {
		return nil, nil, err
	}
	var seen []Seen
	for _, c := range res.Members {
		if c.At < whole {
			continue // the fleet is still coming up
		}
		seen = append(seen, Seen{AtMs: (c.At - whole).Milliseconds(), By: int32(c.By), Number: int32(c.Number), From: c.From, To: c.To, Incarnation: int64(c.Incarnation), Why: c.Why})
	}
	v := judgeMembers(day, seen)
	v.Agreed, v.Gone = res.Agreed, res.Down
	for _, b := range res.Breaks {
		v.Rules = append(v.Rules, b.String())
	}
	v.Faults = append(v.Faults, res.Faults...)
	return &v, seen, nil
}
