package wire

import (
	"errors"
	"net"
	"syscall"
)

// stale tells, without waiting, whether an idle connection was closed by the peer or holds bytes that
// nobody asked for.
func stale(sock net.Conn) bool {
	_, err := peek(sock)
	return err != syscall.EAGAIN
}

// HasUnreadBytes tells, without waiting, whether bytes of the peer are there to be read.
func HasUnreadBytes(sock net.Conn) bool {
	n, err := peek(sock)
	return err == nil && n > 0
}

// peek looks at the first byte that waits, without reading it; EAGAIN where there is none, 0 and no error where the peer has closed.
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

// maxPeekAttempts bounds how often a peek is made that signals interrupt.
const maxPeekAttempts = 8

// peekAt asks again after a signal: this read is outside the runtime's poller, which does so for all others.
func peekAt(fd int) (n int, err error) {
	for range maxPeekAttempts {
		var b [1]byte
		if n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			break
		}
	}
	return max(n, 0), err
}
