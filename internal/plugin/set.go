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

// Set is the plug-ins of one configuration, called in its order. It is reference-counted: see
// Holder.Acquire.
type Set struct {
	plugins []*Plugin
	log     *slog.Logger
	refs    atomic.Int64 // one of the holder and one of each user
}

// LoadSet loads plug-ins. Those that can't be loaded are part of the set and fail all their calls;
// the error names them.
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

// Release drops a reference. The last one closes the plug-ins.
func (s *Set) Release() {
	if s != nil && s.refs.Add(-1) == 0 {
		for _, p := range s.plugins {
			p.Close()
		}
	}
}

// Holder holds the current set. Its methods are safe for concurrent use.
type Holder struct{ set atomic.Pointer[Set] }

// Acquire returns the current set, or nil if there is none. The set stays usable until Release,
// even if it is replaced.
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
		// The set was replaced and closed between the two loads.
	}
	return nil
}

// Replace makes s the current set; nil stands for none. The previous set is closed when its last
// user releases it.
func (h *Holder) Replace(s *Set) { h.set.Swap(s).Release() }

// Message is the part of a message that plug-ins receive.
type Message struct {
	Class, Kind, ID, Key string
	Dest, Attempt        int // Attempt: number of the attempt, from 0; -1 in on_handin
	TimeLeft             time.Duration
	Notes                []byte // encoded fields, set by earlier hooks
	Body                 []byte
}

// matches reports whether the plug-in is to be called at the hook for m.
func (p *Plugin) matches(h abi.Hook, m *Message) bool {
	return slices.Contains(p.Hooks, h) && (len(p.Classes) == 0 || slices.Contains(p.Classes, m.Class)) &&
		(len(p.Dests) == 0 || slices.Contains(p.Dests, m.Dest)) &&
		(len(p.Kinds) == 0 || slices.Contains(p.Kinds, m.Kind))
}

// encodeMessage returns the fields of m with this body, with capacity for extra more bytes.
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

// encodeAnswer returns the fields of a message and of the answer to its attempt.
func (p *Plugin) encodeAnswer(m *Message, a Answer) []byte {
	b := p.encodeMessage(m, a.Body, 256)
	b = abi.AppendNumber(abi.AppendNumber(b, abi.Status, int64(a.Status)), abi.Outcome, int64(a.Outcome))
	b = abi.AppendNumber(b, abi.WaitMs, a.Wait.Milliseconds())
	for _, h := range a.Headers {
		b = abi.Append(b, abi.Header, h[0]+": "+h[1])
	}
	return b
}

// CallError is a failed call and the action that the operator has configured for it.
type CallError struct {
	Plugin string
	Action limits.FailureAction
	Err    error
}

// Error names the plug-in and the cause.
func (e *CallError) Error() string { return fmt.Sprintf("plug-in %s: %v", e.Plugin, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// handleFailure logs a failed call. It returns nil if the message is to be processed without the
// plug-in.
func (s *Set) handleFailure(p *Plugin, h abi.Hook, m *Message, err error) *CallError {
	action := p.FailureAction(m.Class)
	level := slog.LevelWarn
	if errors.Is(err, ErrDisabled) || errors.Is(err, ErrNotLoaded) {
		level = slog.LevelDebug // already logged when the plug-in was disabled or not loaded
	}
	s.log.Log(context.Background(), level, "plug-in call failed", "plugin", p.Name, "hook", h.String(), "message",
		m.ID, "class", m.Class, "then", action.String(), "err", err)
	if action == limits.Pass {
		return nil
	}
	return &CallError{p.Name, action, err}
}

// HandInDecision is the decision of the plug-ins about a submitted message.
type HandInDecision struct {
	Verdict int           // one of package abi
	Wait    time.Duration // with abi.Refuse: Retry-After; 0: by the settings
	Reason  string        // of a rejection
	Notes   []byte        // encoded fields for the later hooks
}

// OnHandIn calls the on_handin hooks for a submitted message. The first rejection is final.
func (s *Set) OnHandIn(m *Message) HandInDecision {
	decision := HandInDecision{Verdict: abi.Take}
	for _, p := range s.plugins {
		if !p.matches(abi.OnHandIn, m) {
			continue
		}
		out, err := p.Call(abi.OnHandIn, p.encodeMessage(m, m.Body, 0))
		if err != nil {
			if f := s.handleFailure(p, abi.OnHandIn, m, err); f != nil {
				return HandInDecision{
					Verdict: map[limits.FailureAction]int{limits.Refuse: abi.Refuse, limits.Fail: abi.Reject}[f.Action],
					Reason:  "plug-in " + p.Name + " failed"}
			}
			continue
		}
		if out.Verdict != abi.Take {
			return HandInDecision{Verdict: out.Verdict, Wait: out.Wait, Reason: out.Reason}
		}
		if m.Notes = append(m.Notes, out.Notes...); len(m.Notes) > MaxNotesBytes {
			return HandInDecision{Verdict: abi.Reject,
				Reason: fmt.Sprintf("notes of more than %d bytes", MaxNotesBytes)}
		}
	}
	decision.Notes = m.Notes
	return decision
}

// MaxNotesBytes bounds the encoded notes of a message.
const MaxNotesBytes = 2 << 10

// ShapeRequest calls the shape_request hooks for an attempt and returns its body and additional
// headers.
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

// Answer is the destination's answer to an attempt.
type Answer struct {
	Status  int
	Headers [][2]string // name and value
	Body    []byte
	Outcome int           // one of package abi
	Wait    time.Duration // Retry-After
}

// ReadAnswer calls the read_answer hooks and returns the resulting outcome and Retry-After. A
// failed call changes nothing, whatever the operator's rule: the message has already been sent.
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
			s.log.Info("plug-in changed the outcome of an answer", "plugin", p.Name, "message", m.ID, "status",
				a.Status, "reason", out.Reason)
		}
	}
	return a.Outcome, a.Wait
}

// HasHook reports whether any plug-in is configured for the hook.
func (s *Set) HasHook(h abi.Hook) bool {
	return slices.ContainsFunc(s.plugins, func(p *Plugin) bool { return slices.Contains(p.Hooks, h) })
}
