package cli

import (
	"bytes"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"oatfold/internal/daemon/config/operator"
)

// The forecast shows where load moves and what is rejected. An error names an unknown zone or a
// missing plan.
func TestSitePlan(t *testing.T) {
	const file = "../../deploy/sites.textproto"
	call := func(args ...string) (int, string, error) {
		cmd := command("test", append([]string{"site", "plan"}, args...))
		var out bytes.Buffer
		cmd.SetOut(&out)
		err := cmd.Execute()
		return exitCode(err), out.String(), err
	}
	code, out, _ := call("--operator", file, "--lost", "porto")
	for _, want := range []string{"braga  100.0  55.0        97.8         0.98",
		"price-alert  125.0   125.0       94.8         30.2", "order-relay  braga       refused",
		"destination 2 has endpoints in porto only"} {
		if code != exitOK || !strings.Contains(out, want) {
			t.Errorf("%d, no %q in %s", code, want, out)
		}
	}
	if code, out, _ := call("--operator", file, "--lost", "faro", "--json"); code != exitOK ||
		!strings.Contains(out, `"lost": "faro"`) {
		t.Errorf("%d %s", code, out)
	}
	if code, _, err := call("--operator", file, "--lost", "lisboa"); code != exitUsage ||
		!strings.Contains(err.Error(), `"lisboa" is no site`) {
		t.Errorf("%d %v", code, err)
	}
	if code, _, err := call("--operator", "../../deploy/oatfold.textproto", "--lost", "a"); code != exitFault ||
		!strings.Contains(err.Error(), "sites: missing") {
		t.Errorf("%d %v", code, err)
	}
	if code, _, _ := call("--lost", "a"); code != exitUsage {
		t.Errorf("no file: %d", code)
	}
}

// The demand that relays report replaces the file's rates, divided among classes as in the file. An
// error names a relay outside all sites.
func TestApplyReportedRates(t *testing.T) {
	c, err := operator.Load("../../deploy/sites.textproto", 0)
	if err != nil {
		t.Fatal(err)
	}
	zone := map[string]string{"one": "porto", "two": "porto", "three": "braga"}
	ask := func(addr, path string) ([]byte, error) {
		if path == "/members" {
			return []byte(`{"self":7,"members":[{"number":3,"zone":"faro"},{"number":7,"zone":"` + zone[addr] + `"}]}`),
				nil
		}
		return []byte(`{"destinations":[{"destination":1,"wanted_here":10},{"destination":9,"wanted_here":4}]}`), nil
	}
	if err := applyReportedRates(c.Sites, []string{"one", "two", "three"}, ask); err != nil {
		t.Fatal(err)
	}
	sum := map[string]float64{}
	for z, by := range c.Sites.Destinations[0].Demand {
		for _, n := range by {
			sum[z] += n
		}
	}
	alerts := c.Sites.Destinations[0].Demand["porto"]["price-alert"]
	if math.Abs(sum["porto"]-20) > 1e-9 || math.Abs(sum["braga"]-10) > 1e-9 || sum["faro"] != 0 ||
		math.Abs(alerts-20*125/185.0) > 1e-9 {
		t.Errorf("%v, %v alerts", sum, alerts)
	}
	if n := c.Sites.Destinations[1].Demand["braga"]["order-relay"]; n != 8 {
		t.Errorf("rate of a destination without reports: %v", n)
	}
	zone["one"] = "lisboa"
	if err := applyReportedRates(c.Sites, []string{"one"}, ask); err == nil || !strings.Contains(err.Error(),
		`"lisboa" is no site`) {
		t.Errorf("%v", err)
	}
	if err := applyReportedRates(c.Sites, []string{"one"}, func(string, string) ([]byte, error) {
		return nil,
			errors.New("gone")
	}); err == nil {
		t.Error("a relay that does not answer is ignored")
	}
}

// site status prints a table; site out and site in send the right requests.
func TestSiteStatusAndActions(t *testing.T) {
	var asked []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.Method+" "+r.URL.Path)
		if r.Method == "PUT" && r.URL.Path != "/sites/porto/out" && r.URL.Path != "/sites/porto/in" {
			w.WriteHeader(404)
		}
		w.Write([]byte(`{"home":"braga","age_ms":120,"sites":[{"zone":"porto","state":"lost","tier":1,"since_ms":2500,"why":"7 calls failed","cut_perhaps":true,"relays":4,"relays_alive":1}]}`))
	}))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	call := func(args ...string) (int, string) {
		cmd := command("test", append([]string{"site"}, args...))
		var out bytes.Buffer
		cmd.SetOut(&out)
		return exitCode(cmd.Execute()), out.String()
	}
	code, out := call("status", addr)
	for _, want := range []string{"relay of braga, 120 ms ago", "porto  1     lost   2.5s   0.00  1 of 4",
		"7 calls failed (only silence: it may be alive but unreachable)"} {
		if code != exitOK || !strings.Contains(out, want) {
			t.Errorf("%d, no %q in %s", code, want, out)
		}
	}
	if code, out := call("status", addr, "--json"); code != exitOK || !strings.HasPrefix(out, `{"home"`) {
		t.Errorf("%d %s", code, out)
	}
	for _, c := range []struct {
		args []string
		want int
	}{{[]string{"out", addr, "porto"}, exitOK}, {[]string{"in", addr, "porto"}, exitOK},
		{[]string{"out", addr, "lisboa"}, exitFault}, {[]string{"out", addr, "a/b"}, exitUsage},
		{[]string{"out", addr}, exitUsage}} {
		if code, _ := call(c.args...); code != c.want {
			t.Errorf("%v: %d, want %d", c.args, code, c.want)
		}
	}
	if got := strings.Join(asked, ", "); got != "GET /sites, GET /sites, PUT /sites/porto/out, PUT /sites/porto/in, PUT /sites/lisboa/out" {
		t.Error(got)
	}
}
