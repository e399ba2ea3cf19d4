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

// Seen is one row of the timeline: a change of the state in which one relay sees another. The
// timeline is written to Parquet and JSON.
type Seen struct {
	AtMs        int64  `parquet:"at_ms" json:"at_ms"` // since the fleet was complete
	By          int32  `parquet:"by" json:"by"`
	Number      int32  `parquet:"number" json:"number"`
	From        string `parquet:"from,dict" json:"from"`
	To          string `parquet:"to,dict" json:"to"`
	Incarnation int64  `parquet:"incarnation" json:"incarnation"`
	Why         string `parquet:"why" json:"why"`
	Troubles    string `parquet:"troubles,dict" json:"troubles"` // indexes of the faults active at that time
}

// started is the state that a relay reports of itself when a process of it begins, without memory
// of an earlier one.
const started = "started"

// Verdict is the judgement on one run of a scenario. Runs of the same scenario in different
// environments are compared by it.
type Verdict struct {
	Gone []int `json:"gone"` // relays that did not come back
	// at the end every running relay saw the running ones as alive and the others as gone
	Agreed bool     `json:"agreed"`
	Missed []int    `json:"missed"` // relays correctly seen as away or left at some time
	False  []string `json:"false"`  // relays seen as away or left that no fault had hidden
	Rules  []string `json:"rules"`  // violated rules
	Faults []string `json:"faults"` // faults of the laboratory or of the processes
}

// Good reports whether no rule was violated and nothing went wrong.
func (v *Verdict) Good() bool {
	return v.Agreed && len(v.False)+len(v.Rules)+len(v.Faults) == 0
}

// CheckSame returns an error if the two verdicts differ in whether they are good or in the relays
// that did not come back.
func (v *Verdict) CheckSame(other *Verdict) error {
	switch {
	case v.Good() != other.Good():
		return fmt.Errorf("one run is good, the other is not: %+v; %+v", v, other)
	case !slices.Equal(v.Gone, other.Gone):
		return fmt.Errorf("relays that did not come back: %v and %v", v.Gone, other.Gone)
	}
	return nil
}

// parseLogLine parses a line of a relay's log. ok is false if it is not about a member.
func parseLogLine(by int, line string) (change Seen, at time.Time, ok bool) {
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
		return change, at, false
	}
	number, err1 := strconv.Atoi(fields["number"])
	incarnation, err2 := strconv.ParseInt(fields["incarnation"], 10, 64)
	at, err3 := time.Parse(time.RFC3339Nano, fields["time"])
	if err1 != nil || err2 != nil || err3 != nil {
		return change, at, false
	}
	return Seen{By: int32(by), Number: int32(number), From: fields["was"], To: fields["state"],
		Incarnation: incarnation, Why: fields["why"]}, at, true
}

// visibilityLoss returns a function that reports whether the fault can hide relay `of` from relay
// `by`.
func visibilityLoss(scenario *emu.Scenario, fault *emu.Fault) (hidden func(by, of int) bool) {
	affected := map[int]bool{}
	for _, n := range scenario.RelaysOf(fault) {
		affected[n] = true
	}
	switch fault.Kind {
	case emu.RelayCrash, emu.RelayStop, emu.RelayStall:
		return func(_, of int) bool { return affected[of] }
	case emu.Partition, emu.SitePartition:
		return func(by, of int) bool { return affected[by] != affected[of] }
	case emu.GossipSendLoss:
		return func(_, of int) bool { return affected[of] }
	case emu.GossipReceiveLoss:
		// it receives nothing, so it may end up seeing every other relay as dead
		return func(by, _ int) bool { return affected[by] }
	}
	return func(int, int) bool { return false }
}

// checkMembers checks the timeline against the faults of the scenario.
func checkMembers(scenario *emu.Scenario, changes []Seen) (verdict Verdict) {
	incarnations := map[[2]int32]int64{}
	missed := map[int]bool{}
	for _, change := range changes {
		if change.To == started {
			for key := range incarnations {
				if key[0] == change.By {
					delete(incarnations, key)
				}
			}
			continue
		}
		key := [2]int32{change.By, change.Number}
		if change.Incarnation < incarnations[key] {
			verdict.Rules = append(verdict.Rules,
				fmt.Sprintf("relay %d: incarnation of %d went back from %d to %d", change.By, change.Number,
					incarnations[key], change.Incarnation))
		}
		incarnations[key] = change.Incarnation
		if change.To == "alive" && change.From == "away" && change.Incarnation == 0 {
			verdict.Rules = append(verdict.Rules,
				fmt.Sprintf("relay %d: %d is back without a word of it", change.By, change.Number))
		}
		if change.To != "away" && change.To != "left" {
			continue
		}
		excused := false
		for i := range scenario.Faults {
			excused = excused || visibilityLoss(scenario, &scenario.Faults[i])(int(change.By), int(change.Number))
		}
		if !excused {
			verdict.False = append(verdict.False,
				fmt.Sprintf("relay %d held %d for %s at %d ms: %s", change.By, change.Number, change.To,
					change.AtMs, change.Why))
			continue
		}
		missed[int(change.Number)] = true
	}
	for n := range missed {
		verdict.Missed = append(verdict.Missed, n)
	}
	slices.Sort(verdict.Missed)
	return verdict
}

// Submission is a message that a client submitted, and the outcome that the client got.
type Submission struct {
	Name, Class, ID string
	Outcome         client.Outcome
}

// Records is what the test doubles recorded during a run.
type Records struct {
	Submissions       []Submission
	Effects           []testdouble.Effect
	Notifications     map[string]testdouble.Notification // by message ID
	EarlyCalls        int                                // calls made before a Retry-After had passed
	OversizedMessages int                                // gossip messages of over 256 bytes
}

// notCompleted ends the text of a violation: the message has no outcome yet.
const notCompleted = " was accepted and had no end"

// mayResolve reports whether a violation may disappear if the run is given more time.
func mayResolve(rule string) bool { return strings.HasSuffix(rule, notCompleted) }

// checkMessages checks the outcomes that clients got against the effects at the partners.
func checkMessages(records *Records) (rules []string) {
	ran, dropped := map[string]int{}, map[string]int{}
	for _, effect := range records.Effects {
		if effect.Deduplicated {
			dropped[effect.Name]++
			continue
		}
		ran[effect.Name]++
	}
	for _, submission := range records.Submissions {
		notification, notified := records.Notifications[submission.ID]
		switch {
		case submission.Class == "fee-charge" && ran[submission.Name] > 1:
			rules = append(rules, fmt.Sprintf("%s ran %d times", submission.Name, ran[submission.Name]))
		case submission.Outcome == client.Taken && ran[submission.Name] == 0 && !notified:
			rules = append(rules, submission.Name+notCompleted)
		case submission.Outcome == client.Refused && ran[submission.Name] > 0:
			rules = append(rules, fmt.Sprintf("%s was refused and ran", submission.Name))
		case submission.Class == "fee-charge" && notified && notification.Outcome == "handed_back" &&
			ran[submission.Name] > 0:
			rules = append(rules, fmt.Sprintf("%s was handed back and ran", submission.Name))
		}
	}
	if records.EarlyCalls > 0 {
		rules = append(rules, fmt.Sprintf("%d calls within a told wait", records.EarlyCalls))
	}
	if records.OversizedMessages > 0 {
		rules = append(rules, fmt.Sprintf("%d gossip messages of over 256 bytes", records.OversizedMessages))
	}
	return rules
}

// RunVirtual runs the scenario in virtual time and returns its verdict and its timeline.
func RunVirtual(scenario *emu.Scenario) (*Verdict, []Seen, error) {
	withSettleTime := *scenario
	withSettleTime.SettleTime = settleTime
	result, err := emu.Run(&withSettleTime, emu.Options{})
	if err != nil {
		return nil, nil, err
	}
	var changes []Seen
	for _, change := range result.Members {
		if change.At < fleetStartTime {
			continue // the fleet is still starting
		}
		changes = append(changes,
			Seen{AtMs: (change.At - fleetStartTime).Milliseconds(), By: int32(change.By),
				Number: int32(change.Number), From: change.From, To: change.To,
				Incarnation: int64(change.Incarnation), Why: change.Why})
	}
	verdict := checkMembers(scenario, changes)
	verdict.Agreed, verdict.Gone = result.Agreed, result.Down
	for _, violation := range result.Breaks {
		verdict.Rules = append(verdict.Rules, violation.String())
	}
	verdict.Faults = append(verdict.Faults, result.Faults...)
	return &verdict, changes, nil
}
