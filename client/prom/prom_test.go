package prom_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"oatfold/client"
	"oatfold/client/prom"
	"oatfold/internal/testdouble"
)

// The metrics match the requests that the relay received.
func TestCounts(t *testing.T) {
	w, err := testdouble.NewEnvironment(testdouble.Config{})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	g, err := w.StartFaultProxy("", func(n int, _ string) testdouble.Fault {
		return testdouble.Fault{Kind: testdouble.Respond, Status: []int{202, 503, 202, 400}[n],
			Header: map[string][]string{"Retry-After": {"0.01"}}}
	})
	if err != nil {
		t.Fatal(err)
	}
	m := prom.New("billing")
	reg := prometheus.NewPedanticRegistry()
	reg.MustRegister(m)
	c, err := client.New(client.Config{Relays: []string{g.Addr}, Observer: m})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 3 {
		c.Send(context.Background(), client.Message{Class: "fee-charge", Dest: 7, TimeLeft: 10 * time.Second})
	}
	want := strings.ReplaceAll(`
# HELP billing_relay_client_connections_total New connections that were tried.
# TYPE billing_relay_client_connections_total counter
billing_relay_client_connections_total{relay="ADDR",result="made"} 1
# HELP billing_relay_client_hand_ins_total Requests of which a byte went out, by relay, X-Repeat mark and end: a status, or how far it came.
# TYPE billing_relay_client_hand_ins_total counter
billing_relay_client_hand_ins_total{end="202",mark="",relay="ADDR"} 1
billing_relay_client_hand_ins_total{end="202",mark="1",relay="ADDR"} 1
billing_relay_client_hand_ins_total{end="400",mark="",relay="ADDR"} 1
billing_relay_client_hand_ins_total{end="503",mark="",relay="ADDR"} 1
# HELP billing_relay_client_messages_total Messages by result.
# TYPE billing_relay_client_messages_total counter
billing_relay_client_messages_total{result="failed"} 1
billing_relay_client_messages_total{result="taken"} 2
# HELP billing_relay_client_refusal_wait_seconds_total Seconds of all waits after refusals.
# TYPE billing_relay_client_refusal_wait_seconds_total counter
billing_relay_client_refusal_wait_seconds_total 0.01
`, "ADDR", g.Addr)
	if err := testutil.GatherAndCompare(reg, strings.NewReader(want), "billing_relay_client_connections_total",
		"billing_relay_client_hand_ins_total",
		"billing_relay_client_messages_total", "billing_relay_client_refusal_wait_seconds_total"); err != nil {
		t.Error(err)
	}
	if n, err := testutil.GatherAndCount(reg); err != nil || n != 11 {
		t.Errorf("%d metrics, %v", n, err)
	}
}
