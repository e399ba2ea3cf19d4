package load_test

import (
	"context"
	"os"
	"testing"
	"time"

	"oatfold/internal/lab/load"
	"oatfold/internal/lab/rules"
	"oatfold/internal/testdouble"
)

// startPartners starts four partners: one is healthy, the others reject calls, reset connections after
// execution, or fail.
func startPartners(t *testing.T, r *load.Recorder) *testdouble.Environment {
	t.Helper()
	var partners []testdouble.PartnerConfig
	for d := range 4 {
		partners = append(partners,
			testdouble.PartnerConfig{Dest: d + 1, RetryAfter: 300 * time.Millisecond, OnCall: r.CallObserved})
	}
	partners[2].Kind = "broker"
	w, err := testdouble.NewEnvironment(testdouble.Config{Seed: 1, Partners: partners, MaxPending: 2000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	w.Platform.OnNotification(r.NotificationReceived)
	for d, m := range map[int]testdouble.Mode{1: testdouble.Unavailable, 2: testdouble.ResetAfterRun,
		3: testdouble.InternalError} {
		if err := w.Partners[d].SetMode(m, 0.15); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

func runLoad(t *testing.T, addr string, r *load.Recorder) *load.Report {
	t.Helper()
	report, err := load.Run(context.Background(),
		load.Config{Addr: addr, Rate: 150, Duration: 3 * time.Second, Dests: []int{1, 2, 3, 4},
			Mix: load.DefaultMix, MaxConns: 32, BodyBytes: 200, Seed: 3, Watcher: r})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// A relay keeps the rules on real sockets under faults, and the same checker finds the violations
// of a plain forwarder.
func TestRulesOnSockets(t *testing.T) {
	bin, err := testdouble.BuildRelay(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	r := load.NewRecorder(32)
	w := startPartners(t, r)
	relay, err := w.StartRelay(bin)
	if err != nil {
		t.Fatal(err)
	}
	report := runLoad(t, relay.Addr, r)
	if err := w.WaitUntil("the outcome of every message", func() bool { return r.PendingCount() == 0 }); err != nil {
		t.Error(err)
	}
	if breaks, _ := r.Finish(); len(breaks) > 0 || report.Accepted < 300 || report.Failed > 0 {
		t.Errorf("%+v: %v", report, breaks)
	}

	r = load.NewRecorder(32)
	w = startPartners(t, r)
	var addrs []string
	for _, p := range w.Partners {
		addrs = append(addrs, p.Addresses()...)
	}
	ctx, stop := context.WithCancel(context.Background())
	addr, done := make(chan string, 1), make(chan error, 1)
	go func() { done <- load.RunForwarder(ctx, addrs, func(a string) { addr <- a }) }()
	runLoad(t, <-addr, r)
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, counts := r.Finish(); counts[rules.RetryAfter] == 0 || counts[rules.Bounds] == 0 {
		t.Errorf("the forwarder ignores Retry-After and limits, found %v", counts)
	}
	if _, err := load.ReadUsage(os.Getpid()); err != nil {
		t.Error(err)
	}
}
