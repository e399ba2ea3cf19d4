package policy

import "fmt"

// check names the first setting that no relay could work with.
func (s *Settings) check() error {
	for _, n := range []struct {
		name  string
		value int
	}{{"Senders", s.Relays}, {"Slots", s.MaxConcurrentCalls}, {"MaxHeld", s.MaxPending}, {"MaxAttempts", s.MaxAttempts},
		{"number of Classes", len(s.Classes)}, {"Tick", int(s.Tick)}} {
		if n.value < 1 {
			return fmt.Errorf("settings: %s is %d, must be at least 1", n.name, n.value)
		}
	}
	if !(s.ColdStartShare >= 0 && s.ColdStartShare <= 1) {
		return fmt.Errorf("settings: ColdFrom is %g, must lie within 0 and 1", s.ColdStartShare)
	}
	if !(s.MaxDestinationShare >= 0 && s.MaxDestinationShare <= 1) {
		return fmt.Errorf("settings: SlotShare is %g, must lie within 0 and 1", s.MaxDestinationShare)
	}
	for _, c := range s.Classes {
		if c.TargetLatency <= 0 || c.Deadline < c.TargetLatency {
			return fmt.Errorf("settings: class %q has Aim %v and Deadline %v", c.Name, c.TargetLatency, c.Deadline)
		}
		if c.Effect == Keyed && c.RepeatWindow <= 0 {
			return fmt.Errorf("settings: keyed class %q has Window %v", c.Name, c.RepeatWindow)
		}
	}
	return nil
}
