// Package operator reads and checks the operator's file, in protobuf text format, and fills in
// defaults. Errors name line and key.
package operator

//go:generate protoc --go_out=. --go_opt=paths=source_relative operator.proto

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"

	"oatfold/internal/plugin"
	"oatfold/internal/plugin/limits"
	"oatfold/internal/sites"
	"oatfold/plugin/abi"
)

// Config is the content of the operator's file, with defaults.
type Config struct {
	Plugins         []plugin.Spec
	BodyMemoryBytes int64       // bytes of memory for message bodies; 0: not set
	Sites           *sites.Plan // nil: not set
}

// Defaults and bounds.
const (
	pluginMemoryDivisor = 4 // plug-ins get one part in pluginMemoryDivisor of the memory limit by default
	maxWallMs           = 1000
	maxOnHandInMs       = 300 // for all plug-ins at ON_HANDIN together; a client waits 400 ms
	maxPlugins          = 64
	maxOutputBytes      = limits.MaxBodyBytes + 8<<10
	maxLoadMs           = 60_000
)

// Load reads the file at path. memory is the memory limit of the process in bytes; with 0 no sum is
// checked against it.
func Load(path string, memory int64) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := parse(text, filepath.Dir(path), memory)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// parse reads the text of an operator's file. Relative paths in it start at dir.
func parse(text []byte, dir string, memory int64) (*Config, error) {
	file := &Operator{}
	if err := prototext.Unmarshal(text, file); err != nil {
		return nil, withPosition(text, err)
	}
	c := &checker{}
	c.syntax, _ = parser.Parse(text) // without a syntax tree, errors name the key only
	config := &Config{}
	plugins := file.GetPlugins().GetPlugin()
	if len(plugins) > maxPlugins {
		return nil, c.tooMany("more than %d", maxPlugins, "plugins.plugin")
	}
	total, onHandInMs, names := int64(0), uint32(0), map[string]bool{}
	for i, p := range plugins {
		c.path = fmt.Sprintf("plugins.plugin[%d]", i)
		s, err := c.pluginSpec(p, dir)
		if err != nil {
			return nil, err
		}
		if names[s.Name] {
			return nil, c.errorAt("name", "%q is used already", s.Name)
		}
		names[s.Name] = true
		total += int64(s.Budget.MemoryPages) * plugin.PageSize * int64(s.Budget.Instances)
		for _, h := range s.Hooks {
			if h == abi.OnHandIn {
				if onHandInMs += uint32((s.Budget.Wall + s.Budget.InstanceTimeout).Milliseconds()); onHandInMs > maxOnHandInMs {
					return nil, c.errorAt("budget",
						"wall_ms and wait_ms of all plug-ins at ON_HANDIN add up to %d ms, more than %d",
						onHandInMs, maxOnHandInMs)
				}
			}
		}
		config.Plugins = append(config.Plugins, s)
	}
	c.path = "bodies"
	if config.BodyMemoryBytes = int64(file.GetBodies().GetMemoryKb()) << 10; memory > 0 &&
		config.BodyMemoryBytes > memory/2 {
		return nil, c.errorAt("memory_kb", "%d KiB are more than half of the memory limit of %d MB",
			config.BodyMemoryBytes>>10, memory/1_000_000)
	}
	var err error
	if config.Sites, err = c.sitePlan(file.GetSites()); err != nil {
		return nil, err
	}
	c.path = "plugins"
	limit := int64(file.GetPlugins().GetMemoryMb()) << 20
	if memory > 0 && limit > memory/2 {
		return nil, c.errorAt("memory_mb", "%d MiB are more than half of the memory limit of %d MB",
			limit>>20, memory/1_000_000)
	}
	if limit == 0 {
		limit = memory / pluginMemoryDivisor
	}
	if limit > 0 && total > limit {
		return nil, c.errorAt("plugin", "memory_pages of all instances add up to %d MiB, more than %d MiB",
			total>>20, limit>>20)
	}
	return config, nil
}

// withPosition adds to a parse error what it lacks: the key before its position, or the line.
func withPosition(text []byte, err error) error {
	line, column := 0, 0
	_, position, ok := strings.Cut(err.Error(), "(line ")
	if n, _ := fmt.Sscanf(position, "%d:%d)", &line, &column); !ok || n != 2 {
		return fmt.Errorf("line %d: %w", 1+strings.Count(strings.TrimRight(string(text), "\n"), "\n"), err)
	}
	lines := strings.Split(string(text), "\n")
	if line < 1 || line > len(lines) {
		return err
	}
	prefix := lines[line-1]
	prefix = prefix[:max(0, min(column-1, len(prefix)))]
	isNameRune := func(r rune) bool { return r == '_' || r >= 'a' && r <= 'z' || r >= '0' && r <= '9' }
	key := strings.TrimRightFunc(prefix, func(r rune) bool { return !isNameRune(r) })
	if key = key[strings.LastIndexFunc(key, func(r rune) bool { return !isNameRune(r) })+1:]; key == "" {
		return fmt.Errorf("line %d: %w", line, err)
	}
	return fmt.Errorf("line %d, at %s: %w", line, key, err)
}

// checker checks the values of the file and reports errors with line and key.
type checker struct {
	syntax []*ast.Node
	path   string // key of the message that is being checked
}

// errorAt returns an error at a key below the current path.
func (c *checker) errorAt(key, format string, args ...any) error {
	full := c.path + "." + key
	if line := c.line(strings.Split(full, ".")); line > 0 {
		return fmt.Errorf("line %d: %s: %s", line, full, fmt.Sprintf(format, args...))
	}
	return fmt.Errorf("%s: %s", full, fmt.Sprintf(format, args...))
}

// tooMany returns an error at a list that is too long.
func (c *checker) tooMany(format string, most int, key string) error {
	c.path = strings.Split(key, ".")[0]
	return c.errorAt(strings.Split(key, ".")[1], format, most)
}

// line returns the line of the key, or of the deepest part of the path that exists; 0 if none does.
func (c *checker) line(path []string) (line int) {
	nodes := c.syntax
	for _, part := range path {
		name, index := part, 0
		if n, rest, ok := strings.Cut(part, "["); ok {
			name = n
			fmt.Sscanf(rest, "%d]", &index)
		}
		var found *ast.Node
		for _, n := range nodes {
			if n.Name == name {
				if found = n; index == 0 {
					break
				}
				index--
				found = nil
			}
		}
		if found == nil {
			return line
		}
		line, nodes = int(found.Start.Line), found.Children
	}
	return line
}

// hooksByProto maps the hooks of the file to those of the plug-in ABI.
var hooksByProto = map[Hook]abi.Hook{
	Hook_ON_HANDIN:     abi.OnHandIn,
	Hook_SHAPE_REQUEST: abi.ShapeRequest,
	Hook_READ_ANSWER:   abi.ReadAnswer,
}

// failureActions maps the values of on_failure.then.
var failureActions = map[Then]limits.FailureAction{
	Then_REFUSE: limits.Refuse,
	Then_FAIL:   limits.Fail,
	Then_PASS:   limits.Pass,
}

// pluginSpec checks one plug-in and returns its specification with defaults.
func (c *checker) pluginSpec(p *Plugin, dir string) (s plugin.Spec, err error) {
	s = plugin.Spec{Name: p.GetName(), Path: p.GetModule(), Setting: p.GetSetting(),
		Classes: p.GetMatch().GetClass(), Kinds: p.GetMatch().GetKind(),
		OnFailure: map[string]limits.FailureAction{"": limits.Refuse}}
	if s.Name == "" ||
		strings.Trim(s.Name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") != "" ||
		len(s.Name) > 64 {
		return s, c.errorAt("name", "%q is not a name of letters, digits, dots, dashes and underscores", s.Name)
	}
	if s.Path == "" {
		return s, c.errorAt("module", "missing")
	}
	if !filepath.IsAbs(s.Path) {
		s.Path = filepath.Join(dir, s.Path)
	}
	if st, err := os.Stat(s.Path); err != nil || !st.Mode().IsRegular() {
		return s, c.errorAt("module", "%q is not a readable file", s.Path)
	}
	if len(p.GetHook()) == 0 {
		return s, c.errorAt("hook", "missing")
	}
	for i, h := range p.GetHook() {
		hook, ok := hooksByProto[h]
		if !ok {
			return s, c.errorAt(fmt.Sprintf("hook[%d]", i), "%v is not a hook", h)
		}
		if hook == abi.OnHandIn && len(s.Kinds) > 0 {
			return s, c.errorAt("match.kind", "the kind is not known at ON_HANDIN; name destinations instead")
		}
		s.Hooks = append(s.Hooks, hook)
	}
	for _, d := range p.GetMatch().GetDest() {
		if d < 0 {
			return s, c.errorAt("match.dest", "%d is negative", d)
		}
		s.Dests = append(s.Dests, int(d))
	}
	for i, f := range p.GetOnFailure() {
		then, ok := failureActions[f.GetThen()]
		if !ok {
			return s, c.errorAt(fmt.Sprintf("on_failure[%d].then", i), "%v is not one of REFUSE, FAIL, PASS", f.GetThen())
		}
		s.OnFailure[f.GetClass()] = then
	}
	budget, probation := p.GetBudget(), p.GetProbation()
	var wall, cpu, pages, output, instances, wait, load, failures, pause, pauseMax, trials uint32
	for _, v := range []struct {
		to            *uint32
		key           string
		given         uint32
		fallback, min uint32
		max           uint32
	}{
		{&wall, "budget.wall_ms", budget.GetWallMs(), 50, 1, maxWallMs},
		{&cpu, "budget.cpu_ms", budget.GetCpuMs(), 20, 1, maxWallMs},
		{&pages, "budget.memory_pages", budget.GetMemoryPages(), 128, 1, 16384},
		{&output, "budget.output_bytes", budget.GetOutputBytes(), maxOutputBytes, 16, maxOutputBytes},
		{&instances, "budget.instances", budget.GetInstances(), 2, 1, 256},
		{&wait, "budget.wait_ms", budget.GetWaitMs(), 20, 1, maxWallMs},
		{&load, "budget.load_ms", budget.GetLoadMs(), 20_000, 10, maxLoadMs},
		{&failures, "probation.failures", probation.GetFailures(), 5, 1, 1000},
		{&pause, "probation.pause_ms", probation.GetPauseMs(), 5000, 10, 3_600_000},
		{&pauseMax, "probation.pause_max_ms", probation.GetPauseMaxMs(), 60_000, 10, 3_600_000},
		{&trials, "probation.trials", probation.GetTrials(), 3, 1, 1000},
	} {
		if *v.to = v.given; v.given == 0 {
			*v.to = v.fallback
		}
		if *v.to < v.min || *v.to > v.max {
			return s, c.errorAt(v.key, "%d is not from %d to %d", *v.to, v.min, v.max)
		}
	}
	ms := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
	s.Budget = plugin.Budget{Wall: ms(wall), CPU: ms(min(cpu, wall)), MemoryPages: pages, MaxOutputBytes: int(output),
		Instances: int(instances), InstanceTimeout: ms(wait), LoadTimeout: ms(load)}
	s.Breaker = limits.BreakerConfig{FailureThreshold: int(failures), OpenTime: ms(pause), MaxOpenTime: ms(max(pause, pauseMax)),
		RequiredTrials: int(trials)}
	return s, nil
}
