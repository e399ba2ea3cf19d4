package daemon

import (
	"testing"

	"oatfold/internal/daemon/config"
	"oatfold/internal/wire"
)

// All descriptors together stay within the limit, and clients get a third, for any limit of
// concurrent calls.
func TestDescriptorLimits(t *testing.T) {
	for _, c := range []struct{ descriptors, calls int }{
		{256, 12}, {256, 25}, {256, 80}, {1024, 25}, {1024, 300}, {1024, 4},
	} {
		cfg := &config.Config{MaxDescriptors: c.descriptors}
		cfg.Settings.MaxConcurrentCalls = c.calls
		limits := connectionsAlone(cfg)
		clients, idle := limits.Clients, limits.Idle
		if clients+idle+c.calls+ownDescriptors+wire.MaxLateListeners > c.descriptors ||
			clients < c.descriptors/3 || idle < c.calls/2 {
			t.Errorf("%+v: %d clients, %d idle", c, clients, idle)
		}
	}
}
