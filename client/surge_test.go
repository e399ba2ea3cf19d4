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

// A thousand clients reconnect to a real relay that was killed and comes back: each gets its charge taken on, with one
// hand-in more at most than it needs, and each charge runs once. The connections per 100 ms are logged with and without the spreading;
// that they bear no surge is shown with a clock of its own in decide.
func TestThousandClientsReconnect(t *testing.T) {
	for name, spread := range map[string]time.Duration{"spread": 0, "plain": client.NoSpread} {
		t.Run(name, func(t *testing.T) {
			const clients = 1000
			w := startWorld(t, testdouble.Config{FleetSize: 1, MaxDescriptors: 8192, MaxPending: 3 * clients, MaxConcurrentCalls: 64})
			r := startRelay(t, w)
			o := &seen{w: w}
			var all []*client.Client
			for range clients {
				all = append(all, newClient(t, client.Config{Relays: []string{r.Addr}, Spread: spread, Observer: o, AnswerTimeout: 5 * time.Second}))
			}
			round := func(n int, during func()) {
				var wg sync.WaitGroup
				for i, c := range all {
					wg.Go(func() {
						res, err := c.Send(context.Background(), message("fee-charge", n*clients+i, 19*time.Second))
						want(t, "a client of a thousand", res, err, client.Taken, 1)
					})
				}
				during()
				wg.Wait()
			}
			round(0, func() {})
			until(t, w, "the first thousand to run", func() bool { return len(w.EffectLog.CountByName()) == clients })
			r.Kill()
			o.mu.Lock()
			before, refusedBefore := len(o.opened), o.refused // under load dials of the first round fail, too
			o.mu.Unlock()
			var back time.Time
			round(1, func() {
				if err := r.Start(); err != nil {
					t.Error(err)
				}
				back = time.Now()
			})
			o.mu.Lock()
			bins, tries := map[int]int{}, len(o.opened)-before
			for _, at := range o.opened[before:] {
				if at.After(back) {
					bins[int(at.Sub(back)/(100*time.Millisecond))]++
				}
			}
			refused := o.refused - refusedBefore
			o.mu.Unlock()
			if tries-refused != clients {
				t.Errorf("%d tries, %d refused: not one connection a client", tries, refused)
			}
			t.Logf("%d tries, %d of them refused; connections per 100 ms since the relay is back: %v", tries, refused, bins)
			until(t, w, "all to run", func() bool { return len(w.EffectLog.CountByName()) == 2*clients })
			if d := w.EffectLog.Duplicates("fee-charge"); d != nil {
				t.Error("doubles:", fmt.Sprint(d))
			}
		})
	}
}
