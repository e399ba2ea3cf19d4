// Package transient tells errors of system calls that pass by themselves from those that stay. It holds no state.
package transient

import (
	"errors"
	"slices"
	"syscall"
)

// resources are errors of this machine, which has no room at the moment: they tell nothing of the other side of a connection.
var resources = []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
	syscall.ENOLCK, syscall.EADDRNOTAVAIL}

// others are a disk or a network that may be well again.
var others = []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED}

// IsResourceExhaustion tells whether err says that this machine has no room for something at the moment.
func IsResourceExhaustion(err error) bool { return among(resources, err) }

// Is tells whether err may pass by itself, so that the same call may succeed a moment later.
func Is(err error) bool { return among(resources, err) || among(others, err) }

func among(list []syscall.Errno, err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(list, number)
}
