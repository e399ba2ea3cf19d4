//go:build !linux

package daemon

// releaseStartupPages does nothing on this system.
func releaseStartupPages() {}
