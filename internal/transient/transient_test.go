package transient

import (
	"fmt"
	"io/fs"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestClassification(t *testing.T) {
	for _, c := range []struct {
		err          error
		is, resource bool
	}{
		{nil, false, false},
		{fs.ErrNotExist, false, false},
		{&fs.PathError{Op: "open", Err: syscall.ENOENT}, false, false},
		{fmt.Errorf("listen: %w", &net.OpError{Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}), false, false},
		{&net.OpError{Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, false, false},
		{&net.OpError{Err: os.NewSyscallError("connect", syscall.EADDRNOTAVAIL)}, true, true},
		{&net.OpError{Err: os.NewSyscallError("connect", syscall.ENETUNREACH)}, true, false},
		{&fs.PathError{Op: "write", Err: syscall.ENOSPC}, true, false},
		{fmt.Errorf("configuration: %w", &fs.PathError{Op: "open", Err: syscall.ENFILE}), true, true},
	} {
		if Is(c.err) != c.is || IsResourceExhaustion(c.err) != c.resource {
			t.Errorf("%v: %t, %t", c.err, Is(c.err), IsResourceExhaustion(c.err))
		}
	}
}
