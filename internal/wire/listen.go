package wire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen opens the clients' address with SO_REUSEPORT, so that the next process can listen there as
// well during an upgrade. Without that option it still listens.
func Listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// CheckAddress returns an error if this process could not listen at addr, without listening. An
// address that cannot be checked passes.
func CheckAddress(addr string) error {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || !at.Addr().Is4() || at.Port() == 0 {
		return nil // left to Listen
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil
	}
	defer unix.Close(fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", err)}
	}
	return nil
}

// steerToSecondListener has the kernel pass all new connections of the SO_REUSEPORT group to the
// listener that joined second, where BPF programs are supported. Once the first one has left, the
// index matches no listener and the kernel falls back to its own hash.
func steerToSecondListener(ln net.Listener) error {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	prog := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &prog)
	}); e != nil {
		return e
	}
	return err
}
