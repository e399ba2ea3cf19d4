package config

import (
	"fmt"

	"github.com/tidwall/gjson"
)

// checkNames returns an error that names the first key of the settings with missing or duplicate
// names, or with more values than there are names. Such settings are usually a mix of two
// deployments.
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
		// Fewer are allowed: a kind or zone without a value has batches of one message, one route
		// and no fee.
		count, limit := len(set.Get(values.key).Array()), len(set.Get(values.names).Array())
		if count > limit {
			return fmt.Errorf("settings.%s: %d values for %d settings.%s", values.key, count, limit, values.names)
		}
	}
	return nil
}

// checkDistinct checks that each element of the list has a name of its own: in the given field, or
// the element itself if field is "".
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
