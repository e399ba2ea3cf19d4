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

// Found by reading: a dial that failed for want of a port, a buffer or a descriptor of this machine was booked to the endpoint, which
// took it for out after some. Such a dial is made again, and where none passes in time it says nothing of the endpoint.
func TestDialsThatThisMachineHadNoRoomFor(t *testing.T) {
	server := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	defer server.Close()
	addr := server.Listener.Addr().String()
	for _, c := range []struct {
		errno   syscall.Errno
		failing int
		want    policy.Outcome
	}{
		{syscall.EADDRNOTAVAIL, 3, policy.Delivered}, {syscall.ENOBUFS, 3, policy.Delivered}, {syscall.ENETUNREACH, 3, policy.Delivered},
		{syscall.EMFILE, 1 << 20, policy.Unsent}, {syscall.ENETUNREACH, 1 << 20, policy.ConnectFailed},
		{syscall.ECONNREFUSED, 1, policy.ConnectFailed}, {syscall.EHOSTUNREACH, 1, policy.ConnectFailed},
	} {
		dials := 0
		conn := &endpointConn{endpoint: &endpoint{addr: addr, backoff: &backoff{}}, dialTimeout: 200 * time.Millisecond, dial: func(addr string, limit time.Duration) (net.Conn, error) {
			if dials++; dials <= c.failing {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", c.errno)}
			}
			return net.DialTimeout("tcp", addr, limit)
		}}
		res := conn.makeCall(&call{endpoint: conn.endpoint, items: []callItem{{id: "m"}}, deadline: time.Now().Add(time.Minute)})
		conn.close()
		if got := res.results[0].outcome; got != c.want {
			t.Errorf("%v %d times: %v, %v, want %v", c.errno, c.failing, got, res.err, c.want)
		}
	}
}

// Found by reading: a message whose body is in the journal only was ended where that could not be read for a moment. It is not sent, and goes
// out later; where the body is lost it ends.
func TestBodyThatCannotBeReadNow(t *testing.T) {
	for _, c := range []struct {
		err  error
		ends bool
	}{{syscall.EIO, false}, {syscall.EMFILE, false}, {journal.ErrBodyLost, true}} {
		conn := &endpointConn{endpoint: &endpoint{backoff: &backoff{}}}
		load := func() ([]byte, error) { return nil, fmt.Errorf("body: %w", c.err) }
		res := conn.makeCall(&call{endpoint: conn.endpoint, items: []callItem{{id: "m", loadBody: load}}, deadline: time.Now().Add(time.Minute)})
		if got := res.results[0]; got.outcome != policy.Unsent || (got.pluginFailure != nil) != c.ends {
			t.Errorf("%v: %+v", c.err, got)
		}
	}
}
