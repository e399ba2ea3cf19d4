// Command gatekeeper is a plug-in that rejects messages with missing fields: the body must be a
// JSON object with all members that the operator's setting names ("account,amount"). The first of
// them becomes a note for the later hooks.
package main

import (
	"encoding/json"
	"strings"

	"oatfold/plugin"
)

func init() { plugin.Serve(plugin.Handlers{OnHandIn: checkFields}) }

func main() {}

// checkFields rejects a body without one of the required members.
func checkFields(m *plugin.Message) (plugin.HandIn, error) {
	var body map[string]any
	if json.Unmarshal(m.Body, &body) != nil {
		return plugin.HandIn{Reject: true, Reason: "the body is no JSON object"}, nil
	}
	notes := map[string]string{}
	for i, name := range strings.Split(m.Setting, ",") {
		v, ok := body[name]
		if !ok {
			return plugin.HandIn{Reject: true, Reason: "the body lacks " + name}, nil
		}
		if text, err := json.Marshal(v); err == nil && i == 0 {
			notes[name] = string(text)
		}
	}
	return plugin.HandIn{Notes: notes}, nil
}
