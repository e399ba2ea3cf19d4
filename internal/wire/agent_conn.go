package wire

import (
	"bufio"
	"context"
	"net"
	"time"
)

// agentConn is a persistent connection to the platform's agent, for one request at a time.
type agentConn struct {
	addr   string
	sock   net.Conn
	reader *bufio.Reader
	dial   dialFunc // set by tests only
}

// dialFunc opens a connection as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// agentDialTimeout bounds a connection attempt to the agent.
const agentDialTimeout = 2 * time.Second

// roundTrip sends one request and reads its answer within limit, or until ctx ends. Any error
// closes the connection.
func (c *agentConn) roundTrip(ctx context.Context, request []byte, limit time.Duration) (*response, error) {
	if c.sock != nil && stale(c.sock) {
		c.close()
	}
	if c.sock == nil {
		dial := c.dial
		if dial == nil {
			dial = (&net.Dialer{Timeout: min(limit, agentDialTimeout), KeepAlive: -1}).DialContext
		}
		sock, err := dial(ctx, "tcp", c.addr)
		if err != nil {
			return nil, &AttemptError{Started, err}
		}
		c.sock, c.reader = sock, bufio.NewReaderSize(sock, readBufferSize)
	}
	sock := c.sock
	sock.SetDeadline(time.Now().Add(limit))
	// A request to an address that a reload has replaced must not hang.
	defer context.AfterFunc(ctx, func() { sock.SetDeadline(time.Unix(1, 0)) })()
	if _, err := sock.Write(request); err != nil {
		c.close()
		return nil, &AttemptError{Connected, err}
	}
	a, err := readResponseHead(c.reader)
	if err == nil {
		err = a.readRemaining(c.reader, maxListBody)
	}
	if err != nil {
		c.close()
		return nil, &AttemptError{Written, err}
	}
	if !a.reusable || c.reader.Buffered() > 0 {
		c.close()
	}
	return a, nil
}

// close closes the connection, if there is one.
func (c *agentConn) close() {
	if c.sock != nil {
		c.sock.Close()
		c.sock = nil
	}
}
