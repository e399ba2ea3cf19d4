package wire

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"oatfold/internal/memory"
	"oatfold/internal/metrics"
	"oatfold/internal/plugin"
	"oatfold/plugin/abi"
	"oatfold/policy"
)

// This file is about one request of a client: reading it, asking the host, answering.

// submitRequest asks the host to take a message on.
type submitRequest struct {
	message *memory.Message
	reply   chan submitResult
}

// submitResult is what the host says: taken, taken before, for no destination there is, or refused.
type submitResult struct {
	accepted, duplicate, unknownDest bool
	retryAfter                       time.Duration
}

// submitAnswered tells the host that the client was answered, or could not be.
type submitAnswered struct {
	num       uint32
	delivered bool
}

// handleRequest reads and answers one request; it tells whether the connection ends with it, and why.
func (f *Server) handleRequest(x *exchange) closeReason {
	h, err := readHead(x.reader)
	if err != nil {
		return f.rejectMalformed(x, err)
	}
	method, target, version := h.firstLine[0], h.firstLine[1], h.firstLine[2]
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return f.rejectMalformed(x, errFirstLine)
	}
	length, chunked, err := h.framing()
	if err != nil {
		return f.rejectMalformed(x, err)
	}
	if strings.EqualFold(h.get("Expect"), "100-continue") {
		x.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, err := readBody(x.reader, length, chunked, maxBody)
	if err != nil {
		return f.rejectMalformed(x, err)
	}
	x.closeAfter = h.closesConnection(version)
	path, query, _ := strings.Cut(target, "?")
	switch {
	case method == "GET" && path == "/ready":
		if f.drainView.Load().Ready {
			return x.reply(200, 0, nil)
		}
		return x.reply(503, 0, nil)
	case method != "POST":
		return x.reply(405, 0, nil)
	}
	m, left, err := f.parseMessage(h, path, query, body)
	if err != nil {
		f.log.Debug("request refused", "err", err)
		return x.reply(400, 0, err)
	}
	if a := f.consultPlugins(m, left); a.Verdict == abi.Reject {
		f.metrics.CountCompleted(m.Class, metrics.Failed)
		return x.reply(422, 0, errors.New(a.Reason))
	} else if a.Verdict == abi.Refuse {
		advice := time.Duration(f.retryAdvice.Load())
		if a.Wait > 0 {
			advice = min(a.Wait, advice)
		}
		f.metrics.CountCompleted(m.Class, metrics.Rejected)
		// Not 503: that says that the relay is full, and would keep its client from handing in anything else.
		return x.reply(429, advice, nil)
	}
	return f.submit(x, m, x.startedAt.Add(left))
}

// consultPlugins asks plug-ins about a message that comes in, on its connection's goroutine.
func (f *Server) consultPlugins(m *memory.Message, left time.Duration) plugin.HandInDecision {
	set := f.plugins.Acquire()
	if set == nil {
		return plugin.HandInDecision{Verdict: abi.Take}
	}
	defer set.Release()
	a := set.OnHandIn(&plugin.Message{Class: m.Class, ID: m.ID, Key: m.IdempotencyKey, Dest: m.Dest, Attempt: -1, TimeLeft: left, Body: m.Body})
	m.PluginNotes = a.Notes
	return a
}

// submit has the host take m on, answers the client and tells the host that it may begin.
func (f *Server) submit(x *exchange, m *memory.Message, until time.Time) closeReason {
	m.Deadline = until
	reply := make(chan submitResult, 1)
	f.events <- submitRequest{m, reply}
	v := <-reply
	if v.unknownDest {
		f.metrics.CountCompleted(m.Class, metrics.Failed)
		return x.reply(400, 0, fieldError("dest in Envelope: no such destination"))
	}
	if !v.accepted {
		status := 503
		if v.duplicate {
			status = 202
		} else {
			f.metrics.CountCompleted(m.Class, metrics.Rejected)
		}
		return x.reply(status, v.retryAfter, nil)
	}
	reason := x.reply(202, 0, nil)
	f.events <- submitAnswered{m.Number, reason != closedByClient}
	return reason
}

// fieldError names what a hand-in lacks or has in a form that can't be read.
type fieldError string

func (e fieldError) Error() string { return "missing or malformed: " + string(e) }

// unknownNameError names a class or tenant that the settings do not have.
type unknownNameError struct{ what, name string }

// Error shows at most 64 characters of the name, which the client chose.
func (e unknownNameError) Error() string {
	return fmt.Sprintf("unknown %s %.64q: the settings do not have it", e.what, e.name)
}

// parseMessage reads what the client hands in, and how long it may take.
func (f *Server) parseMessage(h *head, path, query string, body []byte) (*memory.Message, time.Duration, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, known := (*f.classes.Load())[name]
	id, badID := h.getConsistent("X-Correlation-Id")
	key, badKey := h.getConsistent("Idempotency-Key")
	text, badLeft := h.getConsistent("X-Time-Left-Ms")
	left, err := parseNumber(text)
	envelope, badDest := h.getConsistent("Envelope")
	dest := -1
	for _, part := range strings.FieldsFunc(envelope, func(c rune) bool { return strings.ContainsRune(",;& ", c) }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			if n, err := parseNumber(v); err != nil || dest >= 0 && n != dest {
				badDest = errConflictingFields
			} else {
				dest = n
			}
		}
	}
	tenant, badTenant := h.getConsistent("X-Account")
	tenants := *f.tenants.Load()
	if len(tenants) == 0 {
		tenant, badTenant = "", nil // whatever it is, it is no name of ours
	}
	values, badQuery := url.ParseQuery(query)
	subject := values.Get("subject")
	limit := time.Duration(min(left, maxTimeLeftMs)) * time.Millisecond // Guards against a figure that overflows
	switch {
	case !known:
		return nil, 0, unknownNameError{"class", name}
	case badID != nil || id == "" || len(id) > maxIDBytes || !visibleASCII(id):
		return nil, 0, fieldError("X-Correlation-Id")
	case badKey != nil || len(key) > maxIDBytes || !visibleASCII(key) || class.Effect == policy.Keyed && key == "":
		return nil, 0, fieldError("Idempotency-Key") // without it a repeat would not be dropped
	case badLeft != nil || err != nil || limit > timeLeftSlack*class.Deadline:
		return nil, 0, fieldError("X-Time-Left-Ms")
	case badDest != nil || dest < 0:
		return nil, 0, fieldError("dest in Envelope")
	case badTenant != nil || len(tenant) > maxIDBytes || !visibleASCII(tenant):
		return nil, 0, fieldError("X-Account")
	case tenant != "" && !tenants[tenant]:
		return nil, 0, unknownNameError{"tenant", tenant} // a hand-in without one is nobody's share
	case class.Ordered && (badQuery != nil || len(values["subject"]) > 1 || len(subject) > maxIDBytes):
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
	maxTimeLeftMs = 1 << 40
	timeLeftSlack = 2 // times the class's deadline: no client has longer, also where a reload shortens it
)

// visibleASCII tells whether s is visible ASCII. Guards against an id or a key that an endpoint can't read, which would
// close on whatever else waits on that connection.
func visibleASCII(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}
