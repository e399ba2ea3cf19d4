package daemon

import (
	"encoding/json"

	"oatfold/internal/metrics"
	"oatfold/internal/peers/members"
)

// memberJSON is one relay in the reply to GET /members.
type memberJSON struct {
	Number      int    `json:"number"`
	State       string `json:"state"`
	Zone        string `json:"zone,omitempty"`
	Incarnation uint32 `json:"incarnation"`
	SinceMs     int64  `json:"since_ms"` // time in this state
	Why         string `json:"why"`
}

// membersJSON is the reply to GET /members.
type membersJSON struct {
	Self            int          `json:"self"`
	Version         uint64       `json:"version"`
	PossibleCallers int          `json:"sharing"` // relays that may be making calls
	Isolated        bool         `json:"deaf,omitempty"`
	DuplicateNumber bool         `json:"rival,omitempty"`
	CutOff          []string     `json:"zones_away,omitempty"`
	Members         []memberJSON `json:"members"`
}

// members returns the reply to GET /members; nil where membership is disabled.
func (r *relay) members() []byte {
	host := r.runningHost.Load()
	if host == nil {
		return nil
	}
	view := host.Members()
	if view == nil {
		return nil
	}
	out := membersJSON{Self: view.Self, Version: view.Version, PossibleCallers: view.PossibleCallers,
		Isolated: view.Isolated, DuplicateNumber: view.DuplicateNumber}
	zone := func(n int) string {
		if n < len(r.zoneNames) {
			return r.zoneNames[n]
		}
		return ""
	}
	for _, z := range view.Zones {
		if z.CutOff {
			out.CutOff = append(out.CutOff, zone(z.Zone))
		}
	}
	for _, m := range view.Members {
		out.Members = append(out.Members, memberJSON{m.Number, m.State.String(), zone(m.Zone), m.Incarnation,
			max(0, view.At-m.Since).Milliseconds(), m.Reason})
	}
	b, err := json.Marshal(out)
	if err != nil {
		return nil // cannot happen: all fields can be encoded
	}
	return append(b, '\n')
}

// stats appends the metrics to b.
func (r *relay) stats(b []byte) []byte {
	b = r.metrics.Append(b)
	host := r.runningHost.Load()
	if host == nil || host.Members() == nil {
		return b
	}
	view := host.Members()
	var states [members.Left + 1]int
	for _, m := range view.Members {
		states[m.State]++
	}
	for s, n := range states {
		b = metrics.AppendLine(b, "members", "state", members.State(s).String(), int64(n))
	}
	for _, f := range []struct {
		name string
		n    int
	}{
		{"members_sharing", view.PossibleCallers},
		{"members_asked", view.Counts.Probes},
		{"members_unanswered", view.Counts.ProbeTimeouts},
		{"members_accused", view.Counts.Suspicions},
		{"members_contradicted", view.Counts.Refutations},
		{"members_notes_refused", view.Counts.Rejected},
	} {
		b = metrics.AppendLine(b, f.name, "", "", int64(f.n))
	}
	isolated := int64(0)
	if view.Isolated {
		isolated = 1
	}
	return metrics.AppendLine(b, "members_deaf", "", "", isolated)
}
