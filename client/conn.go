package client

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"time"

	"oatfold/client/decide"
)

// Bounds of requests and answers.
const (
	maxAnswerBytes    = 64 << 10 // of a body that is skipped to reuse the connection
	maxHeadBytes      = 32 << 10 // of the headers of an answer, including the interim answers before it
	maxInterimAnswers = 8        // 1xx answers before the final one
	readBufferSize    = 2 << 10  // bytes

	// On a connection that was idle for minIdleForDelay, the last byte of an unsafe message is sent
	// lastByteDelay after the others, which leaves time to notice that the relay has closed it.
	lastByteDelay   = 4 * time.Millisecond
	minIdleForDelay = time.Second
)

// errConnEnded says that the connection ended instead of carrying an answer.
var errConnEnded = errors.New("connection closed before an answer")

// errConnCut says that the relay closed the connection, or sent data, before the last byte of a
// request.
var errConnCut = errors.New("connection closed before the last byte was sent")

// conn is a connection to a relay. It carries one request at a time and never resends one: each
// byte sent belongs to an attempt that the caller counts. The goroutine that took it from the idle
// connections owns it.
type conn struct {
	relay    int
	sock     net.Conn
	limited  io.LimitedReader // reads sock, up to the maximum size of an answer
	reader   *bufio.Reader    // reads limited
	lastUsed time.Time
	buf      []byte // of the request
}

// dial connects to a relay within timeout.
func dial(ctx context.Context, relay int, addr string, timeout time.Duration) (*conn, error) {
	sock, err := (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{relay: relay, sock: sock, limited: io.LimitedReader{R: sock, N: maxHeadBytes}, lastUsed: time.Now()}
	c.reader = bufio.NewReaderSize(&c.limited, readBufferSize)
	return c, nil
}

// reply is the result of a request.
type reply struct {
	end      decide.End
	err      error // why there is no answer
	stopping bool  // the relay announced that it is stopping
	reusable bool  // the connection can carry another request
}

// roundTrip writes a request and reads its answer within timeout. With delayLastByte it first
// checks for lastByteDelay that the relay has not closed the connection: until the last byte is
// sent, the message can't have been accepted.
func (c *conn) roundTrip(ctx context.Context, request []byte, timeout time.Duration, delayLastByte bool) (rep reply) {
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { c.sock.SetDeadline(time.Unix(1, 0)) })
		defer func() {
			if !stop() { // the connection's deadline has been overwritten
				rep.reusable = false
			}
		}()
	}
	c.sock.SetDeadline(time.Now().Add(timeout))
	if ctx.Err() != nil { // the deadline above may have replaced the one set on cancellation
		return reply{err: ctx.Err()}
	}
	bytesSent := 0
	write := func(b []byte) bool {
		n, err := c.sock.Write(b)
		if bytesSent += n; err != nil {
			rep.err = err
			if bytesSent > 0 {
				rep.end.Stage = decide.WrittenPart
			}
		}
		return err == nil
	}
	if delayLastByte {
		last := len(request) - 1
		if !write(request[:last]) {
			return rep
		}
		c.sock.SetReadDeadline(time.Now().Add(lastByteDelay))
		if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil {
			return reply{end: decide.End{Stage: decide.WrittenPart}, err: errConnCut}
		}
		c.sock.SetReadDeadline(time.Now().Add(timeout))
		request = request[last:]
	}
	if !write(request) {
		return rep
	}
	rep.end.Stage = decide.WrittenWhole
	c.readAnswer(&rep)
	return rep
}

// readAnswer reads one answer into rep and skips interim ones. A malformed answer counts as none.
// The body is skipped if its length is known; otherwise the connection can't be reused.
func (c *conn) readAnswer(rep *reply) {
	c.limited.N = maxHeadBytes
	status, head := 0, textproto.MIMEHeader(nil)
	for n := 0; status < 200; n++ {
		var err error
		if n > maxInterimAnswers {
			err = errConnEnded
		} else if status, head, err = c.readHead(); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			err = errConnEnded
		}
		if err != nil {
			rep.err = err
			return
		}
	}
	rep.end.Stage, rep.end.Status = decide.Answered, status
	rep.end.Wait, rep.end.Told = decide.RetryAfter(head.Get("Retry-After"))
	rep.stopping = head.Get(stateField) == stateStopping
	length, err := strconv.ParseUint(head.Get("Content-Length"), 10, 31)
	rep.reusable = err == nil && length <= maxAnswerBytes && head["Transfer-Encoding"] == nil &&
		!strings.Contains(strings.ToLower(head.Get("Connection")), "close")
	if rep.reusable {
		c.limited.N = maxAnswerBytes
		_, err = c.reader.Discard(int(length))
		rep.reusable = err == nil && c.reader.Buffered() == 0
	}
	c.lastUsed = time.Now()
}

// errMalformedAnswer says that an answer is not HTTP/1.
var errMalformedAnswer = errors.New("malformed answer")

// readHead reads a status line and the header fields below it.
func (c *conn) readHead() (status int, fields textproto.MIMEHeader, err error) {
	r := textproto.Reader{R: c.reader}
	line, err := r.ReadLine()
	if err != nil {
		return 0, nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || !strings.HasPrefix(version, "HTTP/1.") {
		return 0, nil, errMalformedAnswer
	}
	fields, err = r.ReadMIMEHeader()
	return status, fields, err
}

// The header field by which a relay announces that it is stopping.
const (
	stateField    = "X-Relay-State"
	stateStopping = "stopping"
)

// checkReady asks the relay whether it accepts messages. A server without GET /ready counts as
// ready.
func (c *conn) checkReady(host string, timeout time.Duration) (ready, reusable bool) {
	c.sock.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c.sock, "GET /ready HTTP/1.1\r\nHost: "+host+"\r\n\r\n"); err != nil {
		return false, false
	}
	rep := reply{}
	c.readAnswer(&rep)
	ready = rep.end.Stage == decide.Answered && rep.end.Status != 503 && !rep.stopping
	return ready, ready && rep.reusable
}

// appendRequest appends the request of one attempt. The caller has checked that no field contains a
// line end.
func appendRequest(b []byte, host, id, mark string, m *Message, timeLeft time.Duration) []byte {
	field := func(name, value string) {
		b = append(append(append(append(b, name...), ": "...), value...), '\r', '\n')
	}
	b = append(append(append(b, "POST /"...), m.Class...), " HTTP/1.1\r\n"...)
	field("Host", host)
	field("X-Correlation-Id", id)
	b = append(strconv.AppendInt(append(b, "X-Time-Left-Ms: "...), timeLeft.Milliseconds(), 10), '\r', '\n')
	b = append(strconv.AppendInt(append(b, "Envelope: dest="...), int64(m.Dest), 10), '\r', '\n')
	if m.Key != "" {
		field("Idempotency-Key", m.Key)
	}
	if mark != "" {
		field("X-Repeat", mark)
	}
	b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(m.Body)), 10), "\r\n\r\n"...)
	return append(b, m.Body...)
}

// isVisibleASCII reports whether s is visible ASCII of at most maxBytes bytes, as a header field or
// a path allows.
func isVisibleASCII(s string, maxBytes int) bool {
	return len(s) <= maxBytes && strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
