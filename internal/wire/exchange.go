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

// exchange is one request on a client's connection, and its answer.
type exchange struct {
	net.Conn
	reader     *bufio.Reader
	server     *Server
	connNumber uint32 // of the connection
	startedAt  time.Time
	closeAfter bool // the client sends nothing behind this request
	answered   bool // it was answered
}

// handleExchange reads and answers one request, and tells whether the connection ends with it, and why. A panic ends this connection only; what was read
// is answered all the same.
func (f *Server) handleExchange(x *exchange) (reason closeReason) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		f.log.Error("panic on a client's connection", "panic", p)
		if reason = closedMalformed; !x.answered {
			x.closeAfter = true
			x.reply(500, 0, nil)
		}
	}()
	return f.handleRequest(x)
}

// rejectMalformed ends a connection on which the request could not be read; where the client still listens, it is told.
func (f *Server) rejectMalformed(x *exchange, err error) closeReason {
	status := 0
	switch {
	case errors.Is(err, errFirstLine), errors.Is(err, errHeader), errors.Is(err, errLength), errors.Is(err, io.ErrUnexpectedEOF):
		status = 400 // the last is half a request of a client that may still listen
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

var statusTexts = map[int]string{200: "OK", 202: "Accepted", 400: "Bad Request", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 422: "Unprocessable Content", 500: "Internal Server Error", 429: "Too Many Requests", 431: "Request Header Fields Too Large", 503: "Service Unavailable"}

// reply answers with a status, advice when to come again if there is any, and for a bad request what was wrong. It tells whether the
// connection ends with this answer, and why: closedByClient where the answer did not get through.
func (x *exchange) reply(status int, retry time.Duration, wrong error) closeReason {
	b := make([]byte, 0, 128)
	b = append(strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10), ' ')
	b = append(append(b, statusTexts[status]...), "\r\n"...)
	if retry > 0 {
		b = appendField(b, "Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	view, reason := x.server.drainView.Load(), staysOpen
	switch {
	case x.closeAfter:
		reason = closedByRequest
	case view.CloseAfterResponse && x.reader.Buffered() == 0:
		// A further request that came with this one has been read, and is owed an answer before the connection may end.
		reason = closedByServer
	}
	if reason != staysOpen {
		b = appendField(b, "Connection", "close")
	}
	if view.Stopping {
		b = append(b, "X-Relay-State: stopping\r\n"...) // Guards against new requests on a connection that is closed soon
	}
	text := ""
	if wrong != nil {
		text = wrong.Error() + "\n"
	}
	x.answered = true
	x.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	if _, err := x.Write(append(appendLength(b, len(text)), text...)); err != nil {
		return closedByClient
	}
	return reason
}

// Write notes answers in the trace.
func (x *exchange) Write(b []byte) (int, error) {
	n, err := x.Conn.Write(b)
	if len(b) > 12 {
		status, _ := strconv.Atoi(string(b[9:12]))
		if err != nil {
			status = -status // it did not get through
		}
		x.server.trace.record(x.connNumber, traceAnswer, int64(status), time.Since(x.startedAt).Microseconds())
	}
	return n, err
}
