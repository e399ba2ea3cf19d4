package wire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listen opens the clients' address so that the process that takes this one's place can listen there as well. Where the system has no
// SO_REUSEPORT the relay serves all the same; only an upgrade needs it.
func Listen(addr string) (net.Listener, error) {
	set := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	return set.Listen(context.Background(), "tcp", addr)
}

// CheckAddress tells, without listening, whether this process could listen at an address: nobody does, or one who shares it.
func CheckAddress(addr string) error {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || !at.Addr().Is4() || at.Port() == 0 {
		return nil // Listen will tell
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

// steerToSecondListener sends all new connections of the group to the listener that joined it second, where the kernel takes such programs. The one that
// leaves is the first; once it is gone the program names nobody, and the kernel goes by its own hash.
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

// acceptQueueQuietTime is how long nobody must have come before the accept queue counts as empty. What began its way before the steering is there by then.
const acceptQueueQuietTime = 20 * time.Millisecond

// StopListening has Serve take what is in the accept queue, then close the listener. Another process listens at the address.
func (f *Server) StopListening() {
	if err := steerToSecondListener(f.listener); err != nil {
		f.log.Debug("new connections are not steered", "err", err)
	}
	f.drainAcceptQueue()
}

// drainAcceptQueue has Serve take what is in the accept queue, within bounds, then close the listener.
func (f *Server) drainAcceptQueue() {
	now := time.Now()
	f.queueDrainUntil.CompareAndSwap(0, int64(now.Add(maxAcceptQueueDrain).Sub(f.startedAt)))
	f.drainingQueue.Store(true)
	if d, ok := f.listener.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(f.acceptQueueDeadline(now))
	} else {
		f.listener.Close()
	}
	f.signalCapacity()
}

// acceptQueueDeadline is when the accept queue counts as empty if nobody comes.
func (f *Server) acceptQueueDeadline(now time.Time) time.Time {
	return earlier(now.Add(acceptQueueQuietTime), f.startedAt.Add(time.Duration(f.queueDrainUntil.Load())))
}
