package client

import "time"

// This file keeps idle connections to relays for later attempts.

// addIdle adds a connection to the idle ones. The fleet has already counted it. The caller holds
// mu.
func (c *Client) addIdle(cn *conn) {
	c.idle[cn.relay] = append(c.idle[cn.relay], cn)
	if c.reaper == nil {
		c.reaper = time.AfterFunc(c.config.IdleAfter, c.closeExpiredIdle)
	}
}

// closeIdle closes the idle connections to a stopping relay. The caller holds mu.
func (c *Client) closeIdle(relay int) {
	for _, cn := range c.idle[relay] {
		cn.sock.Close()
		c.fleet.Retired(relay)
	}
	c.idle[relay] = nil
}

// closeExpiredIdle closes connections that were idle for IdleAfter. The client closes them before
// the relay does, since a close by the relay could coincide with a request.
func (c *Client) closeExpiredIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reaper = nil
	if c.closed {
		return
	}
	next := time.Duration(-1)
	for i := range c.idle {
		for len(c.idle[i]) > 0 {
			remaining := c.config.IdleAfter - time.Since(c.idle[i][0].lastUsed)
			if remaining > 0 {
				if next < 0 || remaining < next {
					next = remaining
				}
				break
			}
			c.idle[i][0].sock.Close()
			c.idle[i] = c.idle[i][1:]
			c.fleet.Retired(i)
		}
	}
	if next >= 0 {
		c.reaper = time.AfterFunc(next, c.closeExpiredIdle)
	}
}
