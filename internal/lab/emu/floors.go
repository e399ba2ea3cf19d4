package emu

import (
	"fmt"

	"oatfold/policy"
)

// Floor is the minimum service of a part of a run, regardless of the total. Both are shares of the
// value that was submitted.
//
// Operators define the minimum relative to what a policy with delayed knowledge of the true state
// serves. No policy serves more than everything, so that a run that keeps Minimum keeps theirs too.
type Floor struct {
	Name            string
	Served, Minimum float64
}

// Missed reports whether less than the minimum was served.
func (f Floor) Missed() bool { return f.Served < f.Minimum }

const (
	minWholeShare = 0.5     // served share of the run, and of each class that counts
	minThirdShare = 0.3     // served share of each third of the run
	minClassShare = 1. / 20 // of requests or value; smaller classes count only if they are unsafe
)

// Floors returns the floors of a run: the whole, each class that counts, and each third.
func (r *Result) Floors(scenario *Scenario) []Floor {
	floors := []Floor{{"whole day", r.Whole, minWholeShare}}
	requests, asked := 0, 0.0
	for _, tally := range r.ByClass {
		requests, asked = requests+tally.Requests, asked+tally.Asked
	}
	for i, tally := range r.ByClass {
		if counts := float64(tally.Requests) >= minClassShare*float64(requests) ||
			tally.Asked >= minClassShare*asked; counts || scenario.Classes[i].Effect == policy.Unsafe {
			floors = append(floors, Floor{"class " + tally.Name, shareOrOne(tally.Served, tally.Asked), minWholeShare})
		}
	}
	for third := range 3 {
		thirdAsked, thirdServed := 0.0, 0.0
		for _, sec := range r.Seconds[third*len(r.Seconds)/3 : (third+1)*len(r.Seconds)/3] {
			thirdAsked, thirdServed = thirdAsked+sec.Asked, thirdServed+sec.Served
		}
		floors = append(floors, Floor{fmt.Sprintf("third %d", third+1), shareOrOne(thirdServed, thirdAsked), minThirdShare})
	}
	return floors
}
