package daemon

import (
	"testing"

	"oatfold/internal/daemon/config"
	"oatfold/internal/wire"
)

// All descriptors together stay within the limit, and clients have their third, however many slots there are.
func TestSockets(t *testing.T) {
	for _, c := range []struct{ sockets, slots int }{{256, 12}, {256, 25}, {256, 80}, {1024, 25}, {1024, 300}, {1024, 4}} {
		cfg := &config.Config{MaxDescriptors: c.sockets}
		cfg.Settings.MaxConcurrentCalls = c.slots
		clients, idle := descriptorLimits(cfg)
		if clients+idle+c.slots+ownDescriptors+wire.MaxLateListeners > c.sockets || clients < c.sockets/3 || idle < c.slots/2 {
			t.Errorf("%+v: %d clients, %d idle", c, clients, idle)
		}
	}
}
