package wire

import (
	"bufio"
	"context"
	"net"
	"time"
)

// agentConn is a kept connection to the platform's agent, for one request at a time.
type agentConn struct {
	addr   string
	sock   net.Conn
	reader *bufio.Reader
	dial   dialFunc // nil but in tests
}

// dialFunc opens a connection as net.Dialer does.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

const agentDialTimeout = 2 * time.Second

// roundTrip sends one request and reads its answer within limit, or until ctx ends. Any error closes the connection.
func (p *agentConn) roundTrip(ctx context.Context, request []byte, limit time.Duration) (*response, error) {
	if p.sock != nil && stale(p.sock) {
		p.close()
	}
	if p.sock == nil {
		dial := p.dial
		if dial == nil {
			dial = (&net.Dialer{Timeout: min(limit, agentDialTimeout), KeepAlive: -1}).DialContext
		}
		sock, err := dial(ctx, "tcp", p.addr)
		if err != nil {
			return nil, &AttemptError{Started, err}
		}
		p.sock, p.reader = sock, bufio.NewReaderSize(sock, readBufferSize)
	}
	sock := p.sock
	sock.SetDeadline(time.Now().Add(limit))
	// Guards against a watch that hangs at an address which a reload has replaced.
	defer context.AfterFunc(ctx, func() { sock.SetDeadline(time.Unix(1, 0)) })()
	if _, err := sock.Write(request); err != nil {
		p.close()
		return nil, &AttemptError{Dialled, err}
	}
	a, err := readResponseHead(p.reader)
	if err == nil {
		err = a.readRemaining(p.reader, maxResponseBody)
	}
	if err != nil {
		p.close()
		return nil, &AttemptError{Written, err}
	}
	if !a.reusable || p.reader.Buffered() > 0 {
		p.close()
	}
	return a, nil
}

func (p *agentConn) close() {
	if p.sock != nil {
		p.sock.Close()
		p.sock = nil
	}
}
