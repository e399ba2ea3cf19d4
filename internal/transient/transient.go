// Package transient classifies errors of system calls that may succeed when repeated.
package transient

import (
	"errors"
	"slices"
	"syscall"
)

// resourceErrnos are temporary shortages on this machine. They say nothing about the other side of
// a connection.
var resourceErrnos = []syscall.Errno{
	syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
	syscall.ENOLCK, syscall.EADDRNOTAVAIL,
}

// otherErrnos are errors of a disk or network that may recover.
var otherErrnos = []syscall.Errno{
	syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED,
}

// IsResourceExhaustion reports whether err is a temporary shortage on this machine.
func IsResourceExhaustion(err error) bool { return isOneOf(resourceErrnos, err) }

// Is reports whether err may be temporary, so that the same call may succeed later.
func Is(err error) bool { return isOneOf(resourceErrnos, err) || isOneOf(otherErrnos, err) }

func isOneOf(list []syscall.Errno, err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(list, number)
}
