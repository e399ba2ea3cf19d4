package client_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"oatfold/client"
	"oatfold/internal/testdouble"
)

// A thousand clients reconnect to a relay process that was killed and restarted: each charge is
// accepted on the first attempt and runs once. Logs the connections per 100 ms with and without
// spreading; decide.TestNoReconnectSurge bounds them in simulated time.
func TestThousandClientsReconnect(t *testing.T) {
	for name, spread := range map[string]time.Duration{"spread": 0, "plain": client.NoSpread} {
		t.Run(name, func(t *testing.T) {
			const clients = 1000
			w := startEnv(t, testdouble.Config{FleetSize: 1, MaxDescriptors: 8192, MaxPending: 3 * clients,
				MaxConcurrentCalls: 64})
			r := startRelay(t, w)
			observer := &recorder{env: w}
			var all []*client.Client
			for range clients {
				all = append(all, newClient(t, client.Config{Relays: []string{r.Addr}, Spread: spread,
					Observer: observer, AnswerTimeout: 5 * time.Second}))
			}
			round := func(n int, during func()) {
				var wg sync.WaitGroup
				for i, c := range all {
					wg.Go(func() {
						res, err := c.Send(context.Background(), newMessage("fee-charge", n*clients+i, 19*time.Second))
						expectResult(t, "one of a thousand clients", res, err, client.Taken, 1)
					})
				}
				during()
				wg.Wait()
			}
			round(0, func() {})
			waitUntil(t, w, "the first round to run", func() bool { return len(w.EffectLog.CountByName()) == clients })
			r.Kill()
			observer.mu.Lock()
			// Under load, connections of the first round fail as well.
			before, failedBefore := len(observer.connectedAt), observer.failedConnects
			observer.mu.Unlock()
			var backAt time.Time
			round(1, func() {
				if err := r.Start(); err != nil {
					t.Error(err)
				}
				backAt = time.Now()
			})
			observer.mu.Lock()
			bins, attempts := map[int]int{}, len(observer.connectedAt)-before
			for _, at := range observer.connectedAt[before:] {
				if at.After(backAt) {
					bins[int(at.Sub(backAt)/(100*time.Millisecond))]++
				}
			}
			failed := observer.failedConnects - failedBefore
			observer.mu.Unlock()
			if attempts-failed != clients {
				t.Errorf("%d connection attempts, %d failed: want one connection per client", attempts, failed)
			}
			t.Logf("%d connection attempts, %d of them failed; connections per 100 ms since the restart: %v",
				attempts, failed, bins)
			waitUntil(t, w, "all to run", func() bool { return len(w.EffectLog.CountByName()) == 2*clients })
			if d := w.EffectLog.Duplicates("fee-charge"); d != nil {
				t.Error("doubles:", fmt.Sprint(d))
			}
		})
	}
}
