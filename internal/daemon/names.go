package daemon

import (
	"log/slog"
	"slices"

	"oatfold/policy"
)

// warnGone logs the names that a reload has taken out of the settings. What is held goes on under the terms that it was
// taken on under; new hand-ins of these classes and tenants are refused.
func warnGone(log *slog.Logger, old, now *policy.Settings) {
	className := func(c policy.Class) string { return c.Name }
	tenantName := func(t policy.Tenant) string { return t.Name }
	kindName := func(k policy.Kind) string { return k.Name }
	zoneName := func(z policy.Zone) string { return z.Name }
	for _, list := range []struct {
		key  string
		gone []string
	}{
		{"classes", gone(old.Classes, now.Classes, className)},
		{"tenants", gone(old.Tenants, now.Tenants, tenantName)},
		{"kinds", gone(old.Kinds, now.Kinds, kindName)},
		{"zones", gone(old.Zones, now.Zones, zoneName)},
	} {
		if len(list.gone) > 0 {
			log.Warn("names are gone from the settings", list.key, list.gone)
		}
	}
}

// gone lists the names of old that now lacks, in their order.
func gone[T any](old, now []T, name func(T) string) []string {
	var out []string
	for _, was := range old {
		same := func(is T) bool { return name(is) == name(was) }
		if !slices.ContainsFunc(now, same) {
			out = append(out, name(was))
		}
	}
	return out
}
