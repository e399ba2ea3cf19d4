package fleet

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"oatfold/internal/lab/emu"
	"oatfold/internal/testdouble"
	"oatfold/internal/testdouble/faultnet"
)

// This file makes a trouble of a day true: of processes, partners, and the ways between them.

// do lets a trouble begin or end.
func (r *run) do(s step) error {
	t := &r.day.Faults[s.trouble]
	r.mu.Lock()
	r.holding[s.trouble] = s.begins
	r.mu.Unlock()
	relays := r.day.RelaysOf(t)
	switch t.Kind {
	case emu.RelayCrash, emu.RelayStop:
		var all sync.WaitGroup
		errs := make([]error, len(relays))
		for i, n := range relays {
			r.mu.Lock()
			was := r.down[n]
			if s.begins {
				r.down[n] = true
			}
			r.mu.Unlock()
			if was == s.begins {
				continue // another trouble has it
			}
			all.Go(func() {
				relay := r.relays[n]
				switch {
				case s.begins && t.Kind == emu.RelayCrash:
					relay.Kill()
				case s.begins:
					errs[i] = relay.Stop()
				default:
					if errs[i] = relay.Start(); errs[i] == nil {
						r.mu.Lock()
						delete(r.down, n)
						r.mu.Unlock()
					}
				}
			})
		}
		all.Wait()
		return errors.Join(errs...)
	case emu.RelayStall:
		for _, n := range relays {
			if s.begins {
				r.stalled[n]++
			} else {
				r.stalled[n]--
			}
			sig := syscall.SIGCONT
			if r.stalled[n] > 0 {
				sig = syscall.SIGSTOP
			}
			if err := r.relays[n].Signal(sig); err != nil {
				return err
			}
		}
	case emu.Blackhole, emu.Crash, emu.RejectAll:
		for _, ways := range r.routes { // some endpoints of partners, as every relay finds them
			for _, one := range ways {
				if slices.Contains(t.Endpoints, [2]int{one.dest, one.end}) || losesEndpoint(&r.day.Dests[one.dest], one.end, t.Zone) {
					one.way.SetFaults(faultnet.StreamFaults{Refuse: s.begins})
				}
			}
		}
		mode := map[emu.FaultKind]testdouble.Mode{emu.Blackhole: testdouble.Unresponsive, emu.Crash: testdouble.RefusingConnections, emu.RejectAll: testdouble.Unavailable}[t.Kind]
		if !s.begins {
			mode = testdouble.Healthy
		}
		for i, d := range r.day.Dests {
			if slices.Contains(t.Dests, i) || losesAll(&d, t.Zone) {
				if err := r.world.Partners[1+i].SetMode(mode, 1); err != nil {
					return err
				}
			}
		}
	case emu.LowerLimit:
		part := 1.0
		if s.begins {
			part = t.Intensity
		}
		for i, d := range r.day.Dests {
			if slices.Contains(t.Dests, i) || t.Zone != "" && d.Zone == t.Zone {
				r.world.Partners[1+i].SetRateShare(part)
			}
		}
	case emu.SitePartition:
		for n, ways := range r.routes {
			for _, one := range ways {
				in := r.day.Dests[one.dest].Endpoints[one.end].Zone == t.Zone
				if slices.Contains(relays, n) != in {
					one.way.SetFaults(faultnet.StreamFaults{BlockOutbound: s.begins, BlockInbound: s.begins})
				}
			}
		}
		r.setWays()
	case emu.DestinationPartition:
		for _, n := range relays {
			for _, one := range r.routes[n] {
				if slices.Contains(r.day.DestsOf(t), one.dest) {
					one.way.SetFaults(faultnet.StreamFaults{BlockOutbound: s.begins, BlockInbound: s.begins})
				}
			}
		}
	default:
		r.setWays()
	}
	return nil
}

// losesAll tells whether the loss of a zone takes a destination with all its endpoints: they all lie there, or they name no zone of their
// own and the destination does. Risk: one that names a zone and has endpoints in several is taken whole, and relays blame the other zones.
func losesAll(d *emu.Dest, zone string) bool {
	return zone != "" && cmp.Or(d.SingleZone(), d.Zone) == zone && !inSeveralZones(d)
}

// losesEndpoint tells whether the loss of a zone takes that endpoint of a destination that has others elsewhere.
func losesEndpoint(d *emu.Dest, end int, zone string) bool {
	return zone != "" && inSeveralZones(d) && cmp.Or(d.Endpoints[end].Zone, d.Zone) == zone
}

func inSeveralZones(d *emu.Dest) bool {
	return slices.ContainsFunc(d.Endpoints, func(e emu.Endpoint) bool { return e.Zone != d.Endpoints[0].Zone })
}

// setWays has the links do what all troubles that hold ask for together.
func (r *run) setWays() {
	w := faultnet.Faults{NoReceive: map[int]bool{}, NoSend: map[int]bool{}}
	kept := 1.0
	for i := range r.day.Faults {
		t := &r.day.Faults[i]
		if !r.holding[i] {
			continue
		}
		set := map[int]bool{}
		for _, n := range r.day.RelaysOf(t) {
			set[n] = true
		}
		switch t.Kind {
		case emu.Partition, emu.SitePartition:
			w.Partitions = append(w.Partitions, set)
		case emu.GossipReceiveLoss:
			for n := range set {
				w.NoReceive[n] = true
			}
		case emu.GossipSendLoss:
			for n := range set {
				w.NoSend[n] = true
			}
		case emu.GossipLoss:
			kept *= 1 - t.Intensity
		case emu.GossipDelay:
			w.MaxDelay += time.Duration(t.Intensity * float64(time.Second))
		case emu.GossipDuplication:
			w.DuplicateRate = max(w.DuplicateRate, t.Intensity)
		}
	}
	w.LossRate = 1 - kept
	r.net.SetFaults(w)
}
