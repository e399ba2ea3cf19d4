package daemon

import (
	"log/slog"
	"slices"

	"oatfold/policy"
)

// warnRemovedNames logs the names that a reload has removed from the settings. Pending messages
// keep the terms under which they were accepted; new messages of removed classes and tenants are
// rejected.
func warnRemovedNames(log *slog.Logger, old, now *policy.Settings) {
	className := func(c policy.Class) string { return c.Name }
	tenantName := func(t policy.Tenant) string { return t.Name }
	kindName := func(k policy.Kind) string { return k.Name }
	zoneName := func(z policy.Zone) string { return z.Name }
	for _, list := range []struct {
		key  string
		gone []string
	}{
		{"classes", removedNames(old.Classes, now.Classes, className)},
		{"tenants", removedNames(old.Tenants, now.Tenants, tenantName)},
		{"kinds", removedNames(old.Kinds, now.Kinds, kindName)},
		{"zones", removedNames(old.Zones, now.Zones, zoneName)},
	} {
		if len(list.gone) > 0 {
			log.Warn("names removed from the settings", list.key, list.gone)
		}
	}
}

// removedNames lists the names in old that are missing in now, in their order.
func removedNames[T any](old, now []T, name func(T) string) []string {
	var out []string
	for _, previous := range old {
		same := func(current T) bool { return name(current) == name(previous) }
		if !slices.ContainsFunc(now, same) {
			out = append(out, name(previous))
		}
	}
	return out
}
