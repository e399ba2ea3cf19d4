// Package plugin hosts plug-ins: WebAssembly modules that are asked at three hooks about messages on their way (package
// abi has the words). A call runs on the goroutine that makes it, never on the host's, is bounded in time and memory, and
// ends in an output that limits has checked or in an error. A plug-in has no file, network, environment or clock.
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

// Budget bounds one call, and all calls of a plug-in at once.
type Budget struct {
	Wall, CPU       time.Duration // of one call
	MemoryPages     uint32        // memory of an instance, 64 KiB each
	MaxOutputBytes  int           // bytes
	Instances       int           // calls at once
	InstanceTimeout time.Duration // for an instance that is free
	LoadTimeout     time.Duration // to compile and to set up an instance
}

// PageSize is the size of a page of memory.
const PageSize = 64 << 10

// Spec is what the operator says of one plug-in.
type Spec struct {
	Name, Path string
	Hooks      []abi.Hook
	Classes    []string // of the messages for which it is asked; empty: all
	Dests      []int
	Kinds      []string
	Budget     Budget
	OnFailure  map[string]limits.FailureAction // by class; "" is for all others
	Breaker    limits.BreakerConfig
	Setting    string
}

// FailureAction is what becomes of a message of class that the plug-in fails.
func (s *Spec) FailureAction(class string) limits.FailureAction {
	if t, ok := s.OnFailure[class]; ok {
		return t
	}
	return s.OnFailure[""]
}

// maxSetupTime bounds the set-up of a further instance, which a message waits for.
const maxSetupTime = 250 * time.Millisecond

// What ends a call without an output, besides limits.ErrOutput. A trap comes as wazero words it.
var (
	ErrTimeBudget = errors.New("time budget exceeded")
	ErrBusy       = errors.New("no instance was free in time")
	ErrDisabled   = errors.New("taken out after failures")
	ErrNotLoaded  = errors.New("not loaded")
	ErrABI        = errors.New("no plug-in of this ABI")
)

// Plugin is one loaded plug-in. It is safe for concurrent use.
type Plugin struct {
	Spec
	log       *slog.Logger
	runtime   wazero.Runtime
	compiled  wazero.CompiledModule
	instances chan *instance // one for each instance; nil where it is not set up yet
	now       func() time.Time

	mu      sync.Mutex
	breaker *limits.Breaker

	// Counters, by hook where it matters.
	calls, failures [abi.Hooks]atomic.Int64
	cpuNanos        atomic.Int64 // nanoseconds
	loadErr         error        // why it could not be loaded
}

type instance struct {
	module api.Module
	alloc  api.Function
	hooks  [abi.Hooks]api.Function
}

// Load compiles a plug-in and sets up its first instance. Where that fails, the plug-in is returned all the same beside the error:
// every call fails, so that what becomes of its messages follows from the operator's rule.
func Load(ctx context.Context, s Spec, log *slog.Logger) (*Plugin, error) {
	p := &Plugin{Spec: s, log: log, now: time.Now, breaker: limits.NewBreaker(s.Breaker), instances: make(chan *instance, s.Budget.Instances)}
	ctx, cancel := context.WithTimeout(ctx, s.Budget.LoadTimeout)
	defer cancel()
	if err := p.load(ctx); err != nil {
		p.Close()
		p.loadErr = fmt.Errorf("%w: %w", ErrNotLoaded, err)
		return p, err
	}
	return p, nil
}

func (p *Plugin) load(ctx context.Context) error {
	code, err := os.ReadFile(p.Path)
	if err != nil {
		return err
	}
	p.runtime = wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfig().WithCloseOnContextDone(true).WithMemoryLimitPages(p.Budget.MemoryPages))
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

// checkExports checks that the module has what the ABI asks for.
func (p *Plugin) checkExports() error {
	functions, i32, i64 := p.compiled.ExportedFunctions(), api.ValueTypeI32, api.ValueTypeI64
	need := func(name string, params []api.ValueType, result api.ValueType) error {
		f, ok := functions[name]
		if !ok {
			return fmt.Errorf("%w: export %s is missing", ErrABI, name)
		}
		if !slices.Equal(f.ParamTypes(), params) || !slices.Equal(f.ResultTypes(), []api.ValueType{result}) {
			return fmt.Errorf("%w: export %s has another type", ErrABI, name)
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

// instantiate sets up an instance within what is left of ctx.
func (p *Plugin) instantiate(ctx context.Context) (*instance, error) {
	m, err := p.runtime.InstantiateModule(ctx, p.compiled, wazero.NewModuleConfig().WithName("").WithStartFunctions("_initialize", "_start"))
	if err != nil {
		return nil, budgetError(ctx, err)
	}
	i := &instance{module: m, alloc: m.ExportedFunction(abi.ExportAlloc)}
	for _, h := range p.Hooks {
		i.hooks[h] = m.ExportedFunction(h.String())
	}
	v, err := m.ExportedFunction(abi.ExportVersion).Call(ctx)
	if err == nil && uint32(v[0]) != abi.Version {
		err = fmt.Errorf("%w: it is for version %d, this is %d", ErrABI, uint32(v[0]), abi.Version)
	}
	if err != nil {
		m.Close(context.Background())
		return nil, budgetError(ctx, err)
	}
	return i, nil
}

// budgetError says that time was the cause where it was.
func budgetError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrTimeBudget, context.Cause(ctx))
	}
	return err
}

// Call asks the plug-in at a hook. An error means that the output changes nothing; it has been counted and may have taken
// the plug-in out.
func (p *Plugin) Call(h abi.Hook, input []byte) (limits.Output, error) {
	p.calls[h].Add(1)
	out, err := p.call(h, input)
	if err != nil {
		p.failures[h].Add(1)
	}
	return out, err
}

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
		// Guards against taking a plug-in out because many ask it at once: that says nothing of its calls.
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
		p.log.Error("plug-in taken out", "plugin", p.Name, "hook", h.String(), "err", err)
	case limits.Closed:
		p.log.Info("plug-in serves again", "plugin", p.Name)
	}
	return out, err
}

// acquireInstance waits for a free instance; nil is a place for one that is not set up.
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

// runOn makes one call on i and returns the instance for the next one: nil after a failure, since its memory may be in any state.
func (p *Plugin) runOn(i *instance, h abi.Hook, input []byte) (out limits.Output, next *instance, err error) {
	defer func() {
		// Guards against a defect of the engine: it ends this call only.
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
		// A set-up has a bound of its own: it comes after a failure, or with the first calls that come at once.
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
		return out, nil, fmt.Errorf("%w: %s gave room outside the memory", ErrABI, abi.ExportAlloc)
	}
	res, err := i.hooks[h].Call(ctx, at[0], uint64(len(input)))
	if err != nil {
		return out, nil, budgetError(ctx, err)
	}
	from, size := abi.Unpack(res[0])
	if int64(size) > int64(p.Budget.MaxOutputBytes) {
		return out, nil, fmt.Errorf("%w: %d bytes, over %d", limits.ErrOutput, size, p.Budget.MaxOutputBytes)
	}
	raw, ok := i.module.Memory().Read(from, size)
	if !ok {
		return out, nil, fmt.Errorf("%w: it lies outside the memory", limits.ErrOutput)
	}
	out, err = limits.CheckOutput(h, raw) // copies what it keeps
	return out, i, err
}

// Counts are the calls and failures of a plug-in since it was loaded, and the CPU time that its calls took.
type Counts struct {
	Calls, Failures [abi.Hooks]int64
	CPU             time.Duration
}

// Counts returns the counts so far.
func (p *Plugin) Counts() (c Counts) {
	for h := range abi.Hooks {
		c.Calls[h], c.Failures[h] = p.calls[h].Load(), p.failures[h].Load()
	}
	c.CPU = time.Duration(p.cpuNanos.Load())
	return c
}

// Disabled tells whether it is taken out or on trial.
func (p *Plugin) Disabled() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.breaker.IsOpen() }

// ExportedHooks returns the hooks that the module exports.
func (p *Plugin) ExportedHooks() (hooks []abi.Hook) {
	for h := abi.Hook(0); h < abi.Hooks; h++ {
		if f, ok := p.compiled.ExportedFunctions()[h.String()]; ok &&
			slices.Equal(f.ParamTypes(), []api.ValueType{api.ValueTypeI32, api.ValueTypeI32}) && slices.Equal(f.ResultTypes(), []api.ValueType{api.ValueTypeI64}) {
			hooks = append(hooks, h)
		}
	}
	return hooks
}

// Cost is what calls took.
type Cost struct {
	Wall, CPU time.Duration // of one call, in the mean
	Memory    uint32        // of the instance, in bytes
}

// Measure makes so many calls for a plug-in's author, the first one not counted in the cost if there are more. It returns the
// last output.
func (p *Plugin) Measure(h abi.Hook, message *Message, answer Answer, times int) (out limits.Output, cost Cost, err error) {
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
	cost.Wall, cost.CPU = time.Since(startedAt)/time.Duration(counted), time.Duration(p.cpuNanos.Load()-cpuBefore)/time.Duration(counted)
	i := <-p.instances
	cost.Memory = i.module.Memory().Size()
	p.instances <- i
	return out, cost, nil
}

// StatusOutcome is what a status means without a plug-in.
func StatusOutcome(status int) int {
	switch status {
	case 200:
		return abi.Delivered
	case 400, 404, 413, 429, 503, 504:
		return abi.NeverRan
	}
	return abi.MayHave
}

// Close lets go of all instances and the code. No call may be out.
func (p *Plugin) Close() {
	if p.runtime != nil {
		p.runtime.Close(context.Background())
	}
}
