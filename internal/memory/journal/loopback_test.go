package journal_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oatfold/client"
	"oatfold/internal/memory/journal"
	"oatfold/internal/testdouble"
)

// buildRelay builds the relay binary on first use.
var buildRelay = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "relay")
	if err != nil {
		return "", err
	}
	return testdouble.BuildRelay(dir)
})

// Kills the relay process at seeded moments while its disk is full, by the budget or by a file size
// limit: accepted messages complete, rejected ones have not run, and no charge runs twice.
func TestCrashWithFullDisk(t *testing.T) {
	program, err := buildRelay()
	if err != nil {
		t.Fatal(err)
	}
	limited := filepath.Join(t.TempDir(), "limited")
	if err := os.WriteFile(
		limited, fmt.Appendf(nil, "#!/bin/sh\nulimit -f 120\nexec %s \"$@\"\n", program), 0o700,
	); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		program string
		diskMB  float64
	}{"budget": {program, 0.3}, "file size": {limited, 3}} {
		t.Run(name, func(t *testing.T) {
			const messages, clients = 600, 8
			w, err := testdouble.NewEnvironment(testdouble.Config{
				Seed: 9, DiskMB: c.diskMB, MaxPending: 400, Partners: []testdouble.PartnerConfig{{Dest: 7}},
			})
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			r, err := w.StartRelay(c.program)
			if err != nil {
				t.Fatal(err)
			}
			results := make([]client.Result, messages)
			events := make(chan int, messages)
			var senders, faults sync.WaitGroup
			faults.Go(func() {
				for n := range events {
					switch {
					case n%100 == 20:
						w.Partners[7].SetMode(testdouble.RefusingConnections, 1)
					case n%100 == 60:
						w.Partners[7].SetMode(testdouble.Healthy, 1)
					default:
						r.Kill()
						if err := r.Start(); err != nil {
							t.Error(err)
						}
					}
				}
			})
			for worker := range clients {
				senders.Go(func() {
					random := rand.New(rand.NewPCG(9, uint64(worker)))
					for n := worker; n < messages; n += clients {
						if n%100 == 20 || n%100 == 60 || n%100 == 50+n/100 {
							events <- n
						}
						// A client for each message, since Retry-After applies to the later ones of
						// a client.
						c, err := client.New(client.Config{
							Relays: []string{r.Addr}, Spread: 50 * time.Millisecond, NoRefusals: true,
						})
						if err != nil {
							t.Error(err)
							return
						}
						defer c.Close()
						results[n], _ = c.Send(context.Background(), client.Message{
							Class: "fee-charge", Dest: 7, TimeLeft: 2500 * time.Millisecond,
							Body: fmt.Appendf(nil, "fee-charge/%d\n%0*d", n, 1000+random.IntN(8000), 0),
						})
					}
				})
			}
			senders.Wait()
			close(events)
			faults.Wait()
			outcomes, effects := map[client.Outcome]int{}, map[string]int{}
			if err := w.WaitUntil("all accepted messages to complete", func() bool {
				effects = w.EffectLog.CountByName()
				notifications := w.Platform.Notifications()
				for n, result := range results {
					if _, ended := notifications[result.ID]; result.Outcome == client.Taken &&
						effects[fmt.Sprint("fee-charge/", n)] == 0 && !ended {
						return false
					}
				}
				return true
			}); err != nil {
				t.Fatalf("%v\n%s", err, r.LogTail())
			}
			for n, result := range results {
				outcomes[result.Outcome]++
				if runs := effects[fmt.Sprint("fee-charge/", n)]; runs > 1 ||
					runs > 0 && result.Outcome != client.Taken && result.Outcome != client.Uncertain {
					t.Errorf("%d ran %d times: %+v", n, runs, result)
				}
			}
			if outcomes[client.Taken] < messages/10 {
				t.Errorf("too few messages accepted: %v", outcomes)
			}
			t.Logf("%v", outcomes)
			r.Kill()
			if in, err := journal.Inspect(journal.Dir(r.StateDir), nil); err != nil || len(in.Faults) > 1 {
				t.Errorf("%+v, %v", in, err) // an incomplete record at the end is allowed
			}
		})
	}
}

// Large bodies with little memory and a small disk, across restarts: bodies are delivered
// unchanged, alerts without space are rejected, and a charge whose body was lost with the process
// is reported by a notification and has not run.
func TestLargeBodiesOnLoopback(t *testing.T) {
	program, err := buildRelay()
	if err != nil {
		t.Fatal(err)
	}
	w, err := testdouble.NewEnvironment(testdouble.Config{DiskMB: 0.5, Partners: []testdouble.PartnerConfig{{Dest: 7}}})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	file := filepath.Join(t.TempDir(), "operator.textproto")
	if err := os.WriteFile(file, []byte("bodies { memory_kb: 96 }"), 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := w.StartRelay(program, "--operator", file)
	if err != nil {
		t.Fatal(err)
	}
	w.Partners[7].SetMode(testdouble.RefusingConnections, 1)
	const size = 20_000
	outcomes := map[string]map[client.Outcome]int{}
	results := map[string]client.Result{}
	for n := range 60 {
		class := []string{"fee-charge", "price-alert"}[n%2]
		// Retry-After would apply to the next message of a client.
		c, err := client.New(client.Config{Relays: []string{r.Addr}, NoRefusals: true})
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprint(class, "/", n)
		result, _ := c.Send(context.Background(), client.Message{
			Class: class, Dest: 7, TimeLeft: 5900 * time.Millisecond,
			Body: fmt.Appendf(nil, "%s\n%0*d", name, size-len(name)-1, 0),
		})
		c.Close()
		if outcomes[class] == nil {
			outcomes[class] = map[client.Outcome]int{}
		}
		outcomes[class][result.Outcome]++
		results[name] = result
	}
	r.Kill()
	in, err := journal.Inspect(journal.Dir(r.StateDir), nil)
	if err != nil {
		t.Fatal(err)
	}
	memoryOnly := map[string]bool{}
	for _, m := range in.Messages {
		memoryOnly[m.ID] = m.MemoryOnly
	}
	w.Partners[7].SetMode(testdouble.Healthy, 1)
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	effects, lostBodies := map[string]int{}, 0
	if err := w.WaitUntil("all accepted messages to complete", func() bool {
		effects = w.EffectLog.CountByName()
		notifications := w.Platform.Notifications()
		for name, result := range results {
			if _, ended := notifications[result.ID]; result.Outcome == client.Taken && effects[name] == 0 && !ended {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("%v\n%s", err, r.LogTail())
	}
	for name, result := range results {
		if memoryOnly[result.ID] {
			if lostBodies++; effects[name] != 0 || w.Platform.Notifications()[result.ID].Outcome == "" {
				t.Errorf("%s, whose body was lost: ran %d times, notification %+v",
					name, effects[name], w.Platform.Notifications()[result.ID])
			}
		}
		if result.Outcome != client.Taken && effects[name] > 0 || name[0] == 'f' && effects[name] > 1 {
			t.Errorf("%s ran %d times: %+v", name, effects[name], result)
		}
	}
	for _, e := range w.EffectLog.Entries() {
		if e.Size != size {
			t.Errorf("%s came with %d bytes", e.Name, e.Size)
		}
	}
	if lostBodies == 0 || len(effects) < 10 ||
		outcomes["price-alert"][client.Taken] >= outcomes["fee-charge"][client.Taken] {
		t.Errorf("%d bodies lost, %d ran, accepted: %v", lostBodies, len(effects), outcomes)
	}
	t.Logf("%v, %d bodies lost with the process, %d messages ran", outcomes, lostBodies, len(effects))
}

// Guards against a relay that refuses everything for good, with nothing pending, once bodies of 64 KiB
// have filled its folder: whatever is refused is accepted soon after, in two processes.
func TestLargeBodiesDoNotFillTheFolder(t *testing.T) {
	program, err := buildRelay()
	if err != nil {
		t.Fatal(err)
	}
	const (
		diskMB, messages, senders = 0.5, 800, 3
		maxWait                   = 10 * time.Second // until a refused message is accepted; a relay maintains its journal each second
		retryDelay                = 20 * time.Millisecond
	)
	w, err := testdouble.NewEnvironment(testdouble.Config{DiskMB: diskMB, Partners: []testdouble.PartnerConfig{{Dest: 7}}})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	r, err := w.StartRelay(program)
	if err != nil {
		t.Fatal(err)
	}
	send := func(n int) client.Outcome {
		// A client for each try, since Retry-After applies to the later ones of a client.
		c, err := client.New(client.Config{Relays: []string{r.Addr}, NoRefusals: true})
		if err != nil {
			t.Error(err)
			return client.Taken
		}
		defer c.Close()
		class := []string{"price-alert", "order-relay", "fee-charge"}[n%3]
		name := fmt.Sprintf("%s/%d\n", class, n)
		result, _ := c.Send(context.Background(), client.Message{
			Class: class, Dest: 7, TimeLeft: 5900 * time.Millisecond,
			Body: fmt.Appendf(nil, "%s%0*d", name, 64<<10-len(name), 0),
		})
		return result.Outcome
	}
	var refused atomic.Int64
	for half := range 2 {
		var group sync.WaitGroup
		for sender := range senders {
			group.Go(func() {
				for n := half*messages/2 + sender; n < (half+1)*messages/2 && !t.Failed(); n += senders {
					for start := time.Now(); send(n) != client.Taken; time.Sleep(retryDelay) {
						if refused.Add(1); time.Since(start) > maxWait {
							t.Errorf("message %d was refused for %v", n, maxWait)
							return
						}
					}
				}
			})
		}
		group.Wait()
		r.Kill()
		if t.Failed() {
			t.Fatal(r.LogTail())
		}
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d refusals of %d messages", refused.Load(), messages)
}
