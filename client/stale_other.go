//go:build !unix

package client

// closedByRelay always returns false: this system has no check that does not block. An attempt on a
// connection that the relay has closed counts as lost.
func (c *conn) closedByRelay() bool { return false }
