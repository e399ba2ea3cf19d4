package memory

import (
	"strconv"
	"testing"
	"time"

	"oatfold/policy"
)

// A malformed entry does not hide the others, and an endpoint in an unknown state is draining.
func TestParseEndpointList(t *testing.T) {
	list, err := ParseEndpointList(`{"generation":43,"reset":true,"new":1,"instances":[
		{"instanceId":"a","hostPort":"127.0.0.1:1","cell":3,"lifecycle":"in_service","machineType":"broker","zone":"z","weight":2.5},
		{"instanceId":"b","hostPort":"127.0.0.1:2","cell":"3","lifecycle":"in_service"},
		{"instanceId":"c","cell":3,"lifecycle":"in_service"}, 7,
		{"instanceId":"d","cell":3,"lifecycle":"resting"}, {"instanceId":"e","cell":4,"lifecycle":"terminated"}]}`)
	if err != nil || list.Generation != 43 || !list.Complete || list.Skipped != 3 || len(list.Entries) != 3 {
		t.Fatalf("%+v, %v", list, err)
	}
	want := policy.Endpoint{Address: "a", Destination: 3, Kind: "broker", Zone: "z", Rate: 2.5}
	if m := list.Entries; m[0].Endpoint != want || m[0].HostPort != "127.0.0.1:1" ||
		m[1].State != policy.Draining || m[2].State != policy.Removed {
		t.Errorf("%+v", m)
	}
	for _, raw := range []string{"", "{", "[]", `{"generation":"1","instances":[]}`, `{"generation":1,"instances":{}}`} {
		if _, err := ParseEndpointList(raw); err == nil {
			t.Errorf("%q was accepted", raw)
		}
	}
}

// The ids of completed messages are remembered up to a limit.
func TestCompletedIDsAreBounded(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	table.now = func() time.Time { return now }
	for i := range 3 * MaxCompletedIDs {
		now = now.Add(completedRetention) // older than the retention time
		m := &Message{Number: table.NextNumber(), ID: strconv.Itoa(i)}
		table.Add(m)
		table.Remove(m)
	}
	if !table.RecentlyCompleted(strconv.Itoa(3*MaxCompletedIDs-1)) ||
		!table.RecentlyCompleted(strconv.Itoa(2*MaxCompletedIDs)) ||
		table.RecentlyCompleted(strconv.Itoa(2*MaxCompletedIDs-1)) ||
		len(table.completed) != MaxCompletedIDs || len(table.completionOrder) != MaxCompletedIDs {
		t.Errorf("%d ids remembered, %d in order", len(table.completed), len(table.completionOrder))
	}
}
