// Package cli is the command line: one file a sub-command. It reads arguments, calls, and turns the end into an exit code.
package cli

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes. Those of send tell of its messages.
const (
	exitOK        = 0
	exitFault     = 1 // the relay could not start, or a file could not be read
	exitUsage     = 2 // the command line is wrong
	exitRefused   = 3
	exitFailed    = 4
	exitGivenUp   = 5
	exitUncertain = 6
)

// usageError is a command line that is wrong.
type usageError struct{ error }

// exitError ends the program with that code, without a further word.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// options are the flags of all commands.
type options struct {
	level    slog.Level
	format   string
	operator string // path of the operator's file
	profile  string // file for a CPU profile; empty: none
}

// log returns the program's log on standard error.
func (o *options) log() *slog.Logger {
	handlerOptions := &slog.HandlerOptions{Level: o.level}
	if o.format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, handlerOptions))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, handlerOptions))
}

// Main runs the command line and returns the exit code.
func Main(version string, args []string) int { return exitCode(command(version, args).Execute()) }

// exitCode tells on standard error what was wrong and returns the code for it.
func exitCode(err error) int {
	var usage usageError
	var code exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &code):
		return int(code)
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "oatfold:", err, "(see --help)")
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "oatfold:", err)
	return exitFault
}

func command(version string, args []string) *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "oatfold",
		Short: "oatfold relays messages to destinations",
		Long: `oatfold relays messages to destinations. Without a sub-command it serves; it is told its settings by ROUTER_CONFIG and
the variables beside it.`,
		Args:          noArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	show := root.Flags().Bool("version", false, "print the version and exit")
	root.PersistentFlags().TextVar(&o.level, "log", slog.LevelInfo, "least `level` that is logged: debug, info, warn or error")
	root.PersistentFlags().StringVar(&o.format, "log-format", "text", "form of the log: `text or json`")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if o.format != "text" && o.format != "json" {
			return usageError{fmt.Errorf("--log-format: %q is neither text nor json", o.format)}
		}
		return nil
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.RunE = func(*cobra.Command, []string) error {
		if *show {
			fmt.Println("oatfold", version)
			return nil
		}
		return serve(o)
	}
	serveCommand := &cobra.Command{Use: "serve", Short: "Serve as a relay (the default)", Args: noArgs,
		RunE: func(*cobra.Command, []string) error { return serve(o) }}
	for _, cmd := range []*cobra.Command{root, serveCommand} {
		cmd.Flags().StringVar(&o.profile, "cpu-profile", "", "write a CPU profile to this `file`, whole once the relay has stopped")
		cmd.Flags().StringVar(&o.operator, "operator", "", "the operator's `file`, in protobuf text format")
	}
	root.AddCommand(serveCommand, sendCommand(o), checkCommand(o), pluginCommand(o), journalCommand(), membersCommand(), choicesCommand(), siteCommand(), assignmentCommand(), labCommand(), &cobra.Command{Use: "version",
		Short: "Print the version", Args: noArgs, Run: func(*cobra.Command, []string) { fmt.Println("oatfold", version) }})
	root.SetArgs(longFlags(args))
	return root
}

func noArgs(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unexpected argument %q", args[0])}
	}
	return nil
}

// longFlags keeps the earlier form of the relay's own flags, with one dash, working.
func longFlags(args []string) []string {
	args = slices.Clone(args)
	for i, a := range args {
		name, _, _ := strings.Cut(a, "=")
		if slices.Contains([]string{"-log", "-version", "-help"}, name) {
			args[i] = "-" + a
		}
	}
	return args
}
