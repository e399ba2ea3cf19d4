package journal_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"oatfold/client"
	"oatfold/internal/memory/journal"
	"oatfold/internal/testdouble"
)

// bin is the real relay, built when it is first needed.
var bin = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "relay")
	if err != nil {
		return "", err
	}
	return testdouble.BuildRelay(dir)
})

// The real relay with a disk that fills, by its budget and by a bound of the system on each file, killed at seeded moments while bodies come
// in and the partner is silent for a while: what was taken on ends, what was refused has not run, and no charge runs twice.
func TestKilledWithAFullDisk(t *testing.T) {
	program, err := bin()
	if err != nil {
		t.Fatal(err)
	}
	limited := filepath.Join(t.TempDir(), "limited")
	if err := os.WriteFile(limited, fmt.Appendf(nil, "#!/bin/sh\nulimit -f 120\nexec %s \"$@\"\n", program), 0o700); err != nil {
		t.Fatal(err)
	}
	for what, c := range map[string]struct {
		program string
		diskMB  float64
	}{"budget": {program, 0.3}, "file size": {limited, 3}} {
		t.Run(what, func(t *testing.T) {
			const messages, lanes = 600, 8
			w, err := testdouble.NewEnvironment(testdouble.Config{Seed: 9, DiskMB: c.diskMB, MaxPending: 400, Partners: []testdouble.PartnerConfig{{Dest: 7}}})
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
			var all, faults sync.WaitGroup
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
			for lane := range lanes {
				all.Go(func() {
					random := rand.New(rand.NewPCG(9, uint64(lane)))
					for n := lane; n < messages; n += lanes {
						if n%100 == 20 || n%100 == 60 || n%100 == 50+n/100 {
							events <- n
						}
						// A client of its own: a told wait binds what comes after it.
						c, err := client.New(client.Config{Relays: []string{r.Addr}, Spread: 50 * time.Millisecond, NoRefusals: true})
						if err != nil {
							t.Error(err)
							return
						}
						defer c.Close()
						results[n], _ = c.Send(context.Background(), client.Message{Class: "fee-charge", Dest: 7, TimeLeft: 2500 * time.Millisecond,
							Body: fmt.Appendf(nil, "fee-charge/%d\n%0*d", n, 1000+random.IntN(8000), 0)})
					}
				})
			}
			all.Wait()
			close(events)
			faults.Wait()
			counts, did := map[client.Outcome]int{}, map[string]int{}
			if err := w.WaitUntil("all that was taken on to end", func() bool {
				did = w.EffectLog.CountByName()
				told := w.Platform.Notifications()
				for n, res := range results {
					if _, ended := told[res.ID]; res.Outcome == client.Taken && did[fmt.Sprint("fee-charge/", n)] == 0 && !ended {
						return false
					}
				}
				return true
			}); err != nil {
				t.Fatalf("%v\n%s", err, r.LogTail())
			}
			for n, res := range results {
				counts[res.Outcome]++
				if runs := did[fmt.Sprint("fee-charge/", n)]; runs > 1 || runs > 0 && res.Outcome != client.Taken && res.Outcome != client.Uncertain {
					t.Errorf("%d ran %d times: %+v", n, runs, res)
				}
			}
			if counts[client.Taken] < messages/10 {
				t.Errorf("hardly any was taken on: %v", counts)
			}
			t.Logf("%v", counts)
			r.Kill()
			if in, err := journal.Inspect(journal.Dir(r.StateDir), nil); err != nil || len(in.Faults) > 1 {
				t.Errorf("%+v, %v", in, err) // a torn tail may be there
			}
		})
	}
}

// Large bodies with little memory and a small disk, over kills: bodies come back whole from where they are kept, alerts without
// room are refused, and a charge whose body was lost with the process ends by a notice, never having run.
func TestLargeBodiesOnLoopback(t *testing.T) {
	program, err := bin()
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
	counts := map[string]map[client.Outcome]int{}
	results := map[string]client.Result{}
	for n := range 60 {
		class := []string{"fee-charge", "price-alert"}[n%2]
		c, err := client.New(client.Config{Relays: []string{r.Addr}, NoRefusals: true}) // a told wait binds a client's next message
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprint(class, "/", n)
		res, _ := c.Send(context.Background(), client.Message{Class: class, Dest: 7, TimeLeft: 5900 * time.Millisecond, Body: fmt.Appendf(nil, "%s\n%0*d", name, size-len(name)-1, 0)})
		c.Close()
		if counts[class] == nil {
			counts[class] = map[client.Outcome]int{}
		}
		counts[class][res.Outcome]++
		results[name] = res
	}
	r.Kill()
	in, err := journal.Inspect(journal.Dir(r.StateDir), nil)
	if err != nil {
		t.Fatal(err)
	}
	unkept := map[string]bool{}
	for _, m := range in.Messages {
		unkept[m.ID] = m.MemoryOnly
	}
	w.Partners[7].SetMode(testdouble.Healthy, 1)
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	did, lost := map[string]int{}, 0
	if err := w.WaitUntil("all that was taken on to end", func() bool {
		did = w.EffectLog.CountByName()
		told := w.Platform.Notifications()
		for name, res := range results {
			if _, ended := told[res.ID]; res.Outcome == client.Taken && did[name] == 0 && !ended {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("%v\n%s", err, r.LogTail())
	}
	for name, res := range results {
		if unkept[res.ID] {
			if lost++; did[name] != 0 || w.Platform.Notifications()[res.ID].Outcome == "" {
				t.Errorf("%s, whose body was lost: ran %d times, notice %+v", name, did[name], w.Platform.Notifications()[res.ID])
			}
		}
		if res.Outcome != client.Taken && did[name] > 0 || name[0] == 'f' && did[name] > 1 {
			t.Errorf("%s ran %d times: %+v", name, did[name], res)
		}
	}
	for _, e := range w.EffectLog.Entries() {
		if e.Size != size {
			t.Errorf("%s came with %d bytes", e.Name, e.Size)
		}
	}
	if lost == 0 || len(did) < 10 || counts["price-alert"][client.Taken] >= counts["fee-charge"][client.Taken] {
		t.Errorf("%d bodies lost, %d ran, taken on: %v", lost, len(did), counts)
	}
	t.Logf("%v, %d bodies lost with the process, %d messages ran", counts, lost, len(did))
}
