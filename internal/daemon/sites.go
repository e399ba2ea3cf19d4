package daemon

import (
	"encoding/json"

	"oatfold/internal/sites"
	"oatfold/internal/wire"
)

// siteJSON is a site as GET /sites shows it.
type siteJSON struct {
	sites.Status
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
	host := r.serving.Load()
	if host == nil {
		return nil
	}
	v := host.Sites()
	if v == nil {
		return nil
	}
	now := host.Now()
	out := sitesJSON{Home: v.Home, AgeMs: max(0, now-v.At).Milliseconds()}
	for _, s := range v.All {
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
	host := r.serving.Load()
	if host == nil {
		return true, false
	}
	v := host.Sites()
	if v == nil {
		return false, false
	}
	for _, s := range v.All {
		if s.Zone == zone {
			return true, host.SubmitSiteCommand(wire.SiteCommand{Zone: zone, Out: out})
		}
	}
	return false, false
}

// home is the name of this relay's own zone; empty: not known.
func (r *relay) home() string {
	if r.c.Zone >= 0 && r.c.Zone < len(r.c.ZoneNames) {
		return r.c.ZoneNames[r.c.Zone]
	}
	return ""
}
