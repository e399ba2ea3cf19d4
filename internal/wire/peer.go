package wire

import (
	"bufio"
	"context"
	"net"
	"time"
)

// peer is a kept connection to the platform's agent, for one request at a time.
type peer struct {
	addr string
	sock net.Conn
	r    *bufio.Reader
	dial dialContext // nil but in tests
}

// dialContext opens a connection as net.Dialer does.
type dialContext func(ctx context.Context, network, addr string) (net.Conn, error)

const agentDial = 2 * time.Second

// ask sends one request and reads its answer within limit, or until ctx ends. Any error closes the connection.
func (p *peer) ask(ctx context.Context, request []byte, limit time.Duration) (*answer, error) {
	if p.sock != nil && stale(p.sock) {
		p.close()
	}
	if p.sock == nil {
		dial := p.dial
		if dial == nil {
			dial = (&net.Dialer{Timeout: min(limit, agentDial), KeepAlive: -1}).DialContext
		}
		sock, err := dial(ctx, "tcp", p.addr)
		if err != nil {
			return nil, &StepError{Started, err}
		}
		p.sock, p.r = sock, bufio.NewReaderSize(sock, maxLine)
	}
	sock := p.sock
	sock.SetDeadline(time.Now().Add(limit))
	// Guards against a watch that hangs at an address which a reload has replaced.
	defer context.AfterFunc(ctx, func() { sock.SetDeadline(time.Unix(1, 0)) })()
	if _, err := sock.Write(request); err != nil {
		p.close()
		return nil, &StepError{Dialled, err}
	}
	a, err := readStatus(p.r)
	if err == nil {
		err = a.readRest(p.r, maxAnswer)
	}
	if err != nil {
		p.close()
		return nil, &StepError{Written, err}
	}
	if !a.keep || p.r.Buffered() > 0 {
		p.close()
	}
	return a, nil
}

func (p *peer) close() {
	if p.sock != nil {
		p.sock.Close()
		p.sock = nil
	}
}
