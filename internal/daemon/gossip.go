package daemon

import (
	"time"

	"oatfold/internal/daemon/config"
	"oatfold/internal/wire"
)

// This file joins the fleet: it opens the socket for gossip between relays. The relay serves without
// it where it can't be opened, and tries again.

// gossipRetryLimit bounds how long a start waits for the gossip socket.
const gossipRetryLimit = time.Second

// fleetIdentity returns what the relay announces about itself to its fleet.
func fleetIdentity(c *config.Config) wire.FleetIdentity {
	return wire.FleetIdentity{Number: c.RelayNumber, MembershipEnabled: c.MembershipEnabled, Zone: c.Zone,
		Choices: c.Choices}
}

// listenGossip opens the socket for gossip between relays, if there are others.
func (r *relay) listenGossip(c *config.Config) {
	if len(c.PeerAddrs) == 0 {
		return
	}
	var gossip *wire.GossipSocket
	err := retryTransient("gossip address can't be opened", gossipRetryLimit, func() bool {
		return len(r.terminate) > 0
	}, r.log, func() (err error) {
		gossip, err = wire.ListenGossip(c.PeerListenAddr, c.PeerAddrs, r.log)
		return err
	})
	if err != nil {
		r.log.Warn("no gossip between relays", "peer_listen", c.PeerListenAddr, "err", err)
		return
	}
	r.gossip = gossip
}

// joinFleet starts the gossip of a host that runs without, now or as soon as its socket can be
// opened. c is the configuration of the start: a reload changes none of it.
func (s *successor) joinFleet(c *config.Config) {
	if s.gossip != nil || len(c.PeerAddrs) == 0 {
		return
	}
	if s.listenGossip(c); s.gossip != nil {
		s.host.StartGossip(s.gossip, fleetIdentity(c))
		return
	}
	s.keepStep("gossip between relays", func() error {
		gossip, err := wire.ListenGossip(c.PeerListenAddr, c.PeerAddrs, s.log)
		if err != nil {
			return err
		}
		s.gossip = gossip
		s.host.StartGossip(gossip, fleetIdentity(c))
		return nil
	})
}
