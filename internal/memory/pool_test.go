package memory

import (
	"strconv"
	"testing"
	"time"

	"oatfold/policy"
)

// One odd entry does not hide the others, and what is in no known state gets no new work.
func TestParsePoolConfig(t *testing.T) {
	pc, err := ParseEndpointList(`{"generation":43,"reset":true,"new":1,"instances":[
		{"instanceId":"a","hostPort":"127.0.0.1:1","cell":3,"lifecycle":"in_service","machineType":"broker","zone":"z","weight":2.5},
		{"instanceId":"b","hostPort":"127.0.0.1:2","cell":"3","lifecycle":"in_service"},
		{"instanceId":"c","cell":3,"lifecycle":"in_service"}, 7,
		{"instanceId":"d","cell":3,"lifecycle":"resting"}, {"instanceId":"e","cell":4,"lifecycle":"terminated"}]}`)
	if err != nil || pc.Generation != 43 || !pc.Complete || pc.Skipped != 3 || len(pc.Entries) != 3 {
		t.Fatalf("%+v, %v", pc, err)
	}
	want := policy.Endpoint{Address: "a", Destination: 3, Kind: "broker", Zone: "z", Rate: 2.5}
	if m := pc.Entries; m[0].Endpoint != want || m[0].HostPort != "127.0.0.1:1" || m[1].State != policy.Draining || m[2].State != policy.Removed {
		t.Errorf("%+v", m)
	}
	for _, raw := range []string{"", "{", "[]", `{"generation":"1","instances":[]}`, `{"generation":1,"instances":{}}`} {
		if _, err := ParseEndpointList(raw); err == nil {
			t.Errorf("%q was read", raw)
		}
	}
}

// The ids of messages that are over are kept, but not without bound.
func TestOver(t *testing.T) {
	tab, now := NewTable(), time.Unix(1000, 0)
	tab.now = func() time.Time { return now }
	for i := range 3 * MaxCompletedIDs {
		now = now.Add(overKeep) // so that none is young
		m := &Message{Number: tab.NextNumber(), ID: strconv.Itoa(i)}
		tab.Add(m)
		tab.Remove(m)
	}
	if !tab.RecentlyCompleted(strconv.Itoa(3*MaxCompletedIDs-1)) || !tab.RecentlyCompleted(strconv.Itoa(2*MaxCompletedIDs)) || tab.RecentlyCompleted(strconv.Itoa(2*MaxCompletedIDs-1)) ||
		len(tab.over) != MaxCompletedIDs || len(tab.order) != MaxCompletedIDs {
		t.Errorf("%d kept, %d in order", len(tab.over), len(tab.order))
	}
}
