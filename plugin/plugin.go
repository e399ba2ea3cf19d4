// Package plugin is the Go SDK for plug-ins. A plug-in is a program of this form:
//
//	package main
//
//	import "oatfold/plugin"
//
//	func init() {
//		plugin.Serve(plugin.Handlers{ShapeRequest: func(m *plugin.Message) (plugin.Shape, error) {
//			return plugin.Shape{Headers: []string{"X-Form: 2"}}, nil
//		}})
//	}
//
//	func main() {}
//
// It is built with GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -o form.wasm. Other languages implement the
// ABI of package abi.
//
// An instance makes one call at a time. Handlers must not rely on variables that an earlier call set: a plug-in has
// several instances, and one that failed is discarded. Clocks stand still, and there are no files, network or
// environment variables.
package plugin

import (
	"fmt"
	"strings"
	"time"

	"oatfold/plugin/abi"
)

// Message is the message for which a hook is called.
type Message struct {
	// Kind is the type of the destination, ID the correlation id, Key the idempotency key.
	Class, Kind, ID, Key string
	Dest                 int               // number of the destination
	Attempt              int               // number of the attempt, from 0; -1 in OnHandIn
	TimeLeft             time.Duration     // until the deadline
	Notes                map[string]string // set by OnHandIn of this or another plug-in
	Setting              string            // the operator's text for this plug-in
	Body                 []byte
}

// HandIn is the decision of OnHandIn. The zero value accepts the message.
type HandIn struct {
	Refuse bool              // reject for now: the client may retry
	Reject bool              // reject for good
	Wait   time.Duration     // with Refuse: Retry-After, if the relay sends it
	Reason string            // for the log; with Reject also sent to the client
	Notes  map[string]string // passed to the later hooks
}

// Shape is what ShapeRequest changes in the request to the destination.
type Shape struct {
	Body    []byte   // replaces the body; nil: no change
	Headers []string // added, each as NAME: VALUE
}

// Outcome says whether the message took effect at the destination.
type Outcome int

// The outcomes.
const (
	Delivered Outcome = abi.Delivered
	NeverRan  Outcome = abi.NeverRan
	MayHave   Outcome = abi.MayHave // it may have run
)

// Answer is the destination's answer to an attempt.
type Answer struct {
	Status  int
	Headers []string // each as NAME: VALUE
	Body    []byte
	Outcome Outcome       // as the relay reads the answer
	Wait    time.Duration // Retry-After
}

// Reading is how ReadAnswer interprets an answer. The zero value changes nothing.
type Reading struct {
	Unsure bool          // the message may have run, whatever the answer says: the only change of an outcome
	Wait   time.Duration // replaces a shorter Retry-After
	Reason string        // for the log
}

// Handlers are the hooks of a plug-in; nil for those it does not have. An error or a panic fails the call: the
// operator's rule then decides about the message, and the instance is discarded.
type Handlers struct {
	OnHandIn     func(*Message) (HandIn, error)
	ShapeRequest func(*Message) (Shape, error)
	ReadAnswer   func(*Message, *Answer) (Reading, error)
}

// handlers are the hooks of this plug-in.
var handlers Handlers

// Serve sets the hooks. Call it from an init function.
func Serve(h Handlers) { handlers = h }

// decodeInput decodes the input of a hook. The answer is empty except for ReadAnswer.
func decodeInput(input []byte) (*Message, *Answer, error) {
	message, answer := &Message{Attempt: -1, Notes: map[string]string{}}, &Answer{}
	err := abi.Each(input, func(f abi.Field, v []byte) error {
		number := int64(0)
		switch f {
		case abi.Dest, abi.Attempt, abi.TimeLeft, abi.Status, abi.Outcome, abi.WaitMs:
			var err error
			if number, err = abi.Number(v); err != nil {
				return err
			}
		}
		switch f {
		case abi.Class:
			message.Class = string(v)
		case abi.Kind:
			message.Kind = string(v)
		case abi.ID:
			message.ID = string(v)
		case abi.Key:
			message.Key = string(v)
		case abi.Dest:
			message.Dest = int(number)
		case abi.Attempt:
			message.Attempt = int(number)
		case abi.TimeLeft:
			message.TimeLeft = time.Duration(number) * time.Millisecond
		case abi.Note:
			name, value, _ := strings.Cut(string(v), "=")
			message.Notes[name] = value
		case abi.Setting:
			message.Setting = string(v)
		case abi.Body:
			message.Body, answer.Body = v, v
		case abi.Header:
			answer.Headers = append(answer.Headers, string(v))
		case abi.Status:
			answer.Status = int(number)
		case abi.Outcome:
			answer.Outcome = Outcome(number)
		case abi.WaitMs:
			answer.Wait = time.Duration(number) * time.Millisecond
		}
		return nil // unknown fields come from a newer host
	})
	return message, answer, err
}

// runHook runs a hook on its input and returns its output.
func runHook(h abi.Hook, input []byte) ([]byte, error) {
	m, a, err := decodeInput(input)
	if err != nil {
		return nil, err
	}
	var out []byte
	switch {
	case h == abi.OnHandIn && handlers.OnHandIn != nil:
		v, err := handlers.OnHandIn(m)
		if err != nil {
			return nil, err
		}
		switch {
		case v.Reject:
			out = abi.AppendNumber(out, abi.Verdict, abi.Reject)
		case v.Refuse:
			out = abi.AppendNumber(abi.AppendNumber(out, abi.Verdict, abi.Refuse), abi.WaitMs, v.Wait.Milliseconds())
		}
		for name, value := range v.Notes {
			out = abi.Append(out, abi.Note, name+"="+value)
		}
		if v.Reason != "" {
			out = abi.Append(out, abi.Reason, v.Reason)
		}
	case h == abi.ShapeRequest && handlers.ShapeRequest != nil:
		v, err := handlers.ShapeRequest(m)
		if err != nil {
			return nil, err
		}
		if v.Body != nil {
			out = abi.Append(out, abi.Body, v.Body)
		}
		for _, line := range v.Headers {
			out = abi.Append(out, abi.Header, line)
		}
	case h == abi.ReadAnswer && handlers.ReadAnswer != nil:
		v, err := handlers.ReadAnswer(m, a)
		if err != nil {
			return nil, err
		}
		if v.Unsure {
			out = abi.AppendNumber(out, abi.Outcome, abi.MayHave)
		}
		if v.Wait > 0 {
			out = abi.AppendNumber(out, abi.WaitMs, v.Wait.Milliseconds())
		}
		if v.Reason != "" {
			out = abi.Append(out, abi.Reason, v.Reason)
		}
	default:
		return nil, fmt.Errorf("this plug-in has no hook %s", h)
	}
	return out, nil
}
