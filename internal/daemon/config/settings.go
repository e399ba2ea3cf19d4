package config

import (
	"fmt"
	"time"

	"github.com/tidwall/gjson"

	"oatfold/internal/pacing"
	"oatfold/policy"
)

// effectsByName maps the values of the key effect.
var effectsByName = map[string]policy.Effect{
	"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe,
}

// microseconds reads a duration in microseconds.
func microseconds(v gjson.Result) time.Duration { return time.Duration(v.Int()) * time.Microsecond }

// ParseSettings reads the settings object, which is the same in a BOOT event of the simulator and
// in the configuration of a relay. It returns the settings of the policy engine and the columns of
// load reports. Ranges are checked by the engine's New; unknown keys are ignored.
func ParseSettings(raw string) (policy.Settings, []string, error) {
	var s policy.Settings
	if !gjson.Valid(raw) || !gjson.Parse(raw).IsObject() {
		return s, nil, fmt.Errorf("malformed settings: not a JSON object")
	}
	doc := gjson.Parse(raw)
	for _, k := range []struct {
		path string
		want gjson.Type
	}{{"fleetSize", gjson.Number}, {"tickUs", gjson.Number}, {"familyInfo.callSlots", gjson.Number},
		{"policyLimits.maxOpen", gjson.Number}, {"policyLimits.maxAttempts", gjson.Number},
		{"policyLimits.connIdleUs", gjson.Number}, {"policyLimits.connectTimeoutUs", gjson.Number},
		{"policyLimits.maxRetryAfterUs", gjson.Number}, {"discovery", gjson.String}, {"weightSource", gjson.String}} {
		if v := doc.Get(k.path); v.Exists() && v.Type != k.want {
			return s, nil, fmt.Errorf("malformed settings: %s is %s, want %v", k.path, v.Raw, k.want)
		}
	}
	limits, guarantees, family := doc.Get("policyLimits"), doc.Get("guarantees"), doc.Get("familyInfo")
	s = policy.Settings{
		Relays:               int(doc.Get("fleetSize").Int()),
		MaxConcurrentCalls:   int(family.Get("callSlots").Int()),
		MaxPending:           int(limits.Get("maxOpen").Int()),
		MaxAttempts:          int(limits.Get("maxAttempts").Int()),
		MustSubscribe:        doc.Get("discovery").Str == "ask",
		MaxSubscribeInterval: microseconds(guarantees.Get("askWithinUs")),
		SendRetryAfter:       limits.Get("retryAfter").Bool(),
		MaxRetryAfter:        microseconds(limits.Get("maxRetryAfterUs")),
		Tick:                 microseconds(doc.Get("tickUs")),
		IdleConnTimeout:      microseconds(limits.Get("connIdleUs")),
		ColdStartShare:       guarantees.Get("coldFrom").Float(),
		WarmUpTime:           microseconds(guarantees.Get("coldUs")),
		OverloadFactor:       guarantees.Get("overloadFactor").Float(),
		OverloadTime:         microseconds(guarantees.Get("fallUs")),
		KeyQuietTime:         microseconds(guarantees.Get("keyQuietUs")),
		NoGossip:             limits.Get("peers").Type == gjson.False,
		OverQuotaValue:       doc.Get("overShareWorth").Float(),
		ExponentialDecay:     family.Get("decay").Str == "halving",
	}
	if me := doc.Get("me"); me.Type == gjson.Number {
		s.TimeSlots = pacing.New(int(me.Int()), s.Relays)
	}
	weights := doc.Get("weightSource").Str
	s.RatesListed = weights == "nominal" || weights == "rough"
	for _, c := range doc.Get("grades").Array() {
		name := c.Get("name").Str
		effect, ok := effectsByName[c.Get("effect").Str]
		if !ok {
			return s, nil, fmt.Errorf("class %q has unknown effect %q", name, c.Get("effect").Str)
		}
		s.Classes = append(s.Classes, policy.Class{
			Name:          name,
			Effect:        effect,
			ZoneOnly:      effect == policy.Keyed && c.Get("group").Str != "all",
			RepeatWindow:  microseconds(c.Get("repeatWindowUs")),
			Ordered:       c.Get("inTurn").Bool(),
			TargetLatency: microseconds(c.Get("promiseUs")),
			Deadline:      microseconds(c.Get("deadlineUs")),
			Value:         c.Get("credit").Float(),
			LateValue:     c.Get("lateValue").Float(),
		})
	}
	for _, t := range doc.Get("tenants").Array() {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Get("name").Str, Share: t.Get("share").Float(),
			Quota: t.Get("quotaPerS").Float()})
	}
	batch, separate, fees := family.Get("batchByKind").Array(), family.Get("separateRoutes").Array(),
		family.Get("feeByZone").Array()
	for i, name := range doc.Get("kinds").Array() {
		k := policy.Kind{Name: name.Str, MaxBatch: 1}
		if i < len(batch) {
			k.MaxBatch = int(batch[i].Int())
		}
		if i < len(separate) {
			k.SeparateRoutes = separate[i].Bool()
		}
		s.Kinds = append(s.Kinds, k)
	}
	for i, name := range doc.Get("zones").Array() {
		z := policy.Zone{Name: name.Str}
		if i < len(fees) {
			z.Fee = fees[i].Float()
		}
		s.Zones = append(s.Zones, z)
	}
	var columns []string
	for _, c := range doc.Get("stats.columns").Array() {
		columns = append(columns, c.Str)
	}
	return s, columns, nil
}
