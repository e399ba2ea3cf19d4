package sim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"oatfold/internal/daemon/config"
	"oatfold/policy"
)

const bootInfo = `{"fleetSize":2,"discovery":"ask","tickUs":5000,"unknown":[1],"familyInfo":{"batchByKind":[1],` +
	`"callSlots":4,"decay":"linear","feeByZone":[0],"separateRoutes":[false]},"grades":[{"name":"c","effect":"safe",` +
	`"promiseUs":2000000,"deadlineUs":9000000,"credit":1,"lateValue":0.4}],"guarantees":{"askWithinUs":8000000,` +
	`"coldFrom":0.2,"coldUs":8000000,"overloadFactor":2,"fallUs":2000000},"kinds":["k"],"policyLimits":` +
	`{"maxAttempts":6,"maxOpen":40,"retryAfter":true,"maxRetryAfterUs":2000000},"tenants":[],` +
	`"weightSource":"nominal","zones":["z"]}`

func register(sheet, dest int, ep string) string {
	return fmt.Sprintf(`{"what":"REGISTER","sheet":%d,"membersList":[{"shape":"k","dest":%d,"startTimeUs":null,`+
		`"stageState":"on","endpoint":%q,"az":"z","scale":9}]}`, sheet, dest, ep)
}

func boot(relay int) string {
	return fmt.Sprintf(`{"what":"BOOT","relay":%d,"randomSeed":%d,"info":%s}`, relay, relay+5, bootInfo)
}

func listed(relay, sheet int) string {
	return fmt.Sprintf(`{"what":"DIRECTORY_UPDATE","relay":%d,"kind":"restored","revision":1,"sheet":%d}`, relay, sheet)
}

func knock(relay, req, dest int) string {
	return fmt.Sprintf(`{"what":"KNOCK","relay":%d,"req":%d,"category":"c","userGroup":null,"item":null,`+
		`"leftUs":9000000,"predictedUs":null,"destination":%d,"flags":0,"novel":{"x":1}}`, relay, req, dest)
}

func line(at int, events ...string) string {
	return fmt.Sprintf(`{"tUs":%d,"news":[%s]}`, at, strings.Join(events, ",")) + "\n"
}

func serve(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := NewHost().Serve(strings.NewReader(in), &out)
	return out.String(), err
}

// Each line of input is answered with one line of actions.
func TestServe(t *testing.T) {
	out, err := serve(t, line(0)+line(5000, register(0, 1, "a:1"), boot(0), listed(0, 0), knock(0, 9, 1)))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out, "\n")
	if lines[0] != `{"actions":[]}` {
		t.Errorf("empty batch answered with %s", lines[0])
	}
	for _, want := range []string{`"what":"TRACK","relay":0`, `"on":true`,
		`"what":"TRY","relay":0,"req":9,"endpoint":"a:1"`} {
		if !strings.Contains(lines[1], want) {
			t.Errorf("no %s in %s", want, lines[1])
		}
	}
}

// An event refers to the list that its number holds at that point of the batch.
func TestReusedListNumber(t *testing.T) {
	out, err := serve(t, line(0, boot(0), boot(1), register(0, 1, "a:1"), listed(0, 0), register(0, 1, "b:1"),
		listed(1, 0), knock(0, 1, 1), knock(1, 2, 1)))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"relay":0,"req":1,"endpoint":"a:1"`, `"relay":1,"req":2,"endpoint":"b:1"`} {
		if !strings.Contains(out, want) {
			t.Errorf("no %s in %s", want, out)
		}
	}
}

// A relay that is killed and booted in one batch has no earlier state.
func TestKillAndBoot(t *testing.T) {
	out, err := serve(t, line(0, register(0, 1, "a:1"), boot(0), listed(0, 0))+
		line(5000, knock(0, 7, 1), `{"what":"KILL","relay":0}`, boot(0), listed(0, 0), knock(0, 8, 1))+
		line(10000, `{"what":"KILL","relay":0}`, knock(0, 9, 1)))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out, "\n")
	if strings.Contains(lines[1], `"req":7`) || !strings.Contains(lines[1], `"req":8`) {
		t.Errorf("after kill and boot: %s", lines[1])
	}
	if lines[2] != `{"actions":[]}` {
		t.Errorf("a dead relay acted: %s", lines[2])
	}
}

// A relay acts the same whether or not it shares its process.
func TestSharedProcess(t *testing.T) {
	script := func(relays ...int) string {
		var in string
		for at := range 400 {
			var events []string
			for _, id := range relays {
				if at == 0 {
					events = append(events, boot(id), register(0, 1, "a:1"), listed(id, 0))
				}
				if at%3 == id {
					events = append(events, knock(id, 10*at+id, 1))
				} else {
					events = append(events, fmt.Sprintf(`{"what":"ALARM","relay":%d,"cookie":"w"}`, id))
				}
			}
			in += line(at*5000, events...)
		}
		return in
	}
	only := func(out string, id int) []string {
		var got []string
		for _, l := range strings.Split(strings.TrimSpace(out), "\n") {
			var r Reply
			if err := json.Unmarshal([]byte(l), &r); err != nil {
				t.Fatal(err)
			}
			for _, a := range r.Actions {
				if a.Relay == id {
					b, _ := json.Marshal(a)
					got = append(got, string(b))
				}
			}
		}
		return got
	}
	both, err := serve(t, script(0, 1))
	if err != nil {
		t.Fatal(err)
	}
	for id := range 2 {
		alone, err := serve(t, script(id))
		if err != nil {
			t.Fatal(err)
		}
		if a, b := only(alone, id), only(both, id); len(a) < 100 || !reflect.DeepEqual(a, b) {
			t.Errorf("relay %d: %d actions alone, %d together, or they differ", id, len(a), len(b))
		}
	}
}

// The error for malformed input names the line and what is wrong with it.
func TestMalformed(t *testing.T) {
	for in, message := range map[string]string{
		"{": "line 1: malformed batch", `{"news":[]}`: "no tUs", `{"tUs":"x","news":[]}`: "malformed batch",
		line(0, `{"what":"KNOCK","relay":0}`):                                       "KNOCK without req",
		line(0, `{"what":"DANCE","relay":0}`):                                       `unknown event "DANCE"`,
		line(0) + line(1, `{"relay":0}`):                                            "line 2: event 1",
		line(0, `{"what":"BOOT","relay":0,"info":{"fleetSize":2}}`):                 "BOOT of relay 0",
		line(0, boot(0), `{"what":"FINISHED","relay":0,"req":1,"code":"sparkled"}`): "unknown code",
	} {
		_, err := serve(t, in)
		if err == nil || !strings.Contains(err.Error(), message) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want one line with %q", in, err, message)
		}
	}
}

// No input makes the host panic.
func FuzzServe(f *testing.F) {
	f.Add(line(0, register(0, 1, "a:1"), boot(0), listed(0, 0), knock(0, 9, 1)))
	f.Add(line(0) + `{"tUs":1,"news":[{"what":"KILL","relay":0}]}`)
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		if err := NewHost().Serve(strings.NewReader(in), &out); err != nil && strings.Contains(err.Error(), "panic") {
			t.Fatal(err)
		}
	})
}

// A panic of the policy engine is reported as BUG for its relay, whose actions of that step are
// dropped.
func TestPanicIsReported(t *testing.T) {
	h := NewHost()
	h.relays[3] = nil
	actions := h.step(3, 0, nil, []Action{{Type: "TRACE", Relay: 1}})
	if len(actions) != 2 || actions[1].Type != "BUG" || actions[1].Relay != 3 ||
		!strings.Contains(actions[1].Text, "panic") {
		t.Fatalf("got %+v", actions)
	}
}

// Load reports are read by column name, in any order, with unknown, missing and null values.
func TestLoadReports(t *testing.T) {
	for name, c := range map[string]struct {
		columns, row string
		want         *policy.LimitReport
	}{
		"usual order":    {`["x0","x1"]`, `[0.5,40]`, &policy.LimitReport{Remaining: 0.5, Limit: 40}},
		"other order":    {`["x1","nobody_knows","x0"]`, `[40,7,0.5]`, &policy.LimitReport{Remaining: 0.5, Limit: 40}},
		"no limit":       {`["x0","x1"]`, `[0,0]`, &policy.LimitReport{}},
		"no report":      {`["x0","x1"]`, `null`, nil},
		"short row":      {`["x0","x1"]`, `[0.5]`, nil},
		"null value":     {`["x0","x1"]`, `[null,40]`, &policy.LimitReport{Limit: 40}},
		"longer row":     {`["x0","x1"]`, `[0.5,40,3]`, &policy.LimitReport{Remaining: 0.5, Limit: 40}},
		"no such column": {`["cpu"]`, `[0.5]`, nil},
		"no columns":     {`[]`, `[0.5,40]`, nil},
	} {
		_, columns, err := config.ParseSettings(`{"stats":{"columns":` + c.columns + `,"source":"inline"}}`)
		if err != nil {
			t.Fatal(err)
		}
		b, err := ParseBatch([]byte(line(0,
			`{"what":"FINISHED","relay":0,"req":1,"code":"delivered","report":`+c.row+`}`)))
		if err != nil {
			t.Fatal(err)
		}
		ev, err := b.Events[0].Translate(nil, columns)
		if got := ev.(policy.AttemptEnded).Report; err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, %v, want %v", name, got, err, c.want)
		}
	}
}
