package wire

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"oatfold/internal/memory/journal"
	"oatfold/policy"
)

// A dial that fails for want of a local port, buffer or descriptor is retried. If none succeeds in
// time, that does not count against the endpoint.
func TestTransientDialFailures(t *testing.T) {
	server := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	defer server.Close()
	addr := server.Listener.Addr().String()
	for _, c := range []struct {
		errno   syscall.Errno
		failing int
		want    policy.Outcome
	}{
		{syscall.EADDRNOTAVAIL, 3, policy.Delivered}, {syscall.ENOBUFS, 3, policy.Delivered},
		{syscall.ENETUNREACH, 3, policy.Delivered},
		{syscall.EMFILE, 1 << 20, policy.Unsent}, {syscall.ENETUNREACH, 1 << 20, policy.ConnectFailed},
		{syscall.ECONNREFUSED, 1, policy.ConnectFailed}, {syscall.EHOSTUNREACH, 1, policy.ConnectFailed},
	} {
		dials := 0
		conn := &endpointConn{
			endpoint:    &endpoint{addr: addr, backoff: &backoff{}},
			dialTimeout: 200 * time.Millisecond,
			dial: func(addr string, limit time.Duration) (net.Conn, error) {
				if dials++; dials <= c.failing {
					return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", c.errno)}
				}
				return net.DialTimeout("tcp", addr, limit)
			},
		}
		res := conn.makeCall(&call{endpoint: conn.endpoint, items: []callItem{{id: "m"}},
			deadline: time.Now().Add(time.Minute)})
		conn.close()
		if got := res.results[0].outcome; got != c.want {
			t.Errorf("%v %d times: %v, %v, want %v", c.errno, c.failing, got, res.err, c.want)
		}
	}
}

// A message whose body cannot be read for now is sent later. One whose body is lost fails.
func TestUnreadableBody(t *testing.T) {
	for _, c := range []struct {
		err   error
		fails bool
	}{{syscall.EIO, false}, {syscall.EMFILE, false}, {journal.ErrBodyLost, true}} {
		conn := &endpointConn{endpoint: &endpoint{backoff: &backoff{}}}
		load := func() ([]byte, error) { return nil, fmt.Errorf("body: %w", c.err) }
		res := conn.makeCall(&call{endpoint: conn.endpoint, items: []callItem{{id: "m", loadBody: load}},
			deadline: time.Now().Add(time.Minute)})
		if got := res.results[0]; got.outcome != policy.Unsent || (got.pluginFailure != nil) != c.fails {
			t.Errorf("%v: %+v", c.err, got)
		}
	}
}
