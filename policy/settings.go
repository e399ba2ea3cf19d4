package policy

import "fmt"

// check returns an error for the first setting that is out of range.
func (s *Settings) check() error {
	for _, n := range []struct {
		name  string
		value int
	}{{"Relays", s.Relays}, {"MaxConcurrentCalls", s.MaxConcurrentCalls}, {"MaxPending", s.MaxPending},
		{"MaxAttempts", s.MaxAttempts}, {"number of Classes", len(s.Classes)}, {"Tick", int(s.Tick)}} {
		if n.value < 1 {
			return fmt.Errorf("settings: %s is %d, must be at least 1", n.name, n.value)
		}
	}
	if !(s.ColdStartShare >= 0 && s.ColdStartShare <= 1) {
		return fmt.Errorf("settings: ColdStartShare is %g, must be between 0 and 1", s.ColdStartShare)
	}
	if !(s.MaxDestinationShare >= 0 && s.MaxDestinationShare <= 1) {
		return fmt.Errorf("settings: MaxDestinationShare is %g, must be between 0 and 1", s.MaxDestinationShare)
	}
	for _, c := range s.Classes {
		if c.TargetLatency <= 0 || c.Deadline < c.TargetLatency {
			return fmt.Errorf("settings: class %q has TargetLatency %v and Deadline %v",
				c.Name, c.TargetLatency, c.Deadline)
		}
		if c.Effect == Keyed && c.RepeatWindow <= 0 {
			return fmt.Errorf("settings: keyed class %q has RepeatWindow %v, must be positive", c.Name, c.RepeatWindow)
		}
	}
	return nil
}
