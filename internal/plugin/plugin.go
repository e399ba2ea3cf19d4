// Package plugin hosts plug-ins: WebAssembly modules that are called at three hooks in the
// processing of a message. Package abi defines the interface. A call runs on the caller's
// goroutine, is bounded in time and memory, and returns an output checked by package limits, or an
// error. A plug-in has no files, network, environment variables or clock.
package plugin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"

	"oatfold/internal/plugin/limits"
	"oatfold/plugin/abi"
)

// Budget bounds the resources of a plug-in.
type Budget struct {
	Wall, CPU       time.Duration // time of one call
	MemoryPages     uint32        // memory of an instance, in units of PageSize
	MaxOutputBytes  int           // output of one call
	Instances       int           // concurrent calls
	InstanceTimeout time.Duration // maximum wait for a free instance
	LoadTimeout     time.Duration // to compile the module and create its first instance
}

// PageSize is the size of a WebAssembly memory page, in bytes.
const PageSize = 64 << 10

// Spec is the configuration of one plug-in.
type Spec struct {
	Name, Path string
	Hooks      []abi.Hook
	Classes    []string // messages for which it is called, by class, destination and destination type; empty: all
	Dests      []int
	Kinds      []string
	Budget     Budget
	OnFailure  map[string]limits.FailureAction // by class; "" stands for all others
	Breaker    limits.BreakerConfig
	Setting    string
}

// FailureAction returns what happens to a message of class if a call fails.
func (s *Spec) FailureAction(class string) limits.FailureAction {
	if t, ok := s.OnFailure[class]; ok {
		return t
	}
	return s.OnFailure[""]
}

// maxSetupTime bounds the creation of an instance during a call, for which a message waits.
const maxSetupTime = 250 * time.Millisecond

// Errors of calls, besides limits.ErrOutput and the errors that wazero returns for traps.
var (
	ErrTimeBudget = errors.New("time budget exceeded")
	ErrBusy       = errors.New("no instance was free in time")
	ErrDisabled   = errors.New("disabled after failed calls")
	ErrNotLoaded  = errors.New("not loaded")
	ErrABI        = errors.New("the module does not implement the plug-in ABI")
)

// Plugin is one loaded plug-in. It is safe for concurrent use.
type Plugin struct {
	Spec
	log       *slog.Logger
	runtime   wazero.Runtime
	compiled  wazero.CompiledModule
	instances chan *instance // the free ones; nil stands for one that is not created yet
	now       func() time.Time

	mu      sync.Mutex
	breaker *limits.Breaker

	// Counters since the plug-in was loaded.
	calls, failures [abi.Hooks]atomic.Int64
	cpuNanos        atomic.Int64 // CPU time of all calls
	loadErr         error        // why it could not be loaded; nil if it was
}

// instance is an instantiated module. It makes one call at a time.
type instance struct {
	module api.Module
	alloc  api.Function
	hooks  [abi.Hooks]api.Function
}

// Load compiles a plug-in and creates its first instance. If that fails, it returns the error
// together with a plug-in whose calls all fail, so that the operator's rule decides about its
// messages.
func Load(ctx context.Context, s Spec, log *slog.Logger) (*Plugin, error) {
	p := &Plugin{Spec: s, log: log, now: time.Now, breaker: limits.NewBreaker(s.Breaker),
		instances: make(chan *instance, s.Budget.Instances)}
	ctx, cancel := context.WithTimeout(ctx, s.Budget.LoadTimeout)
	defer cancel()
	if err := p.load(ctx); err != nil {
		p.Close()
		p.loadErr = fmt.Errorf("%w: %w", ErrNotLoaded, err)
		return p, err
	}
	return p, nil
}

// load compiles the module, checks its exports and creates the first instance.
func (p *Plugin) load(ctx context.Context) error {
	code, err := os.ReadFile(p.Path)
	if err != nil {
		return err
	}
	p.runtime = wazero.NewRuntimeWithConfig(ctx,
		wazero.NewRuntimeConfig().WithCloseOnContextDone(true).WithMemoryLimitPages(p.Budget.MemoryPages))
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, p.runtime); err != nil {
		return err
	}
	if p.compiled, err = p.runtime.CompileModule(ctx, code); err != nil {
		return err
	}
	if err := p.checkExports(); err != nil {
		return err
	}
	first, err := p.instantiate(ctx)
	if err != nil {
		return err
	}
	for range p.Budget.Instances - 1 {
		p.instances <- nil
	}
	p.instances <- first
	return nil
}

// checkExports checks that the module has the exports that the ABI and the configured hooks
// require.
func (p *Plugin) checkExports() error {
	functions, i32, i64 := p.compiled.ExportedFunctions(), api.ValueTypeI32, api.ValueTypeI64
	need := func(name string, params []api.ValueType, result api.ValueType) error {
		f, ok := functions[name]
		if !ok {
			return fmt.Errorf("%w: export %s is missing", ErrABI, name)
		}
		if !slices.Equal(f.ParamTypes(), params) || !slices.Equal(f.ResultTypes(), []api.ValueType{result}) {
			return fmt.Errorf("%w: export %s has the wrong type", ErrABI, name)
		}
		return nil
	}
	err := errors.Join(need(abi.ExportVersion, nil, i32), need(abi.ExportAlloc, []api.ValueType{i32}, i32))
	for _, h := range p.Hooks {
		err = errors.Join(err, need(h.String(), []api.ValueType{i32, i32}, i64))
	}
	if _, ok := p.compiled.ExportedMemories()["memory"]; !ok {
		err = errors.Join(err, fmt.Errorf("%w: export memory is missing", ErrABI))
	}
	return err
}

// instantiate creates an instance before ctx ends.
func (p *Plugin) instantiate(ctx context.Context) (*instance, error) {
	m, err := p.runtime.InstantiateModule(ctx, p.compiled,
		wazero.NewModuleConfig().WithName("").WithStartFunctions("_initialize", "_start"))
	if err != nil {
		return nil, budgetError(ctx, err)
	}
	i := &instance{module: m, alloc: m.ExportedFunction(abi.ExportAlloc)}
	for _, h := range p.Hooks {
		i.hooks[h] = m.ExportedFunction(h.String())
	}
	v, err := m.ExportedFunction(abi.ExportVersion).Call(ctx)
	if err == nil && uint32(v[0]) != abi.Version {
		err = fmt.Errorf("%w: it is built for version %d, not %d", ErrABI, uint32(v[0]), abi.Version)
	}
	if err != nil {
		m.Close(context.Background())
		return nil, budgetError(ctx, err)
	}
	return i, nil
}

// budgetError returns ErrTimeBudget with its cause if ctx has ended, else err.
func budgetError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrTimeBudget, context.Cause(ctx))
	}
	return err
}

// Call calls a hook. On an error the output changes nothing. Call counts the failure, which may
// disable the plug-in.
func (p *Plugin) Call(h abi.Hook, input []byte) (limits.Output, error) {
	p.calls[h].Add(1)
	out, err := p.call(h, input)
	if err != nil {
		p.failures[h].Add(1)
	}
	return out, err
}

// call makes one call if the circuit breaker allows it, and records its result there.
func (p *Plugin) call(h abi.Hook, input []byte) (limits.Output, error) {
	none := limits.Output{Outcome: -1}
	if p.loadErr != nil {
		return none, p.loadErr
	}
	p.mu.Lock()
	permit, ok := p.breaker.Allow(p.now())
	p.mu.Unlock()
	if !ok {
		return none, ErrDisabled
	}
	i, err := p.acquireInstance()
	if err != nil {
		// A lack of free instances is no failure of the plug-in.
		p.mu.Lock()
		p.breaker.Cancel(permit)
		p.mu.Unlock()
		return none, err
	}
	out, i, err := p.runOn(i, h, input)
	p.instances <- i
	p.mu.Lock()
	transition := p.breaker.Record(p.now(), permit, err == nil)
	p.mu.Unlock()
	switch transition {
	case limits.Opened:
		p.log.Error("plug-in disabled after failed calls", "plugin", p.Name, "hook", h.String(), "err", err)
	case limits.Closed:
		p.log.Info("plug-in enabled again after successful trial calls", "plugin", p.Name)
	}
	return out, err
}

// acquireInstance waits for a free instance, up to Budget.InstanceTimeout. nil stands for one that
// is not created yet.
func (p *Plugin) acquireInstance() (*instance, error) {
	select {
	case i := <-p.instances:
		return i, nil
	default:
	}
	timer := time.NewTimer(p.Budget.InstanceTimeout)
	defer timer.Stop()
	select {
	case i := <-p.instances:
		return i, nil
	case <-timer.C:
		return nil, ErrBusy
	}
}

// runOn makes one call on i and returns the instance for the next call: nil after a failure, since
// its memory may be in any state.
func (p *Plugin) runOn(i *instance, h abi.Hook, input []byte) (out limits.Output, next *instance, err error) {
	defer func() {
		// A panic in the WebAssembly engine fails this call only.
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
		if err != nil {
			out, next = limits.Output{Outcome: -1}, nil
			if i != nil {
				i.module.Close(context.Background())
			}
		}
	}()
	if i == nil {
		// The creation of an instance does not count against the call's budget. It follows a failed
		// call or the first concurrent calls.
		ctx, cancel := context.WithTimeout(context.Background(), min(p.Budget.LoadTimeout, maxSetupTime))
		defer cancel()
		if i, err = p.instantiate(ctx); err != nil {
			return out, nil, err
		}
	}
	ctx, end := limitTime(p.Budget, &p.cpuNanos)
	defer end()
	at, err := i.alloc.Call(ctx, uint64(len(input)))
	if err != nil {
		return out, nil, budgetError(ctx, err)
	}
	if !i.module.Memory().Write(uint32(at[0]), input) {
		return out, nil, fmt.Errorf("%w: %s returned an address outside the memory", ErrABI, abi.ExportAlloc)
	}
	res, err := i.hooks[h].Call(ctx, at[0], uint64(len(input)))
	if err != nil {
		return out, nil, budgetError(ctx, err)
	}
	from, size := abi.Unpack(res[0])
	if int64(size) > int64(p.Budget.MaxOutputBytes) {
		return out, nil, fmt.Errorf("%w: %d bytes, more than %d", limits.ErrOutput, size, p.Budget.MaxOutputBytes)
	}
	raw, ok := i.module.Memory().Read(from, size)
	if !ok {
		return out, nil, fmt.Errorf("%w: its position is outside the memory", limits.ErrOutput)
	}
	out, err = limits.CheckOutput(h, raw) // copies what it keeps
	return out, i, err
}

// Counts are the calls and failures by hook since the plug-in was loaded, and the CPU time of all
// calls.
type Counts struct {
	Calls, Failures [abi.Hooks]int64
	CPU             time.Duration
}

// Counts returns the current counts.
func (p *Plugin) Counts() (c Counts) {
	for h := range abi.Hooks {
		c.Calls[h], c.Failures[h] = p.calls[h].Load(), p.failures[h].Load()
	}
	c.CPU = time.Duration(p.cpuNanos.Load())
	return c
}

// Disabled reports whether the circuit breaker is open or half-open.
func (p *Plugin) Disabled() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.breaker.IsOpen() }

// ExportedHooks returns the hooks that the module exports with the right types.
func (p *Plugin) ExportedHooks() (hooks []abi.Hook) {
	for h := abi.Hook(0); h < abi.Hooks; h++ {
		if f, ok := p.compiled.ExportedFunctions()[h.String()]; ok &&
			slices.Equal(f.ParamTypes(), []api.ValueType{api.ValueTypeI32, api.ValueTypeI32}) &&
			slices.Equal(f.ResultTypes(), []api.ValueType{api.ValueTypeI64}) {
			hooks = append(hooks, h)
		}
	}
	return hooks
}

// Cost is the cost of calls.
type Cost struct {
	Wall, CPU time.Duration // mean of one call
	Memory    uint32        // of the instance, in bytes
}

// Measure makes several calls and returns the last output and the cost. The cost excludes the first
// call if there are more. It serves the command line tools for plug-in authors.
func (p *Plugin) Measure(h abi.Hook, message *Message, answer Answer, times int) (out limits.Output, cost Cost,
	err error) {
	input := p.encodeMessage(message, message.Body, 0)
	if h == abi.ReadAnswer {
		input = p.encodeAnswer(message, answer)
	}
	startedAt, cpuBefore, counted := time.Now(), p.cpuNanos.Load(), 0
	for n := range times {
		if n == 1 {
			startedAt, cpuBefore, counted = time.Now(), p.cpuNanos.Load(), 0
		}
		if out, err = p.Call(h, input); err != nil {
			return out, cost, err
		}
		counted++
	}
	cost.Wall, cost.CPU = time.Since(startedAt)/time.Duration(counted),
		time.Duration(p.cpuNanos.Load()-cpuBefore)/time.Duration(counted)
	i := <-p.instances
	cost.Memory = i.module.Memory().Size()
	p.instances <- i
	return out, cost, nil
}

// StatusOutcome returns the outcome that the relay infers from a status.
func StatusOutcome(status int) int {
	switch status {
	case 200:
		return abi.Delivered
	case 400, 404, 413, 429, 503, 504:
		return abi.NeverRan
	}
	return abi.MayHave
}

// Close releases all instances and the compiled module. No call may be in flight.
func (p *Plugin) Close() {
	if p.runtime != nil {
		p.runtime.Close(context.Background())
	}
}
