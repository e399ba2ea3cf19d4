package wire

import (
	"testing"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/handover"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/sites"
	"oatfold/policy"
)

// A site plan publishes a view and takes operator commands without blocking. The same plan keeps
// what was observed, another one keeps sites that operators took out, and no plan removes all.
func TestSitePlan(t *testing.T) {
	h := newTestHost(t)
	for id, zone := range map[string]string{"a-1": "a", "b-1": "b"} {
		h.applyEndpoint(memory.EndpointEntry{HostPort: "127.0.0.1:1",
			Endpoint: policy.Endpoint{Address: id, Destination: 7, Kind: "broker", Zone: zone}})
	}
	if h.Sites() != nil {
		t.Fatal("sites without a plan")
	}
	plan := func() *sites.Plan {
		return &sites.Plan{Ramp: time.Second,
			Sites: []sites.Site{
				{Zone: "a", Tiers: []sites.Tier{{Zones: []string{"b"}, SpillFraction: 1}}}, {Zone: "b"}}}
	}
	h.applySitePlan(plan(), "b")
	if v := h.Sites(); v == nil || v.Home != "b" || len(v.All) != 2 || v.All[0].Endpoints != 1 || v.All[1].Tier != 0 {
		t.Fatalf("%+v", v)
	}
	look := func() sites.Status {
		h.nextSitesCheck = 0
		h.updateSites(h.now())
		return h.Sites().All[0]
	}
	for range siteCommandQueueSize {
		if !h.SubmitSiteCommand(SiteCommand{"a", true}) {
			t.Fatal("queue full")
		}
	}
	if h.SubmitSiteCommand(SiteCommand{"a", true}) {
		t.Error("the queue of commands is unbounded")
	}
	if st := look(); !st.ManuallyOut || st.State != "lost" {
		t.Fatalf("%+v", st)
	}
	previous := h.siteWatch
	if h.applySitePlan(plan(), "b"); h.siteWatch != previous {
		t.Error("the same plan replaced the watch")
	}
	other := plan()
	other.Ramp++
	if h.applySitePlan(other, "b"); h.siteWatch == previous || !look().ManuallyOut {
		t.Error("another plan lets a site return that an operator took out")
	}
	if h.siteWatch.Allows(7, "a", false) || !h.siteWatch.Allows(7, "b", true) {
		t.Error("wrong sites are open")
	}
	// Results of calls count by what they prove about the site.
	h.SubmitSiteCommand(SiteCommand{"a", false})
	look()
	for _, o := range []policy.Outcome{policy.ConnectFailed, policy.Unsent, policy.Rejected, policy.Delivered,
		policy.TimedOut, policy.ConnectionLost} {
		h.recordSiteResult(callResult{
			call:    &call{endpoint: h.endpoints["a-1"], startedAt: h.now(), timeout: time.Minute},
			results: []itemResult{{outcome: o}},
		}, h.now())
	}
	h.recordSiteResult(callResult{
		call:    &call{endpoint: h.endpoints["a-1"], startedAt: h.now()},
		results: []itemResult{{outcome: policy.ConnectFailed}},
		err:     errConnectionLimit,
	}, h.now())
	if st := h.siteWatch.Statuses()[0]; st.CallsAccepted != 1 || st.CallsRejected != 1 || st.CallsFailed != 3 {
		t.Errorf("%+v", st)
	}
	h.pendingEvents = nil
	if h.applySitePlan(nil, "b"); h.Sites() != nil || len(h.pendingEvents) != 1 ||
		h.pendingEvents[0] != (policy.SitesUpdate{}) {
		t.Errorf("without a plan: %+v, %+v", h.Sites(), h.pendingEvents)
	}
}

// Guards against a site that operators took out and that an upgrade brings back: the next process
// takes it out as well, also where the command had just been given.
func TestSiteStaysOutInUpgrade(t *testing.T) {
	plan := &sites.Plan{Sites: []sites.Site{
		{Zone: "a", Tiers: []sites.Tier{{Zones: []string{"b"}, SpillFraction: 1}}}, {Zone: "b"}}}
	previous, next := startEnv(t, answerOK), startEnv(t, answerOK)
	for _, env := range []*testEnv{previous, next} {
		env.host.SetSitePlan(plan, "b")
	}
	next.host.Do(func(h *Host) { h.standby, h.stepsStopped = true, true })
	if !previous.host.SubmitSiteCommand(SiteCommand{"a", true}) {
		t.Fatal("queue full")
	}
	var update *handover.Update
	if err := previous.handOver(func(file []byte) error {
		_, text, err := journal.DecodeTransfer(file, clock.Scale{})
		if err == nil && update == nil {
			update, err = handover.Decode(text)
		}
		return err
	}, false, 0); err != nil {
		t.Fatal(err)
	}
	<-next.host.Adopt(Transfer{Update: update})
	next.host.Activate()
	next.host.Do(func(h *Host) {
		if all := h.siteWatch.Statuses(); !all[0].ManuallyOut || all[1].ManuallyOut {
			t.Errorf("after the upgrade: %+v", all)
		}
	})
}
