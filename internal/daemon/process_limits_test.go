package daemon

import (
	"context"
	"net"
	"runtime/debug"
	"testing"
	"time"

	"go.uber.org/goleak"

	"oatfold/internal/daemon/config"
	"oatfold/internal/handover/share"
	"oatfold/internal/wire"
	"oatfold/policy"
)

// feeSettings are settings with one class of charges.
func feeSettings() policy.Settings {
	return policy.Settings{Relays: 1, MaxConcurrentCalls: 16, MaxPending: 9, MaxAttempts: 1, Tick: time.Millisecond,
		Classes: []policy.Class{{Name: "fee", Effect: policy.Unsafe, Ordered: true, TargetLatency: 1,
			Deadline: 1 << 40, Value: 1}}}
}

// Guards against a reload in an upgrade that gives the new process the limits of one that is alone,
// while the process before still has its share.
func TestReloadBesideLeavingProcess(t *testing.T) {
	memoryLimit := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(memoryLimit) })
	h := startSuccessor(t, t.TempDir())
	h.cancelPluginLoad = func() {}
	c := &config.Config{DiskBytes: 1 << 20, MemoryBytes: 96 << 20, MaxDescriptors: 512, AdminAddr: "127.0.0.1:1",
		DiscoveryAddr: "127.0.0.1:1", Settings: feeSettings()}
	h.current.Store(c)
	h.bodyBytes = 12 << 20
	alone := connectionsAlone(c)
	expect := func(when string, connections share.Connections, bodyBytes int64) {
		t.Helper()
		h.applyReload(context.Background(), configReadResult{config: c})
		if h.limits.connections != connections || h.limits.memory.Bodies != bodyBytes {
			t.Errorf("%s: %+v, want %+v and %d", when, h.limits, connections, bodyBytes)
		}
	}
	expect("alone", alone, h.bodyBytes)
	h.leavingProcesses.Store(1)
	expect("beside one that tells nothing", share.UntoldConnections(alone), h.bodyBytes/2)
	h.kept.tell("1", &share.Kept{ProcessDir: "life-1", ClientConns: alone.Clients})
	expect("beside one that keeps all", share.SuccessorConnections(alone, alone.Clients, successorDescriptors),
		h.bodyBytes/2)
	h.kept.tell("1", &share.Kept{ProcessDir: "life-1"})
	expect("beside one that keeps none", share.SuccessorConnections(alone, 0, successorDescriptors),
		h.bodyBytes/2)
	h.leavingProcesses.Store(0)
	expect("alone again", alone, h.bodyBytes)
}

// Guards against three processes of one relay that go over its limits together: one that was
// replaced while the one before it still left took the share of a process that was alone.
func TestLimitsOfThreeProcesses(t *testing.T) {
	memoryLimit := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(memoryLimit) })
	h := startSuccessor(t, t.TempDir())
	c := &config.Config{MemoryBytes: 96 << 20, MaxDescriptors: 512, AdminAddr: "127.0.0.1:1", Settings: feeSettings()}
	h.current.Store(c)
	h.bodyBytes = 12 << 20
	alone := connectionsAlone(c)
	for _, firstKeeps := range []int{0, 1, alone.Clients / 2, alone.Clients} {
		h.kept.forget()
		h.kept.tell("1", &share.Kept{ProcessDir: "life-1", ClientConns: firstKeeps})
		h.leavingProcesses.Store(1)
		second := h.connections(c)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conns := h.beginLeaving(wire.NewServer(ln, &c.Settings, second.Clients, h.host.Events(), h.log))
		ln.Close()
		if memory := debug.SetMemoryLimit(-1); conns.kept > second.Clients || conns.most > second.Clients ||
			memory > memoryTarget(c)/3 {
			t.Errorf("the second keeps %+v and %d bytes of memory, it had %+v", conns, memory, second)
		}
		h.kept.tell("2", &share.Kept{ProcessDir: "life-2", ClientConns: conns.kept})
		h.leavingProcesses.Store(2)
		third := h.connections(c)
		if sum := firstKeeps + conns.kept + third.Clients + third.Idle + 2*successorDescriptors; sum >
			max(alone.Clients+alone.Idle, firstKeeps+conns.kept+2*successorDescriptors+1) {
			t.Errorf("%d connections of %+v: %d, %+v, %+v", sum, alone, firstKeeps, conns, third)
		}
	}
}

// Guards against a watch of discovery that goes on after its host has ended, and asks at a port
// that another process may have by then.
func TestWatchEndsWithHost(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) }) // runs after the host's own
	h := startSuccessor(t, t.TempDir())
	if err := h.host.Reload(wire.HostConfig{Settings: feeSettings()}, "127.0.0.1:1"); err != nil {
		t.Fatal(err)
	}
}
