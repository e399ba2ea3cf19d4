package plugin

import (
	"errors"
	"testing"
	"time"

	"oatfold/plugin/abi"
)

// Handlers receive all fields of the input, and their results are encoded as the ABI defines.
func TestHandlers(t *testing.T) {
	defer Serve(Handlers{})
	in := abi.Append(nil, abi.Class, "order-relay")
	in = abi.AppendNumber(in, abi.Dest, 7)
	in = abi.AppendNumber(in, abi.TimeLeft, 1500)
	in = abi.AppendNumber(in, abi.Attempt, 2)
	in = abi.Append(abi.Append(in, abi.Note, "account=12"), abi.Setting, "form=2")
	in = abi.Append(abi.Append(in, abi.Body, "body"), 99, "of a later host")
	in = abi.AppendNumber(abi.Append(in, abi.Header, "X-A: b"), abi.Status, 503)
	var gotMessage Message
	var gotAnswer Answer
	errHandler := errors.New("no")
	Serve(Handlers{
		ShapeRequest: func(m *Message) (Shape, error) {
			gotMessage = *m
			return Shape{Body: []byte{}, Headers: []string{"X-Form: 2"}}, nil
		},
		ReadAnswer: func(m *Message, a *Answer) (Reading, error) {
			gotAnswer = *a
			return Reading{Unsure: true, Wait: time.Second}, nil
		},
		OnHandIn: func(m *Message) (HandIn, error) { return HandIn{}, errHandler },
	})
	out, err := runHook(abi.ShapeRequest, in)
	if want := abi.Append(abi.Append(nil, abi.Body, ""), abi.Header, "X-Form: 2"); err != nil ||
		string(out) != string(want) {
		t.Errorf("%q, %v", out, err)
	}
	if gotMessage.Class != "order-relay" || gotMessage.Dest != 7 || gotMessage.TimeLeft != 1500*time.Millisecond ||
		gotMessage.Attempt != 2 || gotMessage.Notes["account"] != "12" ||
		gotMessage.Setting != "form=2" || string(gotMessage.Body) != "body" {
		t.Errorf("%+v", gotMessage)
	}
	out, err = runHook(abi.ReadAnswer, in)
	if want := abi.AppendNumber(abi.AppendNumber(nil, abi.Outcome, abi.MayHave), abi.WaitMs, 1000); err != nil ||
		string(out) != string(want) {
		t.Errorf("%q, %v", out, err)
	}
	if gotAnswer.Status != 503 || len(gotAnswer.Headers) != 1 {
		t.Errorf("%+v", gotAnswer)
	}
	if _, err := runHook(abi.OnHandIn, in); !errors.Is(err, errHandler) {
		t.Errorf("a handler that fails: %v", err)
	}
	if _, err := runHook(abi.ShapeRequest, in[:len(in)-3]); err == nil {
		t.Error("a truncated input was accepted")
	}
	Serve(Handlers{})
	if _, err := runHook(abi.ShapeRequest, in); err == nil {
		t.Error("a missing hook answered")
	}
}
