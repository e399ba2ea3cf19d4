package config

import (
	"fmt"

	"github.com/tidwall/gjson"
)

// checkNames names the first key of the settings whose names can't be told apart, or that has more values than there
// are names for them. Guards against settings that were put together from those of two deployments.
func checkNames(set gjson.Result) error {
	for _, list := range []struct{ key, field string }{
		{"grades", "name"}, {"tenants", "name"}, {"kinds", ""}, {"zones", ""},
	} {
		if err := checkDistinct(set.Get(list.key), "settings."+list.key, list.field); err != nil {
			return err
		}
	}
	for _, values := range []struct{ key, names string }{
		{"familyInfo.batchByKind", "kinds"}, {"familyInfo.separateRoutes", "kinds"}, {"familyInfo.feeByZone", "zones"},
	} {
		// Fewer are allowed: a kind or zone without a value has a batch of one, one route and no fee.
		count, limit := len(set.Get(values.key).Array()), len(set.Get(values.names).Array())
		if count > limit {
			return fmt.Errorf("settings.%s: %d values for %d settings.%s", values.key, count, limit, values.names)
		}
	}
	return nil
}

// checkDistinct wants each element of the list to have a name, in its field where one is given, and one of its own.
func checkDistinct(list gjson.Result, key, field string) error {
	first := map[string]int{}
	for i, element := range list.Array() {
		path := fmt.Sprintf("%s[%d]", key, i)
		name := element
		if field != "" {
			path, name = path+"."+field, element.Get(field)
		}
		if name.Type != gjson.String || name.Str == "" {
			return fmt.Errorf("%s: %q is not a name", path, name.Raw)
		}
		if previous, duplicate := first[name.Str]; duplicate {
			return fmt.Errorf("%s: %q is the name of %s[%d] too", path, name.Str, key, previous)
		}
		first[name.Str] = i
	}
	return nil
}
