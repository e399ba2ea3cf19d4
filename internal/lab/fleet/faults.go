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

// This file injects faults into processes, partners and the network between them.

// applyFaultStep begins or ends a fault.
func (r *run) applyFaultStep(step faultStep) error {
	fault := &r.scenario.Faults[step.fault]
	r.mu.Lock()
	r.activeFaults[step.fault] = step.begins
	r.mu.Unlock()
	relays := r.scenario.RelaysOf(fault)
	switch fault.Kind {
	case emu.RelayCrash, emu.RelayStop:
		var group sync.WaitGroup
		errs := make([]error, len(relays))
		for i, n := range relays {
			r.mu.Lock()
			wasDown := r.down[n]
			if step.begins {
				r.down[n] = true
			}
			r.mu.Unlock()
			if wasDown == step.begins {
				continue // another fault already stopped it, or keeps it stopped
			}
			group.Go(func() {
				relay := r.relays[n]
				switch {
				case step.begins && fault.Kind == emu.RelayCrash:
					relay.Kill()
				case step.begins:
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
		group.Wait()
		return errors.Join(errs...)
	case emu.RelayStall:
		for _, n := range relays {
			if step.begins {
				r.stallCounts[n]++
			} else {
				r.stallCounts[n]--
			}
			sig := syscall.SIGCONT
			if r.stallCounts[n] > 0 {
				sig = syscall.SIGSTOP
			}
			if err := r.relays[n].Signal(sig); err != nil {
				return err
			}
		}
	case emu.Blackhole, emu.Crash, emu.RejectAll:
		for _, routes := range r.routes { // partners' endpoints fail for every relay
			for _, route := range routes {
				if slices.Contains(fault.Endpoints, [2]int{route.dest, route.endpoint}) ||
					losesEndpoint(&r.scenario.Dests[route.dest], route.endpoint, fault.Zone) {
					route.proxy.SetFaults(faultnet.StreamFaults{Refuse: step.begins})
				}
			}
		}
		mode := map[emu.FaultKind]testdouble.Mode{emu.Blackhole: testdouble.Unresponsive,
			emu.Crash: testdouble.RefusingConnections, emu.RejectAll: testdouble.Unavailable}[fault.Kind]
		if !step.begins {
			mode = testdouble.Healthy
		}
		for i, d := range r.scenario.Dests {
			if slices.Contains(fault.Dests, i) || losesDestination(&d, fault.Zone) {
				if err := r.env.Partners[1+i].SetMode(mode, 1); err != nil {
					return err
				}
			}
		}
	case emu.LowerLimit:
		rateShare := 1.0
		if step.begins {
			rateShare = fault.Intensity
		}
		for i, d := range r.scenario.Dests {
			if slices.Contains(fault.Dests, i) || fault.Zone != "" && d.Zone == fault.Zone {
				r.env.Partners[1+i].SetRateShare(rateShare)
			}
		}
	case emu.SitePartition:
		for n, routes := range r.routes {
			for _, one := range routes {
				inZone := r.scenario.Dests[one.dest].Endpoints[one.endpoint].Zone == fault.Zone
				if slices.Contains(relays, n) != inZone {
					one.proxy.SetFaults(faultnet.StreamFaults{BlockOutbound: step.begins, BlockInbound: step.begins})
				}
			}
		}
		r.applyNetworkFaults()
	case emu.DestinationPartition:
		for _, n := range relays {
			for _, route := range r.routes[n] {
				if slices.Contains(r.scenario.DestsOf(fault), route.dest) {
					route.proxy.SetFaults(
						faultnet.StreamFaults{BlockOutbound: step.begins, BlockInbound: step.begins})
				}
			}
		}
	default:
		r.applyNetworkFaults()
	}
	return nil
}

// losesDestination reports whether the loss of a zone takes a destination with all its endpoints:
// they all lie in it, or they name no zone and the destination lies in it. A destination with
// endpoints in several zones is never lost as a whole.
func losesDestination(dest *emu.Dest, zone string) bool {
	return zone != "" && cmp.Or(dest.SingleZone(), dest.Zone) == zone && !spansZones(dest)
}

// losesEndpoint reports whether the loss of a zone takes that endpoint of a destination that spans
// several zones.
func losesEndpoint(dest *emu.Dest, endpoint int, zone string) bool {
	return zone != "" && spansZones(dest) && cmp.Or(dest.Endpoints[endpoint].Zone, dest.Zone) == zone
}

func spansZones(dest *emu.Dest) bool {
	return slices.ContainsFunc(dest.Endpoints, func(e emu.Endpoint) bool { return e.Zone != dest.Endpoints[0].Zone })
}

// applyNetworkFaults sets the network between relays to the combination of all active faults.
func (r *run) applyNetworkFaults() {
	faults := faultnet.Faults{NoReceive: map[int]bool{}, NoSend: map[int]bool{}}
	deliveredShare := 1.0
	for i := range r.scenario.Faults {
		fault := &r.scenario.Faults[i]
		if !r.activeFaults[i] {
			continue
		}
		affected := map[int]bool{}
		for _, n := range r.scenario.RelaysOf(fault) {
			affected[n] = true
		}
		switch fault.Kind {
		case emu.Partition, emu.SitePartition:
			faults.Partitions = append(faults.Partitions, affected)
		case emu.GossipReceiveLoss:
			for n := range affected {
				faults.NoReceive[n] = true
			}
		case emu.GossipSendLoss:
			for n := range affected {
				faults.NoSend[n] = true
			}
		case emu.GossipLoss:
			deliveredShare *= 1 - fault.Intensity
		case emu.GossipDelay:
			faults.MaxDelay += time.Duration(fault.Intensity * float64(time.Second))
		case emu.GossipDuplication:
			faults.DuplicateRate = max(faults.DuplicateRate, fault.Intensity)
		}
	}
	faults.LossRate = 1 - deliveredShare
	r.network.SetFaults(faults)
}
