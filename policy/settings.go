package policy

import "fmt"

// check names the first setting that no relay could work with.
func (s *Settings) check() error {
	for _, n := range []struct {
		name  string
		value int
	}{{"Senders", s.Senders}, {"Slots", s.Slots}, {"MaxHeld", s.MaxHeld}, {"MaxAttempts", s.MaxAttempts},
		{"number of Classes", len(s.Classes)}, {"Tick", int(s.Tick)}} {
		if n.value < 1 {
			return fmt.Errorf("settings: %s is %d, must be at least 1", n.name, n.value)
		}
	}
	if !(s.ColdFrom >= 0 && s.ColdFrom <= 1) {
		return fmt.Errorf("settings: ColdFrom is %g, must lie within 0 and 1", s.ColdFrom)
	}
	if !(s.SlotShare >= 0 && s.SlotShare <= 1) {
		return fmt.Errorf("settings: SlotShare is %g, must lie within 0 and 1", s.SlotShare)
	}
	for _, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline < c.Aim {
			return fmt.Errorf("settings: class %q has Aim %v and Deadline %v", c.Name, c.Aim, c.Deadline)
		}
		if c.Effect == Keyed && c.Window <= 0 {
			return fmt.Errorf("settings: keyed class %q has Window %v", c.Name, c.Window)
		}
	}
	return nil
}
