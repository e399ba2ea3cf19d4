package daemon

import (
	"encoding/json"

	"oatfold/internal/sites"
	"oatfold/internal/wire"
)

// siteJSON is a site as GET /sites shows it.
type siteJSON struct {
	sites.Standing
	SinceMs int64 `json:"since_ms"` // ago
}

// sitesJSON is what GET /sites answers.
type sitesJSON struct {
	Home  string     `json:"home"` // this relay's own
	AgeMs int64      `json:"age_ms"`
	Sites []siteJSON `json:"sites"`
}

// sites writes what this relay takes sites for; nil where no plan is in force.
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
		return nil // plain values
	}
	return append(b, '\n')
}

// site hands an operator's word on. It waits for nobody.
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
			return true, host.SubmitSiteCommand(wire.SiteCommand{Zone: zone, Out: out})
		}
	}
	return false, false
}

// home is the name of this relay's own zone; empty: not known.
func (r *relay) home() string {
	if r.config.Zone >= 0 && r.config.Zone < len(r.config.ZoneNames) {
		return r.config.ZoneNames[r.config.Zone]
	}
	return ""
}
