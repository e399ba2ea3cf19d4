package wire

import (
	"bufio"
	"net"
	"time"
)

// peer is a kept connection to the platform's agent, for one request at a time.
type peer struct {
	addr string
	sock net.Conn
	r    *bufio.Reader
}

const agentDial = 2 * time.Second

// ask sends one request and reads its answer within limit. Any error closes the connection.
func (p *peer) ask(request []byte, limit time.Duration) (*answer, error) {
	if p.sock != nil && stale(p.sock) {
		p.close()
	}
	if p.sock == nil {
		sock, err := net.DialTimeout("tcp", p.addr, min(limit, agentDial))
		if err != nil {
			return nil, &StepError{Started, err}
		}
		p.sock, p.r = sock, bufio.NewReaderSize(sock, maxLine)
	}
	p.sock.SetDeadline(time.Now().Add(limit))
	if _, err := p.sock.Write(request); err != nil {
		p.close()
		return nil, &StepError{Dialled, err}
	}
	a, err := readStatus(p.r)
	if err == nil {
		err = a.readRest(p.r)
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
