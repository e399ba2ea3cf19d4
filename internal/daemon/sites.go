package daemon

import (
	"encoding/json"

	"oatfold/internal/sites"
	"oatfold/internal/wire"
)

// siteJSON is one site in the reply to GET /sites.
type siteJSON struct {
	sites.Status
	SinceMs int64 `json:"since_ms"` // time in this state
}

// sitesJSON is the reply to GET /sites.
type sitesJSON struct {
	Home  string     `json:"home"` // this relay's zone
	AgeMs int64      `json:"age_ms"`
	Sites []siteJSON `json:"sites"`
}

// sites returns the reply to GET /sites; nil where no plan is in force.
func (r *relay) sites() []byte {
	host := r.runningHost.Load()
	if host == nil {
		return nil
	}
	view := host.Sites()
	if view == nil {
		return nil
	}
	now := host.Now()
	out := sitesJSON{Home: view.Home, AgeMs: max(0, now-view.At).Milliseconds()}
	for _, s := range view.All {
		out.Sites = append(out.Sites, siteJSON{s, max(0, now-s.Since).Milliseconds()})
	}
	b, err := json.Marshal(out)
	if err != nil {
		return nil // cannot happen: all fields can be encoded
	}
	return append(b, '\n')
}

// site submits an operator's command to take a site out or let it back in, without waiting for the
// result. known is false if the plan has no such site; done is false if the command was not
// submitted, as in a process that does not serve or leaves.
func (r *relay) site(zone string, out bool) (known, done bool) {
	host := r.runningHost.Load()
	if host == nil {
		return true, false
	}
	view := host.Sites()
	if view == nil {
		return false, false
	}
	for _, s := range view.All {
		if s.Zone == zone {
			return true, r.acceptOrder(func(*wire.Server) bool {
				return host.SubmitSiteCommand(wire.SiteCommand{Zone: zone, Out: out})
			})
		}
	}
	return false, false
}

// home returns the name of this relay's zone; "" if unknown.
func (r *relay) home() string {
	if r.configuration().Zone >= 0 && r.configuration().Zone < len(r.configuration().ZoneNames) {
		return r.configuration().ZoneNames[r.configuration().Zone]
	}
	return ""
}
