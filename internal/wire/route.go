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
	pluginNotes   []byte                   // of plug-ins, as it came in
	body          []byte                   // as it goes out
	loadBody      func() ([]byte, error)   // reads the body first, where it is not in memory
	headers       [][2]string              // that plug-ins add
	pluginFailure *pluginFailure           // a plug-in failed it: it does not go out
	expiresAt     policy.Time              // when its own time is up
	writeBy       time.Time                // when it may be written at the latest, on the wall; zero: at any time
	tooLate       bool                     // it is up, or nearly, before the call could be written, or its body is not at hand: it does not go out
	expiry        *index.Entry[itemExpiry] // of that time, where the call goes on beyond it
	reported      bool                     // its end was told to the module
	resubmit      bool                     // the module started anew since: it is told of the message instead
}

// pluginFailure is what the operator wants of a message that a plug-in failed before it went out.
type pluginFailure struct{ limits.FailureAction }

// call is one route step on its way: one message, or several of one step to one endpoint.
type call struct {
	endpoint      *endpoint
	kind          string // of the destination
	items         []callItem
	batchSize     int // bytes that the body of a batch takes, at most
	startedAt     policy.Time
	unrecorded    bool          // the journal did not take it: it was not made
	lastByteDelay time.Duration // how long to look whether the connection holds before the last byte; 0: not at all
	timeout       time.Duration
	deadline      time.Time
}

// ids names the messages of the call.
func (cl *call) ids() (ids []string) {
	for i := range cl.items {
		ids = append(ids, cl.items[i].id)
	}
	return ids
}

// itemResult is how one item of a call ended.
type itemResult struct {
	outcome       policy.Outcome
	final         bool // the endpoint says that nothing more is owed
	pluginFailure *pluginFailure
}

// callResult is what a connection reports of a call.
type callResult struct {
	conn       *endpointConn
	call       *call
	results    []itemResult // one for each item
	retryAfter time.Duration
	report     *policy.LimitReport
	err        error
	reusable   bool // the connection is idle now
}

// endpointConn is one connection to an endpoint; its goroutine carries one call at a time.
type endpointConn struct {
	endpoint      *endpoint
	calls         chan *call
	sock          net.Conn
	reader        *bufio.Reader
	lastUsed      time.Time                  // owned by the host
	idleNode      *index.Node[*endpointConn] // among idle ones, owned by the host
	lastAnswerAt  time.Time                  // when its last answer was read; zero: it has had none
	dialTimeout   time.Duration
	lateListeners *atomic.Int32                                            // connections listened to behind their calls' end; nil: not counted
	shutdown      *atomic.Int32                                            // how far the process has come in its stop, a leaveStage; nil: it does not stop
	dial          func(addr string, limit time.Duration) (net.Conn, error) // nil but in tests
	plugins       *plugin.Holder
	metrics       *metrics.Set // nil: none are kept
	buf           []byte
}

// run carries calls until the channel is closed or the connection is of no more use.
func (c *endpointConn) run(events chan<- any) {
	for cl := range c.calls {
		res := c.makeCall(cl)
		listen := !res.reusable && c.closeSending(res)
		if !res.reusable && !listen {
			c.close()
		}
		events <- res
		if listen {
			// Guards against a wait that crosses the end of its call: it binds from when it was written.
			if wait := c.readLateRetryAfter(); wait > 0 {
				events <- lateRetryAfter{c.endpoint, wait}
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

func (c *endpointConn) close() {
	if c.sock != nil {
		c.sock.Close()
		c.sock, c.lastAnswerAt = nil, time.Time{}
	}
}

// makeCall makes one call. A panic ends the connection and the call, nothing else.
func (c *endpointConn) makeCall(cl *call) (res callResult) {
	res = callResult{conn: c, call: cl}
	stage := Started
	fail := func(err error) {
		se := &AttemptError{stage, err}
		res.err, res.reusable, res.results = se, false, cl.markExcluded(uniformResults(cl, itemResult{outcome: se.Outcome()}))
	}
	defer func() {
		if p := recover(); p != nil {
			fail(fmt.Errorf("panic: %v", p))
		}
	}()
	if err := cl.loadBodies(); cl.includedCount() == 0 {
		res.results, res.reusable = cl.markExcluded(uniformResults(cl, itemResult{outcome: policy.Unsent})), c.sock != nil
		res.err = err
		return res
	}
	plugins := c.plugins.Acquire()
	if plugins != nil {
		defer plugins.Release()
		if cl.shapeRequests(plugins) == 0 || !time.Now().Before(cl.deadline) {
			// Guards against booking to the endpoint what plug-ins have spent.
			res.results, res.reusable = cl.markExcluded(uniformResults(cl, itemResult{outcome: policy.Unsent})), c.sock != nil
			return res
		}
	}
	if c.sock != nil {
		// Guards against a second copy or noise that comes right behind an answer, and would be read as the next
		// call's: what belongs to the last answer has come when the next call is written, and shows as stale.
		time.Sleep(settleDelay - time.Since(c.lastAnswerAt))
	}
	if c.sock != nil && stale(c.sock) {
		// Guards against a request written to a connection that the endpoint closed while it stood idle:
		// that would end as a reset, and the message might have run.
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
	stage = Dialled
	if !cl.excludeExpired(time.Now()) {
		fail(errBlocked)
		return res
	}
	c.sock.SetDeadline(cl.deadline)
	// Guards against an answer that comes in the time that is told, and that nobody waits for any more: the dial has used some of it up.
	c.buf = appendRequest(c.buf[:0], cl, time.Until(cl.deadline))
	last := len(c.buf)
	// Guards against breaking a told wait or a drain that was learned while this call was dialled or built, and against a call that is cut
	// by the process's end just after its last byte: it waits for the next start instead.
	if c.blockedByShutdown(cl) || cl.endpoint.blocked() {
		fail(errBlocked)
		return res
	}
	if cl.lastByteDelay > 0 {
		last--
	}
	if _, err := c.sock.Write(c.buf[:last]); err != nil {
		fail(err)
		return res
	}
	if cl.lastByteDelay > 0 {
		// Guards against losing a charge to a connection that is reset as its request comes: until the last byte is
		// written, the call has not run and may be made again.
		c.sock.SetReadDeadline(time.Now().Add(cl.lastByteDelay))
		if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			fail(c.earlyEndError(err))
			return res
		}
		// Guards against a wait, a drain or the process's end in the time of that look.
		if c.blockedByShutdown(cl) || cl.endpoint.blocked() {
			fail(errBlocked)
			return res
		}
		c.sock.SetReadDeadline(cl.deadline)
		if _, err := c.sock.Write(c.buf[last:]); err != nil {
			fail(err)
			return res
		}
	}
	stage = Written
	c.metrics.CountAttempts(cl.includedCount())
	a, err := readResponseHeadWith(c.reader, func() {
		// Guards against a head or a body that never ends: once an answer has begun, all of it follows at once,
		// or it is spoilt and its slot is free.
		c.sock.SetReadDeadline(earlier(cl.deadline, time.Now().Add(answerRestTimeout)))
	})
	if a != nil {
		stage = Answered
		// Guards against a wait that binds only once its answer's body has come, or not at all where that is cut or spoilt.
		res.retryAfter = cl.endpoint.recordRetryAfter(&a.head)
	}
	single, first := cl.includedCount() == 1, c.lastAnswerAt.IsZero()
	if err != nil {
		if fail(err); a != nil && a.status == 200 && single {
			// Guards against failing, or sending again, what a first line with 200 has delivered.
			res.results = cl.markExcluded(uniformResults(cl, itemResult{outcome: policy.Delivered}))
		}
		return res
	}
	rest := a.readRemaining(c.reader, maxBody)
	res.report = parseLoadReport(a.get("X-Backend-Load"))
	if rest != nil && !(a.status == 200 && single) {
		// Guards against resending a charge that was run: a refusal counts as one only if all of it could be read.
		fail(rest)
		return res
	}
	// Guards against taking what an endpoint wrote past its answer for the answer to the next call.
	res.reusable = rest == nil && a.reusable && c.reader.Buffered() == 0
	res.results, c.lastAnswerAt = cl.markExcluded(itemResults(cl, a)), time.Now()
	if first && atConnectionLimit(a) && rest == nil {
		res.results, res.err = cl.markExcluded(uniformResults(cl, itemResult{outcome: policy.ConnectFailed})), errConnectionLimit
	}
	if plugins != nil && rest == nil && plugins.HasHook(abi.ReadAnswer) {
		if w := cl.readAnswer(plugins, a, res.results, res.retryAfter); w > res.retryAfter {
			res.retryAfter = w
			cl.endpoint.backoff.extend(w)
		}
	}
	return res
}

// dialRetryDelay is the pause behind a dial that this machine had no room or no way for.
const dialRetryDelay = 20 * time.Millisecond

// dialWithRetry dials within limit. Guards against booking to the endpoint what passes on this machine: it dials again.
func (c *endpointConn) dialWithRetry(limit time.Duration) (net.Conn, error) {
	dial := c.dial
	if dial == nil {
		dial = func(addr string, limit time.Duration) (net.Conn, error) {
			return (&net.Dialer{Timeout: limit, KeepAlive: -1}).Dial("tcp", addr)
		}
	}
	for by := time.Now().Add(limit); ; {
		sock, err := dial(c.endpoint.addr, limit)
		if limit = time.Until(by); err == nil || !transient.Is(err) || limit <= dialRetryDelay {
			return sock, err
		}
		time.Sleep(dialRetryDelay)
		limit -= dialRetryDelay
	}
}

// shutdownStage is how far a planned stop has come.
type shutdownStage = int32

const (
	shutdownNone          shutdownStage = iota
	shutdownNoUnsafeCalls               // nothing is written any more that may not be repeated
	shutdownNoCalls                     // nothing at all
)

// blockedByShutdown tells whether the call is held back by the process's stop.
func (c *endpointConn) blockedByShutdown(cl *call) bool {
	if c.shutdown == nil {
		return false
	}
	stage := c.shutdown.Load()
	return stage >= shutdownNoCalls || stage >= shutdownNoUnsafeCalls && cl.lastByteDelay > 0
}

// loadBodies reads the bodies that are not in memory. A message whose body is lost does not go out, and ends.
func (cl *call) loadBodies() (err error) {
	for i := range cl.items {
		it := &cl.items[i]
		if it.loadBody == nil {
			continue
		}
		var bad error
		if it.body, bad = it.loadBody(); bad == nil {
			continue
		}
		err = fmt.Errorf("%s: %w", it.id, bad)
		if transient.Is(bad) {
			// Guards against ending a message whose body a disk in trouble does not give now: it goes out later.
			it.tooLate = true
			time.Sleep(dialRetryDelay)
			continue
		}
		it.pluginFailure = &pluginFailure{limits.Refuse}
	}
	return err
}

// --- plug-ins ---

// pluginMessage is what plug-ins are told of an item.
func (cl *call) pluginMessage(it *callItem) *plugin.Message {
	return &plugin.Message{Class: it.class, Kind: cl.kind, ID: it.id, Key: it.key, Dest: cl.endpoint.dest, Attempt: it.attempt,
		TimeLeft: time.Until(cl.deadline), Notes: it.pluginNotes, Body: it.body}
}

// shapeRequests asks plug-ins for the body and the headers of each item, before anything of the call goes out. It returns how
// many items still go.
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
			// Guards against a batch that shaping made longer than any body may be.
			failed = &plugin.CallError{Action: limits.Refuse}
		}
		if failed != nil {
			it.pluginFailure = &pluginFailure{failed.Action}
			continue
		}
		it.body, it.headers, size = body, headers, size+maxItemSize(it.id, it.key, len(body))
	}
	cl.timeout = time.Until(cl.deadline) // what is left is what the call states
	return cl.includedCount()
}

// includedCount counts the items that go out.
func (cl *call) includedCount() (n int) {
	for i := range cl.items {
		if !cl.items[i].excluded() {
			n++
		}
	}
	return n
}

// excluded tells whether the item does not go out.
func (it *callItem) excluded() bool { return it.pluginFailure != nil || it.tooLate }

// minTimeLeft is what an item must have left as its call is written: no partner answers in less, and what is over is not sent.
const minTimeLeft = 20 * time.Millisecond

// excludeExpired takes out the items whose time was up while the call was dialled, and tells whether any still goes. Guards against sending what
// has had its final answer: one item of a batch may end while the call lasts as long as its most patient one.
func (cl *call) excludeExpired(now time.Time) bool {
	for i := range cl.items {
		it := &cl.items[i]
		it.tooLate = it.tooLate || !it.writeBy.IsZero() && it.writeBy.Sub(now) < minTimeLeft
	}
	return cl.includedCount() > 0
}

// markExcluded puts right the ends of items that plug-ins held back: nothing of them went out.
func (cl *call) markExcluded(all []itemResult) []itemResult {
	for i := range cl.items {
		if it := &cl.items[i]; it.excluded() {
			all[i] = itemResult{outcome: policy.Unsent, pluginFailure: it.pluginFailure}
		}
	}
	return all
}

// readAnswer asks plug-ins what an answer means for each item, and for how long to wait.
func (cl *call) readAnswer(set *plugin.Set, a *response, all []itemResult, wait time.Duration) time.Duration {
	in := plugin.Answer{Status: a.status, Body: a.body, Wait: wait}
	for _, f := range a.fields {
		in.Headers = append(in.Headers, [2]string{f.name, f.value})
	}
	for i := range all {
		if cl.items[i].excluded() || all[i].final {
			continue
		}
		switch all[i].outcome {
		case policy.Delivered:
			in.Outcome = abi.Delivered
		case policy.Rejected, policy.Unsent:
			in.Outcome = abi.NeverRan
		default:
			in.Outcome = abi.MayHave
		}
		was := in.Outcome
		if in.Outcome, in.Wait = set.ReadAnswer(cl.pluginMessage(&cl.items[i]), in); in.Outcome != was {
			all[i] = itemResult{outcome: policy.Errored}
		}
	}
	return in.Wait
}

const (
	answerRestTimeout = 500 * time.Millisecond // for the rest of an answer, from its first line on
	lastByteDelay     = 4 * time.Millisecond   // before the last byte of what must not run twice, whether the connection holds
	settleDelay       = 10 * time.Millisecond  // from an answer to the next call on its connection
)

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func uniformResults(cl *call, e itemResult) []itemResult {
	out := make([]itemResult, len(cl.items))
	for i := range out {
		out[i] = e
	}
	return out
}

// itemResults reads how each item of the call ended.
func itemResults(cl *call, a *response) []itemResult {
	switch a.status {
	case 200:
		if cl.includedCount() == 1 {
			return uniformResults(cl, itemResult{outcome: policy.Delivered}) // the body means nothing
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

var batchItemStates = map[string]itemResult{
	"ok": {outcome: policy.Delivered}, "error": {outcome: policy.Errored}, "later": {outcome: policy.Rejected},
	"gone": {outcome: policy.Unsent, final: true}, "exhausted": {outcome: policy.Unsent},
}

// batchResults reads the answer to several: what it says of each message that it names once. Any other may have run.
func batchResults(cl *call, body []byte) []itemResult {
	out := uniformResults(cl, itemResult{outcome: policy.Errored})
	all := gjson.ParseBytes(body)
	if !gjson.ValidBytes(body) || !all.IsArray() {
		return out
	}
	named, told := map[string]int{}, map[string]itemResult{}
	for _, v := range all.Array() {
		id := v.Get("id").Str
		named[id]++
		if e, ok := batchItemStates[v.Get("state").Str]; ok {
			told[id] = e
		}
	}
	for i := range cl.items {
		id := cl.items[i].id
		if e, ok := told[id]; ok && named[id] == 1 {
			out[i] = e
		}
	}
	return out
}

// parseLoadReport reads a line like x0=0.4,x1=25; nil where it tells no limit or can't be read.
func parseLoadReport(s string) *policy.LimitReport {
	if s == "" {
		return nil
	}
	var rep policy.LimitReport
	told := false
	for _, part := range strings.Split(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 1) {
			return nil // Guards against half a report that reads as another, and against figures that are none
		}
		switch name {
		case "x0":
			rep.Remaining = v
		case "x1":
			rep.Limit, told = v, true
		}
	}
	if !told {
		return nil
	}
	return &rep
}

// appendRequest writes the request, which is waited for so long: of one message as it came, of several as a JSON array.
func appendRequest(b []byte, cl *call, wait time.Duration) []byte {
	left := strconv.FormatInt(max(1, wait.Milliseconds()), 10)
	if cl.includedCount() == 1 {
		it := &cl.items[slices.IndexFunc(cl.items, func(it callItem) bool { return !it.excluded() })]
		b = append(b, "POST /hook HTTP/1.1\r\n"...)
		b = appendField(appendField(b, "Host", cl.endpoint.addr), "X-Correlation-Id", it.id)
		if it.key != "" {
			b = appendField(b, "Idempotency-Key", it.key)
		}
		for _, h := range it.headers {
			b = appendField(b, h[0], h[1])
		}
		b = appendLength(appendField(b, "X-Time-Left-Ms", left), len(it.body))
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
	b = appendField(appendField(b, "Host", cl.endpoint.addr), "Content-Type", "application/json")
	b = appendLength(appendField(b, "X-Time-Left-Ms", left), len(body))
	return append(b, body...)
}
