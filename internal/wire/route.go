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

	"oatfold/internal/clock"
	"oatfold/internal/figures"
	"oatfold/internal/index"
	"oatfold/internal/plugin"
	"oatfold/internal/plugin/limits"
	"oatfold/internal/transient"
	"oatfold/plugin/abi"
	"oatfold/policy"
)

// Stage is how far a route step had come.
type Stage int

// The stages of a route step.
const (
	Started  Stage = iota // no connection yet
	Dialled               // the connection is up, the last byte is not written
	Written               // the last byte is written: from here on the call may have run
	Answered              // the first line of the answer was read
)

// StepError is the end of a route step without an answer. What it means for a repeat follows from the stage.
type StepError struct {
	Stage Stage
	Err   error
}

func (e *StepError) Error() string {
	return fmt.Sprintf("%s: %v", [...]string{"not dialled", "dialled", "written", "answered"}[e.Stage], e.Err)
}

func (e *StepError) Unwrap() error { return e.Err }

// NeverRan tells whether the error proves that the endpoint has not run the call.
func (e *StepError) NeverRan() bool { return e.Stage < Written }

// Outcome is what the module is told.
func (e *StepError) Outcome() policy.Outcome {
	switch {
	case errors.Is(e.Err, errHeldBack), errors.Is(e.Err, errCutOff), e.Stage == Started && transient.Resource(e.Err):
		return policy.Unsent // it tells nothing of the endpoint
	case errors.Is(e.Err, errCutAtOnce):
		return policy.CutShort
	case e.NeverRan():
		return policy.ConnectFailed
	case e.Stage == Answered, spoilt(e.Err):
		// An answer came, but it tells nothing: unlike a lost one it says nothing against idle connections.
		return policy.Errored
	case errors.Is(e.Err, os.ErrDeadlineExceeded):
		return policy.TimedOut
	}
	return policy.Broken
}

// spoilt tells whether the bytes that came were no answer.
func spoilt(err error) bool {
	for _, e := range []error{errLine, errHeader, errLength, errTooLong, errHead, errInterim} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// errHeldBack ends a call whose destination told a wait, or whose endpoint was drained, while it was dialled.
var errHeldBack = errors.New("destination may not be sent to now")

// errCutOff ends a call whose connection spoke before the last byte was written, or ended so and had served other calls. It tells of
// that connection, not of the endpoint's health.
var errCutOff = errors.New("connection cut before the last byte")

// errCutAtOnce ends a call whose new connection ended before the last byte was written: nothing gets through to the endpoint.
var errCutAtOnce = errors.New("new connection cut before the last byte")

// cutOff names what a connection's end, or first byte, before the last byte of a call tells. err is nil where the endpoint spoke.
// Risk: an endpoint that takes connections and resets each uses up all attempts of a charge within a moment, and is never taken for out.
func (c *routeConn) cutOff(err error) error {
	if err != nil && c.answered.IsZero() {
		return errCutAtOnce
	}
	return errCutOff
}

// errTableFull ends a call whose endpoint holds as many connections as it can.
var errTableFull = errors.New("endpoint takes no further connection")

// tableFull tells whether an answer, the first on its connection, says that the endpoint takes no more of them: it turns the call away,
// tells no wait and closes. Risk: taken for a refusal above the limit, it lengthens the slot, while the relays that hold idle
// connections keep the endpoint to themselves.
func tableFull(a *answer) bool {
	return a.status == 503 && !a.keep && a.get("Wait-Ms") == "" && a.get("Slots-Taken") == ""
}

// gate is what the connections of a destination share: until when it must not be sent to. That is kept on the monotonic clock: a wait
// is a span, and a step of the wall clock would open the gate or keep it shut.
type gate struct{ until atomic.Int64 } // as clock.Since

// hold closes the gate for at least d from now on.
func (g *gate) hold(d time.Duration) {
	for end := int64(clock.Since() + d); ; {
		was := g.until.Load()
		if was >= end || g.until.CompareAndSwap(was, end) {
			return
		}
	}
}

// left is for how long the gate stays closed; negative once it is open.
func (g *gate) left() time.Duration { return time.Duration(g.until.Load()) - clock.Since() }

func (g *gate) closed() bool { return g.left() > 0 }

// endpoint is where a member of the pool config is reached. The state is read by its connections.
type endpoint struct {
	id, addr string
	dest     int
	zone     string
	rate     float64
	state    atomic.Int32 // policy.EndpointState
	gate     *gate
	idle     []*routeConn // last used last
}

// shut tells whether nothing may be written to the endpoint now: a wait was told, or it is drained or gone.
func (ep *endpoint) shut() bool {
	return ep.gate.closed() || policy.EndpointState(ep.state.Load()) != policy.Listed
}

// item is one message of a call.
type item struct {
	num     uint32
	step    int
	id, key string
	class   string
	notes   []byte                 // of plug-ins, as it came in
	body    []byte                 // as it goes out
	load    func() ([]byte, error) // reads the body first, where it is not in memory
	headers [][2]string            // that plug-ins add
	then    *then                  // a plug-in failed it: it does not go out
	until   policy.Time            // when its own time is up
	by      time.Time              // when it may be written at the latest, on the wall; zero: at any time
	late    bool                   // it is up, or nearly, before the call could be written, or its body is not at hand: it does not go out
	expiry  *index.Entry[expiry]   // of that time, where the call goes on beyond it
	ended   bool                   // its end was told to the module
	anew    bool                   // the module started anew since: it is told of the message instead
}

// then is what the operator wants of a message that a plug-in failed before it went out.
type then struct{ limits.Then }

// call is one route step on its way: one message, or several of one step to one endpoint.
type call struct {
	ep         *endpoint
	kind       string // of the destination
	items      []item
	size       int // bytes that the body of a batch takes, at most
	began      policy.Time
	unrecorded bool          // the journal did not take it: it was not made
	careful    time.Duration // how long to look whether the connection holds before the last byte; 0: not at all
	timeout    time.Duration
	deadline   time.Time
}

// ids names the messages of the call.
func (cl *call) ids() (ids []string) {
	for i := range cl.items {
		ids = append(ids, cl.items[i].id)
	}
	return ids
}

// end is how one item of a call ended.
type end struct {
	outcome policy.Outcome
	over    bool // the endpoint says that nothing more is owed
	then    *then
}

// callEnded is what a connection reports of a call.
type callEnded struct {
	conn   *routeConn
	call   *call
	ends   []end // one for each item
	wait   time.Duration
	report *policy.Report
	err    error
	keep   bool // the connection is idle now
}

// routeConn is one connection to an endpoint; its goroutine carries one call at a time.
type routeConn struct {
	ep          *endpoint
	calls       chan *call
	sock        net.Conn
	r           *bufio.Reader
	usedAt      time.Time               // owned by the host
	place       *index.Node[*routeConn] // among idle ones, owned by the host
	answered    time.Time               // when its last answer was read; zero: it has had none
	dialTimeout time.Duration
	listening   *atomic.Int32                                            // connections listened to behind their calls' end; nil: not counted
	leaving     *atomic.Int32                                            // how far the process has come in its stop, a leaveStage; nil: it does not stop
	dial        func(addr string, limit time.Duration) (net.Conn, error) // nil but in tests
	plugins     *plugin.Holder
	figures     *figures.Set // nil: none are kept
	buf         []byte
}

// run carries calls until the channel is closed or the connection is of no more use.
func (c *routeConn) run(events chan<- any) {
	for cl := range c.calls {
		res := c.carry(cl)
		listen := !res.keep && c.endSending(res)
		if !res.keep && !listen {
			c.drop()
		}
		events <- res
		if listen {
			// Guards against a wait that crosses the end of its call: it binds from when it was written.
			if wait := c.hearLate(); wait > 0 {
				events <- lateWait{c.ep, wait}
			}
			c.drop()
			c.endListening()
		}
		if !res.keep {
			return
		}
	}
	c.drop()
}

func (c *routeConn) drop() {
	if c.sock != nil {
		c.sock.Close()
		c.sock, c.answered = nil, time.Time{}
	}
}

// carry makes one call. A panic ends the connection and the call, nothing else.
func (c *routeConn) carry(cl *call) (res callEnded) {
	res = callEnded{conn: c, call: cl}
	stage := Started
	fail := func(err error) {
		se := &StepError{stage, err}
		res.err, res.keep, res.ends = se, false, cl.heldBack(alike(cl, end{outcome: se.Outcome()}))
	}
	defer func() {
		if p := recover(); p != nil {
			fail(fmt.Errorf("panic: %v", p))
		}
	}()
	if err := cl.fetch(); cl.going() == 0 {
		res.ends, res.keep = cl.heldBack(alike(cl, end{outcome: policy.Unsent})), c.sock != nil
		res.err = err
		return res
	}
	plugins := c.plugins.Use()
	if plugins != nil {
		defer plugins.Done()
		if cl.shape(plugins) == 0 || !time.Now().Before(cl.deadline) {
			// Guards against booking to the endpoint what plug-ins have spent.
			res.ends, res.keep = cl.heldBack(alike(cl, end{outcome: policy.Unsent})), c.sock != nil
			return res
		}
	}
	if c.sock != nil {
		// Guards against a second copy or noise that comes right behind an answer, and would be read as the next
		// call's: what belongs to the last answer has come when the next call is written, and shows as stale.
		time.Sleep(settle - time.Since(c.answered))
	}
	if c.sock != nil && stale(c.sock) {
		// Guards against a request written to a connection that the endpoint closed while it stood idle:
		// that would end as a reset, and the message might have run.
		c.drop()
	}
	if c.sock == nil {
		limit := min(c.dialTimeout, time.Until(cl.deadline))
		if limit <= 0 {
			fail(os.ErrDeadlineExceeded)
			return res
		}
		sock, err := c.connect(limit)
		if err != nil {
			fail(err)
			return res
		}
		c.sock, c.r = sock, bufio.NewReaderSize(sock, maxLine)
	}
	stage = Dialled
	if !cl.inTime(time.Now()) {
		fail(errHeldBack)
		return res
	}
	c.sock.SetDeadline(cl.deadline)
	// Guards against an answer that comes in the time that is told, and that nobody waits for any more: the dial has used some of it up.
	c.buf = appendCall(c.buf[:0], cl, time.Until(cl.deadline))
	last := len(c.buf)
	// Guards against breaking a told wait or a drain that was learned while this call was dialled or built, and against a call that is cut
	// by the process's end just after its last byte: it waits for the next start instead.
	if c.held(cl) || cl.ep.shut() {
		fail(errHeldBack)
		return res
	}
	if cl.careful > 0 {
		last--
	}
	if _, err := c.sock.Write(c.buf[:last]); err != nil {
		fail(err)
		return res
	}
	if cl.careful > 0 {
		// Guards against losing a charge to a connection that is reset as its request comes: until the last byte is
		// written, the call has not run and may be made again.
		c.sock.SetReadDeadline(time.Now().Add(cl.careful))
		if _, err := c.r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			fail(c.cutOff(err))
			return res
		}
		// Guards against a wait, a drain or the process's end in the time of that look.
		if c.held(cl) || cl.ep.shut() {
			fail(errHeldBack)
			return res
		}
		c.sock.SetReadDeadline(cl.deadline)
		if _, err := c.sock.Write(c.buf[last:]); err != nil {
			fail(err)
			return res
		}
	}
	stage = Written
	c.figures.Tried(cl.going())
	a, err := readStatusWith(c.r, func() {
		// Guards against a head or a body that never ends: once an answer has begun, all of it follows at once,
		// or it is spoilt and its slot is free.
		c.sock.SetReadDeadline(earlier(cl.deadline, time.Now().Add(restLimit)))
	})
	if a != nil {
		stage = Answered
		// Guards against a wait that binds only once its answer's body has come, or not at all where that is cut or spoilt.
		res.wait = cl.ep.heed(&a.head)
	}
	single, first := cl.going() == 1, c.answered.IsZero()
	if err != nil {
		if fail(err); a != nil && a.status == 200 && single {
			// Guards against failing, or sending again, what a first line with 200 has delivered.
			res.ends = cl.heldBack(alike(cl, end{outcome: policy.Delivered}))
		}
		return res
	}
	rest := a.readRest(c.r, maxBody)
	res.report = loadReport(a.get("X-Backend-Load"))
	if rest != nil && !(a.status == 200 && single) {
		// Guards against resending a charge that was run: a refusal counts as one only if all of it could be read.
		fail(rest)
		return res
	}
	// Guards against taking what an endpoint wrote past its answer for the answer to the next call.
	res.keep = rest == nil && a.keep && c.r.Buffered() == 0
	res.ends, c.answered = cl.heldBack(ends(cl, a)), time.Now()
	if first && tableFull(a) && rest == nil {
		res.ends, res.err = cl.heldBack(alike(cl, end{outcome: policy.ConnectFailed})), errTableFull
	}
	if plugins != nil && rest == nil && plugins.Asks(abi.ReadAnswer) {
		if w := cl.read(plugins, a, res.ends, res.wait); w > res.wait {
			res.wait = w
			cl.ep.gate.hold(w)
		}
	}
	return res
}

// dialAgain is the pause behind a dial that this machine had no room or no way for.
const dialAgain = 20 * time.Millisecond

// connect dials within limit. Guards against booking to the endpoint what passes on this machine: it dials again.
func (c *routeConn) connect(limit time.Duration) (net.Conn, error) {
	dial := c.dial
	if dial == nil {
		dial = func(addr string, limit time.Duration) (net.Conn, error) {
			return (&net.Dialer{Timeout: limit, KeepAlive: -1}).Dial("tcp", addr)
		}
	}
	for by := time.Now().Add(limit); ; {
		sock, err := dial(c.ep.addr, limit)
		if limit = time.Until(by); err == nil || !transient.Is(err) || limit <= dialAgain {
			return sock, err
		}
		time.Sleep(dialAgain)
		limit -= dialAgain
	}
}

// leaveStage is how far a planned stop has come.
type leaveStage = int32

const (
	staying leaveStage = iota
	noRisk             // nothing is written any more that may not be repeated
	noCalls            // nothing at all
)

// held tells whether the call is held back by the process's stop.
func (c *routeConn) held(cl *call) bool {
	if c.leaving == nil {
		return false
	}
	stage := c.leaving.Load()
	return stage >= noCalls || stage >= noRisk && cl.careful > 0
}

// fetch reads the bodies that are not in memory. A message whose body is lost does not go out, and ends.
func (cl *call) fetch() (err error) {
	for i := range cl.items {
		it := &cl.items[i]
		if it.load == nil {
			continue
		}
		var bad error
		if it.body, bad = it.load(); bad == nil {
			continue
		}
		err = fmt.Errorf("%s: %w", it.id, bad)
		if transient.Is(bad) {
			// Guards against ending a message whose body a disk in trouble does not give now: it goes out later.
			it.late = true
			time.Sleep(dialAgain)
			continue
		}
		it.then = &then{limits.Refuse}
	}
	return err
}

// --- plug-ins ---

// told is what plug-ins are told of an item.
func (cl *call) told(it *item) *plugin.Message {
	return &plugin.Message{Class: it.class, Kind: cl.kind, ID: it.id, Key: it.key, Dest: cl.ep.dest, Attempt: it.step,
		Left: time.Until(cl.deadline), Notes: it.notes, Body: it.body}
}

// shape asks plug-ins for the body and the headers of each item, before anything of the call goes out. It returns how
// many items still go.
func (cl *call) shape(set *plugin.Set) int {
	if !set.Asks(abi.ShapeRequest) {
		return len(cl.items)
	}
	size := len("[]")
	for i := range cl.items {
		it := &cl.items[i]
		if it.out() {
			continue
		}
		body, headers, failed := set.Shape(cl.told(it))
		if failed == nil && len(cl.items) > 1 && size+itemSize(it.id, it.key, len(body)) > maxBody {
			// Guards against a batch that shaping made longer than any body may be.
			failed = &plugin.Failed{Then: limits.Refuse}
		}
		if failed != nil {
			it.then = &then{failed.Then}
			continue
		}
		it.body, it.headers, size = body, headers, size+itemSize(it.id, it.key, len(body))
	}
	cl.timeout = time.Until(cl.deadline) // what is left is what the call states
	return cl.going()
}

// going counts the items that go out.
func (cl *call) going() (n int) {
	for i := range cl.items {
		if !cl.items[i].out() {
			n++
		}
	}
	return n
}

// out tells whether the item does not go out.
func (it *item) out() bool { return it.then != nil || it.late }

// leastLeft is what an item must have left as its call is written: no partner answers in less, and what is over is not sent.
const leastLeft = 20 * time.Millisecond

// inTime takes out the items whose time was up while the call was dialled, and tells whether any still goes. Guards against sending what
// has had its final answer: one item of a batch may end while the call lasts as long as its most patient one.
func (cl *call) inTime(now time.Time) bool {
	for i := range cl.items {
		it := &cl.items[i]
		it.late = it.late || !it.by.IsZero() && it.by.Sub(now) < leastLeft
	}
	return cl.going() > 0
}

// heldBack puts right the ends of items that plug-ins held back: nothing of them went out.
func (cl *call) heldBack(all []end) []end {
	for i := range cl.items {
		if it := &cl.items[i]; it.out() {
			all[i] = end{outcome: policy.Unsent, then: it.then}
		}
	}
	return all
}

// read asks plug-ins what an answer means for each item, and for how long to wait.
func (cl *call) read(set *plugin.Set, a *answer, all []end, wait time.Duration) time.Duration {
	in := plugin.Answer{Status: a.status, Body: a.body, Wait: wait}
	for _, f := range a.fields {
		in.Headers = append(in.Headers, [2]string{f.name, f.value})
	}
	for i := range all {
		if cl.items[i].out() || all[i].over {
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
		if in.Outcome, in.Wait = set.Read(cl.told(&cl.items[i]), in); in.Outcome != was {
			all[i] = end{outcome: policy.Errored}
		}
	}
	return in.Wait
}

const (
	restLimit = 500 * time.Millisecond // for the rest of an answer, from its first line on
	lookFor   = 4 * time.Millisecond   // before the last byte of what must not run twice, whether the connection holds
	settle    = 10 * time.Millisecond  // from an answer to the next call on its connection
)

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func alike(cl *call, e end) []end {
	out := make([]end, len(cl.items))
	for i := range out {
		out[i] = e
	}
	return out
}

// ends reads how each item of the call ended.
func ends(cl *call, a *answer) []end {
	switch a.status {
	case 200:
		if cl.going() == 1 {
			return alike(cl, end{outcome: policy.Delivered}) // the body means nothing
		}
		return manyEnds(cl, a.body)
	case 429:
		return alike(cl, end{outcome: policy.Rejected})
	case 503:
		if a.get("Slots-Taken") == "1" {
			return alike(cl, end{outcome: policy.Unsent})
		}
		return alike(cl, end{outcome: policy.Rejected})
	case 410:
		return alike(cl, end{outcome: policy.Unsent, over: true})
	case 400, 404, 413, 504:
		return alike(cl, end{outcome: policy.Unsent})
	}
	return alike(cl, end{outcome: policy.Errored})
}

var states = map[string]end{
	"ok": {outcome: policy.Delivered}, "error": {outcome: policy.Errored}, "later": {outcome: policy.Rejected},
	"gone": {outcome: policy.Unsent, over: true}, "exhausted": {outcome: policy.Unsent},
}

// manyEnds reads the answer to several: what it says of each message that it names once. Any other may have run.
func manyEnds(cl *call, body []byte) []end {
	out := alike(cl, end{outcome: policy.Errored})
	all := gjson.ParseBytes(body)
	if !gjson.ValidBytes(body) || !all.IsArray() {
		return out
	}
	named, told := map[string]int{}, map[string]end{}
	for _, v := range all.Array() {
		id := v.Get("id").Str
		named[id]++
		if e, ok := states[v.Get("state").Str]; ok {
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

// loadReport reads a line like x0=0.4,x1=25; nil where it tells no limit or can't be read.
func loadReport(s string) *policy.Report {
	if s == "" {
		return nil
	}
	var rep policy.Report
	told := false
	for _, part := range strings.Split(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 1) {
			return nil // Guards against half a report that reads as another, and against figures that are none
		}
		switch name {
		case "x0":
			rep.Left = v
		case "x1":
			rep.Limit, told = v, true
		}
	}
	if !told {
		return nil
	}
	return &rep
}

// appendCall writes the request, which is waited for so long: of one message as it came, of several as a JSON array.
func appendCall(b []byte, cl *call, wait time.Duration) []byte {
	left := strconv.FormatInt(max(1, wait.Milliseconds()), 10)
	if cl.going() == 1 {
		it := &cl.items[slices.IndexFunc(cl.items, func(it item) bool { return !it.out() })]
		b = append(b, "POST /hook HTTP/1.1\r\n"...)
		b = appendField(appendField(b, "Host", cl.ep.addr), "X-Correlation-Id", it.id)
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
		if it.out() {
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
	b = appendField(appendField(b, "Host", cl.ep.addr), "Content-Type", "application/json")
	b = appendLength(appendField(b, "X-Time-Left-Ms", left), len(body))
	return append(b, body...)
}
