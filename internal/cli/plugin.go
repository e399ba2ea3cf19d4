package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"oatfold/internal/plugin"
	"oatfold/internal/plugin/limits"
	"oatfold/plugin/abi"
)

// authorSpec returns the configuration for the tools of plug-in authors, with the default budgets
// of the operator's file and a circuit breaker that does not open.
func authorSpec(path string, hooks []abi.Hook) plugin.Spec {
	return plugin.Spec{Name: "module", Path: path, Hooks: hooks,
		Breaker: limits.BreakerConfig{FailureThreshold: 1 << 30},
		Budget: plugin.Budget{Wall: 50 * time.Millisecond, CPU: 20 * time.Millisecond, MemoryPages: 128,
			MaxOutputBytes: limits.MaxBodyBytes + 8<<10,
			Instances:      1, InstanceTimeout: time.Second, LoadTimeout: 20 * time.Second}}
}

// parseHooks parses names of hooks.
func parseHooks(names []string) (hooks []abi.Hook, err error) {
	for _, name := range names {
		at := -1
		for h := abi.Hook(0); h < abi.Hooks; h++ {
			if strings.EqualFold(name, h.String()) {
				at = int(h)
			}
		}
		if at < 0 {
			return nil, usageError{fmt.Errorf("--hook: %q is none of on_handin, shape_request, read_answer", name)}
		}
		hooks = append(hooks, abi.Hook(at))
	}
	return hooks, nil
}

// pluginCommand groups the tools for plug-in authors.
func pluginCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "plugin", Short: "Tools for authors of plug-ins", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	cmd.AddCommand(pluginCheck(o), pluginRun(o))
	return cmd
}

// pluginCheck checks that a module can be loaded.
func pluginCheck(o *options) *cobra.Command {
	var names []string
	cmd := &cobra.Command{
		Use:   "check MODULE",
		Short: "Check that a relay could load a module",
		Long:  "Check that a module has the exports of the ABI and can be instantiated. The exit code is 0 only if a relay could load it.",
		Args:  exactArg("MODULE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			hooks, err := parseHooks(names)
			if err != nil {
				return err
			}
			p, err := plugin.Load(context.Background(), authorSpec(args[0], hooks), o.log())
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			defer p.Close()
			has := p.ExportedHooks()
			if len(has) == 0 {
				return fmt.Errorf("%s: %w: it exports no hook", args[0], plugin.ErrABI)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good, hooks %v\n", args[0], has)
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&names, "hook", nil, "required hooks (default: at least one)")
	return cmd
}

// pluginRun calls one hook of a module and prints its output and cost.
func pluginRun(o *options) *cobra.Command {
	var hook, class, kind, id, key, setting string
	var dest, status, times int
	var left, wall, cpu time.Duration
	var notes []string
	cmd := &cobra.Command{
		Use:   "run MODULE",
		Short: "Call one hook with a body from standard input; print its output and cost",
		Args:  exactArg("MODULE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			hooks, err := parseHooks([]string{hook})
			if err != nil {
				return err
			}
			if times < 1 || wall <= 0 || cpu <= 0 {
				return usageError{fmt.Errorf("--times, --wall and --cpu must be greater than 0")}
			}
			body, err := io.ReadAll(io.LimitReader(cmd.InOrStdin(), limits.MaxBodyBytes+1))
			if err != nil {
				return err
			}
			if len(body) > limits.MaxBodyBytes {
				return fmt.Errorf("standard input: more than %d bytes", limits.MaxBodyBytes)
			}
			spec := authorSpec(args[0], hooks)
			spec.Setting, spec.Budget.Wall, spec.Budget.CPU = setting, wall, min(cpu, wall)
			p, err := plugin.Load(context.Background(), spec, o.log())
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			defer p.Close()
			m := &plugin.Message{Class: class, Kind: kind, ID: id, Key: key, Dest: dest, TimeLeft: left, Body: body}
			if hooks[0] == abi.OnHandIn {
				m.Attempt, m.Kind = -1, ""
			}
			for _, n := range notes {
				m.Notes = abi.Append(m.Notes, abi.Note, n)
			}
			out, cost, err := p.Measure(hooks[0], m, plugin.Answer{Status: status, Body: body,
				Outcome: plugin.StatusOutcome(status)}, times)
			if err != nil {
				return fmt.Errorf("%s: %s: %w", args[0], hook, err)
			}
			return printRun(cmd.OutOrStdout(), hooks[0], out, cost)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&hook, "hook", "shape_request", "hook to call")
	flags.StringVar(&class, "class", "", "class of the message")
	flags.StringVar(&kind, "kind", "", "type of its destination")
	flags.StringVar(&id, "id", "9b1f03aa5c7e2d41", "correlation id")
	flags.StringVar(&key, "key", "", "idempotency key")
	flags.StringVar(&setting, "setting", "", "the operator's text for the plug-in")
	flags.StringSliceVar(&notes, "note", nil, "NAME=VALUE set by on_handin")
	flags.IntVar(&dest, "dest", 7, "number of the destination")
	flags.IntVar(&status, "status", 200, "read_answer: status of the answer, of which standard input is the body")
	flags.IntVar(&times, "times", 1, "number of calls; the output is that of the last one")
	flags.DurationVar(&left, "time-left", 5*time.Second, "time left")
	flags.DurationVar(&wall, "wall", 50*time.Millisecond, "wall time of one call")
	flags.DurationVar(&cpu, "cpu", 20*time.Millisecond, "CPU time of one call")
	return cmd
}

// printRun prints the output of a hook and its cost as one JSON object.
func printRun(w io.Writer, h abi.Hook, out limits.Output, cost plugin.Cost) error {
	o := map[string]any{"hook": h.String(), "wall_us": cost.Wall.Microseconds(), "cpu_us": cost.CPU.Microseconds(),
		"memory_bytes": cost.Memory}
	if out.Reason != "" {
		o["reason"] = out.Reason
	}
	switch h {
	case abi.OnHandIn:
		o["verdict"] = [...]string{"take", "refuse", "reject"}[out.Verdict]
		var notes []string
		abi.Each(out.Notes, func(_ abi.Field, v []byte) error { notes = append(notes, string(v)); return nil })
		o["notes"] = notes
	case abi.ShapeRequest:
		o["headers"], o["body_changed"] = out.Headers, out.Body != nil
		if out.Body != nil {
			o["body"] = string(out.Body)
		}
	case abi.ReadAnswer:
		if out.Outcome >= 0 {
			o["outcome"] = [...]string{"delivered", "never_ran", "may_have_run"}[out.Outcome]
		}
		o["wait_ms"] = out.Wait.Milliseconds()
	}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	return e.Encode(o)
}
