package config

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
)

// unusedKeys gives the reason for each key of the settings that the relay ignores. # stands for the
// elements of a list.
var unusedKeys = map[string]string{
	"clientHabits.marksRetry":       "a retried request is a new one, marked or not",
	"family":                        "there is one family of deployments over HTTP",
	"familyInfo.notes":              "text for the simulator's wire",
	"familyInfo.reportX0":           "prose",
	"familyInfo.reportX1":           "prose",
	"familyInfo.turnedAwayPrice":    "no decision depends on the simulator's score",
	"grades.#.streamed":             "nothing is streamed over HTTP",
	"guarantees.answerSlackUs":      "the relay completes messages before their deadline and relies on no slack",
	"guarantees.drainGraceUs":       "no new calls are made from the moment of the update on",
	"myZone":                        "places a relay among its peers, if any; no price depends on the relay's own zone",
	"policyLimits.cpuUsPerRequest":  "a limit of the simulator",
	"policyLimits.cpuUsPerS":        "the same",
	"policyLimits.maxStreams":       "a connection carries one call at a time on HTTP/1.1",
	"policyLimits.mayCancel":        "the relay cancels no call",
	"policyLimits.probes":           "the relay sends no separate probe requests",
	"policyLimits.secondCopies":     "it never has two attempts of a message in flight",
	"prices.connection":             "no decision depends on the simulator's score",
	"prices.crossZone":              "the same",
	"prices.discovery":              "the same",
	"prices.handshake":              "the same",
	"prices.lateFail":               "the same",
	"prices.moves":                  "the same",
	"prices.origin":                 "the same",
	"prices.peer":                   "the same",
	"prices.probe":                  "the same",
	"prices.waste":                  "the same",
	"scoringMix.whole":              "the same",
	"scoringMix.worstClass":         "the same",
	"scoringMix.worstTenant":        "the same",
	"scoringMix.worstWindow":        "the same",
	"stage":                         "a counter of the simulator",
	"stats.source":                  "the columns tell whether replies contain reports",
	"tiers.#":                       "there is one tier of destinations",
	"worthBy":                       "each message has the value of its class",
	"policyLimits.connectTimeoutUs": "read outside the settings",
}

// collectLeaves collects the keys of a document, with one value for each.
func collectLeaves(at string, v gjson.Result, to map[string]gjson.Result) {
	switch {
	case v.IsObject():
		v.ForEach(func(k, v gjson.Result) bool {
			collectLeaves(strings.TrimPrefix(at+"."+k.Str, "."), v, to)
			return true
		})
	case v.IsArray():
		for _, e := range v.Array() {
			collectLeaves(at+".#", e, to)
		}
	default:
		to[at] = v
	}
}

// otherValue returns a value other than v that the key may have.
func otherValue(key string, v gjson.Result) string {
	if s, ok := map[string]string{"discovery": `"ask"`, "weightSource": `"rough"`, "familyInfo.decay": `"halving"`,
		"grades.#.effect": `"keyed"`, "grades.#.group": `"zone"`, "familyInfo.callSlots": "9", "policyLimits.maxOpen": "31",
		"policyLimits.maxAttempts": "3", "fleetSize": "5"}[key]; ok {
		return s
	}
	switch v.Type {
	case gjson.True:
		return "false"
	case gjson.False:
		return "true"
	case gjson.String:
		return fmt.Sprintf("%q", v.Str+"-2")
	}
	return fmt.Sprintf("%g", 2*v.Num+1)
}

// Each key of the settings, when it alone is changed, changes the settings of the policy engine, or
// unusedKeys says why not. Prevents values that are fixed in the program.
func TestEachKeyHasAnEffect(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	set := gjson.GetBytes(raw, "settings")
	before, _, err := ParseSettings(set.Raw)
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]gjson.Result{}
	collectLeaves("", set, values)
	for key, v := range values {
		name := key[strings.LastIndex(strings.TrimSuffix(key, ".#"), ".")+1:]
		changed := set.Raw
		switch {
		case strings.HasSuffix(key, ".#"):
			list := strings.TrimSuffix(key, ".#")
			changed = strings.ReplaceAll(changed, gjson.Get(changed, list).Raw, "["+otherValue(key, v)+"]")
		default:
			// The last part of each key occurs once in the file, or once in each element of one
			// list.
			for _, part := range strings.Split(changed, "\n") {
				if k, _, ok := strings.Cut(strings.TrimSpace(part), ":"); ok && k == fmt.Sprintf("%q", name) &&
					strings.Contains(part, v.Raw) {
					end := ""
					if strings.HasSuffix(part, ",") {
						end = ","
					}
					changed = strings.Replace(changed, part, k+":"+otherValue(key, v)+end, 1)
				}
			}
		}
		after, _, err := ParseSettings(changed)
		if err != nil {
			t.Errorf("%s: %v", key, err)
			continue
		}
		if changes := !reflect.DeepEqual(after, before); !changes && unusedKeys[key] == "" {
			t.Errorf("%s has no effect on the policy engine's settings, and no reason is given", key)
		} else if changes && unusedKeys[key] != "" {
			t.Errorf("%s has an effect, but is listed as unused", key)
		}
	}
	for _, key := range []string{"fleetSize", "me", "tickUs", "familyInfo.callSlots", "policyLimits.maxOpen",
		"policyLimits.maxAttempts", "grades.#.deadlineUs", "grades.#.promiseUs", "grades.#.credit", "grades.#.lateValue",
		"guarantees.coldUs", "policyLimits.peers", "policyLimits.retryAfter"} {
		if _, there := values[key]; !there || unusedKeys[key] != "" {
			t.Errorf("%s has to be read, and was not checked", key)
		}
	}
}

// Keys that the main test file leaves out are read too: tenants, ordered classes, and the scope of
// deduplication.
func TestKeysOfOtherDeployments(t *testing.T) {
	s, columns, err := ParseSettings(`{"fleetSize":2,"tickUs":5000,"familyInfo":{"callSlots":4,"separateRoutes":[true],"feeByZone":[0.5],"batchByKind":[3]},"kinds":["k"],"zones":["z"],
		"policyLimits":{"maxOpen":20,"maxAttempts":6,"peers":false},"tenants":[{"name":"b","share":0.3,"quotaPerS":7}],"stats":{"columns":["x0","x1"]},
		"grades":[{"name":"posting","effect":"unsafe","inTurn":true,"promiseUs":1000,"deadlineUs":9000},{"name":"call","effect":"keyed","group":"zone","repeatWindowUs":6000}]}`)
	if err != nil || len(columns) != 2 || !s.NoGossip || s.Tenants[0].Name != "b" || s.Tenants[0].Share != 0.3 || s.Tenants[0].Quota != 7 ||
		!s.Classes[0].Ordered || s.Classes[1].Ordered || !s.Classes[1].ZoneOnly ||
		s.Kinds[0].MaxBatch != 3 || !s.Kinds[0].SeparateRoutes || s.Zones[0].Fee != 0.5 {
		t.Errorf("%+v, %v, %v", s, columns, err)
	}
}
