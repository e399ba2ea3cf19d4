package wire

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"oatfold/internal/index"
	"oatfold/internal/plugin"
	"oatfold/internal/plugin/limits"
	"oatfold/internal/transient"
	"oatfold/plugin/abi"
	"oatfold/policy"
)

// This file prepares a call: its messages with their bodies, what plug-ins change of them, and its
// HTTP request.

// callItem is one message of a call.
type callItem struct {
	num           uint32
	attempt       int
	id, key       string
	class         string
	pluginNotes   []byte                   // set by plug-ins when the message arrived
	body          []byte                   // as sent
	loadBody      func() ([]byte, error)   // reads a body that is not in memory; else nil
	headers       [][2]string              // added by plug-ins
	pluginFailure *pluginFailure           // it failed before it was sent: excluded from the call
	expiresAt     policy.Time              // when the message's own time is up
	writeBy       time.Time                // latest time to write it; zero: no limit
	tooLate       bool                     // too little time left, or no body for now: excluded from the call
	expiry        *index.Entry[itemExpiry] // timer for expiresAt, if the call may last longer

	// Of the host alone, which changes them while the connection reads the rest: no item is copied.
	reported bool // its result was reported to the policy engine
	resubmit bool // the policy engine restarted: submit the message to it again
}

// pluginFailure says how to complete a message that failed before it was sent.
type pluginFailure struct{ limits.FailureAction }

// call is one attempt: a request with one message, or a batch of messages to one endpoint.
type call struct {
	endpoint      *endpoint
	kind          string // of the destination
	items         []callItem
	batchSize     int // upper bound of the body of a batch, in bytes
	startedAt     policy.Time
	effect        policy.Effect // the strictest of its messages
	last          bool          // it announces that it is the last one on its connection
	unrecorded    bool          // the journal did not record it, so it was not made
	lastByteDelay time.Duration // how long to hold back the last byte and watch the connection; 0: not at all
	timeout       time.Duration
	deadline      time.Time
}

// ids returns the ids of the call's messages.
func (cl *call) ids() (ids []string) {
	for i := range cl.items {
		ids = append(ids, cl.items[i].id)
	}
	return ids
}

// prepare reads the bodies and asks plug-ins for what they change of the call. It reports whether
// any message is left to send in time: what plug-ins take must not count against the endpoint.
func (cl *call) prepare(plugins *plugin.Set) (sendable bool, err error) {
	if err = cl.loadBodies(); cl.includedCount() == 0 {
		return false, err
	}
	if plugins == nil {
		return true, nil
	}
	return cl.shapeRequests(plugins) > 0 && time.Now().Before(cl.deadline), nil
}

// loadBodies reads bodies that are not in memory. A message whose body is lost is excluded and
// fails.
func (cl *call) loadBodies() (err error) {
	for i := range cl.items {
		it := &cl.items[i]
		if it.loadBody == nil {
			continue
		}
		var readErr error
		if it.body, readErr = it.loadBody(); readErr == nil {
			continue
		}
		err = fmt.Errorf("%s: %w", it.id, readErr)
		if transient.Is(readErr) {
			// The disk may recover: the message is sent later.
			it.tooLate = true
			time.Sleep(dialRetryDelay)
			continue
		}
		it.pluginFailure = &pluginFailure{limits.Refuse}
	}
	return err
}

// pluginMessage describes an item to plug-ins.
func (cl *call) pluginMessage(it *callItem) *plugin.Message {
	return &plugin.Message{Class: it.class, Kind: cl.kind, ID: it.id, Key: it.key, Dest: cl.endpoint.dest,
		Attempt:  it.attempt,
		TimeLeft: time.Until(cl.deadline), Notes: it.pluginNotes, Body: it.body}
}

// shapeRequests asks plug-ins for the body and the headers of each item, before the call is
// written. It returns the number of items that are still included.
func (cl *call) shapeRequests(set *plugin.Set) int {
	if !set.HasHook(abi.ShapeRequest) {
		return len(cl.items)
	}
	size := len("[]")
	for i := range cl.items {
		it := &cl.items[i]
		if it.excluded() {
			continue
		}
		body, headers, failed := set.ShapeRequest(cl.pluginMessage(it))
		if failed == nil && len(cl.items) > 1 && size+maxItemSize(it.id, it.key, len(body)) > maxBody {
			// The shaped bodies do not fit in one batch.
			failed = &plugin.CallError{Action: limits.Refuse}
		}
		if failed != nil {
			it.pluginFailure = &pluginFailure{failed.Action}
			continue
		}
		it.body, it.headers, size = body, headers, size+maxItemSize(it.id, it.key, len(body))
	}
	cl.timeout = time.Until(cl.deadline) // time left, as the request states it
	return cl.includedCount()
}

// includedCount returns the number of items to send.
func (cl *call) includedCount() (n int) {
	for i := range cl.items {
		if !cl.items[i].excluded() {
			n++
		}
	}
	return n
}

// excluded reports whether the item is left out of the request.
func (it *callItem) excluded() bool { return it.pluginFailure != nil || it.tooLate }

// minTimeLeft is the time an item must have left when its call is written. No partner answers
// faster.
const minTimeLeft = 20 * time.Millisecond

// excludeExpired excludes items whose time ran out while the call was dialed, and reports whether
// any item is left. An item of a batch may expire before the batch, and its client has then had the
// final answer.
func (cl *call) excludeExpired(now time.Time) bool {
	for i := range cl.items {
		it := &cl.items[i]
		it.tooLate = it.tooLate || !it.writeBy.IsZero() && it.writeBy.Sub(now) < minTimeLeft
	}
	return cl.includedCount() > 0
}

// markExcluded sets the results of excluded items to unsent.
func (cl *call) markExcluded(results []itemResult) []itemResult {
	for i := range cl.items {
		if it := &cl.items[i]; it.excluded() {
			results[i] = itemResult{outcome: policy.Unsent, pluginFailure: it.pluginFailure}
		}
	}
	return results
}

// readAnswer asks plug-ins what an answer means for each item. It returns the delay before the next
// call.
func (cl *call) readAnswer(set *plugin.Set, a *response, results []itemResult, delay time.Duration) time.Duration {
	in := plugin.Answer{Status: a.status, Body: a.body, Wait: delay}
	for _, f := range a.fields {
		in.Headers = append(in.Headers, [2]string{f.name, f.value})
	}
	for i := range results {
		if cl.items[i].excluded() || results[i].final {
			continue
		}
		switch results[i].outcome {
		case policy.Delivered:
			in.Outcome = abi.Delivered
		case policy.Rejected, policy.Unsent:
			in.Outcome = abi.NeverRan
		default:
			in.Outcome = abi.MayHave
		}
		before := in.Outcome
		if in.Outcome, in.Wait = set.ReadAnswer(cl.pluginMessage(&cl.items[i]), in); in.Outcome != before {
			results[i] = itemResult{outcome: policy.Errored}
		}
	}
	return in.Wait
}

// firstIncluded returns the first item that is not excluded. There must be one.
func (cl *call) firstIncluded() *callItem {
	for i := range cl.items {
		if it := &cl.items[i]; !it.excluded() {
			return it
		}
	}
	panic("a call without messages is not written")
}

// appendRequest appends the HTTP request of the call: one message as it is, several as a JSON
// array. timeLeft is how long the relay waits for the answer.
func appendRequest(b []byte, cl *call, timeLeft time.Duration) []byte {
	timeLeftMs := strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10)
	if cl.includedCount() == 1 {
		it := cl.firstIncluded()
		b = append(b, "POST /hook HTTP/1.1\r\n"...)
		b = appendField(appendConnectionFields(b, cl), "X-Correlation-Id", it.id)
		if it.key != "" {
			b = appendField(b, "Idempotency-Key", it.key)
		}
		for _, h := range it.headers {
			b = appendField(b, h[0], h[1])
		}
		b = appendLength(appendField(b, "X-Time-Left-Ms", timeLeftMs), len(it.body))
		return append(b, it.body...)
	}
	body := []byte{'['}
	for i := range cl.items {
		it := &cl.items[i]
		if it.excluded() {
			continue
		}
		if len(body) > 1 {
			body = append(body, ',')
		}
		body = gjson.AppendJSONString(append(body, `{"id":`...), it.id)
		if it.key != "" {
			body = gjson.AppendJSONString(append(body, `,"key":`...), it.key)
		}
		body = base64.StdEncoding.AppendEncode(append(body, `,"body":"`...), it.body)
		body = append(body, `"}`...)
	}
	body = append(body, ']')
	b = append(b, "POST /hook/batch HTTP/1.1\r\n"...)
	b = appendField(appendConnectionFields(b, cl), "Content-Type", "application/json")
	b = appendLength(appendField(b, "X-Time-Left-Ms", timeLeftMs), len(body))
	return append(b, body...)
}

// appendConnectionFields appends the header fields that say where the call goes and whether it is
// the last one on its connection.
func appendConnectionFields(b []byte, cl *call) []byte {
	b = appendField(b, "Host", cl.endpoint.addr)
	if cl.last {
		b = appendField(b, "Connection", "close")
	}
	return b
}
