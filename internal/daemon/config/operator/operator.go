// Package operator reads, checks and defaults the operator's file, in protobuf text format. Errors name line and key.
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

// Config is what the operator's file says, with its defaults.
type Config struct {
	Plugins         []plugin.Spec
	BodyMemoryBytes int64       // bytes that bodies may take in memory; 0: the file says nothing
	Sites           *sites.Plan // nil: the file says nothing
}

// Defaults and bounds.
const (
	memoryShare = 4 // of the memory limit, one part in so many is for plug-ins if the file says nothing
	wallMost    = 1000
	handInMost  = 300 // ms that all plug-ins at on_handin may take together: a client waits 400
	mostPlugins = 64
	outputMost  = limits.MaxBodyBytes + 8<<10
	loadMost    = 60_000
)

// Load reads the file at path. memory is the limit of the process in bytes; 0 checks no sum against it.
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

func parse(text []byte, dir string, memory int64) (*Config, error) {
	file := &Operator{}
	if err := prototext.Unmarshal(text, file); err != nil {
		return nil, located(text, err)
	}
	k := &checker{}
	k.nodes, _ = parser.Parse(text) // without it errors name the key only
	c := &Config{}
	all := file.GetPlugins().GetPlugin()
	if len(all) > mostPlugins {
		return nil, k.bad("more than %d", mostPlugins, "plugins.plugin")
	}
	total, handIn, names := int64(0), uint32(0), map[string]bool{}
	for i, p := range all {
		k.at = fmt.Sprintf("plugins.plugin[%d]", i)
		s, err := k.spec(p, dir)
		if err != nil {
			return nil, err
		}
		if names[s.Name] {
			return nil, k.wrong("name", "%q is there already", s.Name)
		}
		names[s.Name] = true
		total += int64(s.Budget.MemoryPages) * plugin.PageSize * int64(s.Budget.Instances)
		for _, h := range s.Hooks {
			if h == abi.OnHandIn {
				if handIn += uint32((s.Budget.Wall + s.Budget.InstanceTimeout).Milliseconds()); handIn > handInMost {
					return nil, k.wrong("budget", "wall_ms and wait_ms of all plug-ins at ON_HANDIN come to %d ms, over %d", handIn, handInMost)
				}
			}
		}
		c.Plugins = append(c.Plugins, s)
	}
	k.at = "bodies"
	if c.BodyMemoryBytes = int64(file.GetBodies().GetMemoryKb()) << 10; memory > 0 && c.BodyMemoryBytes > memory/2 {
		return nil, k.wrong("memory_kb", "%d KiB are over half of the memory limit of %d MB", c.BodyMemoryBytes>>10, memory/1_000_000)
	}
	var err error
	if c.Sites, err = k.sites(file.GetSites()); err != nil {
		return nil, err
	}
	k.at = "plugins"
	most := int64(file.GetPlugins().GetMemoryMb()) << 20
	if memory > 0 && most > memory/2 {
		return nil, k.wrong("memory_mb", "%d MiB are over half of the memory limit of %d MB", most>>20, memory/1_000_000)
	}
	if most == 0 {
		most = memory / memoryShare
	}
	if most > 0 && total > most {
		return nil, k.wrong("plugin", "memory_pages of all instances come to %d MiB, over %d MiB", total>>20, most>>20)
	}
	return c, nil
}

// located adds to an error of the format what it lacks: the key before the place that it names, or the line.
func located(text []byte, err error) error {
	at, col := 0, 0
	_, place, ok := strings.Cut(err.Error(), "(line ")
	if n, _ := fmt.Sscanf(place, "%d:%d)", &at, &col); !ok || n != 2 {
		return fmt.Errorf("line %d: %w", 1+strings.Count(strings.TrimRight(string(text), "\n"), "\n"), err)
	}
	lines := strings.Split(string(text), "\n")
	if at < 1 || at > len(lines) {
		return err
	}
	before := lines[at-1]
	before = before[:max(0, min(col-1, len(before)))]
	name := func(r rune) bool { return r == '_' || r >= 'a' && r <= 'z' || r >= '0' && r <= '9' }
	key := strings.TrimRightFunc(before, func(r rune) bool { return !name(r) })
	if key = key[strings.LastIndexFunc(key, func(r rune) bool { return !name(r) })+1:]; key == "" {
		return fmt.Errorf("line %d: %w", at, err)
	}
	return fmt.Errorf("line %d, at %s: %w", at, key, err)
}

// checker names what is wrong.
type checker struct {
	nodes []*ast.Node
	at    string // where in the file, as a key
}

// wrong is an error at a key below the present place.
func (k *checker) wrong(key, format string, args ...any) error {
	full := k.at + "." + key
	if line := k.line(strings.Split(full, ".")); line > 0 {
		return fmt.Errorf("line %d: %s: %s", line, full, fmt.Sprintf(format, args...))
	}
	return fmt.Errorf("%s: %s", full, fmt.Sprintf(format, args...))
}

func (k *checker) bad(format string, most int, key string) error {
	k.at = strings.Split(key, ".")[0]
	return k.wrong(strings.Split(key, ".")[1], format, most)
}

// line is where the key stands, or the deepest part of it that is there.
func (k *checker) line(path []string) (line int) {
	nodes := k.nodes
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

var hooks = map[Hook]abi.Hook{Hook_ON_HANDIN: abi.OnHandIn, Hook_SHAPE_REQUEST: abi.ShapeRequest, Hook_READ_ANSWER: abi.ReadAnswer}

var thens = map[Then]limits.FailureAction{Then_REFUSE: limits.Refuse, Then_FAIL: limits.Fail, Then_PASS: limits.Pass}

func (k *checker) spec(p *Plugin, dir string) (s plugin.Spec, err error) {
	s = plugin.Spec{Name: p.GetName(), Path: p.GetModule(), Setting: p.GetSetting(), Classes: p.GetMatch().GetClass(), Kinds: p.GetMatch().GetKind(),
		OnFailure: map[string]limits.FailureAction{"": limits.Refuse}}
	if s.Name == "" || strings.Trim(s.Name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") != "" || len(s.Name) > 64 {
		return s, k.wrong("name", "%q is no name of letters, digits, dots, dashes and underscores", s.Name)
	}
	if s.Path == "" {
		return s, k.wrong("module", "missing")
	}
	if !filepath.IsAbs(s.Path) {
		s.Path = filepath.Join(dir, s.Path)
	}
	if st, err := os.Stat(s.Path); err != nil || !st.Mode().IsRegular() {
		return s, k.wrong("module", "%q is no file that can be read", s.Path)
	}
	if len(p.GetHook()) == 0 {
		return s, k.wrong("hook", "missing")
	}
	for i, h := range p.GetHook() {
		one, ok := hooks[h]
		if !ok {
			return s, k.wrong(fmt.Sprintf("hook[%d]", i), "%v is no hook", h)
		}
		if one == abi.OnHandIn && len(s.Kinds) > 0 {
			return s, k.wrong("match.kind", "the kind is not known at ON_HANDIN; name destinations instead")
		}
		s.Hooks = append(s.Hooks, one)
	}
	for _, d := range p.GetMatch().GetDest() {
		if d < 0 {
			return s, k.wrong("match.dest", "%d is negative", d)
		}
		s.Dests = append(s.Dests, int(d))
	}
	for i, f := range p.GetOnFailure() {
		then, ok := thens[f.GetThen()]
		if !ok {
			return s, k.wrong(fmt.Sprintf("on_failure[%d].then", i), "%v is none of REFUSE, FAIL, PASS", f.GetThen())
		}
		s.OnFailure[f.GetClass()] = then
	}
	b, pr := p.GetBudget(), p.GetProbation()
	var wall, cpu, pages, output, instances, wait, load, failures, pause, pauseMax, trials uint32
	for _, v := range []struct {
		to              *uint32
		key             string
		told            uint32
		fallback, least uint32
		most            uint32
	}{
		{&wall, "budget.wall_ms", b.GetWallMs(), 50, 1, wallMost},
		{&cpu, "budget.cpu_ms", b.GetCpuMs(), 20, 1, wallMost},
		{&pages, "budget.memory_pages", b.GetMemoryPages(), 128, 1, 16384},
		{&output, "budget.output_bytes", b.GetOutputBytes(), outputMost, 16, outputMost},
		{&instances, "budget.instances", b.GetInstances(), 2, 1, 256},
		{&wait, "budget.wait_ms", b.GetWaitMs(), 20, 1, wallMost},
		{&load, "budget.load_ms", b.GetLoadMs(), 20_000, 10, loadMost},
		{&failures, "probation.failures", pr.GetFailures(), 5, 1, 1000},
		{&pause, "probation.pause_ms", pr.GetPauseMs(), 5000, 10, 3_600_000},
		{&pauseMax, "probation.pause_max_ms", pr.GetPauseMaxMs(), 60_000, 10, 3_600_000},
		{&trials, "probation.trials", pr.GetTrials(), 3, 1, 1000},
	} {
		if *v.to = v.told; v.told == 0 {
			*v.to = v.fallback
		}
		if *v.to < v.least || *v.to > v.most {
			return s, k.wrong(v.key, "%d is not from %d to %d", *v.to, v.least, v.most)
		}
	}
	ms := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
	s.Budget = plugin.Budget{Wall: ms(wall), CPU: ms(min(cpu, wall)), MemoryPages: pages, MaxOutputBytes: int(output), Instances: int(instances), InstanceTimeout: ms(wait), LoadTimeout: ms(load)}
	s.Breaker = limits.BreakerConfig{FailureThreshold: int(failures), OpenTime: ms(pause), MaxOpenTime: ms(max(pause, pauseMax)), RequiredTrials: int(trials)}
	return s, nil
}
