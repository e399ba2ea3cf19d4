//go:build unix

package client

import "syscall"

// closedByRelay reports, without blocking, whether the relay has closed the connection or sent
// unexpected data.
func (c *conn) closedByRelay() bool {
	sock, ok := c.sock.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sock.SyscallConn()
	if err != nil {
		return true
	}
	state := error(nil)
	err = raw.Control(func(fd uintptr) {
		_, _, state = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || state != syscall.EAGAIN
}
