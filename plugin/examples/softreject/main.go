// Command softreject is a plug-in for partners that reject requests with status 200 and a body like
// {"status":"busy","retry_ms":800}. It reports that the message may have run, and the wait as
// Retry-After.
package main

import (
	"encoding/json"
	"time"

	"oatfold/plugin"
)

func init() { plugin.Serve(plugin.Handlers{ReadAnswer: readAnswer}) }

func main() {}

// readAnswer recognises a rejection in the body of a 200 answer.
func readAnswer(_ *plugin.Message, a *plugin.Answer) (plugin.Reading, error) {
	var partner struct {
		Status  string `json:"status"`
		RetryMs int64  `json:"retry_ms"`
	}
	if a.Status != 200 || json.Unmarshal(a.Body, &partner) != nil {
		return plugin.Reading{}, nil
	}
	switch partner.Status {
	case "busy", "rejected":
		return plugin.Reading{Unsure: true, Wait: time.Duration(partner.RetryMs) * time.Millisecond,
			Reason: "partner says " + partner.Status}, nil
	}
	return plugin.Reading{}, nil
}
