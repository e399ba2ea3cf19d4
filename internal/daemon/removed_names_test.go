package daemon

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"oatfold/policy"
)

// A reload that removes names from the settings logs them; one that keeps all names logs nothing.
func TestNamesRemovedByReload(t *testing.T) {
	old := policy.Settings{
		Classes: []policy.Class{{Name: "berth-alert"}, {Name: "dues-charge"}},
		Tenants: []policy.Tenant{{Name: "reef-lab"}},
		Kinds:   []policy.Kind{{Name: "pilot-desk"}},
		Zones:   []policy.Zone{{Name: "quay-one"}},
	}
	now := policy.Settings{Classes: []policy.Class{{Name: "bill-posting"}, {Name: "berth-alert"}}}
	for _, c := range []struct {
		old, now *policy.Settings
		want     []string
	}{
		{&old, &old, nil},
		{&now, &old, []string{"classes=[bill-posting]"}},
		{&old, &now, []string{"classes=[dues-charge]", "tenants=[reef-lab]", "kinds=[pilot-desk]", "zones=[quay-one]"}},
	} {
		var text bytes.Buffer
		warnRemovedNames(slog.New(slog.NewTextHandler(&text, nil)), c.old, c.now)
		if got := strings.Count(text.String(), "\n"); got != len(c.want) {
			t.Errorf("%d lines, want %d: %s", got, len(c.want), text.String())
		}
		for _, want := range c.want {
			if !strings.Contains(text.String(), want) {
				t.Errorf("%q is not in %s", want, text.String())
			}
		}
	}
}
