// Package sim frames and translates the simulator's JSON protocol. It decides nothing.
package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"oatfold/policy"
)

// Batch is one line of input.
type Batch struct {
	Clock  *int64  `json:"tUs"`
	Events []Event `json:"news"`
}

// Event holds the fields of every event; absent ones stay zero.
type Event struct {
	What        string          `json:"what"`
	Relay       *int            `json:"relay"`
	Seed        int64           `json:"randomSeed"`
	Info        json.RawMessage `json:"info"`
	Sheet       *int            `json:"sheet"`
	Members     []Entry         `json:"membersList"`
	Kind        string          `json:"kind"`
	Req         *uint32         `json:"req"`
	Category    string          `json:"category"`
	UserGroup   json.RawMessage `json:"userGroup"`
	Item        *string         `json:"item"`
	LeftUs      int64           `json:"leftUs"`
	Destination *int            `json:"destination"`
	SeqNo       int             `json:"seqNo"`
	Endpoint    string          `json:"endpoint"`
	Code        string          `json:"code"`
	LagUs       int64           `json:"lagUs"`
	Closed      bool            `json:"closed"`
	HoldMs      int64           `json:"holdMs"`
	Report      []*float64      `json:"report"`
}

// Entry is one entry of a numbered endpoint list.
type Entry struct {
	Shape    string  `json:"shape"`
	Dest     int     `json:"dest"`
	Stage    string  `json:"stageState"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Scale    float64 `json:"scale"`
}

// Action is one action of a reply.
type Action struct {
	What       string `json:"what"`
	Relay      int    `json:"relay"`
	Req        *int64 `json:"req,omitempty"`
	Endpoint   string `json:"endpoint,omitempty"`
	AllowForUs int64  `json:"allowForUs,omitempty"`
	CoolDownUs int64  `json:"coolDownUs,omitempty"`
	DelayUs    *int64 `json:"delayUs,omitempty"`
	Cookie     string `json:"cookie,omitempty"`
	On         bool   `json:"on,omitempty"`
	NoteText   string `json:"noteText,omitempty"`
}

// Reply is one line of output.
type Reply struct {
	Actions []Action `json:"actions"`
}

// ParseBatch reads one line.
func ParseBatch(line []byte) (Batch, error) {
	var b Batch
	if err := json.Unmarshal(line, &b); err != nil {
		return b, fmt.Errorf("malformed batch: %w", err)
	}
	if b.Clock == nil {
		return b, fmt.Errorf("malformed batch: no tUs")
	}
	for i := range b.Events {
		if err := b.Events[i].check(); err != nil {
			return b, fmt.Errorf("event %d: %w", i+1, err)
		}
	}
	return b, nil
}

// needs names the fields without which an event makes no sense.
var needs = map[string][]string{
	"BOOT": {"relay", "info"}, "KILL": {"relay"}, "REGISTER": {"sheet"},
	"DIRECTORY_UPDATE": {"relay", "kind"}, "KNOCK": {"relay", "req", "destination"},
	"FINISHED": {"relay", "req", "code"}, "EXPIRED": {"relay", "req"}, "ALARM": {"relay"},
	"UNDER_WAY": {"relay"}, "HEALTH": {"relay"}, "MEMO": {"relay"},
}

func (e *Event) check() error {
	want, known := needs[e.What]
	if !known {
		return fmt.Errorf("unknown event %q", e.What)
	}
	have := map[string]bool{"relay": e.Relay != nil, "info": len(e.Info) > 0, "sheet": e.Sheet != nil,
		"kind": e.Kind != "", "req": e.Req != nil, "destination": e.Destination != nil, "code": e.Code != ""}
	for _, field := range want {
		if !have[field] {
			return fmt.Errorf("%s without %s", e.What, field)
		}
	}
	return nil
}

var outcomes = map[string]policy.Outcome{
	"delivered": policy.Delivered, "app_error": policy.Errored, "shed": policy.Rejected,
	"expired": policy.TimedOut, "dial_failed": policy.ConnectFailed, "dropped": policy.ConnectionLost,
	"revoked": policy.Cancelled, "unused": policy.Unsent,
}

var listKinds = map[string]policy.ListUpdateKind{
	"update": policy.ListChanges, "replace": policy.ListSnapshot,
	"restored": policy.ListRestored, "unavailable": policy.ListUnavailable,
}

var states = map[string]policy.EndpointState{
	"on": policy.Listed, "fading": policy.Draining, "off": policy.Removed,
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Translate turns an event into the module's terms. sheet holds the list that the event refers to, columns
// names the values of a load report.
// A nil event without an error is one that the module has no use for.
func (e *Event) Translate(sheet []Entry, columns []string) (policy.Event, error) {
	switch e.What {
	case "KNOCK":
		ev := policy.Submitted{ID: *e.Req, Class: e.Category, Tenant: text(e.UserGroup),
			Destination: *e.Destination, TimeLeft: us(e.LeftUs)}
		if e.Item != nil {
			ev.Key = *e.Item
		}
		return ev, nil
	case "FINISHED":
		code, ok := outcomes[e.Code]
		if !ok {
			return nil, fmt.Errorf("FINISHED with unknown code %q", e.Code)
		}
		ev := policy.AttemptEnded{ID: *e.Req, Attempt: e.SeqNo, Endpoint: e.Endpoint, Outcome: code,
			Duration: us(e.LagUs), Final: e.Closed}
		if code == policy.Rejected {
			ev.RetryAfter = time.Duration(e.HoldMs) * time.Millisecond
		}
		ev.Report = e.report(columns)
		return ev, nil
	case "EXPIRED":
		return policy.Withdrawn{ID: *e.Req}, nil
	case "ALARM":
		return policy.TimerFired{}, nil
	case "DIRECTORY_UPDATE":
		return e.listNews(sheet)
	}
	return nil, nil
}

// report picks what is told of a limit; nil where that is not told.
func (e *Event) report(columns []string) *policy.LimitReport {
	var rep policy.LimitReport
	told := false
	for i, v := range e.Report {
		if i >= len(columns) || v == nil {
			continue
		}
		switch columns[i] {
		case "x0":
			rep.Remaining = *v
		case "x1":
			rep.Limit, told = *v, true
		}
	}
	if !told {
		return nil
	}
	return &rep
}

func (e *Event) listNews(sheet []Entry) (policy.Event, error) {
	kind, ok := listKinds[e.Kind]
	if !ok {
		return nil, fmt.Errorf("DIRECTORY_UPDATE with unknown kind %q", e.Kind)
	}
	ev := policy.EndpointListUpdate{Kind: kind}
	if kind == policy.ListUnavailable {
		return ev, nil
	}
	for _, s := range sheet {
		state, ok := states[s.Stage]
		if !ok {
			return nil, fmt.Errorf("endpoint %s has unknown stageState %q", s.Endpoint, s.Stage)
		}
		ev.Entries = append(ev.Entries, policy.Endpoint{Address: s.Endpoint, Destination: s.Dest,
			Kind: s.Shape, Zone: s.Zone, State: state, Rate: s.Scale})
	}
	return ev, nil
}

// text reads a JSON string; anything else (null, 0) is no text.
func text(raw json.RawMessage) string {
	var s string
	if len(raw) == 0 || raw[0] != '"' || json.Unmarshal(raw, &s) != nil {
		return ""
	}
	return s
}

// FromModule turns an action of the module into the wire's terms.
func FromModule(relay int, a policy.Action) Action {
	out := Action{Relay: relay}
	id := func(n uint32) *int64 { v := int64(n); return &v }
	switch a := a.(type) {
	case policy.Send:
		out.What, out.Req, out.Endpoint, out.AllowForUs = "TRY", id(a.ID), a.Endpoint, a.Timeout.Microseconds()
	case policy.Refuse:
		out.What, out.Req, out.CoolDownUs = "NOT_NOW", id(a.ID), a.RetryAfter.Microseconds()
	case policy.Fail:
		out.What, out.Req = "SURRENDER", id(a.ID)
	case policy.SetTimer:
		d := a.Delay.Microseconds()
		out.What, out.DelayUs, out.Cookie = "REMIND", &d, "w"
	case policy.Subscribe:
		out.What, out.On = "TRACK", true
	case policy.CloseIdle:
		out.What, out.Endpoint = "CLOSE_IDLE", a.Endpoint
	case policy.LogLine:
		out.What, out.NoteText = "TRACE", a.Text
	}
	return out
}
