package wire

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"oatfold/internal/figures"
	"oatfold/internal/memory"
	"oatfold/internal/plugin"
	"oatfold/plugin/abi"
	"oatfold/policy"
)

// This file is about one request of a client: reading it, asking the host, answering.

// handIn asks the host to take a message on.
type handIn struct {
	msg   *memory.Message
	reply chan verdict
}

// verdict is what the host says: taken, taken before, for no destination there is, or refused.
type verdict struct {
	taken, known, nowhere bool
	retry                 time.Duration
}

// handedIn tells the host that the client was answered, or could not be.
type handedIn struct {
	num  uint32
	told bool
}

// one reads and answers one request; it tells whether the connection ends with it, and why.
func (f *Front) one(x *exchange) closeReason {
	h, err := readHead(x.r)
	if err != nil {
		return f.bad(x, err)
	}
	method, target, version := h.line[0], h.line[1], h.line[2]
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return f.bad(x, errLine)
	}
	length, chunked, err := h.framing()
	if err != nil {
		return f.bad(x, err)
	}
	if strings.EqualFold(h.get("Expect"), "100-continue") {
		x.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, err := readBody(x.r, length, chunked, maxBody)
	if err != nil {
		return f.bad(x, err)
	}
	x.last = h.closes(version)
	path, query, _ := strings.Cut(target, "?")
	switch {
	case method == "GET" && path == "/ready":
		if f.view.Load().Ready {
			return x.reply(200, 0, nil)
		}
		return x.reply(503, 0, nil)
	case method != "POST":
		return x.reply(405, 0, nil)
	}
	m, left, err := f.message(h, path, query, body)
	if err != nil {
		f.log.Debug("request refused", "err", err)
		return x.reply(400, 0, err)
	}
	if a := f.ask(m, left); a.Verdict == abi.Reject {
		f.figures.Ended(m.Class, figures.Failed)
		return x.reply(422, 0, errors.New(a.Reason))
	} else if a.Verdict == abi.Refuse {
		advice := time.Duration(f.advice.Load())
		if a.Wait > 0 {
			advice = min(a.Wait, advice)
		}
		f.figures.Ended(m.Class, figures.TurnedAway)
		// Not 503: that says that the relay is full, and would keep its client from handing in anything else.
		return x.reply(429, advice, nil)
	}
	return f.take(x, m, x.began.Add(left))
}

// ask asks plug-ins about a message that comes in, on its connection's goroutine.
func (f *Front) ask(m *memory.Message, left time.Duration) plugin.Advice {
	set := f.plugins.Use()
	if set == nil {
		return plugin.Advice{Verdict: abi.Take}
	}
	defer set.Done()
	a := set.HandIn(&plugin.Message{Class: m.Class, ID: m.ID, Key: m.IdempotencyKey, Dest: m.Dest, Attempt: -1, Left: left, Body: m.Body})
	m.PluginNotes = a.Notes
	return a
}

// take has the host take m on, answers the client and tells the host that it may begin.
func (f *Front) take(x *exchange, m *memory.Message, until time.Time) closeReason {
	m.Deadline = until
	reply := make(chan verdict, 1)
	f.events <- handIn{m, reply}
	v := <-reply
	if v.nowhere {
		f.figures.Ended(m.Class, figures.Failed)
		return x.reply(400, 0, fieldError("dest in Envelope: no such destination"))
	}
	if !v.taken {
		status := 503
		if v.known {
			status = 202
		} else {
			f.figures.Ended(m.Class, figures.TurnedAway)
		}
		return x.reply(status, v.retry, nil)
	}
	reason := x.reply(202, 0, nil)
	f.events <- handedIn{m.Number, reason != closedByClient}
	return reason
}

// fieldError names what a hand-in lacks or has in a form that can't be read.
type fieldError string

func (e fieldError) Error() string { return "missing or malformed: " + string(e) }

// unknownError names a class or tenant that the settings do not have.
type unknownError struct{ what, name string }

// Error shows at most 64 characters of the name, which the client chose.
func (e unknownError) Error() string {
	return fmt.Sprintf("unknown %s %.64q: the settings do not have it", e.what, e.name)
}

// message reads what the client hands in, and how long it may take.
func (f *Front) message(h *head, path, query string, body []byte) (*memory.Message, time.Duration, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, known := (*f.classes.Load())[name]
	id, badID := h.only("X-Correlation-Id")
	key, badKey := h.only("Idempotency-Key")
	text, badLeft := h.only("X-Time-Left-Ms")
	left, err := number(text)
	envelope, badDest := h.only("Envelope")
	dest := -1
	for _, part := range strings.FieldsFunc(envelope, func(c rune) bool { return strings.ContainsRune(",;& ", c) }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			if n, err := number(v); err != nil || dest >= 0 && n != dest {
				badDest = errTwice
			} else {
				dest = n
			}
		}
	}
	tenant, badTenant := h.only("X-Account")
	tenants := *f.tenants.Load()
	if len(tenants) == 0 {
		tenant, badTenant = "", nil // whatever it is, it is no name of ours
	}
	values, badQuery := url.ParseQuery(query)
	subject := values.Get("subject")
	limit := time.Duration(min(left, maxLeftMs)) * time.Millisecond // Guards against a figure that overflows
	switch {
	case !known:
		return nil, 0, unknownError{"class", name}
	case badID != nil || id == "" || len(id) > maxID || !plain(id):
		return nil, 0, fieldError("X-Correlation-Id")
	case badKey != nil || len(key) > maxID || !plain(key) || class.Effect == policy.Keyed && key == "":
		return nil, 0, fieldError("Idempotency-Key") // without it a repeat would not be dropped
	case badLeft != nil || err != nil || limit > leftSlack*class.Deadline:
		return nil, 0, fieldError("X-Time-Left-Ms")
	case badDest != nil || dest < 0:
		return nil, 0, fieldError("dest in Envelope")
	case badTenant != nil || len(tenant) > maxID || !plain(tenant):
		return nil, 0, fieldError("X-Account")
	case tenant != "" && !tenants[tenant]:
		return nil, 0, unknownError{"tenant", tenant} // a hand-in without one is nobody's share
	case class.Ordered && (badQuery != nil || len(values["subject"]) > 1 || len(subject) > maxID):
		return nil, 0, fieldError("subject in the query") // read as another, it would overtake its own
	}
	m := &memory.Message{ID: id, Class: name, IdempotencyKey: key, Dest: dest, Body: body}
	if m.Effect, m.Tenant = class.Effect, tenant; class.Effect == policy.Keyed {
		m.RepeatWindow, m.ZoneOnly = class.RepeatWindow, class.ZoneOnly
	}
	if class.Ordered {
		m.OrderingKey = subject
	}
	return m, min(limit, class.Deadline), nil
}

const (
	maxLeftMs = 1 << 40
	leftSlack = 2 // times the class's deadline: no client has longer, also where a reload shortens it
)

// plain tells whether s is visible ASCII. Guards against an id or a key that an endpoint can't read, which would
// close on whatever else waits on that connection.
func plain(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}
