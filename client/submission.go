package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"time"

	"oatfold/client/decide"
)

// This file follows one message from its first attempt to its outcome.

// submission is the state of one message while it is sent. One goroutine owns it.
type submission struct {
	client    *Client
	message   *Message
	course    *decide.Course
	result    Result
	notBefore time.Time // of the next attempt
	lastErr   error     // cause of the last attempt's failure
}

// run makes attempts until the message has its outcome. The error is the cause of the last failure
// or of the end; it is meaningless with Taken.
func (s *submission) run(ctx context.Context) (decide.Verdict, error) {
	for {
		now := time.Now()
		if err := ctx.Err(); errors.Is(err, context.DeadlineExceeded) {
			return s.expire()
		} else if err != nil {
			return s.course.End(Failed), err
		}
		if s.client.ctx.Err() != nil {
			return s.course.End(Failed), ErrClosed
		}
		timeLeft := s.course.Left(now)
		if timeLeft < time.Millisecond {
			return s.expire()
		}
		if now.Before(s.notBefore) {
			s.client.waitUntil(ctx, s.notBefore, nil)
			continue
		}
		choice, cn, changed := s.client.chooseConn(now, s.message.Dest, s.course.Avoid, timeLeft)
		if choice.Relay < 0 {
			if !choice.At.Before(now.Add(timeLeft)) && choice.Why == decide.ToldWait {
				s.client.removeWaiter()
				return s.course.End(GivenUp), errRetryAfterTooLong
			}
			s.client.waitUntil(ctx, earlier(choice.At, now.Add(timeLeft)), changed)
			s.client.removeWaiter()
			continue
		}
		if v := s.attempt(ctx, choice, cn); v.Over {
			return v, s.lastErr
		} else {
			s.notBefore = v.NotBefore
		}
	}
}

// expire ends a message whose deadline has passed: Failed if attempts were made and no byte was
// sent, else GivenUp. Course.End turns either into Uncertain if it may have been accepted.
func (s *submission) expire() (decide.Verdict, error) {
	if s.lastErr == nil {
		s.lastErr = errTimeUp
	}
	if s.course.HandIns == 0 && len(s.result.Attempts) > 0 {
		return s.course.End(Failed), s.lastErr
	}
	return s.course.End(GivenUp), s.lastErr
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// attempt sends the message once, on cn or on a new connection if cn is nil.
func (s *submission) attempt(ctx context.Context, choice decide.Choice, cn *conn) decide.Verdict {
	c, relayAddr := s.client, s.client.config.Relays[choice.Relay]
	attempt := Attempt{ID: randomHex(8), Relay: relayAddr, Mark: s.course.Mark}
	var rep reply
	began := time.Now()
	if cn == nil {
		cn, rep.err = dial(ctx, choice.Relay, relayAddr, min(c.config.ConnectTimeout, s.course.Left(began)))
		c.config.Observer.Connection(relayAddr, rep.err)
	}
	if cn != nil {
		began = time.Now()
		if attempt.Stated = s.course.Begin(began); attempt.Stated > 0 {
			cn.buf = appendRequest(cn.buf[:0], relayAddr, attempt.ID, attempt.Mark, s.message, attempt.Stated)
			delayLastByte := s.message.Effect == Unsafe && began.Sub(cn.lastUsed) >= minIdleForDelay
			rep = cn.roundTrip(ctx, cn.buf, c.config.AnswerTimeout, delayLastByte)
		} else {
			rep.err = errTimeUp
		}
	}
	now, jitter := time.Now(), rand.Float64()
	rep.end = rep.end.Waiting(len(s.course.Waits), jitter)
	attempt.Stage, attempt.Status, attempt.Err = rep.end.Stage, rep.end.Status, rep.err
	s.result.Attempts, s.result.ID, s.result.Relay = append(s.result.Attempts, attempt), attempt.ID, relayAddr
	if attempt.Stage > NotConnected {
		c.config.Observer.HandIn(attempt, now.Sub(began))
	}
	c.recordAttempt(now, choice.Relay, s.message.Dest, cn, rep, ctx.Err() != nil)
	if s.lastErr = rep.err; attempt.Stage == Answered {
		s.lastErr = statusError(attempt.Status)
	} else if attempt.Stage == WrittenWhole && errors.Is(rep.err, os.ErrDeadlineExceeded) {
		s.lastErr = errNoAnswer
	}
	v := s.course.Ended(now, choice.Relay, rep.end, jitter)
	if err := ctx.Err(); err != nil && v.Outcome != Taken && !errors.Is(err, context.DeadlineExceeded) {
		if s.lastErr = err; !v.Over {
			return s.course.End(Failed)
		}
	}
	return v
}
