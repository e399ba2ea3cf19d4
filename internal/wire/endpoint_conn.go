package wire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"oatfold/internal/index"
	"oatfold/internal/metrics"
	"oatfold/internal/plugin"
	"oatfold/internal/plugin/limits"
	"oatfold/internal/transient"
	"oatfold/plugin/abi"
	"oatfold/policy"
)

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
	reported      bool                     // its result was reported to the policy engine
	resubmit      bool                     // the policy engine restarted: submit the message to it again
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

// itemResult is the result of one item of a call.
type itemResult struct {
	outcome       policy.Outcome
	final         bool // the endpoint says that the message is completed
	pluginFailure *pluginFailure
}

// callResult is a connection's report of a completed call.
type callResult struct {
	conn       *endpointConn
	call       *call
	results    []itemResult // one per item
	retryAfter time.Duration
	report     *policy.LimitReport
	err        error
	reusable   bool // the connection can carry another call

	unboundAnswers int // answers that were passed over, since nothing showed that they belong to the call
}

// endpointConn is a connection to an endpoint. Its goroutine carries one call at a time.
type endpointConn struct {
	endpoint      *endpoint
	calls         chan *call
	sock          net.Conn
	reader        *bufio.Reader
	lastUsed      time.Time                  // owned by the host
	idleNode      *index.Node[*endpointConn] // position among idle connections; owned by the host
	lastAnswerAt  time.Time                  // when the last answer was read; zero: never
	answers       answerHistory              // of the socket
	dialTimeout   time.Duration
	lateListeners *atomic.Int32 // connections read after their call timed out; nil: not counted
	shutdown      *atomic.Int32 // a shutdownStage; nil: the process never shuts down

	// dial is set by tests only.
	dial func(addr string, limit time.Duration) (net.Conn, error)

	plugins *plugin.Holder
	metrics *metrics.Set // nil: none are recorded
	buf     []byte
}

// run makes calls until the channel is closed or the connection is no longer usable.
func (c *endpointConn) run(events chan<- any) {
	for cl := range c.calls {
		res := c.makeCall(cl)
		listen := !res.reusable && c.closeSending(res)
		if !res.reusable && !listen {
			c.close()
		}
		events <- res
		if listen {
			// A Retry-After that arrives just after the timeout still applies.
			if delay := c.readLateRetryAfter(); delay > 0 {
				events <- lateRetryAfter{c.endpoint, delay}
			}
			c.close()
			c.releaseListener()
		}
		if !res.reusable {
			return
		}
	}
	c.close()
}

// close closes the socket, if there is one. The next call dials again.
func (c *endpointConn) close() {
	if c.sock != nil {
		c.sock.Close()
		c.sock, c.lastAnswerAt, c.answers = nil, time.Time{}, answerHistory{}
	}
}

// makeCall makes one call. A panic ends only this connection and this call.
func (c *endpointConn) makeCall(cl *call) (res callResult) {
	res = callResult{conn: c, call: cl}
	stage := Started
	fail := func(err error) {
		attemptErr := &AttemptError{stage, err}
		res.err, res.reusable, res.results = attemptErr, false,
			cl.markExcluded(uniformResults(cl, itemResult{outcome: attemptErr.Outcome()}))
	}
	defer func() {
		if p := recover(); p != nil {
			fail(fmt.Errorf("panic: %v", p))
		}
	}()
	if err := cl.loadBodies(); cl.includedCount() == 0 {
		res.results, res.reusable = cl.markExcluded(uniformResults(cl, itemResult{outcome: policy.Unsent})),
			c.sock != nil
		res.err = err
		return res
	}
	plugins := c.plugins.Acquire()
	if plugins != nil {
		defer plugins.Release()
		if cl.shapeRequests(plugins) == 0 || !time.Now().Before(cl.deadline) {
			// Time spent in plug-ins must not count against the endpoint.
			res.results, res.reusable = cl.markExcluded(uniformResults(cl, itemResult{outcome: policy.Unsent})),
				c.sock != nil
			return res
		}
	}
	c.closeIfUnbindable()
	if c.sock != nil {
		// Surplus bytes after the last answer mostly arrive within this delay and make the connection
		// stale. Later ones are told from the answer to this call by answerHistory.
		time.Sleep(settleDelay - time.Since(c.lastAnswerAt))
	}
	if c.sock != nil && stale(c.sock) {
		// A request on a connection that the endpoint closed while it was idle would end in a
		// reset, and the message might have run.
		c.close()
	}
	if c.sock == nil {
		limit := min(c.dialTimeout, time.Until(cl.deadline))
		if limit <= 0 {
			fail(os.ErrDeadlineExceeded)
			return res
		}
		sock, err := c.dialWithRetry(limit)
		if err != nil {
			fail(err)
			return res
		}
		c.sock, c.reader = sock, bufio.NewReaderSize(sock, readBufferSize)
	}
	stage = Connected
	if !cl.excludeExpired(time.Now()) {
		fail(errBlocked)
		return res
	}
	c.sock.SetDeadline(cl.deadline)
	single := cl.includedCount() == 1
	cl.last = c.answers.mayRepeat(single, &cl.endpoint.traits)
	// Dialing has used up part of the call's time: the request states what is left.
	c.buf = appendRequest(c.buf[:0], cl, time.Until(cl.deadline))
	writeEnd := len(c.buf)
	// A Retry-After or a drain may have arrived while this call was dialed or built. A process that
	// shuts down leaves the call to the next start instead of being cut off after the last byte.
	if c.blockedByShutdown(cl) || cl.endpoint.blocked() {
		fail(errBlocked)
		return res
	}
	if cl.lastByteDelay > 0 {
		writeEnd--
	}
	if _, err := c.sock.Write(c.buf[:writeEnd]); err != nil {
		fail(err)
		return res
	}
	if cl.lastByteDelay > 0 {
		// Until the last byte is written the call has not run. A reset that shows up now allows a
		// retry.
		c.sock.SetReadDeadline(time.Now().Add(cl.lastByteDelay))
		if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			fail(c.earlyEndError(err))
			return res
		}
		// A Retry-After, a drain or the shutdown may have come during the delay.
		if c.blockedByShutdown(cl) || cl.endpoint.blocked() {
			fail(errBlocked)
			return res
		}
		c.sock.SetReadDeadline(cl.deadline)
		if _, err := c.sock.Write(c.buf[writeEnd:]); err != nil {
			fail(err)
			return res
		}
	}
	stage = Written
	c.metrics.CountAttempts(cl.includedCount())
	a, err, bodyErr := c.readAnswer(cl, &res)
	if a != nil {
		stage = Answered
	}
	firstAnswer := c.lastAnswerAt.IsZero()
	if err != nil {
		if fail(err); a != nil && a.status == 200 && single {
			// A complete status line with 200 proves the delivery of a single message.
			res.results = cl.markExcluded(uniformResults(cl, itemResult{outcome: policy.Delivered}))
		}
		return res
	}
	res.report = parseLoadReport(a.get("X-Backend-Load"))
	if bodyErr != nil && !(a.status == 200 && single) {
		// A rejection counts only if all of the answer could be read; else the message may have
		// run.
		fail(bodyErr)
		return res
	}
	// Bytes after the answer must not be read as the answer to the next call.
	res.reusable = bodyErr == nil && a.reusable && res.unboundAnswers == 0 && c.reader.Buffered() == 0
	res.results, c.lastAnswerAt = cl.markExcluded(itemResults(cl, a)), time.Now()
	if bodyErr == nil {
		c.recordAnswer(cl, a, single, res.results)
	}
	if firstAnswer && atConnectionLimit(a) && bodyErr == nil {
		res.results, res.err = cl.markExcluded(uniformResults(cl, itemResult{outcome: policy.ConnectFailed})),
			errConnectionLimit
	}
	if plugins != nil && bodyErr == nil && plugins.HasHook(abi.ReadAnswer) {
		if delay := cl.readAnswer(plugins, a, res.results, res.retryAfter); delay > res.retryAfter {
			res.retryAfter = delay
			cl.endpoint.backoff.extend(delay)
		}
	}
	return res
}

// dialRetryDelay is the pause after a transient failure of this machine.
const dialRetryDelay = 20 * time.Millisecond

// dialWithRetry dials within limit. It retries transient failures of this machine, which say
// nothing about the endpoint.
func (c *endpointConn) dialWithRetry(limit time.Duration) (net.Conn, error) {
	dial := c.dial
	if dial == nil {
		dial = func(addr string, limit time.Duration) (net.Conn, error) {
			return (&net.Dialer{Timeout: limit, KeepAlive: -1}).Dial("tcp", addr)
		}
	}
	for giveUpAt := time.Now().Add(limit); ; {
		sock, err := dial(c.endpoint.addr, limit)
		if limit = time.Until(giveUpAt); err == nil || !transient.Is(err) || limit <= dialRetryDelay {
			return sock, err
		}
		time.Sleep(dialRetryDelay)
		limit -= dialRetryDelay
	}
}

// shutdownStage is the progress of a planned shutdown.
type shutdownStage = int32

const (
	shutdownNone          shutdownStage = iota
	shutdownNoUnsafeCalls               // no call is written that must not run twice
	shutdownNoCalls                     // no call is written
)

// blockedByShutdown reports whether the shutdown forbids writing the call.
func (c *endpointConn) blockedByShutdown(cl *call) bool {
	if c.shutdown == nil {
		return false
	}
	stage := c.shutdown.Load()
	return stage >= shutdownNoCalls || stage >= shutdownNoUnsafeCalls && cl.lastByteDelay > 0
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

// --- plug-ins ---

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

const (
	answerRestTimeout = 500 * time.Millisecond // for the rest of an answer after its first line
	lastByteDelay     = 4 * time.Millisecond   // before the last byte of a call that must not run twice
	settleDelay       = 10 * time.Millisecond  // from an answer to the next call on the same connection
)

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// uniformResults returns the same result for each item of the call.
func uniformResults(cl *call, result itemResult) []itemResult {
	results := make([]itemResult, len(cl.items))
	for i := range results {
		results[i] = result
	}
	return results
}

// itemResults derives the result of each item from the answer.
func itemResults(cl *call, a *response) []itemResult {
	switch a.status {
	case 200:
		if cl.includedCount() == 1 {
			return uniformResults(cl, itemResult{outcome: policy.Delivered}) // the body is ignored
		}
		return batchResults(cl, a.body)
	case 429:
		return uniformResults(cl, itemResult{outcome: policy.Rejected})
	case 503:
		if a.get("Slots-Taken") == "1" {
			return uniformResults(cl, itemResult{outcome: policy.Unsent})
		}
		return uniformResults(cl, itemResult{outcome: policy.Rejected})
	case 410:
		return uniformResults(cl, itemResult{outcome: policy.Unsent, final: true})
	case 400, 404, 413, 504:
		return uniformResults(cl, itemResult{outcome: policy.Unsent})
	}
	return uniformResults(cl, itemResult{outcome: policy.Errored})
}

// batchItemStates maps the states in the answer to a batch to results.
var batchItemStates = map[string]itemResult{
	"ok": {outcome: policy.Delivered}, "error": {outcome: policy.Errored}, "later": {outcome: policy.Rejected},
	"gone": {outcome: policy.Unsent, final: true}, "exhausted": {outcome: policy.Unsent},
}

// batchResults reads the answer to a batch. A message that it does not name exactly once with a
// known state may have run.
func batchResults(cl *call, body []byte) []itemResult {
	results := uniformResults(cl, itemResult{outcome: policy.Errored})
	answers := gjson.ParseBytes(body)
	if !gjson.ValidBytes(body) || !answers.IsArray() {
		return results
	}
	mentions, reported := map[string]int{}, map[string]itemResult{}
	for _, v := range answers.Array() {
		id := v.Get("id").Str
		mentions[id]++
		if result, ok := batchItemStates[v.Get("state").Str]; ok {
			reported[id] = result
		}
	}
	for i := range cl.items {
		id := cl.items[i].id
		if result, ok := reported[id]; ok && mentions[id] == 1 {
			results[i] = result
		}
	}
	return results
}

// parseLoadReport reads a load report such as x0=0.4,x1=25. It returns nil if the report states no
// limit or is malformed.
func parseLoadReport(s string) *policy.LimitReport {
	if s == "" {
		return nil
	}
	var report policy.LimitReport
	hasLimit := false
	for _, part := range strings.Split(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 1) {
			return nil // a partial report could be misread
		}
		switch name {
		case "x0":
			report.Remaining = v
		case "x1":
			report.Limit, hasLimit = v, true
		}
	}
	if !hasLimit {
		return nil
	}
	return &report
}

// appendRequest appends the HTTP request of the call: one message as it is, several as a JSON
// array. timeLeft is how long the relay waits for the answer.
func appendRequest(b []byte, cl *call, timeLeft time.Duration) []byte {
	timeLeftMs := strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10)
	if cl.includedCount() == 1 {
		it := &cl.items[slices.IndexFunc(cl.items, func(it callItem) bool { return !it.excluded() })]
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

// appendConnectionFields appends the header fields that say where the call goes and whether it is the
// last one on its connection.
func appendConnectionFields(b []byte, cl *call) []byte {
	b = appendField(b, "Host", cl.endpoint.addr)
	if cl.last {
		b = appendField(b, "Connection", "close")
	}
	return b
}
