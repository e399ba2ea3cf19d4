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

// This file parses a request of a client, submits its message to the host, and answers it.

// submitRequest asks the host to accept a message.
type submitRequest struct {
	message *memory.Message
	reply   chan submitResult
}

// submitResult is the host's reply: accepted, a duplicate of an accepted message, for an unknown
// destination, or, with none of these set, rejected.
type submitResult struct {
	accepted, duplicate, unknownDest bool
	retryAfter                       time.Duration
}

// submitAnswered tells the host that the response was written to the client, or could not be.
type submitAnswered struct {
	num       uint32
	delivered bool
}

// handleRequest reads and answers one request. It returns why the connection closes after it, or
// staysOpen.
func (s *Server) handleRequest(x *exchange) closeReason {
	h, err := readHead(x.reader)
	if err != nil {
		return s.rejectMalformed(x, err)
	}
	method, target, version := h.firstLine[0], h.firstLine[1], h.firstLine[2]
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return s.rejectMalformed(x, errFirstLine)
	}
	length, chunked, err := h.framing()
	if err != nil {
		return s.rejectMalformed(x, err)
	}
	if strings.EqualFold(h.get("Expect"), "100-continue") {
		x.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, err := readBody(x.reader, length, chunked, maxBody)
	if err != nil {
		return s.rejectMalformed(x, err)
	}
	x.closeAfter = h.closesConnection(version)
	path, query, _ := strings.Cut(target, "?")
	switch {
	case method == "GET" && path == "/ready":
		if s.drainView.Load().Ready {
			return x.reply(200, 0, nil)
		}
		return x.reply(503, 0, nil)
	case method != "POST":
		return x.reply(405, 0, nil)
	}
	m, left, err := s.parseMessage(h, path, query, body)
	if err != nil {
		s.log.Debug("refused an invalid request", "err", err)
		return x.reply(400, 0, err)
	}
	if advice := s.consultPlugins(m, left); advice.Verdict == abi.Reject {
		s.metrics.CountCompleted(m.Class, metrics.Failed)
		return x.reply(422, 0, errors.New(advice.Reason))
	} else if advice.Verdict == abi.Refuse {
		retryAfter := time.Duration(s.retryAdvice.Load())
		if advice.Wait > 0 {
			retryAfter = min(advice.Wait, retryAfter)
		}
		s.metrics.CountCompleted(m.Class, metrics.Rejected)
		// 503 means that the relay is full and stops a client from submitting any other message, so
		// this is 429.
		return x.reply(429, retryAfter, nil)
	}
	return s.submit(x, m, x.startedAt.Add(left))
}

// consultPlugins asks plug-ins about a submitted message, on its connection's goroutine.
func (s *Server) consultPlugins(m *memory.Message, left time.Duration) plugin.HandInDecision {
	set := s.plugins.Acquire()
	if set == nil {
		return plugin.HandInDecision{Verdict: abi.Take}
	}
	defer set.Release()
	advice := set.OnHandIn(&plugin.Message{Class: m.Class, ID: m.ID, Key: m.IdempotencyKey, Dest: m.Dest, Attempt: -1,
		TimeLeft: left, Body: m.Body})
	m.PluginNotes = advice.Notes
	return advice
}

// submit passes m to the host, answers the client and reports that to the host, which may send the
// message from then on.
func (s *Server) submit(x *exchange, m *memory.Message, deadline time.Time) closeReason {
	m.Deadline = deadline
	reply := make(chan submitResult, 1)
	s.events <- submitRequest{m, reply}
	result := <-reply
	if result.unknownDest {
		s.metrics.CountCompleted(m.Class, metrics.Failed)
		return x.reply(400, 0, fieldError("dest in Envelope: no such destination"))
	}
	if !result.accepted {
		status := 503
		if result.duplicate {
			status = 202
		} else {
			s.metrics.CountCompleted(m.Class, metrics.Rejected)
		}
		return x.reply(status, result.retryAfter, nil)
	}
	reason := x.reply(202, 0, nil)
	s.events <- submitAnswered{m.Number, reason != closedByClient}
	return reason
}

// fieldError names a field of a request that is missing or malformed.
type fieldError string

func (e fieldError) Error() string { return "missing or malformed: " + string(e) }

// unknownNameError names a class or tenant that is not in the settings.
type unknownNameError struct{ what, name string }

// Error shows at most 64 characters of the name, which the client chose.
func (e unknownNameError) Error() string {
	return fmt.Sprintf("unknown %s %.64q: the settings do not have it", e.what, e.name)
}

// parseMessage returns the message of a request and the time that is left for it.
func (s *Server) parseMessage(h *head, path, query string, body []byte) (*memory.Message, time.Duration, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, known := (*s.classes.Load())[name]
	id, badID := h.getConsistent("X-Correlation-Id")
	key, badKey := h.getConsistent("Idempotency-Key")
	timeLeft, badLeft := h.getConsistent("X-Time-Left-Ms")
	left, err := parseNumber(timeLeft)
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
	tenants := *s.tenants.Load()
	if len(tenants) == 0 {
		tenant, badTenant = "", nil // tenants are not configured: the header belongs to others
	}
	values, badQuery := url.ParseQuery(query)
	subject := values.Get("subject")
	limit := time.Duration(min(left, maxTimeLeftMs)) * time.Millisecond // min avoids an overflow
	switch {
	case !known:
		return nil, 0, unknownNameError{"class", name}
	case badID != nil || id == "" || len(id) > maxIDBytes || !visibleASCII(id):
		return nil, 0, fieldError("X-Correlation-Id")
	case badKey != nil || len(key) > maxIDBytes || !visibleASCII(key) || class.Effect == policy.Keyed && key == "":
		return nil, 0, fieldError("Idempotency-Key") // without it the partner could not deduplicate a retry
	case badLeft != nil || err != nil || limit > timeLeftSlack*class.Deadline:
		return nil, 0, fieldError("X-Time-Left-Ms")
	case badDest != nil || dest < 0:
		return nil, 0, fieldError("dest in Envelope")
	case badTenant != nil || len(tenant) > maxIDBytes || !visibleASCII(tenant):
		return nil, 0, fieldError("X-Account")
	case tenant != "" && !tenants[tenant]:
		return nil, 0, unknownNameError{"tenant", tenant} // a message without a tenant counts towards no quota
	case class.Ordered && (badQuery != nil || len(values["subject"]) > 1 || len(subject) > maxIDBytes):
		return nil, 0, fieldError("subject in the query") // under a wrong key it could overtake messages of its own
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
	maxTimeLeftMs = 1 << 40 // about 35 years; avoids an overflow
	timeLeftSlack = 2       // times the class's deadline; a client may still use the one of before a reload
)

// visibleASCII reports whether s is visible ASCII. An endpoint that cannot parse an id or a key
// would close the connection, with the other messages on it.
func visibleASCII(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}
