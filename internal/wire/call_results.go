package wire

import (
	"math"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"oatfold/policy"
)

// This file derives the result of each message of a call from the answer.

// itemResult is the result of one item of a call.
type itemResult struct {
	outcome       policy.Outcome
	final         bool // the endpoint says that the message is completed
	pluginFailure *pluginFailure
}

// uniformResults returns the same result for each item of the call.
func uniformResults(cl *call, result itemResult) []itemResult {
	results := make([]itemResult, len(cl.items))
	for i := range results {
		results[i] = result
	}
	return results
}

// itemResults derives the result of each item from the answer.
func itemResults(cl *call, a *response) []itemResult {
	switch a.status {
	case 200:
		if cl.includedCount() == 1 {
			return uniformResults(cl, itemResult{outcome: policy.Delivered}) // the body is ignored
		}
		return batchResults(cl, a.body)
	case 429:
		return uniformResults(cl, itemResult{outcome: policy.Rejected})
	case 503:
		if a.get("Slots-Taken") == "1" {
			return uniformResults(cl, itemResult{outcome: policy.Unsent})
		}
		return uniformResults(cl, itemResult{outcome: policy.Rejected})
	case 410:
		return uniformResults(cl, itemResult{outcome: policy.Unsent, final: true})
	case 400, 404, 413, 504:
		return uniformResults(cl, itemResult{outcome: policy.Unsent})
	}
	return uniformResults(cl, itemResult{outcome: policy.Errored})
}

// batchItemStates maps the states in the answer to a batch to results.
var batchItemStates = map[string]itemResult{
	"ok": {outcome: policy.Delivered}, "error": {outcome: policy.Errored}, "later": {outcome: policy.Rejected},
	"gone": {outcome: policy.Unsent, final: true}, "exhausted": {outcome: policy.Unsent},
}

// batchResults reads the answer to a batch. A message that it does not name exactly once with a
// known state may have run.
func batchResults(cl *call, body []byte) []itemResult {
	results := uniformResults(cl, itemResult{outcome: policy.Errored})
	answers := gjson.ParseBytes(body)
	if !gjson.ValidBytes(body) || !answers.IsArray() {
		return results
	}
	mentions, reported := map[string]int{}, map[string]itemResult{}
	for _, v := range answers.Array() {
		id := v.Get("id").Str
		mentions[id]++
		if result, ok := batchItemStates[v.Get("state").Str]; ok {
			reported[id] = result
		}
	}
	for i := range cl.items {
		id := cl.items[i].id
		if result, ok := reported[id]; ok && mentions[id] == 1 {
			results[i] = result
		}
	}
	return results
}

// parseLoadReport reads a load report such as x0=0.4,x1=25. It returns nil if the report states no
// limit or is malformed.
func parseLoadReport(s string) *policy.LimitReport {
	if s == "" {
		return nil
	}
	var report policy.LimitReport
	hasLimit := false
	for _, part := range strings.Split(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 1) {
			return nil // a partial report could be misread
		}
		switch name {
		case "x0":
			report.Remaining = v
		case "x1":
			report.Limit, hasLimit = v, true
		}
	}
	if !hasLimit {
		return nil
	}
	return &report
}
