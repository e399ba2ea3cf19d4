package emu

import (
	"testing"

	"oatfold/policy"
)

// A class or third below its floor is reported regardless of the total. A small class counts only
// if it is unsafe.
func TestFloors(t *testing.T) {
	scenario := &Scenario{Classes: []Class{
		{Class: policy.Class{Name: "much"}},
		{Class: policy.Class{Name: "few"}},
		{Class: policy.Class{Name: "few charges", Effect: policy.Unsafe}},
	}}
	result := &Result{Whole: 0.9, ByClass: []Tally{
		{Name: "much", Requests: 990, Asked: 990, Served: 980},
		{Name: "few", Requests: 5, Asked: 5},
		{Name: "few charges", Requests: 5, Asked: 5, Served: 2},
	},
		Seconds: []Second{{10, 9}, {10, 9}, {10, 2}, {10, 3}, {10, 9}, {10, 9}}}
	want := map[string]bool{
		"whole day":         false,
		"class much":        false,
		"class few charges": true,
		"third 1":           false,
		"third 2":           true,
		"third 3":           false,
	}
	got := result.Floors(scenario)
	for _, floor := range got {
		if missed, known := want[floor.Name]; !known || floor.Missed() != missed {
			t.Errorf("%+v, missed %v", floor, floor.Missed())
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d floors, want %d", len(got), len(want))
	}
}
