// Package plugin is what authors of plug-ins write against in Go. A plug-in is a program of this form:
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
// built with GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -o form.wasm. Other languages target package abi.
//
// Handlers are called one at a time. What they keep in variables may be gone with the next call: there are several
// instances, and one that failed is thrown away. There is no clock that moves, no file, network or environment.
package plugin

import (
	"fmt"
	"strings"
	"time"

	"oatfold/plugin/abi"
)

// Message is a message on its way.
type Message struct {
	Class, Kind, ID, Key string
	Dest                 int
	Attempt              int // number of the route step, from 0 on; -1 at OnHandIn
	TimeLeft             time.Duration
	Notes                map[string]string // that OnHandIn of this or another plug-in left
	Setting              string            // the operator's text for this plug-in
	Body                 []byte
}

// HandIn is what OnHandIn says: nothing of it takes the message.
type HandIn struct {
	Refuse bool              // turned away for now: it may be handed in again
	Reject bool              // never to be taken
	Wait   time.Duration     // with Refuse: when to come again, if the relay tells that
	Reason string            // for the log; told to the client with Reject
	Notes  map[string]string // for the later hooks
}

// Shape is what ShapeRequest changes.
type Shape struct {
	Body    []byte   // nil: as it is
	Headers []string // NAME: VALUE
}

// Outcome is what an answer means.
type Outcome int

// The outcomes.
const (
	Delivered Outcome = abi.Delivered
	NeverRan  Outcome = abi.NeverRan
	MayHave   Outcome = abi.MayHave // it may have run
)

// Answer is what came back for a route step.
type Answer struct {
	Status  int
	Headers []string // NAME: VALUE
	Body    []byte
	Outcome Outcome       // without plug-ins
	Wait    time.Duration // that was told
}

// Reading is what ReadAnswer says: nothing of it leaves the answer as it is.
type Reading struct {
	Unsure bool          // it may have run, whatever the answer says; the only way an outcome can change
	Wait   time.Duration // a longer one than was told
	Reason string
}

// Handlers are the hooks of a plug-in; those that it does not have are nil. An error or a panic fails the call: the
// message then goes by the operator's rule, and the instance is thrown away.
type Handlers struct {
	OnHandIn     func(*Message) (HandIn, error)
	ShapeRequest func(*Message) (Shape, error)
	ReadAnswer   func(*Message, *Answer) (Reading, error)
}

var handlers Handlers

// Serve sets the hooks. It is called from an init function.
func Serve(h Handlers) { handlers = h }

// decodeInput takes an input apart.
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
		return nil // fields that are not known here are of a later host
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
		return nil, fmt.Errorf("this plug-in has no %s", h)
	}
	return out, nil
}
