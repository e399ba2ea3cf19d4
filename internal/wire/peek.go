package wire

import (
	"errors"
	"net"
	"syscall"
)

// stale reports, without blocking, whether an idle connection was closed by the peer or holds
// unexpected bytes.
func stale(sock net.Conn) bool {
	_, err := peek(sock)
	return err != syscall.EAGAIN
}

// HasUnreadBytes reports, without blocking, whether received bytes are waiting to be read.
func HasUnreadBytes(sock net.Conn) bool {
	n, err := peek(sock)
	return err == nil && n > 0
}

// peek looks for a received byte without consuming it. It returns EAGAIN if there is none, and 0
// and no error if the peer has closed.
func peek(sock net.Conn) (n int, err error) {
	sc, ok := sock.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	if e := raw.Control(func(fd uintptr) { n, err = peekAt(int(fd)) }); e != nil {
		return 0, e
	}
	return n, err
}

// maxPeekAttempts bounds the attempts at a peek that signals interrupt.
const maxPeekAttempts = 8

// peekAt retries after EINTR, since this call bypasses the runtime's poller.
func peekAt(fd int) (n int, err error) {
	for range maxPeekAttempts {
		var b [1]byte
		if n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			break
		}
	}
	return max(n, 0), err
}
