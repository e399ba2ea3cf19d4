// Package sim runs the policy engines of simulated relays over the simulator's JSON protocol.
package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"oatfold/policy"
)

// Batch is one line of input.
type Batch struct {
	TimeUs *int64  `json:"tUs"`
	Events []Event `json:"news"`
}

// Event is one event of any type. Absent fields are zero.
type Event struct {
	Type         string          `json:"what"`
	Relay        *int            `json:"relay"`
	Seed         int64           `json:"randomSeed"`
	Info         json.RawMessage `json:"info"`
	List         *int            `json:"sheet"`
	Members      []Entry         `json:"membersList"`
	Kind         string          `json:"kind"`
	MessageID    *uint32         `json:"req"`
	Class        string          `json:"category"`
	Tenant       json.RawMessage `json:"userGroup"`
	Key          *string         `json:"item"`
	LeftUs       int64           `json:"leftUs"`
	Destination  *int            `json:"destination"`
	Attempt      int             `json:"seqNo"`
	Endpoint     string          `json:"endpoint"`
	Outcome      string          `json:"code"`
	TookUs       int64           `json:"lagUs"`
	Final        bool            `json:"closed"`
	RetryAfterMs int64           `json:"holdMs"`
	LoadReport   []*float64      `json:"report"`
}

// Entry is one entry of a numbered endpoint list.
type Entry struct {
	Kind        string  `json:"shape"`
	Destination int     `json:"dest"`
	State       string  `json:"stageState"`
	Endpoint    string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Rate        float64 `json:"scale"`
}

// Action is one action of a reply.
type Action struct {
	Type         string `json:"what"`
	Relay        int    `json:"relay"`
	MessageID    *int64 `json:"req,omitempty"`
	Endpoint     string `json:"endpoint,omitempty"`
	TimeoutUs    int64  `json:"allowForUs,omitempty"`
	RetryAfterUs int64  `json:"coolDownUs,omitempty"`
	DelayUs      *int64 `json:"delayUs,omitempty"`
	Cookie       string `json:"cookie,omitempty"`
	On           bool   `json:"on,omitempty"`
	Text         string `json:"noteText,omitempty"`
}

// Reply is one line of output.
type Reply struct {
	Actions []Action `json:"actions"`
}

// ParseBatch parses and validates one line of input.
func ParseBatch(line []byte) (Batch, error) {
	var batch Batch
	if err := json.Unmarshal(line, &batch); err != nil {
		return batch, fmt.Errorf("malformed batch: %w", err)
	}
	if batch.TimeUs == nil {
		return batch, fmt.Errorf("malformed batch: no tUs")
	}
	for i := range batch.Events {
		if err := batch.Events[i].validate(); err != nil {
			return batch, fmt.Errorf("event %d: %w", i+1, err)
		}
	}
	return batch, nil
}

// requiredFields lists the mandatory fields of each type of event.
var requiredFields = map[string][]string{
	"BOOT": {"relay", "info"}, "KILL": {"relay"}, "REGISTER": {"sheet"},
	"DIRECTORY_UPDATE": {"relay", "kind"}, "KNOCK": {"relay", "req", "destination"},
	"FINISHED": {"relay", "req", "code"}, "EXPIRED": {"relay", "req"}, "ALARM": {"relay"},
	"UNDER_WAY": {"relay"}, "HEALTH": {"relay"}, "MEMO": {"relay"},
}

// validate checks that the type is known and has its mandatory fields.
func (e *Event) validate() error {
	required, known := requiredFields[e.Type]
	if !known {
		return fmt.Errorf("unknown event %q", e.Type)
	}
	present := map[string]bool{"relay": e.Relay != nil, "info": len(e.Info) > 0, "sheet": e.List != nil,
		"kind": e.Kind != "", "req": e.MessageID != nil, "destination": e.Destination != nil, "code": e.Outcome != ""}
	for _, field := range required {
		if !present[field] {
			return fmt.Errorf("%s without %s", e.Type, field)
		}
	}
	return nil
}

// outcomes maps the codes of FINISHED events.
var outcomes = map[string]policy.Outcome{
	"delivered": policy.Delivered, "app_error": policy.Errored, "shed": policy.Rejected,
	"expired": policy.TimedOut, "dial_failed": policy.ConnectFailed, "dropped": policy.ConnectionLost,
	"revoked": policy.Cancelled, "unused": policy.Unsent,
}

// listKinds maps the kinds of DIRECTORY_UPDATE events.
var listKinds = map[string]policy.ListUpdateKind{
	"update": policy.ListChanges, "replace": policy.ListSnapshot,
	"restored": policy.ListRestored, "unavailable": policy.ListUnavailable,
}

// endpointStates maps the stageState of list entries.
var endpointStates = map[string]policy.EndpointState{
	"on": policy.Listed, "fading": policy.Draining, "off": policy.Removed,
}

// microseconds returns n microseconds.
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Translate converts an event for the policy engine. list is the endpoint list that the event
// refers to, columns names the values of a load report. It returns nil without an error for events
// that the policy engine does not use.
func (e *Event) Translate(list []Entry, columns []string) (policy.Event, error) {
	switch e.Type {
	case "KNOCK":
		ev := policy.Submitted{ID: *e.MessageID, Class: e.Class, Tenant: stringOrEmpty(e.Tenant),
			Destination: *e.Destination, TimeLeft: microseconds(e.LeftUs)}
		if e.Key != nil {
			ev.Key = *e.Key
		}
		return ev, nil
	case "FINISHED":
		code, ok := outcomes[e.Outcome]
		if !ok {
			return nil, fmt.Errorf("FINISHED with unknown code %q", e.Outcome)
		}
		ev := policy.AttemptEnded{ID: *e.MessageID, Attempt: e.Attempt, Endpoint: e.Endpoint, Outcome: code,
			Duration: microseconds(e.TookUs), Final: e.Final}
		if code == policy.Rejected {
			ev.RetryAfter = time.Duration(e.RetryAfterMs) * time.Millisecond
		}
		ev.Report = e.loadReport(columns)
		return ev, nil
	case "EXPIRED":
		return policy.Withdrawn{ID: *e.MessageID}, nil
	case "ALARM":
		return policy.TimerFired{}, nil
	case "DIRECTORY_UPDATE":
		return e.endpointListUpdate(list)
	}
	return nil, nil
}

// loadReport returns the limit in a load report; nil if it states none.
func (e *Event) loadReport(columns []string) *policy.LimitReport {
	var report policy.LimitReport
	hasLimit := false
	for i, v := range e.LoadReport {
		if i >= len(columns) || v == nil {
			continue
		}
		switch columns[i] {
		case "x0":
			report.Remaining = *v
		case "x1":
			report.Limit, hasLimit = *v, true
		}
	}
	if !hasLimit {
		return nil
	}
	return &report
}

// endpointListUpdate converts a DIRECTORY_UPDATE event with its list.
func (e *Event) endpointListUpdate(list []Entry) (policy.Event, error) {
	kind, ok := listKinds[e.Kind]
	if !ok {
		return nil, fmt.Errorf("DIRECTORY_UPDATE with unknown kind %q", e.Kind)
	}
	ev := policy.EndpointListUpdate{Kind: kind}
	if kind == policy.ListUnavailable {
		return ev, nil
	}
	for _, entry := range list {
		state, ok := endpointStates[entry.State]
		if !ok {
			return nil, fmt.Errorf("endpoint %s has unknown stageState %q", entry.Endpoint, entry.State)
		}
		ev.Entries = append(ev.Entries, policy.Endpoint{Address: entry.Endpoint, Destination: entry.Destination,
			Kind: entry.Kind, Zone: entry.Zone, State: state, Rate: entry.Rate})
	}
	return ev, nil
}

// stringOrEmpty decodes a JSON string; any other value (null, 0) becomes empty.
func stringOrEmpty(raw json.RawMessage) string {
	var s string
	if len(raw) == 0 || raw[0] != '"' || json.Unmarshal(raw, &s) != nil {
		return ""
	}
	return s
}

// ActionFromPolicy converts an action of the policy engine to the protocol.
func ActionFromPolicy(relay int, a policy.Action) Action {
	action := Action{Relay: relay}
	messageID := func(n uint32) *int64 { v := int64(n); return &v }
	switch a := a.(type) {
	case policy.Send:
		action.Type, action.MessageID, action.Endpoint, action.TimeoutUs = "TRY", messageID(a.ID), a.Endpoint,
			a.Timeout.Microseconds()
	case policy.Refuse:
		action.Type, action.MessageID, action.RetryAfterUs = "NOT_NOW", messageID(a.ID), a.RetryAfter.Microseconds()
	case policy.Fail:
		action.Type, action.MessageID = "SURRENDER", messageID(a.ID)
	case policy.SetTimer:
		d := a.Delay.Microseconds()
		action.Type, action.DelayUs, action.Cookie = "REMIND", &d, "w"
	case policy.Subscribe:
		action.Type, action.On = "TRACK", true
	case policy.CloseIdle:
		action.Type, action.Endpoint = "CLOSE_IDLE", a.Endpoint
	case policy.LogLine:
		action.Type, action.Text = "TRACE", a.Text
	}
	return action
}
