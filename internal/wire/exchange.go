package wire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"time"
)

// exchange is one request on a client connection and its response.
type exchange struct {
	net.Conn
	reader     *bufio.Reader
	server     *Server
	connNumber uint32
	startedAt  time.Time
	closeAfter bool // the client sends no further request
	answered   bool // a response was written
}

// handleExchange reads and answers one request. It returns why the connection closes after it, or
// staysOpen. A panic closes only this connection; a request that was read is still answered.
func (s *Server) handleExchange(x *exchange) (reason closeReason) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		s.log.Error("panic on a client connection", "panic", p)
		if reason = closedMalformed; !x.answered {
			x.closeAfter = true
			x.reply(500, 0, nil)
		}
	}()
	return s.handleRequest(x)
}

// rejectMalformed answers a request that could not be read, if the client may still be reading. The
// connection closes.
func (s *Server) rejectMalformed(x *exchange, err error) closeReason {
	status := 0
	switch {
	case errors.Is(err, errFirstLine), errors.Is(err, errHeader), errors.Is(err, errLength),
		errors.Is(err, io.ErrUnexpectedEOF):
		status = 400 // the last is a partial request of a client that may still read
	case errors.Is(err, errBodyTooLong):
		status = 413
	case errors.Is(err, errHeaderTooLong):
		status = 431
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = 408
	}
	if status == 0 {
		return closedByClient
	}
	x.closeAfter = true
	if x.reply(status, 0, err) == closedByClient {
		return closedByClient
	}
	return closedMalformed
}

var statusTexts = map[int]string{
	200: "OK",
	202: "Accepted",
	400: "Bad Request",
	405: "Method Not Allowed",
	408: "Request Timeout",
	413: "Content Too Large",
	422: "Unprocessable Content",
	500: "Internal Server Error",
	429: "Too Many Requests",
	431: "Request Header Fields Too Large",
	503: "Service Unavailable",
}

// reply writes a response with a status, Retry-After if retryAfter is positive, and the text of
// problem if it is set. It returns why the connection closes after it: closedByClient if the
// response could not be written, or staysOpen.
func (x *exchange) reply(status int, retryAfter time.Duration, problem error) closeReason {
	b := make([]byte, 0, 128)
	b = append(strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10), ' ')
	b = append(append(b, statusTexts[status]...), "\r\n"...)
	if retryAfter > 0 {
		b = appendField(b, "Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	view, reason := x.server.drainView.Load(), staysOpen
	switch {
	case x.closeAfter:
		reason = closedByRequest
	case view.CloseAfterResponse && x.reader.Buffered() == 0:
		// Requests that are in the buffer already are answered before the connection closes.
		reason = closedByServer
	}
	if reason != staysOpen {
		b = appendField(b, "Connection", "close")
	}
	if view.Stopping {
		b = append(b, "X-Relay-State: stopping\r\n"...) // tells clients to send no new request on this connection
	}
	text := ""
	if problem != nil {
		text = problem.Error() + "\n"
	}
	x.answered = true
	x.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	if _, err := x.Write(append(appendLength(b, len(text)), text...)); err != nil {
		return closedByClient
	}
	return reason
}

// Write records the response in the trace.
func (x *exchange) Write(b []byte) (int, error) {
	n, err := x.Conn.Write(b)
	if len(b) > 12 {
		status, _ := strconv.Atoi(string(b[9:12]))
		if err != nil {
			status = -status // it could not be written
		}
		x.server.trace.record(x.connNumber, traceAnswer, int64(status), time.Since(x.startedAt).Microseconds())
	}
	return n, err
}
