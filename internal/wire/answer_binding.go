package wire

import (
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"oatfold/policy"
)

// This file decides which call an answer belongs to. HTTP/1.1 pairs them by order alone, and the
// answer to a call with one message does not name it. An endpoint may send an answer a second time,
// and the copy may cross the next call on its way: no wait rules that out. An answer belongs to the
// call in progress if one of these facts shows it:
//
//   - Nothing was answered on the connection before.
//   - The call said that it is the last one on the connection, and the answer says so too. No earlier
//     answer did, since the connection would have ended with it.
//   - It differs from each earlier answer on the connection, so it is a copy of none.
//
// Where none of them holds, nothing follows from an answer: the relay reads on until the call's
// deadline, after which the call may have run. So that this happens only to copies, a call says that
// it is the last one wherever its own answer might equal an earlier one. An exception saves
// connections behind a rejection: where all messages of a call may be repeated, a rejection that
// nothing binds gives the call up, with its connection, before another attempt. Messages that are
// safe to repeat are then rejected, others may have run.

const (
	maxUnboundAnswers = 16 // that are passed over during a call
	maxAnswerHistory  = 64 // earlier answers that a connection remembers; a copy follows right behind its answer
)

// errUnboundRejection ends a call that was turned away, or got a copy of an earlier rejection.
var errUnboundRejection = errors.New("a rejection that may be a copy of an earlier one")

// errTooManyUnbound ends a call whose connection keeps sending earlier answers.
var errTooManyUnbound = errors.New("too many repeated answers")

// answerHistory holds the answers of one connection. The connection's goroutine owns it.
type answerHistory struct {
	digests  []uint64 // the oldest first
	singles  bool     // a call with one message was answered
	refusals bool     // a message was not delivered, so that a later answer may rightly be the same
}

// bound reports whether the answer belongs to the call in progress. last says that the call was
// announced as the last one on the connection.
func (h *answerHistory) bound(a *response, last bool) bool {
	return len(h.digests) == 0 || last && a.announcesClose() || !slices.Contains(h.digests, a.digest())
}

// add records the answer to a call with one or several messages. delivered says that all of them
// were delivered, so that no later answer names them.
func (h *answerHistory) add(a *response, single, delivered bool) {
	if len(h.digests) == maxAnswerHistory {
		h.digests = h.digests[1:]
	}
	h.digests = append(h.digests, a.digest())
	h.singles = h.singles || single
	h.refusals = h.refusals || !delivered
}

// mayRepeat reports whether the answer to the next call, with one or several messages, may equal an
// earlier answer without being its copy. A rejection has to be told from a copy only if a message must
// not be repeated.
func (h *answerHistory) mayRepeat(single bool, effect policy.Effect, traits *answerTraits) bool {
	return h.refusals && effect == policy.Unsafe || single && h.singles && !traits.vary()
}

// answerTraits is what the answers of an endpoint have shown of it. Its connections share it.
type answerTraits struct {
	lastDelivery atomic.Uint64 // digest of the last answer to a delivered call with one message; 0: none
	variety      atomic.Int32  // an answerVariety
	ignoresClose atomic.Bool   // an answer to the last call on a connection did not say that it is the last
}

// answerVariety tells whether the answers to delivered calls with one message differ from one
// another.
type answerVariety = int32

const (
	varietyUnknown answerVariety = iota
	answersVary
	answersRepeat // for good: two answers were equal once
)

// vary reports whether the answers have differed so far.
func (t *answerTraits) vary() bool { return t.variety.Load() == answersVary }

// addDelivery records the answer to a delivered call with one message.
func (t *answerTraits) addDelivery(a *response) {
	digest := a.digest()
	switch previous := t.lastDelivery.Swap(digest); {
	case previous == digest:
		t.variety.Store(answersRepeat)
	case previous != 0:
		t.variety.CompareAndSwap(varietyUnknown, answersVary)
	}
}

// addUnresolved records that answers of an endpoint were passed over during a call and no other one
// came: one of them may have been the answer after all.
func (t *answerTraits) addUnresolved(last bool) {
	t.variety.Store(answersRepeat)
	if last {
		t.ignoresClose.Store(true)
	}
}

// volatileFields differ between answers without telling one call's from another's: the date does so
// only where a second passed, the others follow from whether the connection goes on.
var volatileFields = []string{"Date", "Connection", "Keep-Alive"}

// digest identifies the answer by its content.
func (a *response) digest() uint64 {
	digest := xxhash.New()
	for _, part := range a.firstLine {
		digest.WriteString(part)
		digest.WriteString("\n")
	}
	for _, f := range a.fields {
		if slices.ContainsFunc(volatileFields, func(name string) bool { return strings.EqualFold(f.name, name) }) {
			continue
		}
		digest.WriteString(f.name)
		digest.WriteString(":")
		digest.WriteString(f.value)
		digest.WriteString("\n")
	}
	digest.Write(a.body)
	return digest.Sum64()
}

// rejection reports whether the endpoint turned the call away.
func (a *response) rejection() bool { return a.status == 429 || a.status == 503 }

// announcesClose reports whether the answer says that it is the last one on its connection.
func (a *response) announcesClose() bool { return a.closesConnection(a.firstLine[0]) }

// closeIfUnbindable closes a connection on which the answer to a further call could not be told from
// a copy of an earlier one.
func (c *endpointConn) closeIfUnbindable() {
	if traits := &c.endpoint.traits; c.sock != nil && traits.ignoresClose.Load() && c.answers.mayRepeat(true, policy.Unsafe, traits) {
		c.close()
	}
}

// readAnswer reads the answer to the call and passes over those that belong to no call. The head and
// the body fail separately; a head may be returned beside headErr.
func (c *endpointConn) readAnswer(cl *call, res *callResult) (a *response, headErr, bodyErr error) {
	traits := &cl.endpoint.traits
	for res.unboundAnswers <= maxUnboundAnswers {
		a, headErr = readResponseHeadWith(c.reader, func() {
			// Once an answer has begun, the rest has to follow quickly: an endless head or body must
			// not use up the concurrency limit.
			c.sock.SetReadDeadline(earlier(cl.deadline, time.Now().Add(answerRestTimeout)))
		})
		if a != nil {
			// Retry-After applies before the body is read, which may be slow, truncated or malformed.
			res.retryAfter = max(res.retryAfter, cl.endpoint.recordRetryAfter(&a.head))
		}
		if headErr != nil {
			if res.unboundAnswers > 0 {
				traits.addUnresolved(cl.last)
			}
			return a, headErr, nil
		}
		bodyErr = a.readRemaining(c.reader, maxBody)
		if bodyErr != nil {
			return a, nil, bodyErr
		}
		if c.answers.bound(a, cl.last) {
			if cl.last && !a.announcesClose() {
				traits.ignoresClose.Store(true)
			}
			return a, nil, nil
		}
		if res.unboundAnswers++; a.rejection() && cl.effect == policy.Safe {
			return a, nil, nil
		} else if a.rejection() && cl.effect == policy.Keyed {
			return nil, errUnboundRejection, nil
		}
		c.sock.SetReadDeadline(cl.deadline)
	}
	return nil, errTooManyUnbound, nil
}

// recordAnswer remembers the answer to a call, for those to come.
func (c *endpointConn) recordAnswer(cl *call, a *response, results []itemResult) {
	single, delivered := cl.includedCount() == 1, a.status == 200
	for i := range results {
		delivered = delivered && (results[i].outcome == policy.Delivered || cl.items[i].excluded())
	}
	c.answers.add(a, single, delivered)
	if single && delivered {
		cl.endpoint.traits.addDelivery(a)
	}
}
