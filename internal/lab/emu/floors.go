package emu

import (
	"fmt"

	"oatfold/policy"
)

// Floor is a part of a day that must not be neglected, however well the whole does: what was served of its worth, and the least that is asked.
// The operators ask for parts of what a policy serves that sees the true state late; nobody here plays one, so that Least is of all that was
// asked for, which such a policy serves at most: what keeps it keeps theirs.
type Floor struct {
	Name            string
	Served, Minimum float64
}

// Missed tells whether the part is neglected.
func (f Floor) Missed() bool { return f.Served < f.Minimum }

const (
	minWholeShare = 0.5     // of the day, and of each class that counts
	minThirdShare = 0.3     // of each third of the day
	minClassShare = 1. / 20 // of requests or worth: a class with less counts only if it must not run twice
)

// Floors lists them: the whole day, each class that counts, each third.
func (r *Result) Floors(scenario *Scenario) []Floor {
	floors := []Floor{{"whole day", r.Whole, minWholeShare}}
	requests, asked := 0, 0.0
	for _, tally := range r.ByClass {
		requests, asked = requests+tally.Requests, asked+tally.Asked
	}
	for i, tally := range r.ByClass {
		if counts := float64(tally.Requests) >= minClassShare*float64(requests) || tally.Asked >= minClassShare*asked; counts || scenario.Classes[i].Effect == policy.Unsafe {
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
