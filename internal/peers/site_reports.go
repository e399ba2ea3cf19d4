package peers

import (
	"encoding/binary"
	"time"

	"oatfold/internal/peers/members"
)

// Reports about sites, sent while a site is lost or returning. Older relays ignore their form.
const (
	formSites          = 5
	siteFanout         = 4 // receivers in a round
	siteReportLifetime = 4 * time.Second
	maxSiteReports     = 31  // zones in a message
	loadFractionUnits  = 200 // units in a load fraction of 1
)

// SiteReport is what a relay observes of a zone by its own calls.
type SiteReport struct {
	Zone         int
	LoadFraction float64 // part of its load that the relay sends to the zone; 0: nothing gets through
}

// siteState holds the site reports of this relay and of others.
type siteState struct {
	own      []SiteReport
	received map[int]receivedSites // by relay
	seq      uint16
}

type receivedSites struct {
	sequenceMark
	reports []SiteReport
}

// SetSiteReports sets the reports about sites that are sent from now on; none if empty.
func (g *Gossiper) SetSiteReports(own []SiteReport) { g.sites.own = own }

// siteDatagrams returns the messages about sites for a round.
func (g *Gossiper) siteDatagrams() (out []members.Datagram) {
	state := &g.sites
	if len(state.own) == 0 || g.fleetSize < 2 {
		return nil
	}
	state.seq++
	payload := binary.BigEndian.AppendUint16([]byte{formSites, g.runID}, state.seq)
	for _, r := range state.own[:min(len(state.own), maxSiteReports)] {
		if r.Zone >= 0 && r.Zone <= 255 {
			payload = append(payload, byte(r.Zone),
				byte(max(0, min(loadFractionUnits, r.LoadFraction*loadFractionUnits))))
		}
	}
	to := map[int]bool{}
	for range 4 * siteFanout { // repeats after a draw of an unsuitable receiver, within bounds
		n := g.rng.IntN(g.fleetSize)
		if n == g.self || to[n] || len(to) >= siteFanout {
			continue
		}
		to[n] = true
		out = append(out, members.Datagram{To: n, Payload: payload})
	}
	return out
}

// receiveSites handles a message about sites.
func (g *Gossiper) receiveSites(now time.Duration, from int, payload []byte) error {
	if from < 0 || from >= g.fleetSize || from == g.self {
		return errUnknownSender
	}
	if len(payload) < 4 || len(payload)%2 != 0 || len(payload) > 4+2*maxSiteReports {
		return errMalformed
	}
	received := receivedSites{sequenceMark: sequenceMark{payload[1], binary.BigEndian.Uint16(payload[2:]), now}}
	for b := payload[4:]; len(b) > 0; b = b[2:] {
		if b[1] > loadFractionUnits {
			return errMalformed
		}
		received.reports = append(received.reports, SiteReport{int(b[0]), float64(b[1]) / loadFractionUnits})
	}
	if previous, known := g.sites.received[from]; known &&
		previous.runID == received.runID && int16(received.seq-previous.seq) <= 0 {
		return errStale
	}
	if g.sites.received == nil {
		g.sites.received = map[int]receivedSites{}
	}
	g.sites.received[from] = received
	return nil
}

// EachSiteReport calls f with each current site report of other relays.
func (g *Gossiper) EachSiteReport(now time.Duration, f func(SiteReport)) {
	for from, received := range g.sites.received {
		if now-received.at > siteReportLifetime {
			delete(g.sites.received, from)
			continue
		}
		for _, r := range received.reports {
			f(r)
		}
	}
}
