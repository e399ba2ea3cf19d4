package plugin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"oatfold/internal/plugin/limits"
	"oatfold/plugin/abi"
)

// Set is the plug-ins of one configuration, asked in its order. Whoever asks holds it by Holder.Use.
type Set struct {
	plugins []*Plugin
	log     *slog.Logger
	refs    atomic.Int64 // one of the holder, and one of each user
}

// LoadSet loads plug-ins. Those that fail are part of the set, and fail each message; the error names them.
func LoadSet(ctx context.Context, specs []Spec, log *slog.Logger) (*Set, error) {
	s := &Set{log: log}
	s.refs.Store(1)
	var errs error
	for _, spec := range specs {
		p, err := Load(ctx, spec, log)
		if err != nil {
			errs = errors.Join(errs, fmt.Errorf("plug-in %s: %w", spec.Name, err))
		}
		s.plugins = append(s.plugins, p)
	}
	return s, errs
}

// Plugins returns the plug-ins of the set in order.
func (s *Set) Plugins() []*Plugin { return s.plugins }

// Release lets the set go; the last one out closes it.
func (s *Set) Release() {
	if s != nil && s.refs.Add(-1) == 0 {
		for _, p := range s.plugins {
			p.Close()
		}
	}
}

// Holder has the set in force.
type Holder struct{ set atomic.Pointer[Set] }

// Acquire returns the set in force, nil if there is none. It stays whole until Done, also where another one comes into force.
func (h *Holder) Acquire() *Set {
	for h != nil {
		s := h.set.Load()
		if s == nil {
			return nil
		}
		for n := s.refs.Load(); n > 0; n = s.refs.Load() {
			if s.refs.CompareAndSwap(n, n+1) {
				return s
			}
		}
		// It was replaced and closed between the two loads.
	}
	return nil
}

// Replace brings a set into force; nil is none. The one before goes once its last user has let it go.
func (h *Holder) Replace(s *Set) { h.set.Swap(s).Release() }

// Message is what plug-ins are told of a message.
type Message struct {
	Class, Kind, ID, Key string
	Dest, Attempt        int // Attempt: -1 with HandIn
	TimeLeft             time.Duration
	Notes                []byte // fields, as earlier hooks left them
	Body                 []byte
}

func (p *Plugin) matches(h abi.Hook, m *Message) bool {
	return slices.Contains(p.Hooks, h) && (len(p.Classes) == 0 || slices.Contains(p.Classes, m.Class)) &&
		(len(p.Dests) == 0 || slices.Contains(p.Dests, m.Dest)) && (len(p.Kinds) == 0 || slices.Contains(p.Kinds, m.Kind))
}

// encodeMessage writes the fields of a message, with room for more of that size.
func (p *Plugin) encodeMessage(m *Message, body []byte, extra int) []byte {
	b := make([]byte, 0, 160+len(m.Class)+len(m.Kind)+len(m.ID)+len(m.Key)+len(m.Notes)+len(p.Setting)+len(body)+extra)
	b = abi.Append(b, abi.Class, m.Class)
	b = abi.AppendNumber(b, abi.Dest, int64(m.Dest))
	b = abi.Append(b, abi.ID, m.ID)
	b = abi.AppendNumber(b, abi.TimeLeft, m.TimeLeft.Milliseconds())
	if m.Kind != "" {
		b = abi.Append(b, abi.Kind, m.Kind)
	}
	if m.Key != "" {
		b = abi.Append(b, abi.Key, m.Key)
	}
	if m.Attempt >= 0 {
		b = abi.AppendNumber(b, abi.Attempt, int64(m.Attempt))
	}
	if p.Setting != "" {
		b = abi.Append(b, abi.Setting, p.Setting)
	}
	return abi.Append(append(b, m.Notes...), abi.Body, body)
}

// encodeAnswer writes the fields of a message and of the answer to its route step.
func (p *Plugin) encodeAnswer(m *Message, a Answer) []byte {
	b := p.encodeMessage(m, a.Body, 256)
	b = abi.AppendNumber(abi.AppendNumber(b, abi.Status, int64(a.Status)), abi.Outcome, int64(a.Outcome))
	b = abi.AppendNumber(b, abi.WaitMs, a.Wait.Milliseconds())
	for _, h := range a.Headers {
		b = abi.Append(b, abi.Header, h[0]+": "+h[1])
	}
	return b
}

// CallError says that a plug-in failed a message, and what the operator wants then.
type CallError struct {
	Plugin string
	Action limits.FailureAction
	Err    error
}

func (e *CallError) Error() string { return fmt.Sprintf("plug-in %s: %v", e.Plugin, e.Err) }

func (e *CallError) Unwrap() error { return e.Err }

// handleFailure logs a failure; nil where the message goes on all the same.
func (s *Set) handleFailure(p *Plugin, h abi.Hook, m *Message, err error) *CallError {
	action := p.FailureAction(m.Class)
	level := slog.LevelWarn
	if errors.Is(err, ErrDisabled) || errors.Is(err, ErrNotLoaded) {
		level = slog.LevelDebug // that was said when it was taken out, or not loaded
	}
	s.log.Log(context.Background(), level, "plug-in failed", "plugin", p.Name, "hook", h.String(), "message", m.ID, "class", m.Class, "then", action.String(), "err", err)
	if action == limits.Pass {
		return nil
	}
	return &CallError{p.Name, action, err}
}

// HandInDecision is what plug-ins say to a message that comes in.
type HandInDecision struct {
	Verdict int
	Wait    time.Duration // Refuse: until it may come again; 0: as the settings say
	Reason  string
	Notes   []byte
}

// OnHandIn asks about a message that comes in.
func (s *Set) OnHandIn(m *Message) HandInDecision {
	a := HandInDecision{Verdict: abi.Take}
	for _, p := range s.plugins {
		if !p.matches(abi.OnHandIn, m) {
			continue
		}
		out, err := p.Call(abi.OnHandIn, p.encodeMessage(m, m.Body, 0))
		if err != nil {
			if f := s.handleFailure(p, abi.OnHandIn, m, err); f != nil {
				return HandInDecision{Verdict: map[limits.FailureAction]int{limits.Refuse: abi.Refuse, limits.Fail: abi.Reject}[f.Action], Reason: "plug-in " + p.Name + " failed"}
			}
			continue
		}
		if out.Verdict != abi.Take {
			return HandInDecision{Verdict: out.Verdict, Wait: out.Wait, Reason: out.Reason}
		}
		if m.Notes = append(m.Notes, out.Notes...); len(m.Notes) > MaxNotesBytes {
			return HandInDecision{Verdict: abi.Reject, Reason: fmt.Sprintf("notes of more than %d bytes", MaxNotesBytes)}
		}
	}
	a.Notes = m.Notes
	return a
}

// MaxNotesBytes bounds the notes of a message, in bytes.
const MaxNotesBytes = 2 << 10

// ShapeRequest asks for the body and the headers of a route step.
func (s *Set) ShapeRequest(m *Message) (body []byte, headers [][2]string, failed *CallError) {
	body = m.Body
	for _, p := range s.plugins {
		if !p.matches(abi.ShapeRequest, m) {
			continue
		}
		out, err := p.Call(abi.ShapeRequest, p.encodeMessage(m, body, 0))
		if err != nil {
			if f := s.handleFailure(p, abi.ShapeRequest, m, err); f != nil {
				return nil, nil, f
			}
			continue
		}
		if out.Body != nil {
			body = out.Body
		}
		headers = append(headers, out.Headers...)
	}
	return body, headers, nil
}

// Answer is what came back for a route step.
type Answer struct {
	Status  int
	Headers [][2]string
	Body    []byte
	Outcome int // of abi
	Wait    time.Duration
}

// ReadAnswer asks what an answer means. A plug-in that fails changes nothing, whatever the operator's rule says of it: what has
// run has run.
func (s *Set) ReadAnswer(m *Message, a Answer) (outcome int, wait time.Duration) {
	for _, p := range s.plugins {
		if !p.matches(abi.ReadAnswer, m) {
			continue
		}
		out, err := p.Call(abi.ReadAnswer, p.encodeAnswer(m, a))
		if err != nil {
			s.handleFailure(p, abi.ReadAnswer, m, err)
			continue
		}
		before := a.Outcome
		a.Outcome, a.Wait = limits.MergeOutcome(a.Outcome, out.Outcome), limits.MergeWait(a.Wait, out.Wait)
		if a.Outcome != before {
			s.log.Info("plug-in read an answer otherwise", "plugin", p.Name, "message", m.ID, "status", a.Status, "reason", out.Reason)
		}
	}
	return a.Outcome, a.Wait
}

// HasHook tells whether any plug-in has that hook.
func (s *Set) HasHook(h abi.Hook) bool {
	return slices.ContainsFunc(s.plugins, func(p *Plugin) bool { return slices.Contains(p.Hooks, h) })
}
