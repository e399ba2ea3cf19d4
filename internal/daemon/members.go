package daemon

import (
	"encoding/json"

	"oatfold/internal/metrics"
	"oatfold/internal/peers/members"
)

// memberJSON is a relay as GET /members shows it.
type memberJSON struct {
	Number      int    `json:"number"`
	State       string `json:"state"`
	Zone        string `json:"zone,omitempty"`
	Incarnation uint32 `json:"incarnation"`
	SinceMs     int64  `json:"since_ms"` // ago
	Why         string `json:"why"`
}

// membersJSON is what GET /members answers.
type membersJSON struct {
	Self    int          `json:"self"`
	Version uint64       `json:"version"`
	Sharing int          `json:"sharing"` // relays that may be calling
	Deaf    bool         `json:"deaf,omitempty"`
	Rival   bool         `json:"rival,omitempty"`
	CutOff  []string     `json:"zones_away,omitempty"`
	Members []memberJSON `json:"members"`
}

// members writes what this relay knows of the fleet; nil where it does not ask.
func (r *relay) members() []byte {
	host := r.serving.Load()
	if host == nil {
		return nil
	}
	v := host.Members()
	if v == nil {
		return nil
	}
	out := membersJSON{Self: v.Self, Version: v.Version, Sharing: v.PossibleCallers, Deaf: v.Isolated, Rival: v.DuplicateNumber}
	zone := func(n int) string {
		if n < len(r.zones) {
			return r.zones[n]
		}
		return ""
	}
	for _, z := range v.Zones {
		if z.CutOff {
			out.CutOff = append(out.CutOff, zone(z.Zone))
		}
	}
	for _, m := range v.Members {
		out.Members = append(out.Members, memberJSON{m.Number, m.State.String(), zone(m.Zone), m.Incarnation, max(0, v.At-m.Since).Milliseconds(), m.Reason})
	}
	b, err := json.Marshal(out)
	if err != nil {
		return nil // plain values
	}
	return append(b, '\n')
}

// stats writes the figures.
func (r *relay) stats(b []byte) []byte {
	b = r.count.Append(b)
	host := r.serving.Load()
	if host == nil || host.Members() == nil {
		return b
	}
	v := host.Members()
	var states [members.Left + 1]int
	for _, m := range v.Members {
		states[m.State]++
	}
	for s, n := range states {
		b = metrics.AppendLine(b, "members", "state", members.State(s).String(), int64(n))
	}
	for _, f := range []struct {
		name string
		n    int
	}{{"members_sharing", v.PossibleCallers}, {"members_asked", v.Counts.Probes}, {"members_unanswered", v.Counts.ProbeTimeouts},
		{"members_accused", v.Counts.Suspicions}, {"members_contradicted", v.Counts.Refutations}, {"members_notes_refused", v.Counts.Rejected}} {
		b = metrics.AppendLine(b, f.name, "", "", int64(f.n))
	}
	deaf := int64(0)
	if v.Isolated {
		deaf = 1
	}
	return metrics.AppendLine(b, "members_deaf", "", "", deaf)
}
