// Command brokerform is a plug-in that converts an order to the format of a broker: it renames
// members of the JSON object in the body and wraps it in an envelope with a reference. The
// operator's setting lists the names as OURS=THEIRS, separated by commas:
// "amount=qty,account=acct".
package main

import (
	"encoding/json"
	"fmt"
	"strings"

	"oatfold/plugin"
)

func init() { plugin.Serve(plugin.Handlers{ShapeRequest: shapeRequest}) }

func main() {}

// shapeRequest returns the order in the broker's format.
func shapeRequest(m *plugin.Message) (plugin.Shape, error) {
	var order map[string]json.RawMessage
	if err := json.Unmarshal(m.Body, &order); err != nil {
		return plugin.Shape{}, fmt.Errorf("the order is not a JSON object: %w", err)
	}
	for _, pair := range strings.Split(m.Setting, ",") {
		ours, theirs, ok := strings.Cut(pair, "=")
		if v, there := order[ours]; ok && there {
			delete(order, ours)
			order[theirs] = v
		}
	}
	body, err := json.Marshal(map[string]any{"ref": m.ID, "order": order})
	return plugin.Shape{Body: body, Headers: []string{"Content-Type: application/json", "X-Form-Version: 2"}}, err
}
